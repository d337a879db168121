"""Evidence about requests, and parts of prompts, that crash targets.

Instances share which targets have crashed as they began to run which request,
identified by a digest of its content, and as they began to write on which part
of its prompt. Evidence may come late, repeatedly and in any order: the result
of all merges is the same, so that instances need not agree on it.

Other requests at a target that crashes are blamed as well. One completed run,
here or at another instance, voids the evidence before it. What was written on a
part after a crash voids that crash's evidence against the part.
"""

import dataclasses
import math
from collections.abc import Iterable

from copperloom.decisions import request_digest, sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "CrashLog",
    "Evidence",
    "entries",
    "expire",
    "expires_at",
    "had_ended",
    "is_at_begin",
    "is_sufficient",
    "merge",
    "record_answer",
    "record_completion",
    "record_crash",
    "record_written",
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
MAX_PARTS = 2000
# Entries per request or part; the latest ones are kept.
MAX_CRASHES = 16
MAX_VOID = 40
MAX_ENDED = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about a request or part under which targets crashed.

    Attributes:
        crashes: Monotonic times at which targets crashed as they began to run
            it, by incarnation of the target.
        trials: Monotonic times at which trials began, by name of the trial.
        void: Crashes and trials that no longer count, since a request
            completed afterwards or the target has not ended.
        sharing: When this changed and was passed on.
    """

    crashes: dict[str, float] = dataclasses.field(default_factory=dict)
    trials: dict[str, float] = dataclasses.field(default_factory=dict)
    void: dict[str, float] = dataclasses.field(default_factory=dict)
    sharing: Sharing = Sharing()


class CrashLog:
    """Evidence about requests and parts, and the targets that ended.

    Attributes:
        requests: Evidence by digest of the request, the latest change last.
        parts: Evidence by digest of the part, the latest change last.
        changes: Number of changes of evidence about parts.
        culprits: Cache of `quarantine`, with the number of changes that it
            belongs to.
        ended: Monotonic times at which targets ended, by incarnation.
        trial_at: Monotonic time of the latest trial of any request.
        sufficient_changes: Number of changes of evidence that suffices, or did
            so before the change.
    """

    def __init__(self):
        self.requests: dict[bytes, Evidence] = {}
        self.parts: dict[bytes, Evidence] = {}
        self.changes = 0
        self.culprits: dict[int, tuple] = {}
        self.ended: dict[str, float] = {}
        self.trial_at = float("-inf")
        self.sufficient_changes = 0


def entries(log: CrashLog, digest: bytes) -> dict[bytes, Evidence]:
    """Returns the evidence of the kind of a digest, of requests or parts."""
    return log.parts if request_digest.is_part(digest) else log.requests


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
    known = entries(log, digest).get(digest)
    if known is None or not known.crashes:
        return False
    void = {
        name: at
        for name, at in (known.crashes | known.trials).items()
        if at < until
    }
    if not void:
        return False
    return merge(log, digest, Evidence(void=void), now, forwards=True)


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
        crashed_at = entries(log, digest)[digest].crashes[incarnation]
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
    by_digest = entries(log, digest)
    known = by_digest.get(digest, Evidence())
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
    by_digest.pop(digest, None)
    by_digest[digest] = merged
    log.changes += 1
    log.sufficient_changes += is_sufficient(merged) or is_sufficient(known)
    _drop_excess(log.requests, MAX_REQUESTS)
    _drop_excess(log.parts, MAX_PARTS)
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


def _drop_excess(by_digest: dict[bytes, Evidence], limit: int) -> None:
    """Drops the evidence that changed least recently, the weak one first.

    Evidence of a single crash is the weakest.
    """
    if len(by_digest) <= limit:
        return
    for is_weak in (
        lambda e: len(e.crashes) < 2,
        lambda e: not is_sufficient(e),
    ):
        weak = next((d for d, e in by_digest.items() if is_weak(e)), None)
        if weak is not None:
            del by_digest[weak]
            return
    del by_digest[next(iter(by_digest))]


def expire(log: CrashLog, now: float) -> list[bytes]:
    """Drops evidence whose time has passed; returns the digests concerned."""
    dropped = [
        (by_digest, digest)
        for by_digest in (log.requests, log.parts)
        for digest, known in by_digest.items()
        if expires_at(known) <= now
    ]
    for by_digest, digest in dropped:
        del by_digest[digest]
    log.changes += len(dropped)
    return [digest for _, digest in dropped]


def expires_at(known: Evidence) -> float:
    """Returns the monotonic time at which evidence is dropped."""
    if not is_sufficient(known):
        return known.sharing.changed_at + WEAK_KEPT_S
    return max(known.crashes.values()) + SUFFICIENT_KEPT_S


def to_share(
    log: CrashLog, now: float, limit: int, occasion: Occasion
) -> dict[bytes, Evidence]:
    """Selects the evidence for a message.

    Sufficient evidence comes first, and of that the latest change.

    Args:
        log: The log, in which the evidence is marked as passed on.
        now: Monotonic time.
        limit: Maximum number of requests and parts.
        occasion: The kind of message.
    """
    due = [
        (is_sufficient(known), known.sharing.changed_at, digest)
        for by_digest in (log.requests, log.parts)
        for digest, known in reversed(by_digest.items())
        if sharing.is_due(
            known.sharing, now, occasion, lasts=is_sufficient(known)
        )
    ]
    due.sort(key=lambda item: item[:2], reverse=True)
    selected = {}
    for _, _, digest in due[:limit]:
        by_digest = entries(log, digest)
        known = by_digest[digest]
        selected[digest] = by_digest[digest] = dataclasses.replace(
            known, sharing=sharing.mark_shared(known.sharing, now, occasion)
        )
    return selected
