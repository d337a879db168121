"""Has requests wait for their turn while capacity of a service is short."""

import asyncio
import math

from copperloom import exception, logs
from copperloom.decisions import (
    fair_share,
    placement_query,
    plans,
    shards,
    turns,
    waiting_order,
)
from copperloom.ingress import exchange
from copperloom.ingress.state import IngressState

__all__ = [
    "digest_if_short",
    "is_behind",
    "is_kept",
    "is_returned",
    "is_short",
    "record_refused",
    "take",
    "wait",
]

# Requests with fewer ones ahead ask again as soon as a place may be free.
_NEAR_TURN = 4


def is_kept(state: IngressState) -> bool:
    """Returns whether waiting requests have an order here."""
    return turns.is_kept(state.turns, state.table)


def is_short(state: IngressState, shard: shards.Shard, now: float) -> bool:
    """Returns whether requests had to wait for a shard recently."""
    order = state.turns.orders.get(shard)
    return order is not None and waiting_order.is_short(order, now)


def is_behind(
    state: IngressState, query: placement_query.Query, free: int
) -> bool:
    """Returns whether more requests than free places are surely ahead.

    Such a request need not be planned, which costs more than its position.
    """
    order = state.turns.orders.get(query.shard)
    if order is None or query.request not in order.waiting:
        return False
    ahead, _ = waiting_order.position(order, query.request)
    return ahead >= free


def take(
    state: IngressState,
    query: placement_query.Query,
    room: waiting_order.Room,
    chosen: plans.Choice,
    now: float,
) -> tuple[plans.Choice, bool]:
    """Returns the choice if it is the request's turn, or its position.

    Args:
        state: The state of the instance that decides.
        query: The request.
        room: The places that the request may use.
        chosen: The choice regardless of other requests.
        now: Monotonic time.

    Returns:
        The choice, and whether the request's organisation is over its share
        while capacity is short.
    """
    order = turns.order_of(state.turns, query.shard)
    if isinstance(chosen, plans.Deferral | plans.Refusal):
        waiting_order.withdraw(order, query.request)
        return chosen, False
    request = _request(state, query, now)
    if query.is_away:
        return _take_from_away(order, request, room, chosen, now), False
    turn = waiting_order.decide(order, request, room, now)
    if turn.is_granted:
        return chosen, turn.is_over_share
    if turn.is_refused and query.digest:
        turns.record_refused(state.turns, query.digest, request.deadline)
    queued = plans.Queued(
        wait_s=turn.wait_s,
        recheck_s=turn.recheck_s,
        ahead=turn.ahead,
        is_refused=turn.is_refused,
        is_over_share=turn.is_over_share,
        used=turn.used,
        share=None if math.isinf(turn.share) else turn.share,
    )
    return queued, turn.is_over_share


def _request(
    state: IngressState, query: placement_query.Query, now: float
) -> waiting_order.Request:
    spec = state.table.services.get(query.shard.service)
    engine = spec.engine if spec is not None else None
    return waiting_order.Request(
        id=query.request,
        organisation=query.organisation,
        cost=turns.cost(engine, query.prompt),
        priority=query.priority,
        is_returned=query.returned
        or turns.is_returned(state.turns, query.digest, now),
        deadline=now + query.deadline_s,
    )


def _take_from_away(
    order: waiting_order.WaitingOrder,
    request: waiting_order.Request,
    room: waiting_order.Room,
    chosen: plans.Choice,
    now: float,
) -> plans.Choice:
    """Grants another data centre's request, which doesn't wait here."""
    if chosen is None or len(order.waiting) >= room.free:
        return None
    organisation, cost = request.organisation, request.cost
    fair_share.record_demand(order.usage, organisation, cost, now)
    fair_share.record_served(order.usage, organisation, cost, now)
    return chosen


async def wait(ex: exchange.Exchange, queued: plans.Queued, now: float) -> None:
    """Waits until a request should ask for its turn again.

    Raises:
        copperloom.exception.ShareExceededError: Its turn can't come in time,
            as its organisation is over its share.
        copperloom.exception.OverloadedError: Its turn can't come in time.
    """
    if queued.is_refused:
        raise _refusal_error(ex, queued, now)
    if not ex.is_queued:
        ex.is_queued = True
        _record(ex, queued, now, "waits")
    if queued.ahead >= _NEAR_TURN:
        await asyncio.sleep(queued.recheck_s)
        return
    ex.state.changed.clear()
    try:
        async with asyncio.timeout(queued.recheck_s):
            await ex.state.changed.wait()
    except TimeoutError:
        return


def _refusal_error(
    ex: exchange.Exchange, queued: plans.Queued, now: float
) -> exception.CopperloomError:
    # A wait that is not known may be long.
    wait_s = queued.wait_s or waiting_order.MAX_WAIT_S
    retry_s = waiting_order.retry_after_s(
        wait_s, ex.deadline - now, ex.state.rng
    )
    detail = (
        f"{queued.ahead} requests for service {ex.service} are ahead, and "
        f"the wait would be {queued.wait_s:.3f} s"
    )
    # Status 429 promises that the request has not run.
    if queued.is_over_share and ex.run is exception.Run.NOT_RUN:
        _record(ex, queued, now, "refused_over_share")
        return exception.ShareExceededError(
            f"retry later: the organisation is over its share; {detail}",
            retry_after_s=retry_s,
        )
    _record(ex, queued, now, "refused")
    return exception.OverloadedError(
        f"retry later: {detail}", run=ex.run, retry_after_s=retry_s
    )


def _record(
    ex: exchange.Exchange, queued: plans.Queued, now: float, result: str
) -> None:
    ex.state.metrics.turns.labels(result).inc()
    logs.event(
        "turn",
        request=ex.id,
        result=result,
        service=ex.service,
        organisation=ex.organisation,
        priority=ex.priority,
        used=queued.used,
        share=queued.share,
        over_share=queued.is_over_share,
        ahead=queued.ahead,
        wait_s=queued.wait_s,
        left_s=ex.deadline - now,
    )


def digest_if_short(ex: exchange.Exchange, now: float) -> bytes:
    """Returns the request digest while capacity is short, else b""."""
    if not is_kept(ex.state):
        return b""
    if not turns.is_short(ex.state.turns, ex.service, now):
        return b""
    return exchange.content_digest(ex)


def record_refused(ex: exchange.Exchange) -> None:
    """Records a request that was not served, whose caller may return."""
    if ex.service and is_kept(ex.state):
        digest = exchange.content_digest(ex)
        turns.record_refused(ex.state.turns, digest, ex.deadline)


def is_returned(ex: exchange.Exchange, now: float) -> bool:
    """Returns whether a request was refused or failed here before."""
    if not ex.state.turns.refused or not is_kept(ex.state):
        return False
    digest = exchange.content_digest(ex)
    return turns.is_returned(ex.state.turns, digest, now)
