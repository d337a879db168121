"""Records the targets that say in their answers that they drain."""

from copperloom import logs, routing
from copperloom.decisions import registry
from copperloom.ingress import exchange, reply_checks
from copperloom.ingress.state import IngressState
from copperloom.platform import headers

__all__ = ["apply", "record", "record_answer"]

_MAX_LOGGED_TEXT = 60


def record_answer(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    status: int,
    facts: headers.ReplyFacts,
    now: float,
) -> None:
    """Records whether an answer to a request says that its target drains.

    Args:
        ex: The request.
        target: The target that the request was sent to.
        status: HTTP status of the answer.
        facts: Values of its headers.
        now: Monotonic time.
    """
    if facts.drains_text is None:
        return
    if not reply_checks.is_from_target(ex, status, facts):
        _log_answer(ex, target, "not_from_target", facts)
        return
    record(ex, target, facts, now)


def record(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    facts: headers.ReplyFacts,
    now: float,
) -> None:
    """Records whether a target itself says that it drains.

    Args:
        ex: The request on whose behalf the target was called.
        target: The target.
        facts: Values of its answer's headers.
        now: Monotonic time.
    """
    if not facts.drains:
        if facts.drains_text is not None:
            _log_answer(ex, target, "unreadable", facts)
        return
    state = ex.state
    incarnation = registry.incarnation(target)
    if registry.note_draining(state.targets, incarnation, now, forwards=True):
        _log_answer(ex, target, "drains", facts)
        state.digest_due.set()
        state.changed.set()


def _log_answer(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    result: str,
    facts: headers.ReplyFacts,
) -> None:
    ex.state.metrics.drain_notices.labels(result).inc()
    logs.event(
        "drain_notice",
        request=ex.id,
        target=registry.incarnation(target),
        service=target.service,
        result=result,
        text=facts.drains_text[:_MAX_LOGGED_TEXT],
        row="draining" if target.draining else "ready",
    )


def apply(
    state: IngressState,
    incarnation: str,
    now: float,
    *,
    source: str,
    forwards: bool,
) -> bool:
    """Records that a target drains, as a peer reports it.

    Args:
        state: The instance's state.
        incarnation: The target.
        now: Monotonic time.
        source: Name of the peer.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether it is new.
    """
    is_new = registry.note_draining(
        state.targets, incarnation, now, forwards=forwards
    )
    if is_new:
        logs.event(
            "drain_notice", target=incarnation, result="drains", source=source
        )
        state.changed.set()
    return is_new
