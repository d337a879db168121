"""Exchanges digests with other entries.

What a member says is taken as of the time it was asked, so that a message
that was held up, or a process that was paused, proves nothing newer.
"""

import asyncio
import dataclasses

from copperloom import exception
from copperloom.controllers import config, config_fetch, draining, member
from copperloom.logs import event
from copperloom.peers import client, digest, peers_pb2

__all__ = ["ask", "ask_all", "call", "note_request"]

_EXCHANGE_S = 1.0


async def ask(state, instance: str) -> None:
    """Exchanges digests with one peer."""
    peer = state.members.get(instance)
    if peer is None:
        return
    now = asyncio.get_running_loop().time()
    state.members[instance] = dataclasses.replace(peer, asked_at=now)
    try:
        reply = await client.call(
            state.membership.channels,
            peer.address,
            "Exchange",
            digest.make(state, now),
            timeout_s=_exchange_s(state),
        )
    except exception.PeerUnavailableError:
        reply = None
    if reply is None or reply.instance != instance:
        # Nobody, or another instance that got its address.
        _note_failure(state, instance)
        return
    peer = state.members.get(instance)
    if peer is not None:
        _note_reply(state, peer, reply, now)


async def ask_all(state, instances: list[str]) -> None:
    """Exchanges digests with many members at once."""
    await asyncio.gather(*(ask(state, name) for name in instances))


def note_request(state, told: peers_pb2.Digest, now: float) -> None:
    """Takes in the digest of a peer that asked.

    It may have been under way for long, so it proves no contact, no run and
    no confirmation; versions and departures stay true however late.
    """
    if told.instance == state.settings.entry.instance:
        return
    peer = state.members.get(told.instance)
    if peer is None:
        peer = member.Member(told.instance, told.address, told.data_centre)
        event("member_met", peer=told.instance, address=told.address)
    # A new run may listen elsewhere; a message from the one before would only
    # cost one failed call.
    state.members[told.instance] = dataclasses.replace(
        peer,
        address=told.address,
        leaving=peer.leaving or told.leaving,
        version=max(peer.version, told.config_version),
        told_at=now,
        loads=_loads_of(told),
        demand=_demand_of(told),
    )
    _note_departures(state, told, now)
    if config_fetch.is_behind(state):
        member.spawn(state, "fetch", config_fetch.run(state))


async def call(state, instance: str, method: str, message, *, timeout_s: float):
    """Calls a method of a peer's Peers service.

    A peer that gives no answer counts as not live from then on, so that the
    next call of this kind goes to another.

    Raises:
        copperloom.exception.PeerUnavailableError: Unknown or silent.
    """
    peer = state.members.get(instance)
    if peer is None:
        raise exception.PeerUnavailableError(f"{instance} is not known")
    try:
        return await client.call(
            state.membership.channels,
            peer.address,
            method,
            message,
            timeout_s=timeout_s,
        )
    except exception.PeerUnavailableError:
        _note_failure(state, instance)
        raise


def _exchange_s(state) -> float:
    return min(_EXCHANGE_S, state.settings.membership.suspect_s / 3)


def _note_failure(state, instance: str) -> None:
    peer = state.members.get(instance)
    if peer is not None:
        failures = peer.failures + 1
        state.members[instance] = dataclasses.replace(peer, failures=failures)


def _note_reply(state, peer: member.Member, reply, asked_at: float) -> None:
    if asked_at < peer.heard_at:
        return
    if peer.boot and peer.boot != reply.boot:
        event("member_restarted", peer=peer.instance, boot=reply.boot)
    state.members[peer.instance] = dataclasses.replace(
        peer,
        boot=reply.boot,
        data_centre=reply.data_centre,
        leaving=reply.leaving,
        version=reply.config_version,
        heard_at=asked_at,
        failures=0,
        known_members=reply.known_members,
        loads=_loads_of(reply),
        demand=_demand_of(reply),
    )
    if state.cfg_loaded and reply.config_version <= state.cfg.version:
        # If an older version was the newest then, this one came after.
        config.confirm(state, digest.confirmed_at(reply, asked_at))
    _note_departures(state, reply, asked_at)
    _note_peers(state, reply, asked_at)


def _loads_of(told) -> tuple[tuple[str, int, int], ...]:
    return tuple((t.target, t.streams, t.prefill_tokens) for t in told.loads)


def _demand_of(told) -> tuple[tuple[str, float], ...]:
    return tuple((d.organisation, d.tokens_per_s) for d in told.demand)


def _note_departures(state, told, now: float) -> None:
    for departure in told.leaving_targets:
        draining.mark(state, departure.target, departure.version, now)


def _note_peers(state, reply, now: float) -> None:
    """Meets members through another, if the platform's list is out of reach.

    Otherwise the list decides, so that peers don't tell each other for ever
    of a peer that has gone.
    """
    if member.list_is_fresh(state, now):
        return
    for peer in reply.peers:
        own = peer.instance == state.settings.entry.instance
        if not own and peer.instance not in state.members:
            state.members[peer.instance] = member.Member(
                peer.instance, peer.address, peer.data_centre, told_at=now
            )
