"""Split of a pool between long-prompt and short-prompt targets.

All targets are ordered by a hash of their name (rendezvous order), so that
instances agree on the order without communication. The first ones take long
work; short requests may be placed on any target.
"""

import dataclasses
import math

import xxhash

__all__ = [
    "PoolSplit",
    "adjust",
    "is_due",
    "long_work_probability",
    "max_long_targets",
    "rank",
]

ADJUST_INTERVAL_S = 1.0
# Smooths the utilisation over roughly the duration of a long request.
UTILISATION_HALF_LIFE_S = 10.0
# The split moves by at most one step per interval. It shrinks slowly, because
# long requests are rare and arrive in clusters, and an engine that starts to
# take long work delays the short answers that it is decoding.
GROW_INTERVAL_S = 5.0
SHRINK_INTERVAL_S = 30.0
STEP_SHARE = 0.05
# The thresholds give hysteresis: removing one of two engines at the lower one
# doubles the utilisation of the other, which is still below the upper one.
GROW_UTILISATION = 0.6
SHRINK_UTILISATION = 0.25


@dataclasses.dataclass(slots=True)
class PoolSplit:
    """Position of the split, and the utilisation that moves it.

    Attributes:
        size: Number of targets, from the start of the order, that take long
            work; -1 before the first update.
        changed_at: Monotonic time at which the split last moved.
        utilisation: Smoothed share of the long targets' memory in use.
        peak: The same, but follows an increase at once.
        updated_at: Monotonic time of the last update.
    """

    size: int = -1
    changed_at: float = float("-inf")
    utilisation: float = 0.0
    peak: float = 0.0
    updated_at: float = float("-inf")


def rank(target: str) -> int:
    """Returns the sort key of a target, the same at every instance."""
    return xxhash.xxh64_intdigest(target.encode())


def max_long_targets(targets: int, short_floor: float) -> int:
    """Returns the maximum number of targets that take long work.

    The number of targets kept for short work is rounded up, but one target
    always takes long work, since a pool of one engine could not serve long
    prompts otherwise.
    """
    return max(1, targets - math.ceil(targets * short_floor))


def is_due(split: PoolSplit, now: float) -> bool:
    """Returns whether the split is due for an update."""
    return now - split.updated_at >= ADJUST_INTERVAL_S


def long_work_probability(split: PoolSplit) -> float:
    """Estimates the probability of long work on a long target, from 0 to 1.

    Without long work the long targets are as good for short requests as the
    others, and would be idle until the split has moved step by step.
    """
    return min(1.0, split.peak / SHRINK_UTILISATION)


def adjust(
    split: PoolSplit,
    targets: int,
    max_size: int,
    utilisation: float,
    now: float,
) -> None:
    """Moves the split by at most one step towards the current demand.

    Demand is the memory in use on the long targets, which all instances know
    from the same reports. Counting the few long requests of each instance alone
    would move their splits far apart, and one instance would place short
    requests on engines to which another sends long work.

    The split starts at its maximum: reducing it only drains an engine, while
    increasing it delays the short answers on the engine that is added.

    Args:
        split: The split.
        targets: Number of targets in the pool.
        max_size: Maximum number of targets that take long work.
        utilisation: Share of the long targets' memory in use; 1 if long
            requests are queued for too long.
        now: Monotonic seconds.
    """
    if split.size < 0:
        split.size = max_size
        split.changed_at = now
        split.updated_at = now
    age = min(now - split.updated_at, UTILISATION_HALF_LIFE_S)
    decay = 0.5 ** (age / UTILISATION_HALF_LIFE_S)
    split.utilisation += (utilisation - split.utilisation) * (1.0 - decay)
    split.peak = max(utilisation, split.peak * decay)
    split.updated_at = now
    split.size = min(split.size, max_size)
    step = max(1, int(targets * STEP_SHARE))
    since_s = now - split.changed_at
    if split.utilisation > GROW_UTILISATION and since_s >= GROW_INTERVAL_S:
        split.size = min(max_size, split.size + step)
    elif (
        split.utilisation < SHRINK_UTILISATION and since_s >= SHRINK_INTERVAL_S
    ):
        split.size = max(1, split.size - step)
    else:
        return
    split.changed_at = now
