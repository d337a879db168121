"""Judges what counts as evidence against requests and parts of prompts.

Instances share which targets have crashed as they began to run which request,
identified by a digest of its content, and as they began to write on which part
of its prompt (see `crash_log`).

Other requests at a target that crashes are blamed as well. One completed run,
here or at another instance, voids the evidence before it. What was written on a
part after a crash voids that crash's evidence against the part.
"""

import math
from collections.abc import Iterable

from copperloom.decisions import crash_log
from copperloom.decisions.crash_log import CrashLog, Evidence

__all__ = [
    "had_ended",
    "is_at_begin",
    "record_answer",
    "record_completion",
    "record_crash",
    "record_written",
]

# A target that ends later than this after the first event of an answer did not
# end because it began to run the request.
BEGIN_S = 0.5
# A target that starts again has registered within this time.
RESTART_S = 10.0


def is_at_begin(first_event_at: float | None, failed_at: float) -> bool:
    """Returns whether an attempt failed as its target began to run it.

    Args:
        first_event_at: Monotonic time of the attempt's first event; None if
            there was none.
        failed_at: Monotonic time of the failure.
    """
    return first_event_at is None or failed_at - first_event_at <= BEGIN_S


def had_ended(log: CrashLog, incarnation: str, begun_at: float) -> bool:
    """Returns whether a target had ended before an attempt began.

    Such a target did not crash under it.
    """
    return log.ended.get(incarnation, begun_at) < begun_at


def record_crash(
    log: CrashLog, digest: bytes, incarnation: str, crashed_at: float
) -> bool:
    """Records that a target crashed as it began to run a request.

    Returns:
        Whether this is new.
    """
    crash = Evidence(crashes={incarnation: crashed_at})
    return crash_log.merge(log, digest, crash, crashed_at, forwards=True)


def record_completion(log: CrashLog, digest: bytes, now: float) -> bool:
    """Voids the evidence about a request that a target has completed.

    Returns:
        Whether any evidence became void.
    """
    return _void_before(log, digest, math.inf, now)


def record_written(
    log: CrashLog, digests: Iterable[bytes], begun_at: float, now: float
) -> list[bytes]:
    """Voids evidence about the parts of a prompt that a target has written on.

    Args:
        log: The log.
        digests: The parts.
        begun_at: Monotonic time at which the target began to write; crashes
            after that may still be the fault of a part.
        now: Monotonic time.

    Returns:
        Digests of the parts whose evidence became void.
    """
    return [d for d in digests if _void_before(log, d, begun_at, now)]


def _void_before(
    log: CrashLog, digest: bytes, until: float, now: float
) -> bool:
    known = crash_log.of_kind(log, digest).get(digest)
    if known is None or not known.crashes:
        return False
    void = {
        name: at
        for name, at in (known.crashes | known.trials).items()
        if at < until
    }
    if not void:
        return False
    return crash_log.merge(log, digest, Evidence(void=void), now, forwards=True)


def record_answer(
    log: CrashLog, incarnation: str, begun_at: float, now: float
) -> list[bytes]:
    """Voids evidence against requests if a target has not ended after all.

    A target behind a network partition may refuse connections meanwhile. Soon
    after its end the answer may come from a later start whose registration is
    not known yet.

    Args:
        log: The log.
        incarnation: The target, which has completed an attempt.
        begun_at: Monotonic time at which the attempt began.
        now: Monotonic time.

    Returns:
        Digests of the requests concerned.
    """
    ended_at = log.ended.get(incarnation, begun_at)
    if begun_at - ended_at <= RESTART_S:
        return []
    del log.ended[incarnation]
    concerned = [
        digest
        for digest, known in (log.requests | log.parts).items()
        if incarnation in known.crashes
    ]
    for digest in concerned:
        crashed_at = crash_log.of_kind(log, digest)[digest].crashes[incarnation]
        void = Evidence(void={incarnation: crashed_at})
        crash_log.merge(log, digest, void, now, forwards=True)
    return concerned
