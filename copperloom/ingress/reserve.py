"""Reserves memory at engines for a prompt that exceeds one engine's memory.

Each reservation is a short lease that is renewed while the request lasts, so
that a crashed instance or a delayed order holds memory no longer than the
lease. A request gets all of its reservations or none: a partial grant is
released before the next try.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from copperloom import exception, logs
from copperloom.decisions import plans, registry
from copperloom.ingress import (
    answers,
    draining_targets,
    exchange,
    long_answers,
    reachability_checks,
    sender,
)
from copperloom.platform import orders

__all__ = ["helpers_in_order", "hold_memory", "reservation_paths"]

# Must stay below the time within which unused memory has to be free again.
LEASE_S = 3.4
# A lease survives the loss of two renewals.
RENEW_INTERVAL_S = 1.1
_ORDER_TIMEOUT_S = 0.5
_RELEASE_TRIES = 4
_RELEASE_RETRY_S = 0.15


@contextlib.asynccontextmanager
async def hold_memory(ex: exchange.Exchange) -> AsyncIterator[None]:
    """Holds the memory that the plan requires, if any, within the context.

    Raises:
        copperloom.exception.CapacityExceededError: Not all of it is free.
    """
    holds = ex.plan.holds
    if not holds:
        yield
        return
    ex.reservation = ex.state.next_name()
    renewal = None
    try:
        await _reserve_all(ex, holds)
        renewal = asyncio.ensure_future(_renew(ex, holds))
        yield
    finally:
        if renewal is not None:
            renewal.cancel()
        _release_all(ex, holds)


def reservation_paths(ex: exchange.Exchange) -> dict[str, str]:
    """Returns the suffix of each reserving helper's address, by target."""
    return {h.target: f"/{ex.reservation}" for h in ex.plan.holds}


def helpers_in_order(plan: plans.Plan) -> list[str]:
    """Lists the plan's helper engines, those with reserved memory first."""
    holders = [h.target for h in plan.holds]
    return holders + [name for name in plan.helpers if name not in holders]


async def _reserve_all(ex: exchange.Exchange, holds) -> None:
    granted = await asyncio.gather(*(_reserve(ex, h) for h in holds))
    if not all(granted):
        refused = [
            h.target for h, ok in zip(holds, granted, strict=True) if not ok
        ]
        raise exception.CapacityExceededError(
            "retry later: not enough free memory for this prompt at "
            f"{', '.join(refused)}"
        )
    logs.event(
        "memory_reserved",
        request=ex.id,
        reservation=ex.reservation,
        targets=",".join(h.target for h in holds),
        tokens=sum(h.tokens for h in holds),
    )


async def _reserve(ex: exchange.Exchange, hold: plans.Hold) -> bool:
    call = orders.reserve(hold.target, ex.reservation, hold.tokens, LEASE_S)
    return await _send_order(ex, hold.target, call)


async def _renew(ex: exchange.Exchange, holds) -> None:
    while True:
        await asyncio.sleep(RENEW_INTERVAL_S)
        await asyncio.gather(*(_reserve(ex, h) for h in holds))


def _release_all(ex: exchange.Exchange, holds) -> None:
    """Releases all reservations in the background; callers do not wait."""
    name = ex.reservation
    for hold in holds:
        task = asyncio.ensure_future(_release(ex, hold.target, name))
        ex.state.background.add(task)
        task.add_done_callback(ex.state.background.discard)


async def _release(ex: exchange.Exchange, target: str, name: str) -> None:
    """Releases a reservation; after some failed tries its lease expires."""
    for _ in range(_RELEASE_TRIES):
        if await _send_order(ex, target, orders.release(target, name)):
            return
        await asyncio.sleep(_RELEASE_RETRY_S)


async def _send_order(
    ex: exchange.Exchange, target: str, call: orders.OrderCall
) -> bool:
    """Returns whether a target granted an order; False if that is unknown."""
    entry = registry.find(ex.state.targets, target)
    if entry is None:
        return False
    try:
        async with (
            asyncio.timeout(_ORDER_TIMEOUT_S),
            sender.send(
                ex.state.sender,
                entry.address,
                "POST",
                orders.ORDER_PATH,
                call.headers,
                call.body,
            ) as reply,
        ):
            granted = orders.was_granted(reply.status)
            now = asyncio.get_running_loop().time()
            answer = answers.read_to_order(entry, reply, now)
            draining_targets.record_answer(ex, answer)
    except (exception.CopperloomError, TimeoutError) as error:
        now = asyncio.get_running_loop().time()
        reachability_checks.begin(ex.state, now)
        long_answers.record_of(ex.state, error, entry, ex.id)
        logs.event(
            "order_failed", request=ex.id, target=target, error=str(error)
        )
        return False
    if not granted:
        logs.event(
            "order_refused", request=ex.id, target=target, status=reply.status
        )
    return granted
