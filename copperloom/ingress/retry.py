"""Decides whether a request may be sent to one more target.

An attempt without an answer is abandoned only if a retry is granted: otherwise
the silent target may still answer before the deadline.
"""

import asyncio

from copperloom import logs
from copperloom.decisions import budget, members
from copperloom.ingress import exchange

__all__ = ["may_give_up", "take_repeat_by_peer", "take_retry"]

# Maximum attempts of one request, counting those that helper engines failed.
_MAX_ATTEMPTS = 4


def may_give_up(ex: exchange.Exchange) -> bool:
    """Returns whether a silent target may be abandoned, and grants a retry."""
    if not ex.route.repeatable or not take_retry(ex):
        return False
    ex.retry_granted = True
    return True


def take_retry(ex: exchange.Exchange, by_helper: bool = False) -> bool:
    """Takes one retry if the route and the shared budget allow it.

    Args:
        ex: The request.
        by_helper: Whether a helper engine made the last attempt fail. The
            same lead engine may then be tried again with other helpers.

    Returns:
        Whether the request may be sent again.
    """
    if _use_granted(ex):
        return True
    again = by_helper and ex.sends < _MAX_ATTEMPTS
    if not again and len(ex.sent_to) >= ex.route.max_attempts:
        return False
    return _spend(ex)


def take_repeat_by_peer(ex: exchange.Exchange) -> bool:
    """Takes one retry for a request that a peer sends from now on.

    Targets that this instance lost contact with don't count as attempts.
    """
    return _use_granted(ex) or _spend(ex)


def _use_granted(ex: exchange.Exchange) -> bool:
    """Uses a retry that was taken when an attempt was given up."""
    granted, ex.retry_granted = ex.retry_granted, False
    return granted


def _spend(ex: exchange.Exchange) -> bool:
    now = asyncio.get_running_loop().time()
    sharing = members.count_sharing(ex.state.members, now)
    allowed = budget.spend(ex.state.budget, ex.service, now, sharing)
    if not allowed:
        logs.event("repeat_denied", request=ex.id, members=sharing)
    return allowed
