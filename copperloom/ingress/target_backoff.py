"""Records the targets that reject requests for a time."""

from copperloom import logs, routing
from copperloom.decisions import backoff, registry
from copperloom.ingress import exchange, reply_checks
from copperloom.ingress.state import IngressState
from copperloom.platform import headers

__all__ = ["is_held", "record_answer"]

_UNAVAILABLE = 503
_MAX_LOGGED_TEXT = 60


def record_answer(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    status: int,
    facts: headers.ReplyFacts,
    now: float,
) -> None:
    """Records whether an answer asks for no requests for a time.

    Args:
        ex: The request.
        target: The target that the request was sent to.
        status: HTTP status of the answer.
        facts: Values of its headers.
        now: Monotonic time.
    """
    if status != _UNAVAILABLE or facts.retry_after_text is None:
        return
    incarnation = registry.incarnation(target)
    result = "asked"
    if not reply_checks.is_from_target(ex, status, facts):
        result = "not_from_target"
    elif facts.retry_after_s is None:
        result = "unreadable"
    else:
        backoff.hold(ex.state.backoff, incarnation, facts.retry_after_s, now)
    ex.state.metrics.backoff_requested.labels(result).inc()
    logs.event(
        "backoff_requested",
        request=ex.id,
        target=incarnation,
        service=target.service,
        result=result,
        text=facts.retry_after_text[:_MAX_LOGGED_TEXT],
        held_s=backoff.wait_s(ex.state.backoff, incarnation, now),
        sealed=facts.sealed,
    )


def is_held(state: IngressState, name: str, now: float) -> bool:
    """Returns whether a target must get no requests of this instance now.

    Args:
        state: The instance's state.
        name: Name of the target.
        now: Monotonic time.
    """
    if not state.backoff.until:
        return False
    entry = registry.find(state.targets, name)
    if entry is None:
        return False
    return backoff.is_held(state.backoff, registry.incarnation(entry), now)
