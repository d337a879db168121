"""Refuses quarantined requests and prompts, and records the evidence."""

from collections.abc import Iterable

from copperloom import exception, logs, routing
from copperloom.decisions import (
    crash_evidence,
    crash_log,
    members,
    quarantine,
    registry,
    request_digest,
    shards,
)
from copperloom.ingress import exchange
from copperloom.ingress.state import IngressState

__all__ = [
    "apply",
    "check",
    "rank",
    "record_completion",
    "record_crash",
    "record_written",
    "withdraw_trial",
]

_MIN_RETRY_AFTER_S = 1.0
_RANK_KEY = "quarantine"


def check(ex: exchange.Exchange, now: float, *, is_sent: bool = False) -> None:
    """Refuses a request that is quarantined and is not due as a trial.

    Args:
        ex: The request.
        now: Monotonic time.
        is_sent: Whether it is sent now, so that a trial begins. A trial that
            found no place would use up one of few.

    Raises:
        copperloom.exception.RequestQuarantinedError: It must not be sent now.
        copperloom.exception.PartQuarantinedError: A part of its prompt must
            not be sent now.
    """
    if ex.state.crashes.requests:
        _check_request(ex, now, is_sent=is_sent)
    if ex.state.crashes.parts:
        _check_parts(ex, now, is_sent=is_sent)


def _check_request(ex: exchange.Exchange, now: float, *, is_sent: bool) -> None:
    log = ex.state.crashes
    digest = exchange.content_digest(ex)
    found = quarantine.find(log, digest)
    if found is None:
        return
    if _is_trial_due(ex, found, now):
        if is_sent:
            _begin_trial(ex, [digest], now)
        return
    ex.quarantined_as = digest
    raise exception.RequestQuarantinedError(
        f"retry later: {len(found.crashes)} targets crashed as they began to "
        "run this request",
        run=ex.run,
        retry_after_s=max(_MIN_RETRY_AFTER_S, found.until - now),
    )


def _check_parts(ex: exchange.Exchange, now: float, *, is_sent: bool) -> None:
    """Refuses a prompt that holds all parts suspected of some crashes."""
    log = ex.state.crashes
    least = crash_log.MIN_CRASHES
    if ex.sends:
        least = quarantine.REPEAT_CRASHES
    parts = exchange.part_digests(ex)
    if not parts:
        return
    held = parts | {exchange.content_digest(ex)}
    found = quarantine.find_parts(log, held, least=least)
    if found is None:
        return
    suspects, in_force = found
    if _is_trial_due(ex, in_force, now):
        if is_sent:
            _begin_trial(ex, suspects, now)
        return
    ex.quarantined_as = min(suspects)
    raise exception.PartQuarantinedError(
        f"retry later: {len(in_force.crashes)} targets crashed as they began "
        "to write on a part of this prompt",
        run=ex.run,
        retry_after_s=max(_MIN_RETRY_AFTER_S, in_force.until - now),
    )


def _is_trial_due(
    ex: exchange.Exchange, found: quarantine.Quarantine, now: float
) -> bool:
    """Returns whether a request may be sent as a trial, a single attempt."""
    return not ex.sends and quarantine.is_trial_due(
        ex.state.crashes, found, rank(ex.state, now), now
    )


def rank(state: IngressState, now: float) -> int:
    """Returns the position of this instance among those that may try.

    It is the same for all requests, so that one instance sees to it that trials
    do not coincide. The first one also keeps the rows of quarantines.
    """
    own = state.settings.instance
    names = [m.instance for m in members.live(state.members, now)]
    instances = [shards.Instance(name, 1.0) for name in (own, *names)]
    return shards.rank(_RANK_KEY, instances).index(own)


def _begin_trial(
    ex: exchange.Exchange, digests: Iterable[bytes], now: float
) -> None:
    """Records one trial of a request, or of all suspected parts of a prompt."""
    log = ex.state.crashes
    trial = ex.state.next_name()
    ex.trial = (trial, tuple(digests))
    for digest in ex.trial[1]:
        quarantine.begin_trial(log, digest, trial, now)
        logs.event(
            "quarantine_trial",
            request=ex.id,
            digest=digest.hex(),
            trials=len(crash_log.of_kind(log, digest)[digest].trials),
        )
    ex.state.digest_due.set()
    ex.state.quarantine_changed.set()


def withdraw_trial(ex: exchange.Exchange, now: float) -> None:
    """Withdraws the trial of a request that has reached no target."""
    trial, digests = ex.trial
    for digest in digests:
        quarantine.withdraw_trial(ex.state.crashes, digest, trial, now)
        ex.state.digest_due.set()
    ex.trial = ("", ())


def record_crash(
    state: IngressState,
    request: str,
    digests: Iterable[bytes],
    target: routing.TargetEntry,
    crashed_at: float,
) -> None:
    """Records that a target crashed as it began to run a request.

    Args:
        state: The instance's state.
        request: Id of the request.
        digests: Digests of the request and of the parts of its prompt.
        target: The target.
        crashed_at: Monotonic time.
    """
    incarnation = registry.incarnation(target)
    for digest in digests:
        if crash_evidence.record_crash(
            state.crashes, digest, incarnation, crashed_at
        ):
            _log_evidence(
                state, digest, crashed_at, request=request, target=incarnation
            )
            # Instances that do not know of it would send repeats to targets.
            state.digest_due.set()


def record_written(ex: exchange.Exchange, now: float) -> None:
    """Records that a target still writes after the begin of its answer."""
    if not ex.state.crashes.parts:
        return
    begun_at = ex.attempt_first_at
    if not crash_evidence.is_at_begin(begun_at, now):
        _void_parts(ex, begun_at, now)


def _void_parts(ex: exchange.Exchange, begun_at: float, now: float) -> None:
    for digest in crash_evidence.record_written(
        ex.state.crashes, exchange.part_digests(ex), begun_at, now
    ):
        _log_evidence(
            ex.state, digest, now, request=ex.id, written_by=ex.plan.lead
        )
        ex.state.digest_due.set()


def record_completion(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    now: float,
    *,
    has_run: bool,
    is_success: bool,
) -> None:
    """Records that a target has answered a request to the end.

    Args:
        ex: The request.
        target: The target.
        now: Monotonic time.
        has_run: Whether the answer shows that the request can be run.
        is_success: Whether the target wrote an answer instead of an error.
    """
    log = ex.state.crashes
    if not (log.requests or log.parts):
        return
    if is_success:
        _void_parts(ex, ex.attempt_first_at or ex.attempt_at, now)
    incarnation = registry.incarnation(target)
    concerned = crash_evidence.record_answer(
        log, incarnation, ex.attempt_at, now
    )
    digest = exchange.content_digest(ex)
    if has_run and crash_evidence.record_completion(log, digest, now):
        concerned.append(digest)
    for digest in concerned:
        _log_evidence(
            ex.state, digest, now, request=ex.id, completed_by=incarnation
        )
        ex.state.digest_due.set()


def apply(
    state: IngressState,
    digest: bytes,
    evidence: crash_log.Evidence,
    now: float,
    *,
    source: str,
    forwards: bool,
) -> bool:
    """Merges evidence of another process.

    Args:
        state: The instance's state.
        digest: Digest of the request.
        evidence: The evidence.
        now: Monotonic time.
        source: Where it comes from, for the log.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether it changed what was known.
    """
    changed = crash_log.merge(
        state.crashes, digest, evidence, now, forwards=forwards
    )
    if changed:
        _log_evidence(state, digest, now, source=source)
    return changed


def _log_evidence(
    state: IngressState, digest: bytes, now: float, **source
) -> None:
    """Logs what is known after a change, and has it saved.

    A crash blames many parts, so those with a single one are not logged.
    """
    known = crash_log.of_kind(state.crashes, digest)[digest]
    state.quarantine_changed.set()
    is_part = request_digest.is_part(digest)
    if is_part and len(known.crashes) < quarantine.REPEAT_CRASHES:
        return
    found = quarantine.find(state.crashes, digest)
    logs.event(
        "crash_evidence",
        digest=digest.hex(),
        kind="part" if is_part else "request",
        crashes=",".join(known.crashes),
        ages_s=",".join(f"{now - at:.3f}" for at in known.crashes.values()),
        void=len(known.void),
        trials=len(known.trials),
        quarantined=found is not None,
        until_s=found.until - now if found else 0.0,
        **source,
    )
