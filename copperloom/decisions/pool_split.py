"""The border between engines that take long work and those kept free of it.

All targets stand in one order that every entry computes alike, by a hash of
the name (rendezvous order), so that entries agree without a message: the
first ones take long work. Short work may go everywhere.
"""

import dataclasses
import math

import xxhash

__all__ = [
    "PoolSplit",
    "is_due",
    "long_work_probability",
    "max_long_targets",
    "adjust",
    "rank",
]

ADJUST_INTERVAL_S = 1.0
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
class PoolSplit:
    """Where the border stands, and the use that moves it.

    Attributes:
        size: Targets, from the start of the order, that take long work; -1
            before the first look.
        changed_at: When it last moved.
        use: Averaged share of the long part's memory in use.
        peak: The same, following a rise at once.
        measured_at: When the use was last looked at.
    """

    size: int = -1
    changed_at: float = float("-inf")
    use: float = 0.0
    peak: float = 0.0
    measured_at: float = float("-inf")


def rank(target: str) -> int:
    """Returns the place of a target in the order that all entries share."""
    return xxhash.xxh64_intdigest(target.encode())


def max_long_targets(targets: int, short_floor: float) -> int:
    """Returns how many targets may take long work at most.

    The floor is rounded up in favour of short work, but a pool of one engine
    takes both, as else it could never serve a long prompt.
    """
    return max(1, targets - math.ceil(targets * short_floor))


def is_due(split: PoolSplit, now: float) -> bool:
    """Tells whether it is time to look at the use again."""
    return now - split.measured_at >= ADJUST_INTERVAL_S


def long_work_probability(split: PoolSplit) -> float:
    """Returns how likely long work is in its part, from 0 to 1.

    Without long work its part is as good for short work as the other; waiting
    for the border to move there, step by step, would leave engines idle.
    """
    return min(1.0, split.peak / SHRINK_USE)


def adjust(
    split: PoolSplit, targets: int, most: int, use: float, now: float
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
        split: The border.
        targets: Targets in the pool.
        most: Most targets that may take long work.
        use: Share of the long part's memory in use now; 1 if long work waits.
        now: Monotonic seconds.
    """
    if split.size < 0:
        split.size = most
        split.changed_at = now
        split.measured_at = now
    age = min(now - split.measured_at, USE_HALF_LIFE_S)
    faded = 0.5 ** (age / USE_HALF_LIFE_S)
    split.use += (use - split.use) * (1.0 - faded)
    split.peak = max(use, split.peak * faded)
    split.measured_at = now
    split.size = min(split.size, most)
    step = max(1, int(targets * STEP_SHARE))
    since_s = now - split.changed_at
    if split.use > GROW_USE and since_s >= GROW_INTERVAL_S:
        split.size = min(most, split.size + step)
    elif split.use < SHRINK_USE and since_s >= SHRINK_INTERVAL_S:
        split.size = max(1, split.size - step)
    else:
        return
    split.changed_at = now
