"""Checks whether a reply is the target's answer to the request."""

from copperloom import exception
from copperloom.ingress import answers, exchange, retry, target_room

__all__ = ["check", "is_failure", "shows_run"]

_SERVER_ERROR = 500
# The deadline that the caller gave has passed.
_TIMED_OUT = 504
# Statuses of clients' errors that say that a request has not run.
_DENIES_RUN = frozenset({408, 429})


def check(ex: exchange.Exchange, answer: answers.Answer) -> None:
    """Checks that an answer is the target's to this request.

    Raises:
        copperloom.exception.TargetRefusedError: The target did not run it.
        copperloom.exception.StreamBrokenError: It is not a valid answer to
            this request, or a server error after which the request is sent
            to another target.
    """
    status, facts = answer.status, answer.facts
    if facts.request and facts.request != ex.id:
        raise exception.StreamBrokenError(
            "target answered with the request id of another request"
        )
    if facts.not_run or status == answers.MISDIRECTED:
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
    if _denies_run_unproved(ex, answer):
        raise exception.StreamBrokenError(
            f"target sent status {status} without the seal header, but the "
            "request may have run"
        )
    if status < _SERVER_ERROR:
        return
    # The target's own error is a better answer than none.
    if not facts.sealed or _is_sent_again(ex, answer.at):
        raise exception.StreamBrokenError(
            f"target answered with a server error: status {status}"
        )


def is_failure(answer: answers.Answer) -> bool:
    """Returns whether an answer counts against the health of its target."""
    return answer.status >= _SERVER_ERROR and answer.status != _TIMED_OUT


def shows_run(answer: answers.Answer) -> bool:
    """Returns whether an answer shows that its request can be run.

    A server error does not: the target may send it before it begins.
    """
    if answer.status >= _SERVER_ERROR or answer.status in _DENIES_RUN:
        return False
    return answer.facts.sealed


def _denies_run_unproved(ex: exchange.Exchange, answer: answers.Answer) -> bool:
    """Returns whether a caller would be told without proof that nothing ran.

    Something else than the target may have answered, while the target runs a
    request that must not be repeated.
    """
    is_once = not ex.route.repeatable
    unproved = answer.status in _DENIES_RUN and not answer.facts.sealed
    return is_once and unproved


def _is_sent_again(ex: exchange.Exchange, now: float) -> bool:
    """Returns whether another target may get a request, and grants a retry."""
    return target_room.has_room(ex, now) and retry.may_give_up(ex)


def _find_target(ex: exchange.Exchange, at_fault: str) -> str:
    """Returns the name of the target at fault, or "" if it is unknown."""
    for name, entry in ex.state.targets.entries.items():
        if at_fault and at_fault in (name, entry.address):
            return name
    return ""
