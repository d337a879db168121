"""Keeps contact with the other entries.

Members are discovered through the platform's list, which lags, and through the
digests that entries exchange.
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
# One digest in this many goes to another data centre, so that configuration
# versions reach it even if the platform does not replicate them.
_REMOTE_EVERY = 4
# Up to this number of entries the settings alone determine the digest rate.
_SMALL_FLEET = 9
# Bounds the time that an update takes to spread in a large fleet, and leaves
# most of the traffic budget to other control messages.
_MIN_EXCHANGES_PER_S = 1.0
# A crashed peer still counts as a member for this duration, so that a
# partitioned minority doesn't take itself for the whole fleet.
_RETENTION_S = 600.0
_LOADS_FRESH_S = 6.0


async def step(state, now: float) -> None:
    """Starts the exchanges that are due and applies what was received.

    Calls run in the background, each with a time limit, so that a silent peer
    or platform delays no other.
    """
    membership = state.membership
    poll_s = state.settings.platform.instances_poll_s
    if now - membership.announced_at >= poll_s:
        membership.announced_at = now
        member.spawn(state, "announce", _announce(state))
    if now - membership.list_requested_at >= member.list_interval_s(state):
        membership.list_requested_at = now
        member.spawn(state, "list", _read_list(state, now))
    for peer in _choose_peers(state, now):
        member.spawn(
            state,
            f"ask {peer.instance}",
            digest_exchange.exchange(state, peer.instance),
        )
    _prune(state, now)
    _set_loads(state, now)
    draining.refresh(state, now)
    if config_fetch.is_behind(state):
        member.spawn(state, "fetch", config_fetch.run(state))


def exchanges_per_s(settings: options.MembershipSection, entries: int) -> float:
    """Returns the number of digests that an entry sends per second.

    In a large fleet the rate of a small one would exceed the traffic budget
    for control, and most digests would repeat what the platform's list has
    already reported. The rate therefore falls as the fleet grows, down to a
    minimum at which a report of a draining target still reaches all entries of
    a data centre within seconds.

    Args:
        settings: The settings of the membership.
        entries: Number of entries in the fleet.
    """
    full_rate = settings.exchange_fanout / settings.exchange_s
    share = min(1.0, _SMALL_FLEET / entries)
    return max(full_rate * share, min(full_rate, _MIN_EXCHANGES_PER_S))


async def close(state) -> None:
    """Cancels all calls and closes the connections."""
    tasks = list(state.membership.tasks.values())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    client.close(state.membership.channels)


async def _announce(state) -> None:
    """Announces this instance to the platform."""
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


async def _read_list(state, now: float) -> None:
    """Reads the platform's list of instances and records its rows."""
    own = state.settings.entry
    timeout_s = state.settings.platform.timeout_s
    try:
        rows = await state.platform.instances(timeout_s=timeout_s)
    except exception.CopperloomError as error:
        event("list_failed", code=error.code)
        return
    state.membership.list_read_at = now
    draining.record_list(state, rows)
    for row in rows:
        if row.kind == "entry" and row.name != own.instance:
            _record_row(state, row, now)
        # The list may still show an earlier run of this entry, which the
        # address distinguishes.
        if row.name == own.instance and row.address == state.peers_address:
            state.membership.listed_self = True


def _record_row(state, row: interface.InstanceRow, now: float) -> None:
    peer = state.members.get(row.name)
    if peer is None:
        if row.leaving:
            return
        peer = member.Member(row.name, row.address, row.data_centre)
    elif peer.failures and row.address != peer.address:
        # The list lags, so its address is used only if the known one fails.
        peer = dataclasses.replace(peer, address=row.address)
    state.members[row.name] = dataclasses.replace(
        peer, listed_at=now, leaving=peer.leaving or row.leaving
    )


def _choose_peers(state, now: float) -> list[member.Member]:
    """Chooses the members to exchange digests with in this step.

    Those with the oldest exchange come first, up to the fan-out. An entry
    without recent proof that its configuration is the newest contacts all
    members instead, to find out whether it reaches a majority.
    """
    settings = state.settings.membership
    unconfirmed = now - state.confirmed_at > settings.confirm_s / 2
    members = sorted(state.members.values(), key=lambda m: m.last_sent_at)
    if unconfirmed or not state.cfg_loaded:
        return [
            m for m in members if m.last_sent_at <= now - settings.suspect_s / 3
        ]
    failing = [m for m in members if m.failures]
    members = [m for m in members if not m.failures]
    data_centre = state.settings.entry.data_centre
    local = [m for m in members if m.data_centre == data_centre]
    remote = [m for m in members if m.data_centre != data_centre]
    fanout = _count_due_exchanges(state)
    numbers = range(
        state.membership.exchanges - fanout, state.membership.exchanges
    )
    remote_due = sum(1 for number in numbers if number % _REMOTE_EVERY == 0)
    # Failing members are retried one at a time, so that healthy ones keep most
    # of the fan-out.
    chosen = [
        m for m in failing[:1] if m.last_sent_at <= now - settings.suspect_s
    ]
    chosen = chosen[:fanout]
    chosen += remote[: max(remote_due, fanout - len(local))]
    return chosen + local[: max(0, fanout - len(chosen))]


def _count_due_exchanges(state) -> int:
    """Returns the number of exchanges due and adds it to the total."""
    settings = state.settings.membership
    membership = state.membership
    rate = exchanges_per_s(settings, len(state.members) + 1)
    membership.credit += rate * settings.exchange_s
    count = int(membership.credit)
    membership.credit -= count
    membership.exchanges += count
    return count


def _prune(state, now: float) -> None:
    """Removes members that stopped or are neither listed nor in contact."""
    settings = state.settings.membership
    list_is_fresh = member.list_is_fresh(state, now)
    for peer in list(state.members.values()):
        last_contact = max(peer.last_reply_at, peer.last_received_at)
        silent_s = now - max(last_contact, peer.listed_at)
        stopped = peer.leaving and now - last_contact > settings.dead_s
        if stopped or (list_is_fresh and silent_s > _RETENTION_S):
            del state.members[peer.instance]
            event("member_forgotten", peer=peer.instance)
    addresses = {m.address for m in state.members.values()}
    client.prune(state.membership.channels, addresses)


def _set_loads(state, now: float) -> None:
    """Passes the peers' work in flight and demand to the scheduler."""
    since = now - _LOADS_FRESH_S
    fresh = [
        peer
        for peer in state.members.values()
        if max(peer.last_reply_at, peer.last_received_at) >= since
    ]
    loads: dict[str, tuple[int, int]] = {}
    for peer in fresh:
        for target, streams, tokens in peer.loads:
            total = loads.get(target, (0, 0))
            loads[target] = (total[0] + streams, total[1] + tokens)
    scheduler.set_peer_loads(state.sched, loads, now)
    shares = limits.shares(
        scheduler.demand(state.sched, now),
        [dict(peer.demand) for peer in fresh],
        len(state.members) + 1,
    )
    scheduler.set_limit_shares(state.sched, shares, now)
