"""Records the targets that reject requests for a time."""

from copperloom import logs, routing
from copperloom.decisions import backoff, registry
from copperloom.ingress import answers, exchange
from copperloom.ingress.state import IngressState

__all__ = ["apply", "has_hints", "is_held", "is_hinted", "record_answer"]

_MS = 1000.0


def record_answer(ex: exchange.Exchange, answer: answers.Answer) -> None:
    """Records whether an answer asks for no requests for a time."""
    facts = answer.facts
    if answer.status != answers.UNAVAILABLE or facts.retry_after_text is None:
        return
    holds = ex.state.backoff
    incarnation = registry.incarnation(answer.target)
    result = "asked"
    if not answer.is_own:
        result = "not_from_target"
    elif facts.retry_after_s is None:
        result = "unreadable"
    else:
        backoff.hold(holds, incarnation, facts.retry_after_s, answer.at)
        ex.state.digest_due.set()
    ex.state.metrics.backoff_requested.labels(result).inc()
    logs.event(
        "backoff_requested",
        request=ex.id,
        target=incarnation,
        service=answer.target.service,
        result=result,
        text=answers.logged(facts.retry_after_text),
        held_s=backoff.wait_s(holds, incarnation, answer.at),
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


def apply(
    state: IngressState, holds: dict[str, int], now: float, source: str
) -> None:
    """Records the holds of a peer as hints.

    Args:
        state: The instance's state.
        holds: Milliseconds left, by incarnation of the target.
        now: Monotonic time.
        source: Name of the peer.
    """
    for incarnation, left_ms in holds.items():
        if backoff.hint(state.backoff, incarnation, left_ms / _MS, now):
            logs.event(
                "backoff_hint",
                target=incarnation,
                source=source,
                left_s=left_ms / _MS,
            )


def has_hints(state: IngressState) -> bool:
    """Returns whether any target rejects requests, as far as is known."""
    return bool(state.backoff.hinted or state.backoff.until)


def is_hinted(
    state: IngressState, entry: routing.TargetEntry, now: float
) -> bool:
    """Returns whether a target rejects requests of this or other instances."""
    return backoff.is_hinted(state.backoff, registry.incarnation(entry), now)
