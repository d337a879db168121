"""Keeps contact with the other entries.

Whom there is comes from the platform's lagging list and from whoever makes
contact. What a peer says is taken as of the time it was asked, so that a
message that was held up, or a process that was paused, proves nothing newer.
"""

import asyncio
import dataclasses

from copperloom import exception
from copperloom.controllers import (
    config_fetch,
    digest_exchange,
    draining,
    member,
)
from copperloom.daemons import options
from copperloom.decisions import limits, scheduler
from copperloom.logs import event
from copperloom.peers import client
from copperloom.platform import interface

__all__ = ["close", "exchanges_per_s", "step"]

_NEVER = float("-inf")
# Every fourth digest goes to another data centre, so that versions cross even
# if the platform's service does not.
_FAR_EVERY = 4
# Up to this many entries the settings alone say how many digests are sent.
_SMALL_FLEET = 9
# An exchange costs about 700 bytes both ways, and as many are answered as
# asked, so one a second leaves the rest of 2 KB a second to other control.
_LEAST_EXCHANGES_PER_S = 1.0
# A peer that crashed is counted this long, so that a cut-off part of the
# fleet does not take itself for the whole of it.
_FORGET_S = 600.0
_LOADS_FRESH_S = 6.0


async def step(state, now: float) -> None:
    """Tells a few members the digest and takes in what came since.

    Calls run beside it, each with a time limit, so that a silent peer or
    platform holds up no other.
    """
    membership = state.membership
    poll_s = state.settings.platform.instances_poll_s
    if now - membership.announced_at >= poll_s:
        membership.announced_at = now
        member.spawn(state, "announce", _announce(state))
    if now - membership.looked_at >= member.list_interval_s(state):
        membership.looked_at = now
        member.spawn(state, "list", _look(state, now))
    for peer in _choose(state, now):
        member.spawn(
            state,
            f"ask {peer.instance}",
            digest_exchange.ask(state, peer.instance),
        )
    _forget(state, now)
    _set_loads(state, now)
    draining.refresh(state, now)
    if config_fetch.is_behind(state):
        member.spawn(state, "fetch", config_fetch.run(state))


def exchanges_per_s(own: options.MembershipSection, entries: int) -> float:
    """Returns how many digests an entry sends a second to others.

    Load: 370 entries. Harm prevented: digests at the rate of a small fleet
    cost each entry four times its budget for control, and most of them tell
    nothing that the platform has not told. Limits: a large fleet sends fewer
    in proportion, but one a second at least, so that a departure crosses a
    data centre of 20 entries within some seconds.

    Args:
        own: The settings.
        entries: Entries in the fleet.
    """
    most = own.exchange_fanout / own.exchange_s
    share = min(1.0, _SMALL_FLEET / entries)
    return max(most * share, min(most, _LEAST_EXCHANGES_PER_S))


async def close(state) -> None:
    """Ends all calls and connections."""
    tasks = list(state.membership.tasks.values())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    client.close(state.membership.channels)


async def _announce(state) -> None:
    """Tells the platform of this instance."""
    own = state.settings.entry
    row = interface.InstanceRow(
        own.instance,
        "entry",
        state.peers_address,
        own.data_centre,
        state.draining,
    )
    timeout_s = state.settings.platform.timeout_s
    try:
        await state.platform.announce(row, timeout_s=timeout_s)
    except exception.CopperloomError as error:
        event("announce_failed", code=error.code)


async def _look(state, now: float) -> None:
    """Reads the platform's list."""
    own = state.settings.entry
    timeout_s = state.settings.platform.timeout_s
    try:
        rows = await state.platform.instances(timeout_s=timeout_s)
    except exception.CopperloomError as error:
        event("list_failed", code=error.code)
        return
    state.membership.listed_at = now
    draining.note_list(state, rows)
    for row in rows:
        if row.kind == "entry" and row.name != own.instance:
            _note_row(state, row, now)
        # The address tells this boot from an earlier one, which the list may
        # still show.
        if row.name == own.instance and row.address == state.peers_address:
            state.membership.listed_self = True


def _note_row(state, row: interface.InstanceRow, now: float) -> None:
    peer = state.members.get(row.name)
    if peer is None:
        if row.leaving:
            return
        peer = member.Member(row.name, row.address, row.data_centre)
    elif peer.failures and row.address != peer.address:
        # The list lags, so it is believed only where the address known fails.
        peer = dataclasses.replace(peer, address=row.address)
    state.members[row.name] = dataclasses.replace(
        peer, listed_at=now, leaving=peer.leaving or row.leaving
    )


def _choose(state, now: float) -> list[member.Member]:
    """Chooses whom to ask in this step, those asked longest ago first.

    Load: 20 members in a data centre, 370 in all; a digest to each of them
    would cost 100 KB a second. Harm prevented: versions, departures and loads
    that travel too slowly. Limits: the fan-out of the settings; all members
    that were not heard lately are asked only while this entry has no proof of
    its configuration, since only then it has to know whether it is in contact
    with more than half of them.
    """
    own = state.settings.membership
    unproved = now - state.confirmed_at > own.confirm_s / 2
    members = sorted(state.members.values(), key=lambda m: m.asked_at)
    if unproved or not state.cfg_loaded:
        return [m for m in members if m.asked_at <= now - own.suspect_s / 3]
    failing = [m for m in members if m.failures]
    members = [m for m in members if not m.failures]
    here = state.settings.entry.data_centre
    near = [m for m in members if m.data_centre == here]
    far = [m for m in members if m.data_centre != here]
    fanout = _take_turns(state)
    turns = range(state.membership.turns - fanout, state.membership.turns)
    wanted_far = sum(1 for turn in turns if turn % _FAR_EVERY == 0)
    # One that failed is tried soon again, since nobody else counts on it.
    chosen = [m for m in failing[:1] if m.asked_at <= now - own.suspect_s]
    chosen = chosen[:fanout]
    chosen += far[: max(wanted_far, fanout - len(near))]
    return chosen + near[: max(0, fanout - len(chosen))]


def _take_turns(state) -> int:
    """Returns how many members to ask in this step."""
    own = state.settings.membership
    membership = state.membership
    rate = exchanges_per_s(own, len(state.members) + 1)
    membership.credit += rate * own.exchange_s
    count = int(membership.credit)
    membership.credit -= count
    membership.turns += count
    return count


def _forget(state, now: float) -> None:
    """Drops members that left, and those long neither listed nor heard."""
    own = state.settings.membership
    list_is_fresh = member.list_is_fresh(state, now)
    for peer in list(state.members.values()):
        last = max(peer.heard_at, peer.told_at)
        silent_s = now - max(last, peer.listed_at)
        gone = peer.leaving and now - last > own.dead_s
        if gone or (list_is_fresh and silent_s > _FORGET_S):
            del state.members[peer.instance]
            event("member_forgotten", peer=peer.instance)
    addresses = {m.address for m in state.members.values()}
    client.prune(state.membership.channels, addresses)


def _set_loads(state, now: float) -> None:
    """Tells the scheduler what peers have in flight and are asked for."""
    since = now - _LOADS_FRESH_S
    fresh = [
        peer
        for peer in state.members.values()
        if max(peer.heard_at, peer.told_at) >= since
    ]
    loads: dict[str, tuple[int, int]] = {}
    for peer in fresh:
        for target, streams, tokens in peer.loads:
            had = loads.get(target, (0, 0))
            loads[target] = (had[0] + streams, had[1] + tokens)
    scheduler.set_peer_loads(state.sched, loads, now)
    shares = limits.shares(
        scheduler.demand(state.sched, now),
        [dict(peer.demand) for peer in fresh],
        len(state.members) + 1,
    )
    scheduler.set_limit_shares(state.sched, shares, now)
