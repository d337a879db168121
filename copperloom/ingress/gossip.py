"""Tells other instances what this one has in progress, and hears them.

A digest goes out when work is added, some milliseconds apart at least; soon
after other changes, and once or twice a second without any. In a small fleet
every member gets it; in a larger one those that own what this instance uses,
and they answer. Digests also bear the versions that the sender goes by: who is
behind fetches what it lacks.
"""

import asyncio
import contextlib
import functools
import socket
from collections.abc import Iterable

import msgspec

from copperloom import logs
from copperloom.decisions import health, inflight_table, members
from copperloom.ingress import (
    announcements,
    datagrams,
    local_placement,
    peer_fetch,
    placement_rpc,
    recipients,
)
from copperloom.ingress.state import (
    IngressState,
    Member,
    fleet_size,
    is_large_fleet,
)

__all__ = [
    "Gossip",
    "ask_for_members",
    "announce_start",
    "open_gossip",
    "run",
    "send_digest",
]

# Peers that place before they hear of a change choose the same engine.
BATCH_S = 0.008
# What has ended, or is read, matters to others no sooner than in an engine's
# next pass; most of it goes out with the next work that is added.
MINOR_CHANGE_DELAY_S = 0.05
HEARTBEAT_S = 0.5
# In a large fleet idle instances' beats are most of what is sent.
LARGE_FLEET_HEARTBEAT_S = 1.0
# An instance that knows no routes or targets yet tells the owners so that they
# pass on what they read; the first word may find them not listening yet.
START_HEARTBEAT_S = 0.15
# Owners tell so often which members are new and how busy targets are.
REPORT_S = 0.9
# Instances that know of others' work answer a greeting within a round trip.
REPLY_WAIT_S = 0.03


class Gossip(asyncio.DatagramProtocol):
    """The datagram socket.

    Attributes:
        state: The instance's state.
        transport: Its transport.
        fetches: The fetch of what peers have newer.
        lesser: Timer of the datagram for lesser changes, if there are any.
        told_versions: Versions of routes and targets told to all that listen.
        reported_at: Monotonic time at which members were passed on last, and
            how busy targets are.
    """

    def __init__(self, state: IngressState, address: str):
        self.state = state
        self.state.datagrams = address
        self.transport: asyncio.DatagramTransport | None = None
        self.fetches = peer_fetch.CatchUp()
        self.lesser: asyncio.TimerHandle | None = None
        self.told_versions = (0, 0)
        self.reported_at = float("-inf")

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self.transport = transport
        self.state.send = self.send

    def send(self, data: bytes, address: str) -> None:
        """Sends a datagram to an IP:port."""
        host, _, port = address.rpartition(":")
        self.transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, addr) -> None:
        """Takes a peer's message."""
        try:
            told = datagrams.decode(data)
        except msgspec.MsgspecError as error:
            logs.event("peer_unreadable", peer=addr[0], error=str(error))
            return
        if isinstance(told, datagrams.PlacementRequest):
            placement_rpc.handle_request(self.state, told)
        elif isinstance(told, datagrams.PlacementReply):
            placement_rpc.handle_reply(self.state, told)
        elif told.sender.instance != self.state.settings.instance:
            _hear(self, told)

    def error_received(self, exc: Exception) -> None:
        """A member's port is closed: it is stopping or has not begun."""


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
    """Tells others for ever."""
    loop = asyncio.get_running_loop()
    state = gossip.state
    state.inflight.on_change = functools.partial(_note_change, gossip)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_beat_s(state)):
                await state.digest_due.wait()
        state.digest_due.clear()
        send_digest(gossip, loop.time())
        await asyncio.sleep(BATCH_S)


def _beat_s(state: IngressState) -> float:
    if not state.routing_known.is_set():
        return START_HEARTBEAT_S
    return LARGE_FLEET_HEARTBEAT_S if is_large_fleet(state) else HEARTBEAT_S


def _note_change(gossip: Gossip, added: bool) -> None:
    if added:
        gossip.state.digest_due.set()
    elif gossip.lesser is None:
        loop = asyncio.get_running_loop()
        gossip.lesser = loop.call_later(
            MINOR_CHANGE_DELAY_S, gossip.state.digest_due.set
        )


def send_digest(gossip: Gossip, now: float) -> None:
    """Sends a digest to all that should hear of this instance now."""
    state = gossip.state
    if gossip.lesser is not None:
        gossip.lesser.cancel()
        gossip.lesser = None
    inflight_table.drop_silent_peers(state.inflight, now)
    recipients.forget_gone(state, now)
    listeners = recipients.listeners(state, now)
    joined: list[datagrams.Announcement] = []
    busy: dict[str, float] = {}
    if _reports(gossip, now):
        joined = announcements.recent_members(state, now)
        busy = local_placement.busy_by_service(state, now)
    data = _encode(gossip, now, joined, busy=busy)
    _send(gossip, data, listeners, now)
    if _has_news(gossip):
        _pass_on(gossip, data, listeners, now)


def _has_news(gossip: Gossip) -> bool:
    """Tells whether all that listen should hear at once, once for each news."""
    state = gossip.state
    versions = (state.table.version, state.targets.version)
    is_new = versions != gossip.told_versions or state.draining
    gossip.told_versions = versions
    return is_new


def _pass_on(
    gossip: Gossip, data: bytes, told: list[Member], now: float
) -> None:
    """Sends news to those that have not been told; they need not answer."""
    names = {m.instance for m in told}
    for member in recipients.followers(gossip.state, now):
        if member.instance not in names:
            gossip.send(data, member.datagrams)
            members.record_reply_sent(member, now)


def _reports(gossip: Gossip, now: float) -> bool:
    """Tells whether it is time for what only owners tell, once in a while."""
    if now - gossip.reported_at < REPORT_S:
        return False
    gossip.reported_at = now
    return recipients.owns_home(gossip.state, now)


async def announce_start(gossip: Gossip) -> None:
    """Tells all that may know of others' work that this instance has started.

    They answer at once. An instance that placed without their word would take
    all targets for idle, and so would all that start at the same moment.
    """
    state = gossip.state
    loop = asyncio.get_running_loop()
    now = loop.time()
    _send(
        gossip, _encode(gossip, now, []), recipients.to_greet(state, now), now
    )
    await asyncio.sleep(REPLY_WAIT_S)
    state.peers_synced.set()


def ask_for_members(
    gossip: Gossip, addresses: Iterable[str], now: float
) -> None:
    """Asks whoever is at some addresses for the members that it knows."""
    data = _encode(gossip, now, [], wants_members=True)
    for address in addresses:
        gossip.send(data, address)


def _send(
    gossip: Gossip, data: bytes, told: Iterable[Member], now: float
) -> None:
    """Sends a digest to members, which answer it in a large fleet."""
    large = is_large_fleet(gossip.state)
    note = members.record_sent if large else members.record_reply_sent
    for member in told:
        gossip.send(data, member.datagrams)
        note(member, now)


def _answer(
    gossip: Gossip, member: Member, told: datagrams.Digest, now: float
) -> None:
    """Tells one member, and whom it should know if it asks for that."""
    if told.wants_members:
        joined = announcements.relevant_members(gossip.state, member, now)
    elif recipients.owns_home(gossip.state, now):
        joined = announcements.recent_members(gossip.state, now)
    else:
        joined = []
    gossip.send(_encode(gossip, now, joined), member.datagrams)
    members.record_reply_sent(member, now)


def _encode(
    gossip: Gossip,
    now: float,
    joined: list[datagrams.Announcement],
    *,
    wants_members: bool = False,
    busy: dict[str, float] | None = None,
) -> bytes:
    gossip.state.sequence += 1
    digest = _digest(gossip.state, now, joined)
    digest.wants_members = wants_members
    if is_large_fleet(gossip.state):
        digest.failures = health.failures_to_report(gossip.state.health, now)
    digest.busy = busy or {}
    data = datagrams.encode(digest)
    if len(data) > datagrams.MOST_BYTES:
        # Versions and the state of the platform matter more than work that
        # nobody could take in.
        logs.event("digest_too_long", level="ERROR", bytes=len(data))
        digest.work.clear()
        data = datagrams.encode(digest)
    return data


def _digest(
    state: IngressState,
    now: float,
    joined: list[datagrams.Announcement],
) -> datagrams.Digest:
    return datagrams.Digest(
        sender=announcements.own_announcement(state),
        boot=state.boot,
        sequence=state.sequence,
        routes_version=state.table.version,
        targets_version=state.targets.version,
        draining=state.draining,
        table_unreachable=bool(state.unreachable_tables),
        work=[
            datagrams.encode_work(w, now)
            for w in inflight_table.own_work(state.inflight)
        ],
        penalties={
            name: round(points, 1)
            for name, points in health.penalties_to_share(
                state.health, now
            ).items()
        },
        joined=joined,
        fleet_size=fleet_size(state),
    )


def _hear(gossip: Gossip, told: datagrams.Digest) -> None:
    state = gossip.state
    now = asyncio.get_running_loop().time()
    work = tuple(datagrams.decode_work(w, now) for w in told.work)
    heard = inflight_table.PeerWork(told.boot, told.sequence, now, work)
    if not inflight_table.apply_update(
        state.inflight, told.sender.instance, heard
    ):
        return
    health.apply_peer_penalties(state.peer_health, told.penalties, now)
    health.apply_report(
        state.failure_reports, told.sender.instance, told.failures, now
    )
    member = announcements.add_member(state, told.sender, now)
    started = member.boot != told.boot
    if started:
        logs.event("member_joined", member=member.instance, boot=told.boot)
    _update(member, told)
    state.reported_fleet_size = max(state.reported_fleet_size, told.fleet_size)
    if told.busy:
        member.busy = told.busy
        member.busy_at = now
    members.record_received(member, now)
    for introduced in told.joined:
        announcements.add_member(state, introduced, now)
    if work or state.inflight.own:
        state.changed.set()
    wanted = started or told.wants_members
    if wanted or recipients.owes_answer(
        state, member, now, members.REPLY_INTERVAL_S
    ):
        _answer(gossip, member, told, now)
    peer_fetch.note(gossip.fetches, state, member)


def _update(member: Member, told: datagrams.Digest) -> None:
    member.boot = told.boot
    member.datagrams = told.sender.datagrams
    member.calls = told.sender.calls
    member.data_centre = told.sender.data_centre
    member.cores = told.sender.cores
    member.draining = told.draining
    member.table_unreachable = told.table_unreachable
    member.routes_version = told.routes_version
    member.targets_version = told.targets_version
