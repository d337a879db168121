"""Decides what follows when a target reports that it did not run a request.

Such a request has run nowhere, so the number of targets on which its route lets
it run does not bind it. Each further send is taken from the retry budget.
"""

import asyncio

from copperloom import exception, logs
from copperloom.decisions import budget, members
from copperloom.ingress import exchange, retry, target_room

__all__ = ["is_sent_again", "record"]

# Rejections after which a request is refused: its caller's retry finds more
# recent knowledge of the targets.
MAX_REJECTIONS = 4
# Share of its latency objective for which a request waits until a retry may be
# sent; a refusal may not take longer.
_WAIT_SHARE = 0.125
# Time after which a target that has room now may be tried again; callers that
# were refused together return spread over this range.
_REFUSED_RETRY_S = (0.1, 0.3)


def record(
    ex: exchange.Exchange,
    error: exception.TargetRefusedError,
    *,
    is_first: bool,
) -> None:
    """Records that a target did not run a request.

    Args:
        ex: The request.
        error: The rejection.
        is_first: Whether the target had not got the request before.
    """
    lead = ex.plan.lead
    ex.rejections += 1
    if is_first and (getattr(error, "target", "") or lead) == lead:
        ex.sent_to.discard(lead)
        ex.rejected_by.add(lead)


async def is_sent_again(
    ex: exchange.Exchange,
    error: exception.TargetRefusedError,
    *,
    by_helper: bool,
) -> bool:
    """Returns whether a rejected request is sent again, and takes a retry.

    Args:
        ex: The request.
        error: The rejection; gets the time after which its caller should
            retry.
        by_helper: Whether a helper engine made the last attempt fail.
    """
    result = await _result(ex, by_helper)
    now = asyncio.get_running_loop().time()
    least_s = ex.state.rng.uniform(*_REFUSED_RETRY_S)
    error.retry_after_s = target_room.retry_after_s(ex, now, least_s)
    ex.state.metrics.rejections.labels(result).inc()
    logs.event(
        "rejected",
        request=ex.id,
        target=ex.plan.lead,
        result=result,
        rejections=ex.rejections,
        sends=ex.sends,
        retry_after_s=error.retry_after_s,
    )
    return result == "sent_again"


async def _result(ex: exchange.Exchange, by_helper: bool) -> str:
    if by_helper:
        again = retry.take_retry(ex, by_helper)
        return "sent_again" if again else "no_retry"
    now = asyncio.get_running_loop().time()
    tried = len(ex.sent_to | ex.rejected_by)
    if tried >= ex.route.max_attempts:
        if ex.rejections >= MAX_REJECTIONS:
            return "too_many"
        if not target_room.has_fresh(ex, now):
            return "no_room"
    if retry.take_retry(ex) or await _await_budget(ex, now):
        return "sent_again"
    return "budget_spent"


async def _await_budget(ex: exchange.Exchange, now: float) -> bool:
    """Takes a retry that the budget has soon; returns whether it had one."""
    state = ex.state
    sharing = members.count_sharing(state.members, now)
    wait_s = budget.next_s(state.budget, ex.service, now, sharing)
    limit = ex.arrived + _WAIT_SHARE * ex.route.target_latency_s
    if now + wait_s > min(limit, ex.deadline):
        return False
    await asyncio.sleep(wait_s)
    return retry.take_retry(ex)
