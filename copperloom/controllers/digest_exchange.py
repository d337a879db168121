"""Exchanges digests with other entries.

The contents of a reply count as of the time at which the request was sent, so
that a delayed message, or a process that was paused, proves nothing newer.
"""

import asyncio
import dataclasses

from copperloom import exception
from copperloom.controllers import config, config_fetch, draining, member
from copperloom.logs import event
from copperloom.peers import client, digest, peers_pb2

__all__ = ["exchange", "exchange_all", "call", "record_request"]

_EXCHANGE_TIMEOUT_S = 1.0


async def exchange(state, instance: str) -> None:
    """Exchanges digests with one peer."""
    peer = state.members.get(instance)
    if peer is None:
        return
    now = asyncio.get_running_loop().time()
    state.members[instance] = dataclasses.replace(peer, last_sent_at=now)
    try:
        reply = await client.call(
            state.membership.channels,
            peer.address,
            "Exchange",
            digest.make(state, now),
            timeout_s=_exchange_timeout_s(state),
        )
    except exception.PeerUnavailableError:
        reply = None
    if reply is None or reply.instance != instance:
        # Another instance may have been given the peer's address.
        _record_failure(state, instance)
        return
    peer = state.members.get(instance)
    if peer is not None:
        _record_reply(state, peer, reply, now)


async def exchange_all(state, instances: list[str]) -> None:
    """Exchanges digests with many members concurrently."""
    await asyncio.gather(*(exchange(state, name) for name in instances))


def record_request(state, received: peers_pb2.Digest, now: float) -> None:
    """Records the digest of a peer that started an exchange.

    The message may be old. It therefore doesn't prove that the peer is in
    contact, which run of the peer is the current one, or that a configuration
    is the newest. Versions and draining targets are valid however late they
    arrive.

    Args:
        state: The entry's state.
        received: The peer's digest.
        now: Monotonic seconds.
    """
    if received.instance == state.settings.entry.instance:
        return
    peer = state.members.get(received.instance)
    if peer is None:
        peer = member.Member(
            received.instance, received.address, received.data_centre
        )
        event("member_met", peer=received.instance, address=received.address)
    # The address is adopted, since a new run may listen elsewhere; if the
    # digest is from an earlier run, this costs one failed call only.
    state.members[received.instance] = dataclasses.replace(
        peer,
        address=received.address,
        leaving=peer.leaving or received.leaving,
        version=max(peer.version, received.config_version),
        last_received_at=now,
        loads=_loads_of(received),
        demand=_demand_of(received),
    )
    _record_draining_targets(state, received, now)
    if config_fetch.is_behind(state):
        member.spawn(state, "fetch", config_fetch.run(state))


async def call(state, instance: str, method: str, message, *, timeout_s: float):
    """Calls a method of a peer's Peers service.

    A call without a reply counts as a failure of the peer; a peer with several
    of them is no longer live, so that later calls go to another.

    Args:
        state: The entry's state.
        instance: The peer's instance name.
        method: Name of the method.
        message: The request message.
        timeout_s: Time limit of the call in seconds.

    Returns:
        The reply message.

    Raises:
        copperloom.exception.PeerUnavailableError: The peer is unknown or did
            not reply.
    """
    peer = state.members.get(instance)
    if peer is None:
        raise exception.PeerUnavailableError(
            f"{instance} is not a known member"
        )
    try:
        return await client.call(
            state.membership.channels,
            peer.address,
            method,
            message,
            timeout_s=timeout_s,
        )
    except exception.PeerUnavailableError:
        _record_failure(state, instance)
        raise


def _exchange_timeout_s(state) -> float:
    return min(_EXCHANGE_TIMEOUT_S, state.settings.membership.suspect_s / 3)


def _record_failure(state, instance: str) -> None:
    peer = state.members.get(instance)
    if peer is not None:
        failures = peer.failures + 1
        state.members[instance] = dataclasses.replace(peer, failures=failures)


def _record_reply(state, peer: member.Member, reply, sent_at: float) -> None:
    if sent_at < peer.last_reply_at:
        return
    if peer.boot and peer.boot != reply.boot:
        event("member_restarted", peer=peer.instance, boot=reply.boot)
    state.members[peer.instance] = dataclasses.replace(
        peer,
        boot=reply.boot,
        data_centre=reply.data_centre,
        leaving=reply.leaving,
        version=reply.config_version,
        last_reply_at=sent_at,
        failures=0,
        known_members=reply.known_members,
        loads=_loads_of(reply),
        demand=_demand_of(reply),
    )
    if state.cfg_loaded and reply.config_version <= state.cfg.version:
        # If the peer's version was the newest at that time, none newer than
        # the version held here existed then.
        config.confirm(state, digest.confirmed_at(reply, sent_at))
    _record_draining_targets(state, reply, sent_at)
    _record_peers(state, reply, sent_at)


def _loads_of(received) -> tuple[tuple[str, int, int], ...]:
    return tuple(
        (load.target, load.streams, load.prefill_tokens)
        for load in received.loads
    )


def _demand_of(received) -> tuple[tuple[str, float], ...]:
    return tuple((d.organisation, d.tokens_per_s) for d in received.demand)


def _record_draining_targets(state, received, now: float) -> None:
    for report in received.leaving_targets:
        draining.mark(state, report.target, report.version, now)


def _record_peers(state, reply, now: float) -> None:
    """Adds members that a peer knows, while the platform's list is stale.

    Otherwise the list decides, so that peers don't keep reporting a stopped
    member to each other indefinitely.
    """
    if member.list_is_fresh(state, now):
        return
    for peer in reply.peers:
        is_self = peer.instance == state.settings.entry.instance
        if not is_self and peer.instance not in state.members:
            state.members[peer.instance] = member.Member(
                peer.instance,
                peer.address,
                peer.data_centre,
                last_received_at=now,
            )
