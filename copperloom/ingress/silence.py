"""Decides what happens when a target is silent for longer than predicted.

The retry of a long prompt reads all of it again at other engines. While these
are full, silence is explained by their load, and the retries of many prompts
would delay each other and all that is in progress. After the objective has
passed, a retry is left for the time at which it can just be answered.
"""

import asyncio
import dataclasses
import math

from copperloom import logs
from copperloom.decisions import plans, timeouts
from copperloom.ingress import exchange, placement, placement_rpc, retry

__all__ = ["wait_on"]


async def wait_on(ex: exchange.Exchange) -> float | None:
    """Returns how much longer to wait for a target, in seconds.

    Returns:
        None if it is given up, for which a retry is granted; inf if the answer
        is waited for until the deadline.
    """
    now = asyncio.get_running_loop().time()
    is_abandoned = ex.abandon is not None and ex.abandon.done()
    is_long = ex.head.prompt_tokens > plans.SHORT_TOKENS
    if exchange.engine(ex) is not None and is_long and not is_abandoned:
        left_s = await _withheld_s(ex, now)
        if left_s > 0:
            return left_s
    return None if retry.may_give_up(ex) else math.inf


async def _withheld_s(ex: exchange.Exchange, now: float) -> float:
    """Returns for how long a long prompt is not sent again, in seconds."""
    route = ex.route
    waited_s = now - ex.arrived
    last_s = timeouts.last_resort_s(
        route.target_latency_s, route.pause_aim_s, ex.deadline - ex.arrived
    )
    if waited_s >= last_s:
        return 0.0
    if waited_s >= route.target_latency_s:
        _log(ex, None, waited_s)
        return last_s - waited_s
    busy = await _utilisation(ex, now)
    if not timeouts.is_explained_by_load(busy):
        return 0.0
    _log(ex, busy, waited_s)
    return min(timeouts.RECHECK_S, last_s - waited_s)


async def _utilisation(ex: exchange.Exchange, now: float) -> float:
    query = dataclasses.replace(placement.to_query(ex, now), is_probe=True)
    decision = await placement_rpc.decide(ex.state, query, now)
    return decision.busy


def _log(ex: exchange.Exchange, busy: float | None, waited_s: float) -> None:
    logs.event(
        "retry_withheld",
        request=ex.id,
        target=ex.plan.lead,
        busy=busy,
        waited_s=waited_s,
        predicted_s=ex.plan.first_token_s,
    )
