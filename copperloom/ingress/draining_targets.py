"""Records the targets that say in their answers that they drain."""

from copperloom import logs
from copperloom.decisions import registry
from copperloom.ingress import answers, exchange
from copperloom.ingress.state import IngressState

__all__ = ["apply", "record_answer"]


def record_answer(ex: exchange.Exchange, answer: answers.Answer) -> None:
    """Records whether an answer says that its target drains.

    Args:
        ex: The request on whose behalf the target was called.
        answer: The answer, to the request or to an order.
    """
    facts = answer.facts
    if facts.drains_text is None:
        return
    state = ex.state
    incarnation = registry.incarnation(answer.target)
    result = "drains"
    if not answer.is_own:
        result = "not_from_target"
    elif not facts.drains:
        result = "unreadable"
    elif registry.note_draining(
        state.targets, incarnation, answer.at, forwards=True
    ):
        state.digest_due.set()
        state.changed.set()
    else:
        return
    state.metrics.drain_notices.labels(result).inc()
    logs.event(
        "drain_notice",
        request=ex.id,
        target=incarnation,
        service=answer.target.service,
        result=result,
        text=answers.logged(facts.drains_text),
        row="draining" if answer.target.draining else "ready",
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
