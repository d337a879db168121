"""Ejection of a failing target, and its slow return.

Made for one target out of many that refuses connections or breaks its streams:
without it the target, which has nothing in flight, looks like the best one and
draws requests that all fail. At most a share of a pool is out at once, since a
fault that hits many targets is rarely the targets' own, and the rest could not
carry the load.

A slow target is not ejected: its slowness raises its cost at once and fades
with time (see `copperloom.decisions.concurrency.slowness`). Ejection by a
threshold was tried and did harm, see docs/design/decisions.md.
"""

from copperloom.decisions import load

__all__ = ["eject_failing", "is_out", "succeeded"]

# A full engine refuses now and then and answers in between.
FAILURES_TO_EJECT = 3
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
    tgt.limit = min(tgt.limit, RETURN_LIMIT)
    return True
