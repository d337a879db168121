"""Records the targets that say in their answers that they drain."""

from copperloom import logs, routing
from copperloom.decisions import registry
from copperloom.ingress import exchange, reply_checks
from copperloom.platform import headers

__all__ = ["record_answer"]

_MAX_LOGGED_TEXT = 60


def record_answer(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    status: int,
    facts: headers.ReplyFacts,
) -> None:
    """Records whether an answer says that its target drains.

    Args:
        ex: The request.
        target: The target that the request was sent to.
        status: HTTP status of the answer.
        facts: Values of its headers.
    """
    if facts.drains_text is None:
        return
    result = _result(ex, status, facts)
    ex.state.metrics.drain_notices.labels(result).inc()
    logs.event(
        "drain_notice",
        request=ex.id,
        target=registry.incarnation(target),
        result=result,
        text=facts.drains_text[:_MAX_LOGGED_TEXT],
        status=status,
        row="draining" if target.draining else "ready",
    )


def _result(
    ex: exchange.Exchange, status: int, facts: headers.ReplyFacts
) -> str:
    if not reply_checks.is_from_target(ex, status, facts):
        return "not_from_target"
    return "drains" if facts.drains else "unreadable"
