"""Reserves memory at engines for a prompt that is larger than one of them.

Each reservation is a lease: short, and prolonged while the request lasts. An
instance that dies leaves memory set aside for no longer than the lease, and so
does an order that is carried out late. All of a request's reservations are made
or none: what was granted is given back before it is tried again.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from copperloom import exception, logs
from copperloom.decisions import plans, registry
from copperloom.ingress import exchange, sender
from copperloom.platform import orders

__all__ = ["held", "in_order", "tickets"]

# Below the time within which unused memory must be free again (4 s).
LEASE_S = 3.4
# Two orders may be lost before a lease ends.
RENEW_S = 1.1
_ORDER_S = 0.5
_RELEASE_TRIES = 4
_RELEASE_PAUSE_S = 0.15


@contextlib.asynccontextmanager
async def held(ex: exchange.Exchange) -> AsyncIterator[None]:
    """Holds the memory that the plan wants, if it wants any.

    Raises:
        copperloom.exception.CapacityExceededError: Not all of it is free.
    """
    holds = ex.plan.holds
    if not holds:
        yield
        return
    ex.reservation = ex.state.next_name()
    renewing = None
    try:
        await _reserve_all(ex, holds)
        renewing = asyncio.ensure_future(_renew(ex, holds))
        yield
    finally:
        if renewing is not None:
            renewing.cancel()
        _release_all(ex, holds)


def tickets(ex: exchange.Exchange) -> dict[str, str]:
    """Returns what each helper's address is followed by, by target."""
    return {h.target: f"/{ex.reservation}" for h in ex.plan.holds}


def in_order(plan: plans.Plan) -> list[str]:
    """Lists the helpers, those that hold memory first."""
    holders = [h.target for h in plan.holds]
    return holders + [name for name in plan.helpers if name not in holders]


async def _reserve_all(ex: exchange.Exchange, holds) -> None:
    granted = await asyncio.gather(*(_reserve(ex, h) for h in holds))
    if not all(granted):
        refused = [
            h.target for h, ok in zip(holds, granted, strict=True) if not ok
        ]
        raise exception.CapacityExceededError(
            f"no memory at {', '.join(refused)}"
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
    return await _order(ex, hold.target, call)


async def _renew(ex: exchange.Exchange, holds) -> None:
    while True:
        await asyncio.sleep(RENEW_S)
        await asyncio.gather(*(_reserve(ex, h) for h in holds))


def _release_all(ex: exchange.Exchange, holds) -> None:
    """Gives all back, in the background: the caller need not wait for it."""
    name = ex.reservation
    for hold in holds:
        task = asyncio.ensure_future(_release(ex, hold.target, name))
        ex.state.background.add(task)
        task.add_done_callback(ex.state.background.discard)


async def _release(ex: exchange.Exchange, target: str, name: str) -> None:
    """Tries a few times; after that the lease ends by itself."""
    for _ in range(_RELEASE_TRIES):
        if await _order(ex, target, orders.release(target, name)):
            return
        await asyncio.sleep(_RELEASE_PAUSE_S)


async def _order(
    ex: exchange.Exchange, target: str, call: orders.OrderCall
) -> bool:
    """Gives one order; False if it was refused or its outcome is not known."""
    entry = registry.find(ex.state.targets, target)
    if entry is None:
        return False
    try:
        async with (
            asyncio.timeout(_ORDER_S),
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
    except (exception.CopperloomError, TimeoutError) as error:
        logs.event(
            "order_failed", request=ex.id, target=target, error=str(error)
        )
        return False
    if not granted:
        logs.event(
            "order_refused", request=ex.id, target=target, status=reply.status
        )
    return granted
