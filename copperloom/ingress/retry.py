"""Says whether a request may be sent to one more target.

A stream or question that gets no answer is given up only once its repeat is
granted: a target's silence alone is no reason to end an answer, and when no
further target may be asked, the silent one may still answer.
"""

import asyncio

from copperloom import logs
from copperloom.decisions import budget, members
from copperloom.ingress import exchange

__all__ = ["may_give_up", "take"]

# Sends of one request in all, those that helpers made fail included.
_MOST_SENDS = 4


def may_give_up(ex: exchange.Exchange) -> bool:
    """Grants the repeat of a request whose target is silent, if it may be."""
    if not ex.route.repeatable or not take(ex):
        return False
    ex.repeat_granted = True
    return True


def take(ex: exchange.Exchange, by_helper: bool = False) -> bool:
    """Takes one repeat, as the route and the shared budget allow.

    Args:
        ex: The request.
        by_helper: Whether a helper made the last send fail, so that the same
            target may be asked again with others.
    """
    if ex.repeat_granted:
        ex.repeat_granted = False
        return True
    again = by_helper and ex.sends < _MOST_SENDS
    if not again and len(ex.sent_to) >= ex.route.max_attempts:
        return False
    now = asyncio.get_running_loop().time()
    sharing = members.count_sharing(ex.state.members, now)
    allowed = budget.spend(ex.state.budget, ex.service, now, sharing)
    if not allowed:
        logs.event("repeat_denied", request=ex.id, members=sharing)
    return allowed
