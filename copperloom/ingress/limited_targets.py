"""Keeps requests within the rates of targets that name a limit or are cold.

Before a request goes to such a target, the owner of its schedule says when it
may be sent. If that is later than the request can wait, another target is
chosen.
"""

import asyncio

from copperloom import logs
from copperloom.decisions import (
    cold_start,
    limit_schedule,
    registry,
    target_limits,
)
from copperloom.ingress import (
    answers,
    cold_grants,
    exchange,
    limit_grants,
    target_room,
)

__all__ = [
    "await_grant",
    "record_answer",
]

# A target whose limit's owner is silent is left alone for this time.
_SILENT_OWNER_S = 0.3
# Delay before a plan with cold helpers is replaced, so that the instance that
# places can learn of them first.
_STALE_HELPERS_S = 0.01


def record_answer(ex: exchange.Exchange, answer: answers.Answer) -> None:
    """Records the limit that an answer names, or that it names none."""
    if not answer.is_own:
        return
    limits = ex.state.limits
    facts = answer.facts
    incarnation = registry.incarnation(answer.target)
    changed = False
    if facts.limit_per_s is not None:
        changed = target_limits.record_named(
            limits, incarnation, facts.limit_per_s, answer.at
        )
    elif facts.limit_text is not None:
        logs.event(
            "limit_unreadable",
            request=ex.id,
            target=incarnation,
            limit=answers.logged(facts.limit_text),
        )
    elif facts.sealed:
        changed = target_limits.record_not_named(
            limits, incarnation, ex.attempt_at, answer.at
        )
    if changed:
        limit_grants.log_change(ex.state, incarnation, request=ex.id)
        ex.state.digest_due.set()


async def await_grant(ex: exchange.Exchange) -> bool:
    """Waits until the request may be sent to the lead of its plan.

    Returns:
        Whether it may be sent; otherwise it has to be placed again.
    """
    state = ex.state
    now = asyncio.get_running_loop().time()
    room = target_room.find(ex, now)
    target = registry.find(state.targets, ex.plan.lead)
    if room is None or target is None:
        return True
    if cold_grants.skip_cold_helpers(ex, now):
        await asyncio.sleep(_STALE_HELPERS_S)
        return False
    incarnation = registry.incarnation(target)
    if not limit_schedule.is_scheduled(state.limits, incarnation, now):
        return True
    asked_at = now
    owner = limit_grants.owner_of(state, target, now)
    reply = await limit_grants.ask(state, owner, incarnation, room.max_wait_s)
    silent = limit_schedule.Grant(None, room.max_wait_s + _SILENT_OWNER_S)
    grant = reply or silent
    now = asyncio.get_running_loop().time()
    limit_schedule.record_wait(state.limits, incarnation, grant.next_s, now)
    result = _result(reply)
    state.metrics.limit_grants.labels(result).inc()
    logs.event(
        "limit_grant",
        request=ex.id,
        target=incarnation,
        per_s=target_limits.find(state.limits, incarnation),
        cold=cold_start.is_cold(state.limits.cold, incarnation, now),
        owner=owner,
        result=result,
        delay_s=grant.delay_s,
        next_s=grant.next_s,
        max_wait_s=room.max_wait_s,
    )
    # Yields even without a delay, since placing again may not.
    await asyncio.sleep(grant.delay_s or 0.0)
    used_by = asked_at + (grant.delay_s or 0.0) + cold_start.GRANT_LIFE_S
    ex.cold_grant = (incarnation, used_by)
    return grant.delay_s is not None


def _result(reply: limit_schedule.Grant | None) -> str:
    if reply is None:
        return "unanswered"
    if reply.delay_s is None:
        return "denied"
    return "delayed" if reply.delay_s else "at_once"
