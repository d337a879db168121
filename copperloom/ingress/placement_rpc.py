"""Asks the owner of a shard for a placement, and answers others that ask.

An owner that does not answer within some milliseconds is asked no more for
this request, and the next one is: it has heard of the same work. Where none
answers, the instance places by what it knows itself.
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
)
from copperloom.ingress import datagrams, local_placement
from copperloom.ingress.state import IngressState, is_large_fleet

__all__ = ["answer", "decide", "shard_of", "take_answer"]

# An owner answers within a round trip and the time of a placement. Longer, and
# another one has answered sooner than a short prompt comes late.
PATIENCE_S = 0.025
# A long prompt takes an owner longer to place.
LONG_PATIENCE_S = 0.1
# Owners asked for one request, before it is placed without them.
_MOST_ASKED = 2


def shard_of(
    state: IngressState, service: str, usable: shards.Division
) -> shards.Shard:
    """Returns the shard that this instance's requests for a service go to."""
    if not is_large_fleet(state):
        return shards.Shard(service)
    return shards.home_shard(service, usable, state.settings.data_centre)


async def decide(
    state: IngressState, asked: placement_query.Query, now: float
) -> placement_query.Decision:
    """Decides what becomes of a request, here or at an owner of its shard."""
    if not is_large_fleet(state):
        return local_placement.decide(state, asked, now)
    decided = await _decide_at_home(state, asked, now)
    state.shards_used[asked.request] = (asked.shard, now)
    place = decided.remote
    if place is None:
        return decided
    shard = shards.Shard(asked.shard.service, place.data_centre)
    away = dataclasses.replace(asked, shard=shard, is_away=True)
    told = await _ask(state, place.owner, place.address, away)
    if told is None or not _is_better(told.choice, decided.choice):
        return decided
    state.shards_used[asked.request] = (shard, now)
    return told


def _is_better(away: plans.Choice, here: plans.Choice) -> bool:
    if not isinstance(away, plans.Plan):
        return False
    if not isinstance(here, plans.Plan):
        return True
    return away.first_token_s <= here.first_token_s


async def _decide_at_home(
    state: IngressState, asked: placement_query.Query, now: float
) -> placement_query.Decision:
    own = state.settings.instance
    order = order_of(state, asked.shard)
    if state.peers_synced.is_set() and members.is_owner(
        order,
        state.members,
        own,
        now,
        owners=1,
        listening_since=state.listening_since,
    ):
        return local_placement.decide(state, asked, now)
    for owner in members.owners_to_query(order, state.members, own, now)[
        :_MOST_ASKED
    ]:
        told = await _ask(state, owner.instance, owner.datagrams, asked)
        if told is not None and told.targets:
            return told
    now = asyncio.get_running_loop().time()
    logs.event("placed_alone", request=asked.request, shard=_name(asked.shard))
    return local_placement.decide(state, asked, now, alone=True)


def order_of(state: IngressState, shard: shards.Shard) -> list[str]:
    """Returns all that may own a shard, the first one first."""
    own = state.settings
    me = shards.Instance(own.instance, own.cores)
    return members.rank_owners(state.members, me, own.data_centre, shard)


def _name(shard: shards.Shard) -> str:
    return f"{shard.service}/{shard.data_centre or '*'}"


async def _ask(
    state: IngressState, owner: str, address: str, asked: placement_query.Query
) -> placement_query.Decision | None:
    """Asks one owner; None if it does not answer in time."""
    loop = asyncio.get_running_loop()
    number = next(state.query_ids)
    waiting = loop.create_future()
    state.pending_queries[number] = waiting
    message = datagrams.PlacementRequest(
        asker=state.settings.instance,
        datagrams=state.datagrams,
        sequence=state.sequence,
        number=number,
        query=asked,
    )
    long = asked.prompt and asked.prompt.tokens > plans.SHORT_TOKENS
    begun = loop.time()
    state.send(datagrams.encode(message), address)
    try:
        async with asyncio.timeout(LONG_PATIENCE_S if long else PATIENCE_S):
            told = datagrams.read_reply(await waiting)
    except TimeoutError:
        _note_silent(state, owner, asked, loop.time() - begun)
        return None
    finally:
        del state.pending_queries[number]
    state.metrics.questions.labels("answered").inc()
    return told


def _note_silent(
    state: IngressState,
    owner: str,
    asked: placement_query.Query,
    waited_s: float,
) -> None:
    known = state.members.get(owner)
    if known is not None:
        members.record_query_timeout(known, asyncio.get_running_loop().time())
    state.metrics.questions.labels("unanswered").inc()
    logs.event(
        "owner_silent",
        request=asked.request,
        shard=_name(asked.shard),
        owner=owner,
        waited_s=waited_s,
    )


def take_answer(state: IngressState, told: datagrams.PlacementReply) -> None:
    """Hands an answer to whoever waits for it; late ones find nobody."""
    owner = state.members.get(told.owner)
    if owner is not None:
        members.record_received(owner, asyncio.get_running_loop().time())
    waiting = state.pending_queries.get(told.number)
    if waiting is not None and not waiting.done():
        waiting.set_result(told)


def answer(state: IngressState, question: datagrams.PlacementRequest) -> None:
    """Places a request for a peer, and counts it until the peer tells of it."""
    now = asyncio.get_running_loop().time()
    asked = question.query
    decided = local_placement.decide(state, asked, now)
    if isinstance(decided.choice, plans.Plan):
        work = placement_query.planned_work(asked, decided.choice, now)
        inflight_table.add_pending(
            state.inflight,
            question.asker,
            asked.request,
            question.sequence,
            work,
            now,
        )
    reply = datagrams.make_reply(question.number, decided)
    state.send(datagrams.encode(reply), question.datagrams)
