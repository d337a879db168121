"""Checks whether a reply is the target's answer to the request."""

from copperloom import exception
from copperloom.ingress import exchange, retry, target_room
from copperloom.platform import headers

__all__ = ["MISDIRECTED", "check", "is_from_target"]

# Status of a target that was not meant.
MISDIRECTED = 421
_SERVER_ERROR = 500


def is_from_target(
    ex: exchange.Exchange, status: int, facts: headers.ReplyFacts
) -> bool:
    """Returns whether a reply may tell what its target says of itself.

    A faulty target may send the answer to another request, and another target
    may have got the address. Refusals and errors count like other answers.

    Args:
        ex: The request.
        status: HTTP status of the reply.
        facts: Values of its headers.
    """
    if status == MISDIRECTED or facts.encoded:
        return False
    if facts.request and facts.request != ex.id:
        return False
    return facts.sealed or facts.not_run


def check(
    ex: exchange.Exchange, status: int, facts: headers.ReplyFacts, now: float
) -> None:
    """Checks that a reply is the target's answer to this request.

    Args:
        ex: The request.
        status: HTTP status of the reply.
        facts: Values of its headers.
        now: Monotonic time.

    Raises:
        copperloom.exception.TargetRefusedError: The target did not run it.
        copperloom.exception.StreamBrokenError: It is not a valid answer to
            this request, or a server error after which the request is sent
            to another target.
    """
    if facts.request and facts.request != ex.id:
        raise exception.StreamBrokenError(
            "target answered with the request id of another request"
        )
    if facts.not_run or status == MISDIRECTED:
        error = exception.TargetRefusedError(
            f"target did not run the request: status {status}"
        )
        error.target = _find_target(ex, facts.at_fault)
        raise error
    if facts.encoded:
        raise exception.StreamBrokenError(
            "target sent an unrequested content encoding"
        )
    if status < 300 and not facts.sealed:
        raise exception.StreamBrokenError(
            "target sent a success status without the seal header"
        )
    if status < _SERVER_ERROR:
        return
    # The target's own error is a better answer than none.
    if not facts.sealed or _is_sent_again(ex, now):
        raise exception.StreamBrokenError(
            f"target answered with a server error: status {status}"
        )


def _is_sent_again(ex: exchange.Exchange, now: float) -> bool:
    """Returns whether another target may get a request, and grants a retry."""
    return target_room.has_room(ex, now) and retry.may_give_up(ex)


def _find_target(ex: exchange.Exchange, at_fault: str) -> str:
    """Returns the name of the target at fault, or "" if it is unknown."""
    for name, entry in ex.state.targets.entries.items():
        if at_fault and at_fault in (name, entry.address):
            return name
    return ""
