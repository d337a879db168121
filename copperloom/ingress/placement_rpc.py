"""Sends placement queries to the owners of a shard, and replies to them.

If an owner does not reply within its timeout, the query goes to the next one,
which receives the same reports of work. If none replies, the instance places
the request by its own in-flight table.
"""

import asyncio
import dataclasses

from copperloom import logs
from copperloom.decisions import (
    inflight_table,
    members,
    placement_query,
    plans,
    shards,
    turns,
)
from copperloom.ingress import (
    datagram_calls,
    datagrams,
    local_placement,
    turn_taking,
)
from copperloom.ingress.state import IngressState, is_large_fleet

__all__ = ["decide", "handle_request", "owner_order", "shard_of"]

# Covers a round trip and a placement. Short, so that another owner can still
# be queried before a short prompt misses its objective.
QUERY_TIMEOUT_S = 0.025
# Placing a long prompt takes an owner longer.
LONG_QUERY_TIMEOUT_S = 0.1
# Maximum number of owners that are queried before a request is placed locally.
_MAX_OWNERS_QUERIED = 2


def shard_of(
    state: IngressState, service: str, usable: shards.Division
) -> shards.Shard:
    """Returns the shard to which this instance sends requests for a service."""
    if not is_large_fleet(state):
        return shards.Shard(service)
    return shards.home_shard(service, usable, state.settings.data_centre)


async def decide(
    state: IngressState, query: placement_query.Query, now: float
) -> placement_query.Decision:
    """Returns the decision of this instance or a shard owner on a request."""
    if not is_large_fleet(state):
        return await _decide_in_small_fleet(state, query, now)
    decision = await _decide_in_turn(state, query, now)
    state.shards_used[query.request] = (query.shard, now)
    remote = decision.remote
    if remote is None:
        return decision
    shard = shards.Shard(query.shard.service, remote.data_centre)
    remote_query = dataclasses.replace(query, shard=shard, is_away=True)
    reply = await _send_query(state, remote.owner, remote.address, remote_query)
    if reply is None or not _is_better(reply.choice, decision.choice):
        return decision
    state.shards_used[query.request] = (shard, now)
    return reply


async def _decide_in_small_fleet(
    state: IngressState, query: placement_query.Query, now: float
) -> placement_query.Decision:
    """Places a request here, or in its turn by the owner under shortage."""
    if not turn_taking.is_kept(state):
        return local_placement.decide(state, query, now)
    service = query.shard.service
    if not turns.is_short(state.turns, service, now):
        decision = local_placement.decide(state, query, now, is_ordered=False)
        if decision.choice is not None or not decision.targets:
            return decision
    return await _decide_in_turn(state, query, now)


async def _decide_in_turn(
    state: IngressState, query: placement_query.Query, now: float
) -> placement_query.Decision:
    """Has the owner decide, and records whether capacity is short there."""
    decision = await _decide_in_shard(state, query, now)
    if decision.is_short:
        turns.record_short(state.turns, (query.shard.service,), now)
    return decision


def _is_better(remote: plans.Choice, local: plans.Choice) -> bool:
    if not isinstance(remote, plans.Plan):
        return False
    if not isinstance(local, plans.Plan):
        return True
    return remote.first_token_s <= local.first_token_s


async def _decide_in_shard(
    state: IngressState, query: placement_query.Query, now: float
) -> placement_query.Decision:
    own = state.settings.instance
    order = owner_order(state, query.shard)
    if state.peers_synced.is_set() and members.is_owner(
        order,
        state.members,
        own,
        now,
        owners=1,
        listening_since=state.listening_since,
    ):
        return local_placement.decide(state, query, now)
    for owner in members.owners_to_query(order, state.members, own, now)[
        :_MAX_OWNERS_QUERIED
    ]:
        reply = await _send_query(state, owner.instance, owner.datagrams, query)
        if reply is not None and reply.targets:
            return reply
    now = asyncio.get_running_loop().time()
    logs.event(
        "placed_alone", request=query.request, shard=_shard_name(query.shard)
    )
    return local_placement.decide(state, query, now, alone=True)


def owner_order(state: IngressState, shard: shards.Shard) -> list[str]:
    """Returns the instances that may own a shard, in order of precedence."""
    own = state.settings
    candidate = shards.Instance(own.instance, own.cores)
    return members.rank_owners(state.members, candidate, own.data_centre, shard)


def _shard_name(shard: shards.Shard) -> str:
    return f"{shard.service}/{shard.data_centre or '*'}"


async def _send_query(
    state: IngressState, owner: str, address: str, query: placement_query.Query
) -> placement_query.Decision | None:
    """Sends a query to one owner; returns None if it times out."""
    loop = asyncio.get_running_loop()

    def make_request(call_id: int) -> datagrams.PlacementRequest:
        return datagrams.PlacementRequest(
            sender=state.settings.instance,
            datagrams=state.datagrams,
            sequence=state.sequence,
            call_id=call_id,
            query=query,
        )

    is_long = query.prompt and query.prompt.tokens > plans.SHORT_TOKENS
    timeout_s = LONG_QUERY_TIMEOUT_S if is_long else QUERY_TIMEOUT_S
    sent_at = loop.time()
    reply = await datagram_calls.call(state, address, make_request, timeout_s)
    if reply is None:
        _record_timeout(state, owner, query, loop.time() - sent_at)
        return None
    state.metrics.owner_queries.labels("answered").inc()
    return datagrams.read_reply(reply)


def _record_timeout(
    state: IngressState,
    owner: str,
    query: placement_query.Query,
    waited_s: float,
) -> None:
    member = state.members.get(owner)
    if member is not None:
        members.record_query_timeout(member, asyncio.get_running_loop().time())
    state.metrics.owner_queries.labels("unanswered").inc()
    logs.event(
        "owner_silent",
        request=query.request,
        shard=_shard_name(query.shard),
        owner=owner,
        waited_s=waited_s,
    )


def handle_request(
    state: IngressState, request: datagrams.PlacementRequest
) -> None:
    """Places a peer's request and replies to the peer.

    The planned work counts as pending until the peer itself reports it.
    """
    now = asyncio.get_running_loop().time()
    query = request.query
    decision = local_placement.decide(state, query, now)
    if isinstance(decision.choice, plans.Plan):
        work = placement_query.planned_work(query, decision.choice, now)
        inflight_table.add_pending(
            state.inflight,
            request.sender,
            query.request,
            request.sequence,
            work,
            now,
        )
    reply = datagrams.make_reply(request.call_id, decision)
    state.send(datagrams.encode(reply), request.datagrams)
