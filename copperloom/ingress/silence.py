"""Decides what happens when a target is silent for longer than predicted.

The retry of a long prompt reads all of it again at other engines. While these
are full, silence is explained by their load, and the retries of many prompts
would delay each other and all that is in progress.
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
    if exchange.engine(ex) is not None and not is_abandoned:
        waited_s = now - ex.arrived
        last_s = timeouts.last_resort_s(
            ex.route.target_latency_s, ex.route.pause_aim_s
        )
        busy = 0.0
        if ex.head.prompt_tokens > plans.SHORT_TOKENS and waited_s < last_s:
            busy = await _utilisation(ex, now)
        if timeouts.is_explained_by_load(busy):
            left_s = min(timeouts.RECHECK_S, last_s - waited_s)
            _log(ex, busy, waited_s)
            return max(0.0, left_s)
    return None if retry.may_give_up(ex) else math.inf


async def _utilisation(ex: exchange.Exchange, now: float) -> float:
    query = dataclasses.replace(placement.to_query(ex, now), is_probe=True)
    decision = await placement_rpc.decide(ex.state, query, now)
    return decision.busy


def _log(ex: exchange.Exchange, busy: float, waited_s: float) -> None:
    logs.event(
        "retry_withheld",
        request=ex.id,
        target=ex.plan.lead,
        busy=busy,
        waited_s=waited_s,
        predicted_s=ex.plan.first_token_s,
    )
