"""Exchanges digests of the work in progress with other instances.

A digest is sent when work is added, at most once in some milliseconds, shortly
after other changes, and as a heartbeat. In a small fleet every member gets it;
in a large one only the owners of the shards that the instance uses, and these
reply. Digests also hold the versions of the sender's routes and targets, so
that an instance that is behind can fetch the newer ones.
"""

import asyncio
import contextlib
import functools
import socket
from collections.abc import Iterable

from copperloom import logs, versions
from copperloom.decisions import handover, health, inflight_table, members
from copperloom.decisions.sharing import Occasion
from copperloom.ingress import (
    announcements,
    datagram_calls,
    datagrams,
    digests,
    knowledge,
    limit_grants,
    local_placement,
    peer_fetch,
    placement_rpc,
    recipients,
    store_eras,
    watchers,
)
from copperloom.ingress.state import (
    IngressState,
    Member,
    is_large_fleet,
)
from copperloom.platform import store
from copperloom.utils import malformed

__all__ = [
    "Gossip",
    "request_members",
    "announce_start",
    "open_gossip",
    "run",
    "send_digest",
]

# Minimum interval between digests. Short, since peers that place a request
# before they receive a change may choose the same engine.
BATCH_S = 0.008
# Delay of digests that report finished work or prefills only. They affect no
# placement before the engine's next iteration, and most of them are sent along
# with the next added work.
MINOR_CHANGE_DELAY_S = 0.05
# An instance without routes or targets sends digests to the owners to get their
# versions; they may not listen yet when the first one comes.
START_HEARTBEAT_S = 0.15
# Interval at which owners report new members and the utilisation of targets.
REPORT_S = 0.9
# Time for the replies to the announcement of a start: a round trip.
REPLY_WAIT_S = 0.03


class Gossip(asyncio.DatagramProtocol):
    """Exchanges datagrams with other instances over one socket.

    Attributes:
        state: The instance's state.
        transport: The transport, once the socket is open.
        fetches: Fetches newer routes and targets from peers.
        minor_change: Timer of the digest for minor changes, if one is due.
        broadcast_versions: Versions of routes and targets broadcast last.
        broadcast_role: Whether the latest broadcast said that this instance
            has taken over the watch of the tables.
        broadcast_quarantines: Number of changes of quarantines at the latest
            broadcast.
        reported_at: Monotonic time at which new members and the utilisation of
            targets were reported last.
    """

    def __init__(self, state: IngressState, address: str):
        self.state = state
        self.state.datagrams = address
        self.transport: asyncio.DatagramTransport | None = None
        self.fetches = peer_fetch.PeerFetch()
        self.minor_change: asyncio.TimerHandle | None = None
        self.broadcast_versions = (0, versions.NONE)
        self.broadcast_role = False
        self.broadcast_quarantines = 0
        self.reported_at = float("-inf")

    def connection_made(self, transport) -> None:
        """Stores the transport and makes the socket usable."""
        self.transport = transport
        self.state.send = self.send

    def send(self, data: bytes, address: str) -> None:
        """Sends a datagram to an IP:port."""
        host, _, port = address.rpartition(":")
        self.transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr) -> None:
        """Decodes a peer's message and processes it."""
        try:
            message = datagrams.decode(data)
        except malformed.ERRORS as error:
            logs.event("peer_unreadable", peer=addr[0], error=str(error))
            return
        if isinstance(message, datagrams.PlacementRequest):
            placement_rpc.handle_request(self.state, message)
        elif isinstance(message, datagrams.SendRequest):
            limit_grants.handle_request(self.state, message)
        elif isinstance(
            message, datagrams.PlacementReply | datagrams.SendReply
        ):
            datagram_calls.handle_reply(self.state, message)
        elif message.sender.instance != self.state.settings.instance:
            _apply_digest(self, message)

    def error_received(self, exc: Exception) -> None:
        """Ignores closed ports: the member is stopping or not listening yet."""


async def open_gossip(state: IngressState) -> Gossip:
    """Opens the datagram socket."""
    loop = asyncio.get_running_loop()
    ip, port = state.settings.ip, state.settings.internal_ports[0]
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((ip, port))
    gossip = Gossip(state, f"{ip}:{port}")
    await loop.create_datagram_endpoint(lambda: gossip, sock=sock)
    return gossip


async def run(gossip: Gossip) -> None:
    """Sends digests until cancelled."""
    loop = asyncio.get_running_loop()
    state = gossip.state
    state.inflight.on_change = functools.partial(_schedule_digest, gossip)
    while True:
        handover.tick(state.attention, loop.time(), watchers.heartbeat_s(state))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_heartbeat_s(state)):
                await state.digest_due.wait()
        state.digest_due.clear()
        send_digest(gossip, loop.time())
        await asyncio.sleep(BATCH_S)


def _heartbeat_s(state: IngressState) -> float:
    if not state.routing_known.is_set():
        return START_HEARTBEAT_S
    return watchers.heartbeat_s(state)


def _schedule_digest(gossip: Gossip, added: bool) -> None:
    if added:
        gossip.state.digest_due.set()
    elif gossip.minor_change is None:
        loop = asyncio.get_running_loop()
        gossip.minor_change = loop.call_later(
            MINOR_CHANGE_DELAY_S, gossip.state.digest_due.set
        )


def send_digest(gossip: Gossip, now: float) -> None:
    """Sends a digest to the members that should get one now."""
    state = gossip.state
    if gossip.minor_change is not None:
        gossip.minor_change.cancel()
        gossip.minor_change = None
    inflight_table.drop_silent_peers(state.inflight, now)
    recipients.remove_silent(state, now)
    receivers = recipients.for_digest(state, now)
    announced: list[datagrams.Announcement] = []
    busy: dict[str, float] = {}
    if _is_report_due(gossip, now):
        announced = announcements.recent_members(state, now)
        busy = local_placement.busy_by_service(state, now)
    data = digests.encode(state, now, announced, busy=busy)
    _send(gossip, data, receivers, now)
    is_new = _has_new_versions(gossip) or _has_new_role(gossip)
    if is_new or _has_new_quarantine(gossip, now):
        _broadcast(gossip, data, receivers, now)


def _has_new_versions(gossip: Gossip) -> bool:
    """Returns whether the versions need a broadcast, and records them as sent.

    A draining instance broadcasts each digest.
    """
    state = gossip.state
    versions = (state.table.version, state.targets.version)
    is_new = versions != gossip.broadcast_versions or state.draining
    gossip.broadcast_versions = versions
    return is_new


def _has_new_role(gossip: Gossip) -> bool:
    """Returns whether this instance has taken over the watch of the tables.

    The instances ranked after it would take over as well.
    """
    takes_over = gossip.state.substitutes_watcher
    is_new = takes_over and not gossip.broadcast_role
    gossip.broadcast_role = takes_over
    return is_new


def _has_new_quarantine(gossip: Gossip, now: float) -> bool:
    """Returns whether owners should broadcast a quarantine, and records it.

    In a large fleet only owners receive the evidence of all instances.
    """
    changes = gossip.state.crashes.sufficient_changes
    is_new = changes != gossip.broadcast_quarantines
    gossip.broadcast_quarantines = changes
    return is_new and recipients.owns_local_shards(gossip.state, now)


def _broadcast(
    gossip: Gossip, data: bytes, already_sent: list[Member], now: float
) -> None:
    """Sends a digest to the other live members, which need not reply."""
    names = {m.instance for m in already_sent}
    for member in recipients.for_broadcast(gossip.state, now):
        if member.instance not in names:
            gossip.send(data, member.datagrams)
            members.record_reply_sent(member, now)


def _is_report_due(gossip: Gossip, now: float) -> bool:
    """Returns whether an owner's report is due, and restarts the interval."""
    if now - gossip.reported_at < REPORT_S:
        return False
    gossip.reported_at = now
    return recipients.owns_local_shards(gossip.state, now)


async def announce_start(gossip: Gossip) -> None:
    """Announces this instance's start to members that know others' work.

    They reply at once. Without their digests, instances that start at the same
    moment would all assume that every target is idle.
    """
    state = gossip.state
    loop = asyncio.get_running_loop()
    now = loop.time()
    _send(
        gossip,
        digests.encode(state, now, []),
        recipients.for_start(state, now),
        now,
    )
    await asyncio.sleep(REPLY_WAIT_S)
    state.peers_synced.set()


def request_members(
    gossip: Gossip, addresses: Iterable[str], now: float
) -> None:
    """Asks the instances at these addresses for the members that they know."""
    data = digests.encode(gossip.state, now, [], requests_members=True)
    for address in addresses:
        gossip.send(data, address)


def _send(
    gossip: Gossip, data: bytes, receivers: Iterable[Member], now: float
) -> None:
    """Sends a digest to members, which reply in a large fleet only."""
    large = is_large_fleet(gossip.state)
    record = members.record_sent if large else members.record_reply_sent
    for member in receivers:
        gossip.send(data, member.datagrams)
        record(member, now)


def _reply(
    gossip: Gossip,
    member: Member,
    digest: datagrams.Digest,
    now: float,
    *,
    started: bool,
) -> None:
    """Replies to a member's digest, with the members that it asked for."""
    if digest.requests_members:
        announced = announcements.relevant_members(gossip.state, member, now)
    elif recipients.owns_local_shards(gossip.state, now):
        announced = announcements.recent_members(gossip.state, now)
    else:
        announced = []
    occasion = Occasion.REPLY
    if started or digest.requests_members:
        occasion = Occasion.START
    data = digests.encode(gossip.state, now, announced, occasion=occasion)
    gossip.send(data, member.datagrams)
    members.record_reply_sent(member, now)


def _apply_digest(gossip: Gossip, digest: datagrams.Digest) -> None:
    """Applies a peer's digest unless it is older than the last one."""
    state = gossip.state
    now = asyncio.get_running_loop().time()
    if digest.store_era is not None:
        store.note_era(state.store, digest.store_era)
    knowledge.apply(state, digest, now)
    work = tuple(datagrams.decode_work(w, now) for w in digest.work)
    update = inflight_table.PeerWork(digest.boot, digest.sequence, now, work)
    if not inflight_table.apply_update(
        state.inflight, digest.sender.instance, update
    ):
        return
    health.apply_peer_penalties(state.peer_health, digest.penalties, now)
    health.apply_report(
        state.failure_reports, digest.sender.instance, digest.failures, now
    )
    member = announcements.add_member(state, digest.sender, now)
    started = member.boot != digest.boot
    if started:
        logs.event("member_joined", member=member.instance, boot=digest.boot)
    _update_member(state, member, digest)
    state.reported_fleet_size = max(
        state.reported_fleet_size, digest.fleet_size
    )
    if digest.busy:
        member.busy = digest.busy
        member.busy_at = now
    members.record_received(member, now)
    for announcement in digest.announced:
        announcements.add_member(state, announcement, now)
    if work or state.inflight.own:
        state.changed.set()
    reply_expected = started or digest.requests_members
    if reply_expected or recipients.needs_reply(
        state, member, now, members.REPLY_INTERVAL_S
    ):
        _reply(gossip, member, digest, now, started=started)
    peer_fetch.fetch_if_behind(gossip.fetches, state, member)


def _update_member(
    state: IngressState, member: Member, digest: datagrams.Digest
) -> None:
    member.boot = digest.boot
    member.datagrams = digest.sender.datagrams
    member.calls = digest.sender.calls
    member.data_centre = digest.sender.data_centre
    member.cores = digest.sender.cores
    member.draining = digest.draining
    member.reaches_none = digest.reaches_none
    member.table_unreachable = digest.table_unreachable
    member.routes_version = digest.routes_version
    member.targets_version = store_eras.peer_version(
        state, digest.targets_era, digest.targets_version
    )
    member.targets_confirmed = store_eras.peer_version(
        state, digest.targets_era, digest.targets_confirmed
    )
    member.targets_fingerprint = digest.targets_fingerprint
