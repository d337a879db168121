"""Answers of targets, and what their heads tell of the target itself."""

import dataclasses

from copperloom import routing
from copperloom.ingress import exchange, sender
from copperloom.platform import headers

__all__ = [
    "MISDIRECTED",
    "UNAVAILABLE",
    "Answer",
    "logged",
    "read",
    "read_to_order",
]

# Status of a target that was not meant.
MISDIRECTED = 421
# Status of a target that has not completed the request.
UNAVAILABLE = 503
_MAX_LOGGED_TEXT = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of an answer.

    Attributes:
        target: The target that the request was sent to.
        status: HTTP status.
        facts: Values of its headers.
        at: Monotonic time at which it was received.
        is_own: Whether it may tell what its target says of itself.
    """

    target: routing.TargetEntry
    status: int
    facts: headers.ReplyFacts
    at: float
    is_own: bool


def read(
    ex: exchange.Exchange,
    target: routing.TargetEntry,
    reply: sender.Reply,
    now: float,
) -> Answer:
    """Reads the head of the answer to a request.

    A faulty target may send the answer to another request, and another target
    may have got the address. Refusals and errors count like other answers.

    Args:
        ex: The request.
        target: The target that it was sent to.
        reply: The reply, with its body unread.
        now: Monotonic time.
    """
    facts = headers.read_reply(reply.headers)
    is_own = (
        reply.status != MISDIRECTED
        and not facts.encoded
        and facts.request in ("", ex.id)
        and (facts.sealed or facts.not_run)
    )
    return Answer(target, reply.status, facts, now, is_own)


def read_to_order(
    target: routing.TargetEntry, reply: sender.Reply, now: float
) -> Answer:
    """Reads the head of the answer to an order, which has no id and no seal."""
    facts = headers.read_reply(reply.headers)
    is_own = reply.status != MISDIRECTED
    return Answer(target, reply.status, facts, now, is_own)


def logged(text: str) -> str:
    """Returns a header's value as it is logged."""
    return text[:_MAX_LOGGED_TEXT]
