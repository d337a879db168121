"""The border between engines that take long work and those kept free of it.

All targets stand in one order that every entry computes alike, by a hash of
the name (rendezvous order), so that entries agree without a message: the
first ones take long work. Short work may go everywhere.
"""

import dataclasses
import math

import xxhash

__all__ = ["Border", "count", "most_long", "move", "rank"]

# Demand is averaged over about a minute: with one long prompt in fifty, less
# would follow single prompts.
DEMAND_HALF_LIFE_S = 60.0
# At most one step in this time; a step moves a twentieth of the pool.
MOVE_INTERVAL_S = 5.0
STEP_SHARE = 0.05
# The border stays until demand is this many engines past it (hysteresis): an
# engine that changes sides back and forth serves neither side.
HYSTERESIS_ENGINES = 0.75


@dataclasses.dataclass(slots=True)
class Border:
    """Where the border stands, and the demand that moves it.

    Attributes:
        size: Targets, from the start of the order, that take long work; -1
            before the first look.
        moved_at: When it last moved.
        short_tokens: Decayed tokens of short work.
        long_tokens: Decayed tokens of long work.
        counted_at: When the demand was last counted.
    """

    size: int = -1
    moved_at: float = float("-inf")
    short_tokens: float = 0.0
    long_tokens: float = 0.0
    counted_at: float = 0.0


def rank(target: str) -> int:
    """Returns the place of a target in the order that all entries share."""
    return xxhash.xxh64_intdigest(target.encode())


def most_long(targets: int, short_floor: float) -> int:
    """Returns how many targets may take long work at most.

    The floor is rounded up in favour of short work, but a pool of one engine
    takes both, as else it could never serve a long prompt.
    """
    return max(1, targets - math.ceil(targets * short_floor))


def count(border: Border, tokens: int, now: float, *, long: bool) -> None:
    """Counts the demand of one request."""
    faded = 0.5 ** (max(0.0, now - border.counted_at) / DEMAND_HALF_LIFE_S)
    border.short_tokens = border.short_tokens * faded + (not long) * tokens
    border.long_tokens = border.long_tokens * faded + long * tokens
    border.counted_at = now


def move(border: Border, targets: int, short_floor: float, now: float) -> None:
    """Moves the border a step towards the measured demand.

    Made for demand that shifts over minutes, as a day's manifests coming in.
    The share of tokens is used and not their number, so that entries that
    each see a part of the requests come to about the same border.

    Args:
        border: The border.
        targets: Targets in the pool.
        short_floor: The preset's least share of targets for short work alone.
        now: Monotonic seconds.
    """
    most = most_long(targets, short_floor)
    if border.size < 0:
        border.size = max(1, most // 2)
        border.moved_at = now
    border.size = min(border.size, most)
    total = border.short_tokens + border.long_tokens
    if total <= 0.0 or now - border.moved_at < MOVE_INTERVAL_S:
        return
    wanted = targets * border.long_tokens / total
    wanted = min(max(wanted, 1.0), float(most))
    if abs(wanted - border.size) < HYSTERESIS_ENGINES:
        return
    step = max(1, int(targets * STEP_SHARE))
    side = 1 if wanted > border.size else -1
    away = max(1, int(abs(wanted - border.size)))
    border.size = min(max(border.size + side * min(step, away), 1), most)
    border.moved_at = now
