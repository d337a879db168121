"""Ejection of a failing or slow target, and its slow return.

Made for one target out of many that refuses connections or has become several
times slower than the others: without it the target keeps its share of the
requests, and just these see the failure. At most a share of a pool is out at
once, since a fault that hits many targets is rarely the targets' own, and
the rest could not carry the load.
"""

from copperloom.decisions import load

__all__ = ["eject_failing", "eject_slow", "is_out", "succeeded"]

FAILURES_TO_EJECT = 2
# Work spreads within a factor of two or three by its own; four is a fault.
SLOW_RATIO = 4.0
SLOW_SAMPLES = 5
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 60.0
# A target that comes back is tried with little, and its limit grows from it.
RETURN_LIMIT = 2.0
MOST_SHARE_OUT = 0.34


def is_out(tgt: load.TargetLoad, now: float) -> bool:
    """Tells whether the target gets no work now."""
    return now < tgt.ejected_until


def succeeded(tgt: load.TargetLoad, now: float) -> None:
    """Notes an answer; a target that answers after its return is healthy."""
    tgt.failures = 0
    if not is_out(tgt, now):
        tgt.ejections = max(0, tgt.ejections - 1) if tgt.samples > 0 else 0


def eject_failing(
    tgt: load.TargetLoad, others: list[load.TargetLoad], now: float
) -> bool:
    """Notes a failure and ejects the target if it fails in a row."""
    tgt.failures += 1
    if tgt.failures < FAILURES_TO_EJECT:
        return False
    return _eject(tgt, others, now)


def eject_slow(
    tgt: load.TargetLoad,
    others: list[load.TargetLoad],
    slowness: float,
    now: float,
) -> bool:
    """Ejects the target if it is much slower than its pool.

    Args:
        tgt: The target.
        others: All targets of its pool.
        slowness: Its first-token time over the pool's median.
        now: Monotonic seconds.
    """
    if tgt.samples < SLOW_SAMPLES or slowness < SLOW_RATIO:
        return False
    return _eject(tgt, others, now)


def _eject(
    tgt: load.TargetLoad, others: list[load.TargetLoad], now: float
) -> bool:
    if is_out(tgt, now):
        return False
    out = sum(is_out(t, now) for t in others)
    if out + 1 > max(1, int(len(others) * MOST_SHARE_OUT)) or len(others) < 2:
        return False
    span = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**tgt.ejections)
    tgt.ejected_until = now + span
    tgt.ejections += 1
    tgt.failures = 0
    tgt.samples = 0
    tgt.ratio = 0.0
    tgt.limit = RETURN_LIMIT
    return True
