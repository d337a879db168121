"""The border between engines that take long work and those kept free of it.

All targets stand in one order that every entry computes alike, by a hash of
the name (rendezvous order), so that entries agree without a message: the
first ones take long work. Short work may go everywhere.
"""

import dataclasses
import math

import xxhash

__all__ = ["Border", "is_due", "likely", "most_long", "move", "rank"]

LOOK_INTERVAL_S = 1.0
# Use is averaged over some seconds, about one long prompt's time.
USE_HALF_LIFE_S = 10.0
# At most one step in this time, of a twentieth of the pool. The part shrinks
# slowly: long work is rare and comes in clusters, and an engine that joins the
# long part holds up the short answers in progress there.
GROW_INTERVAL_S = 5.0
SHRINK_INTERVAL_S = 30.0
STEP_SHARE = 0.05
# Hysteresis: at the lower bound, taking one engine of two away doubles the
# use of the other, which is still below the upper bound.
GROW_USE = 0.6
SHRINK_USE = 0.25


@dataclasses.dataclass(slots=True)
class Border:
    """Where the border stands, and the use that moves it.

    Attributes:
        size: Targets, from the start of the order, that take long work; -1
            before the first look.
        moved_at: When it last moved.
        use: Averaged share of the long part's memory in use.
        peak: The same, following a rise at once.
        looked_at: When the use was last looked at.
    """

    size: int = -1
    moved_at: float = float("-inf")
    use: float = 0.0
    peak: float = 0.0
    looked_at: float = float("-inf")


def rank(target: str) -> int:
    """Returns the place of a target in the order that all entries share."""
    return xxhash.xxh64_intdigest(target.encode())


def most_long(targets: int, short_floor: float) -> int:
    """Returns how many targets may take long work at most.

    The floor is rounded up in favour of short work, but a pool of one engine
    takes both, as else it could never serve a long prompt.
    """
    return max(1, targets - math.ceil(targets * short_floor))


def is_due(border: Border, now: float) -> bool:
    """Tells whether it is time to look at the use again."""
    return now - border.looked_at >= LOOK_INTERVAL_S


def likely(border: Border) -> float:
    """Returns how likely long work is in its part, from 0 to 1.

    Without long work its part is as good for short work as the other; waiting
    for the border to move there, step by step, would leave engines idle.
    """
    return min(1.0, border.peak / SHRINK_USE)


def move(
    border: Border, targets: int, most: int, use: float, now: float
) -> None:
    """Moves the border a step towards the measured demand.

    Made for demand that shifts over minutes, as a day's manifests coming in.
    Demand is measured by the memory in use in the long part, which all
    entries read from the same reports: entries that each counted their own
    few long prompts stood at borders far apart, and short work was placed by
    one on engines that another gave long work.

    It starts at the most and shrinks: an engine that leaves the long part
    only drains, but one that joins it holds up the short answers there.

    Args:
        border: The border.
        targets: Targets in the pool.
        most: Most targets that may take long work.
        use: Share of the long part's memory in use now; 1 if long work waits.
        now: Monotonic seconds.
    """
    if border.size < 0:
        border.size = most
        border.moved_at = now
        border.looked_at = now
    age = min(now - border.looked_at, USE_HALF_LIFE_S)
    faded = 0.5 ** (age / USE_HALF_LIFE_S)
    border.use += (use - border.use) * (1.0 - faded)
    border.peak = max(use, border.peak * faded)
    border.looked_at = now
    border.size = min(border.size, most)
    step = max(1, int(targets * STEP_SHARE))
    since_s = now - border.moved_at
    if border.use > GROW_USE and since_s >= GROW_INTERVAL_S:
        border.size = min(most, border.size + step)
    elif border.use < SHRINK_USE and since_s >= SHRINK_INTERVAL_S:
        border.size = max(1, border.size - step)
    else:
        return
    border.moved_at = now
