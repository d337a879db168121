"""Records the targets that turn requests away for a time."""

from copperloom import logs, routing
from copperloom.decisions import registry
from copperloom.ingress import exchange, reply_checks
from copperloom.platform import headers

__all__ = ["record_answer"]

_UNAVAILABLE = 503
_MAX_LOGGED_TEXT = 60


def record_answer(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    status: int,
    facts: headers.ReplyFacts,
) -> None:
    """Records whether an answer asks for no requests for a time.

    Args:
        ex: The request.
        target: The target that the request was sent to.
        status: HTTP status of the answer.
        facts: Values of its headers.
    """
    if status != _UNAVAILABLE or facts.retry_after_text is None:
        return
    result = _result(ex, status, facts)
    ex.state.metrics.turned_away.labels(result).inc()
    logs.event(
        "turned_away",
        request=ex.id,
        target=registry.incarnation(target),
        service=target.service,
        result=result,
        text=facts.retry_after_text[:_MAX_LOGGED_TEXT],
        retry_after_s=facts.retry_after_s,
        sealed=facts.sealed,
    )


def _result(
    ex: exchange.Exchange, status: int, facts: headers.ReplyFacts
) -> str:
    if not reply_checks.is_from_target(ex, status, facts):
        return "not_from_target"
    return "unreadable" if facts.retry_after_s is None else "asked"
