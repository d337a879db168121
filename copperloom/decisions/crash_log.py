"""Evidence about what crashes targets, as instances share it.

Evidence may come late, repeatedly and in any order: the result of all merges is
the same, so that instances need not agree on it. It is kept apart for whole
requests and for parts of prompts, by their digests.
"""

import dataclasses
import math

from copperloom.decisions import request_digest, sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "CrashLog",
    "Evidence",
    "expire",
    "expires_at",
    "is_sufficient",
    "merge",
    "of_kind",
    "to_share",
]

# Crashes of different targets that suffice against a request.
MIN_CRASHES = 3
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


def of_kind(log: CrashLog, digest: bytes) -> dict[bytes, Evidence]:
    """Returns the evidence of the kind of a digest, of requests or parts."""
    return log.parts if request_digest.is_part(digest) else log.requests


def is_sufficient(evidence: Evidence) -> bool:
    """Returns whether evidence suffices to quarantine a request."""
    return len(evidence.crashes) >= MIN_CRASHES


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
    by_digest = of_kind(log, digest)
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
        by_digest = of_kind(log, digest)
        known = by_digest[digest]
        selected[digest] = by_digest[digest] = dataclasses.replace(
            known, sharing=sharing.mark_shared(known.sharing, now, occasion)
        )
    return selected
