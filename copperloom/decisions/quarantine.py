"""Quarantine of requests, and parts of prompts, that crash targets.

A caller repeats a failed request under a new id at any instance. A request
that crashes its targets would so end one target after another, together with
all other work there. Each instance derives from the evidence alone whether a
request is quarantined (see `crash_log`).

Many targets may also end together for another reason, with a popular request in
progress at several of them. So a quarantine has an end, after which a single
instance sends the request as a trial. The number of trials is bounded, since
each one may crash a target.

A request with a crashing part shares its other parts with sound requests, and
sound requests at the same targets are blamed for their parts. The crashing part
is in all crashes and was never written on since. Parts in the same crashes stay
suspects together: only a request that holds all of them is refused, so that
others may show that some are sound.
"""

import dataclasses

from copperloom.decisions import crash_log, request_digest

__all__ = [
    "Quarantine",
    "all_found",
    "begin_trial",
    "find",
    "find_parts",
    "is_trial_due",
    "to_keep",
    "withdraw_trial",
]

# A request whose attempt has failed is not sent again if it holds all suspects
# of so many crashes.
REPEAT_CRASHES = 2
# Duration of a quarantine from the latest crash, by number of trials so far.
# After the last trial it lasts until the evidence expires.
HOLDS_S = (2.0, 15.0, 300.0)
# The same for parts of prompts. Sound requests may share a suspected part, so
# the first trial comes at once.
PART_HOLDS_S = (0.0, 2.0, 15.0, 300.0)
# Instances may begin a trial in an order that all share, one after another, so
# that each learns of an earlier trial first.
TRIAL_STAGGER_S = 0.5
# Two trials at the same time might run at the same target, and a sound request
# would be blamed for what the other one did.
TRIAL_GAP_S = 0.5
# A trial without a result is taken to have failed for another reason.
TRIAL_TIMEOUT_S = 15.0
PART_TRIAL_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A quarantine in force.

    Attributes:
        crashes: Monotonic times of the crashes, by incarnation of the target.
        until: Monotonic time at which it ends, by a trial if any is left.
        trials: Names of the trials begun.
        trials_left: Number of trials that may follow.
    """

    crashes: dict[str, float]
    until: float
    trials: tuple[str, ...]
    trials_left: int


def find(log: crash_log.CrashLog, digest: bytes) -> Quarantine | None:
    """Returns the quarantine of a request; None if it has none."""
    known = crash_log.of_kind(log, digest).get(digest)
    if known is None or not crash_log.is_sufficient(known):
        return None
    if request_digest.is_part(digest):
        return _describe(known, PART_HOLDS_S, PART_TRIAL_TIMEOUT_S)
    return _describe(known, HOLDS_S, TRIAL_TIMEOUT_S)


def _describe(
    known: crash_log.Evidence,
    holds_s: tuple[float, ...],
    trial_timeout_s: float,
) -> Quarantine:
    trials = tuple(known.trials)
    if len(trials) < len(holds_s):
        until = max(known.crashes.values()) + holds_s[len(trials)]
        until = max(until, _last_trial_at(known) + trial_timeout_s)
    else:
        until = crash_log.expires_at(known)
    left = len(holds_s) - len(trials)
    return Quarantine(known.crashes, until, trials, max(0, left))


def find_parts(
    log: crash_log.CrashLog,
    held: frozenset[bytes],
    *,
    least: int = crash_log.MIN_CRASHES,
) -> tuple[frozenset[bytes], Quarantine] | None:
    """Returns the quarantine of parts of a prompt; None if it has none.

    Args:
        log: The log.
        held: Digests of the parts that other requests may share, and of the
            request itself.
        least: Crashes that suffice.

    Returns:
        The suspected parts, of which the prompt holds all, and their
        quarantine.
    """
    for suspects in _culprits(log, least):
        parts = frozenset(filter(request_digest.is_part, suspects))
        if parts and suspects <= held:
            known = [log.parts[digest] for digest in parts]
            tried = max(known, key=lambda e: len(e.trials))
            return parts, _describe(tried, PART_HOLDS_S, PART_TRIAL_TIMEOUT_S)
    return None


def _culprits(
    log: crash_log.CrashLog, least: int
) -> tuple[frozenset[bytes], ...]:
    """Returns what explains the crashes, suspects of one set each.

    Parts and whole requests in most crashes come first and explain these; the
    others are judged by the rest. A whole request may crash targets by itself,
    and a sound one that is sent again may be there at several crashes.
    """
    changes, found = log.culprits.get(least, (None, ()))
    if changes == log.changes:
        return found
    left = {
        digest: frozenset(known.crashes)
        for by_digest in (log.parts, log.requests)
        for digest, known in by_digest.items()
        if len(known.crashes) >= least
    }
    groups = []
    while left:
        crashes = max(left.values(), key=lambda c: (len(c), sorted(c)))
        if len(crashes) < least:
            break
        groups.append(frozenset(d for d, c in left.items() if c == crashes))
        left = {d: c - crashes for d, c in left.items() if c != crashes}
    log.culprits[least] = (log.changes, tuple(groups))
    return tuple(groups)


def _suspected_parts(log: crash_log.CrashLog, least: int) -> frozenset[bytes]:
    suspects = frozenset().union(*_culprits(log, least))
    return frozenset(filter(request_digest.is_part, suspects))


def _last_trial_at(known: crash_log.Evidence) -> float:
    return max(known.trials.values(), default=float("-inf"))


def all_found(log: crash_log.CrashLog) -> dict[bytes, Quarantine]:
    """Returns all quarantines by the digest of the request or part."""
    suspects = _suspected_parts(log, crash_log.MIN_CRASHES)
    found = {digest: find(log, digest) for digest in (*log.requests, *suspects)}
    return {digest: f for digest, f in found.items() if f is not None}


def is_trial_due(
    log: crash_log.CrashLog, found: Quarantine, rank: int, now: float
) -> bool:
    """Returns whether an instance may send the request as a trial.

    Args:
        log: The log.
        found: The quarantine.
        rank: Position of the instance in the order of instances.
        now: Monotonic time.
    """
    if not found.trials_left or now < log.trial_at + TRIAL_GAP_S:
        return False
    return now >= found.until + rank * TRIAL_STAGGER_S


def begin_trial(
    log: crash_log.CrashLog, digest: bytes, trial: str, now: float
) -> None:
    """Records that this instance begins a trial under a unique name."""
    evidence = crash_log.Evidence(trials={trial: now})
    crash_log.merge(log, digest, evidence, now, forwards=True)


def withdraw_trial(
    log: crash_log.CrashLog, digest: bytes, trial: str, now: float
) -> None:
    """Records that a trial has reached no target, so that another may begin."""
    known = crash_log.of_kind(log, digest).get(digest)
    if known is None or trial not in known.trials:
        return
    evidence = crash_log.Evidence(void={trial: known.trials[trial]})
    crash_log.merge(log, digest, evidence, now, forwards=True)


def to_keep(
    log: crash_log.CrashLog,
) -> dict[bytes, crash_log.Evidence]:
    """Returns the evidence that should survive the loss of all instances.

    That against parts is kept before it suffices: no later request repeats one
    that has crashed targets.
    """
    suspects = _suspected_parts(log, REPEAT_CRASHES)
    kept = {
        digest: known
        for digest, known in log.requests.items()
        if crash_log.is_sufficient(known)
    }
    return kept | {digest: log.parts[digest] for digest in suspects}
