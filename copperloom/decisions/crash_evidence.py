"""Evidence about requests that crash the targets that run them.

Instances share which targets have crashed as they began to run which request,
identified by a digest of its content. Evidence may come late, repeatedly and in
any order: the result of all merges is the same, so that instances need not
agree on it.

Other requests at a target that crashes are blamed as well. One completed run,
here or at another instance, voids the evidence before it.
"""

import dataclasses
import math

from copperloom.decisions import sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "CrashLog",
    "Evidence",
    "expire",
    "expires_at",
    "had_ended",
    "is_at_begin",
    "is_sufficient",
    "merge",
    "record_answer",
    "record_completion",
    "record_crash",
    "to_share",
]

# Crashes of different targets that suffice against a request.
MIN_CRASHES = 3
# A target that ends later than this after the first event of an answer did not
# end because it began to run the request.
BEGIN_S = 0.5
# A target that starts again has registered within this time.
RESTART_S = 10.0
# Time for which evidence is kept, from the latest change or crash.
WEAK_KEPT_S = 600.0
SUFFICIENT_KEPT_S = 3600.0
MAX_REQUESTS = 500
# Entries per request; the latest ones are kept.
MAX_CRASHES = 8
MAX_VOID = 20
MAX_ENDED = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about a request whose targets crashed.

    Attributes:
        crashes: Monotonic times at which targets crashed as they began to run
            it, by incarnation of the target.
        trials: Monotonic times at which trials began, by name of the trial.
        void: Crashes and trials that no longer count, since the request
            completed afterwards or the target has not ended.
        sharing: When this changed and was passed on.
    """

    crashes: dict[str, float] = dataclasses.field(default_factory=dict)
    trials: dict[str, float] = dataclasses.field(default_factory=dict)
    void: dict[str, float] = dataclasses.field(default_factory=dict)
    sharing: Sharing = Sharing()


class CrashLog:
    """Evidence about requests, and the targets that ended.

    Attributes:
        requests: Evidence by digest of the request, the latest change last.
        ended: Monotonic times at which targets ended, by incarnation.
        trial_at: Monotonic time of the latest trial of any request.
        sufficient_changes: Number of changes of evidence that suffices, or did
            so before the change.
    """

    def __init__(self):
        self.requests: dict[bytes, Evidence] = {}
        self.ended: dict[str, float] = {}
        self.trial_at = float("-inf")
        self.sufficient_changes = 0


def is_sufficient(evidence: Evidence) -> bool:
    """Returns whether evidence suffices to quarantine a request."""
    return len(evidence.crashes) >= MIN_CRASHES


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
    return merge(log, digest, crash, crashed_at, forwards=True)


def record_completion(log: CrashLog, digest: bytes, now: float) -> bool:
    """Voids the evidence about a request that a target has completed.

    Returns:
        Whether any evidence became void.
    """
    known = log.requests.get(digest)
    if known is None or not known.crashes:
        return False
    void = Evidence(void=known.crashes | known.trials)
    return merge(log, digest, void, now, forwards=True)


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
        for digest, known in log.requests.items()
        if incarnation in known.crashes
    ]
    for digest in concerned:
        crashed_at = log.requests[digest].crashes[incarnation]
        void = Evidence(void={incarnation: crashed_at})
        merge(log, digest, void, now, forwards=True)
    return concerned


def merge(
    log: CrashLog,
    digest: bytes,
    reported: Evidence,
    now: float,
    *,
    forwards: bool,
) -> bool:
    """Merges evidence; the order and the number of merges do not matter.

    Args:
        log: The log.
        digest: The request.
        reported: The evidence, with times by this instance's clock.
        now: Monotonic time.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether it changed what was known.
    """
    for incarnation, crashed_at in reported.crashes.items():
        _record_end(log, incarnation, crashed_at)
    log.trial_at = max(log.trial_at, *reported.trials.values(), -math.inf)
    known = log.requests.get(digest, Evidence())
    void = _earliest(known.void, reported.void)
    crashes = _earliest(known.crashes, reported.crashes)
    trials = _earliest(known.trials, reported.trials)
    merged = Evidence(
        crashes=_latest(_without(crashes, void), MAX_CRASHES),
        trials=_latest(_without(trials, void), MAX_CRASHES),
        void=_latest(void, MAX_VOID),
        sharing=Sharing(changed_at=now, is_forwarded=forwards),
    )
    if _names(merged) == _names(known) or expires_at(merged) <= now:
        return False
    log.requests.pop(digest, None)
    log.requests[digest] = merged
    log.sufficient_changes += is_sufficient(merged) or is_sufficient(known)
    _drop_excess(log)
    return True


def _names(evidence: Evidence) -> tuple:
    return (
        evidence.crashes.keys(),
        evidence.trials.keys(),
        evidence.void.keys(),
    )


def _earliest(
    known: dict[str, float], reported: dict[str, float]
) -> dict[str, float]:
    """Unites entries with the earliest time of each.

    Each report adds the time that its message took.
    """
    return reported | {
        name: min(at, reported.get(name, at)) for name, at in known.items()
    }


def _without(
    entries: dict[str, float], void: dict[str, float]
) -> dict[str, float]:
    return {name: at for name, at in entries.items() if name not in void}


def _latest(entries: dict[str, float], limit: int) -> dict[str, float]:
    ordered = sorted((at, name) for name, at in entries.items())
    return {name: at for at, name in ordered[-limit:]}


def _record_end(log: CrashLog, incarnation: str, ended_at: float) -> None:
    log.ended.setdefault(incarnation, ended_at)
    if len(log.ended) > MAX_ENDED:
        del log.ended[next(iter(log.ended))]


def _drop_excess(log: CrashLog) -> None:
    """Drops the evidence that changed least recently, the weak one first."""
    if len(log.requests) <= MAX_REQUESTS:
        return
    weak = (d for d, e in log.requests.items() if not is_sufficient(e))
    del log.requests[next(weak, next(iter(log.requests)))]


def expire(log: CrashLog, now: float) -> list[bytes]:
    """Drops evidence whose time has passed; returns the requests concerned."""
    dropped = [d for d, e in log.requests.items() if expires_at(e) <= now]
    for digest in dropped:
        del log.requests[digest]
    return dropped


def expires_at(known: Evidence) -> float:
    """Returns the monotonic time at which evidence is dropped."""
    if not is_sufficient(known):
        return known.sharing.changed_at + WEAK_KEPT_S
    return max(known.crashes.values()) + SUFFICIENT_KEPT_S


def to_share(
    log: CrashLog, now: float, limit: int, occasion: Occasion
) -> dict[bytes, Evidence]:
    """Selects the evidence for a message, the latest change first.

    Args:
        log: The log, in which the evidence is marked as passed on.
        now: Monotonic time.
        limit: Maximum number of requests.
        occasion: The kind of message.
    """
    due = [
        digest
        for digest, known in reversed(log.requests.items())
        if sharing.is_due(
            known.sharing, now, occasion, lasts=is_sufficient(known)
        )
    ]
    for digest in due[:limit]:
        known = log.requests[digest]
        log.requests[digest] = dataclasses.replace(
            known, sharing=sharing.mark_shared(known.sharing, now, occasion)
        )
    return {digest: log.requests[digest] for digest in due[:limit]}
