"""Passes routes, targets and members on between instances.

Made for the many instances that do not read the platform's table themselves,
for one that the table turns away while it serves the others, and for one that
starts while the table is away: a peer that has a newer version gives it, and
the instance goes by it as if the table had.
"""

import asyncio
import dataclasses
import socket
import zlib

import grpclib.server
import msgspec

from copperloom import logs
from copperloom.decisions import fetch_policy, rowlog
from copperloom.ingress import announcements, updates
from copperloom.ingress.state import IngressState
from copperloom.peers import client, peers_grpc, peers_pb2
from copperloom.platform import catalog

__all__ = ["Fetched", "fetch", "serve"]

# A round trip and some ten KB; a peer that takes longer is not well.
_CALL_S = 1.0
# Documents of 1,850 routes shrink from 465 to 37 KB in 1 ms; higher levels
# take longer for nothing.
_PACKING_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """What came of asking a peer.

    Attributes:
        had_room: Whether its link had room for all that it has newer.
        others: IP:port of members that it named instead.
    """

    had_room: bool
    others: tuple[str, ...] = ()


class _Targets(msgspec.Struct):
    whole: bool
    rows: list[rowlog.Row]


class _Catalog(peers_grpc.CatalogBase):
    def __init__(self, state: IngressState):
        self.state = state

    async def Read(self, stream) -> None:  # noqa: N802
        asked = await stream.recv_message()
        reply = _reply(self.state, asked)
        await stream.send_message(reply)
        if reply.routes or reply.targets:
            fetch_policy.record_recipient(self.state.uplink, asked.address)


def _reply(state: IngressState, asked) -> peers_pb2.CatalogReply:
    reply = peers_pb2.CatalogReply(
        routes_version=state.table.version,
        targets_version=state.targets.version,
    )
    if asked.wants_members:
        reply.members = msgspec.json.encode(_members(state))
    # Targets first: the time in which one that leaves may still get work runs.
    if asked.targets_version < state.targets.version:
        packed = _packed_targets(state, asked.targets_version)
        reply.targets = _if_room(state, packed)
    if asked.routes_version < state.table.version:
        reply.routes = _if_room(state, _packed_routes(state))
    if not _is_whole(reply, asked):
        named = fetch_policy.alternatives(
            state.uplink, asked.address, state.rng
        )
        reply.sources.extend(named)
    return reply


def _if_room(state: IngressState, packed: bytes) -> bytes:
    """Returns a document if the link has room for it now, else nothing."""
    size_s = len(packed) / state.settings.link_bytes_s
    now = asyncio.get_running_loop().time()
    return packed if fetch_policy.try_send(state.uplink, size_s, now) else b""


def _is_whole(reply, asked) -> bool:
    """Tells whether a reply holds all that its sender has newer."""
    has_targets = (
        reply.targets or reply.targets_version <= asked.targets_version
    )
    has_routes = reply.routes or reply.routes_version <= asked.routes_version
    return bool(has_targets and has_routes)


def _members(state: IngressState) -> list[catalog.MemberRow]:
    return [
        catalog.MemberRow(
            m.instance, "", m.datagrams, m.calls, m.data_centre, m.cores
        )
        for m in state.members.values()
    ]


def _packed_routes(state: IngressState) -> bytes:
    if not state.routes_packed:
        state.routes_packed = zlib.compress(state.routes_raw, _PACKING_LEVEL)
    return state.routes_packed


def _packed_targets(state: IngressState, after: int) -> bytes:
    """Packs the registrations that changed after a version.

    The whole table is packed once for all that start at the same moment.
    """
    version = state.targets.version
    if after < state.target_rows.floor:
        known, packed = state.targets_packed
        if known == version:
            return packed
    changed = rowlog.since(state.target_rows, after)
    told = _Targets(changed.whole, list(changed.rows))
    packed = zlib.compress(msgspec.msgpack.encode(told), _PACKING_LEVEL)
    if changed.whole:
        state.targets_packed = (version, packed)
    return packed


async def serve(state: IngressState) -> grpclib.server.Server | None:
    """Serves peers; None if this instance has no address for it."""
    address = state.settings.peers_listen
    if not address:
        return None
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)))
    listener.setblocking(False)
    server = grpclib.server.Server([_Catalog(state)])
    await server.start(sock=listener)
    return server


async def fetch(state: IngressState, address: str) -> Fetched:
    """Takes over what a peer has newer.

    Returns:
        Whether it gave all of it, and whom it named if it did not.

    Raises:
        copperloom.exception.PeerUnavailableError: No answer.
    """
    asked = peers_pb2.CatalogRequest(
        routes_version=state.table.version,
        targets_version=state.targets.version,
        wants_members=not state.members,
        address=state.settings.peers_listen,
    )
    reply = await client.call(
        state.channels,
        address,
        "Read",
        asked,
        timeout_s=_CALL_S,
        stub=peers_grpc.CatalogStub,
    )
    if reply.targets and reply.targets_version > state.targets.version:
        _take_targets(state, reply, address)
    if reply.routes:
        _take_routes(state, reply.routes, address)
    if reply.members:
        _take_members(state, reply.members)
    return Fetched(_is_whole(reply, asked), tuple(reply.sources))


def _take_routes(state: IngressState, packed: bytes, address: str) -> None:
    try:
        raw = zlib.decompress(packed)
    except zlib.error as error:
        logs.event("peer_unreadable", peer=address, error=str(error))
        return
    if updates.apply_routes(state, raw, address):
        state.routes_packed = packed


def _take_targets(state: IngressState, reply, address: str) -> None:
    try:
        told = msgspec.msgpack.decode(
            zlib.decompress(reply.targets), type=_Targets
        )
    except (zlib.error, msgspec.MsgspecError) as error:
        logs.event("peer_unreadable", peer=address, error=str(error))
        return
    updates.apply_targets(
        state,
        told.rows,
        reply.targets_version,
        whole=told.whole,
        source=address,
    )


def _take_members(state: IngressState, raw: bytes) -> None:
    try:
        rows = msgspec.json.decode(raw, type=list[catalog.MemberRow])
    except msgspec.MsgspecError as error:
        logs.event("peer_unreadable", error=str(error))
        return
    now = asyncio.get_running_loop().time()
    for row in rows:
        announcements.add_member(state, row, now)
