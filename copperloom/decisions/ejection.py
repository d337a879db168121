"""Ejection of failing targets, and their gradual return.

A target that refuses connections or breaks its streams has little in flight,
so it looks like the best choice and attracts requests that fail. At most a
share of a pool is ejected at once: a fault that hits many targets is rarely
caused by the targets, and the remaining ones could not carry the load.

A slow target is not ejected; its slowness raises its cost instead (see
`copperloom.decisions.concurrency.slowness` and docs/design/decisions.md).
"""

from copperloom.decisions import load

__all__ = ["is_ejected", "record_failure", "record_success"]

# A single refusal may only mean that the engine is full.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# Concurrency limit of a target after its ejection, from which it grows again.
RETURN_LIMIT = 2.0
MAX_EJECTED_SHARE = 0.34


def is_ejected(tgt: load.TargetLoad, now: float) -> bool:
    """Returns whether the target is ejected and gets no work."""
    return now < tgt.ejected_until


def record_success(tgt: load.TargetLoad, now: float) -> None:
    """Records a success, which shortens the target's next ejection."""
    tgt.failures = 0
    if not is_ejected(tgt, now):
        tgt.ejections = max(0, tgt.ejections - 1) if tgt.samples > 0 else 0


def record_failure(
    tgt: load.TargetLoad, others: list[load.TargetLoad], now: float
) -> bool:
    """Records a failure, and ejects the target after several in a row.

    Returns:
        Whether the target was ejected.
    """
    tgt.failures += 1
    if tgt.failures < FAILURES_TO_EJECT:
        return False
    return _eject(tgt, others, now)


def _eject(
    tgt: load.TargetLoad, others: list[load.TargetLoad], now: float
) -> bool:
    if is_ejected(tgt, now):
        return False
    ejected = sum(is_ejected(t, now) for t in others)
    if (
        ejected + 1 > max(1, int(len(others) * MAX_EJECTED_SHARE))
        or len(others) < 2
    ):
        return False
    duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**tgt.ejections)
    tgt.ejected_until = now + duration_s
    tgt.ejections += 1
    tgt.failures = 0
    tgt.samples = 0
    tgt.ratio = 0.0
    tgt.limit = min(tgt.limit, RETURN_LIMIT)
    return True
