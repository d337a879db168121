"""Transfers routes, targets and members between instances.

Most instances do not read the platform's tables themselves, and others can't:
the platform refuses them, or is unavailable. They fetch newer versions from a
peer, and apply them as if they came from the tables.
"""

import asyncio
import dataclasses
import socket
import zlib

import grpclib.server
import msgspec

from copperloom import logs, versions
from copperloom.decisions import fetch_policy, registry, rowlog
from copperloom.ingress import announcements, store_eras, updates
from copperloom.ingress.state import IngressState
from copperloom.intake import calls
from copperloom.peers import client, peers_grpc, peers_pb2
from copperloom.platform import catalog
from copperloom.utils import malformed

__all__ = ["Fetched", "fetch", "serve"]

# Covers a round trip and the transfer; a slower peer is likely faulty.
_CALL_TIMEOUT_S = 1.0
# Higher levels take longer and hardly make the documents smaller.
_COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Fetched:
    """The result of a fetch from a peer.

    Attributes:
        had_room: Whether its link had capacity for all of its newer data.
        alternatives: IP:port of members that the rest may be fetched from.
    """

    had_room: bool
    alternatives: tuple[str, ...] = ()


class _WireRow(msgspec.Struct):
    key: str
    version: int
    value: bytes | None


class _Targets(msgspec.Struct):
    # All rows have the era of the version that they are sent with.
    whole: bool
    rows: list[_WireRow]
    # Version as of which the rows are complete; an earlier release sends none.
    confirmed: int = 0


class _Catalog(peers_grpc.CatalogBase):
    def __init__(self, state: IngressState):
        self.state = state

    async def Read(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        reply = _reply(self.state, request)
        await stream.send_message(reply)
        if reply.routes or reply.targets:
            fetch_policy.record_recipient(self.state.uplink, request.address)


def _reply(state: IngressState, request) -> peers_pb2.CatalogReply:
    reply = peers_pb2.CatalogReply(
        routes_version=state.table.version,
        targets_version=state.targets.version.number,
        targets_era=state.targets.version.era,
    )
    if request.wants_members:
        reply.members = msgspec.json.encode(_member_rows(state))
    # Targets first: draining targets must soon get no more requests.
    known = _targets_version(state, request)
    if known < registry.complete_to(state.targets):
        packed = _packed_targets(state, known)
        reply.targets = _if_capacity(state, packed)
    if request.routes_version < state.table.version:
        reply.routes = _if_capacity(state, _packed_routes(state))
    if not _is_complete(state, reply, request):
        alternatives = fetch_policy.alternatives(
            state.uplink, request.address, state.rng
        )
        reply.sources.extend(alternatives)
    return reply


def _if_capacity(state: IngressState, packed: bytes) -> bytes:
    """Returns a document, or b"" if the link has no capacity for it now."""
    transfer_s = len(packed) / state.settings.link_bytes_s
    now = asyncio.get_running_loop().time()
    return (
        packed if fetch_policy.try_send(state.uplink, transfer_s, now) else b""
    )


def _targets_version(state: IngressState, message) -> versions.Version:
    """Returns the version of the targets that a request or a reply names."""
    has_era = message.HasField("targets_era")
    era = message.targets_era if has_era else None
    return store_eras.peer_version(state, era, message.targets_version)


def _is_complete(state: IngressState, reply, request) -> bool:
    """Returns whether a reply holds all newer data of its sender."""
    has_targets = reply.targets or (
        _targets_version(state, reply) <= _targets_version(state, request)
    )
    has_routes = reply.routes or reply.routes_version <= request.routes_version
    return bool(has_targets and has_routes)


def _member_rows(state: IngressState) -> list[catalog.MemberRow]:
    return [
        catalog.MemberRow(
            m.instance, "", m.datagrams, m.calls, m.data_centre, m.cores
        )
        for m in state.members.values()
    ]


def _packed_routes(state: IngressState) -> bytes:
    if not state.routes_packed:
        state.routes_packed = zlib.compress(
            state.routes_raw, _COMPRESSION_LEVEL
        )
    return state.routes_packed


def _packed_targets(state: IngressState, after: versions.Version) -> bytes:
    """Compresses the registrations that changed after a version.

    The compressed whole table is cached for instances that start at the same
    moment.
    """
    version = registry.complete_to(state.targets)
    if after < state.target_rows.floor:
        cached_version, packed = state.targets_packed
        if cached_version == version:
            return packed
    changed = rowlog.since(state.target_rows, after)
    rows = [_WireRow(r.key, r.version.number, r.value) for r in changed.rows]
    targets = _Targets(changed.whole, rows, version.number)
    packed = zlib.compress(msgspec.msgpack.encode(targets), _COMPRESSION_LEVEL)
    if changed.whole:
        state.targets_packed = (version, packed)
    return packed


async def serve(state: IngressState, *services) -> grpclib.server.Server | None:
    """Starts the server for peers; returns None if no address is set for it.

    Args:
        state: The instance's state.
        *services: Further services that peers may call.
    """
    address = state.settings.peers_listen
    if not address:
        return None
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)))
    listener.setblocking(False)
    return await calls.serve(
        [_Catalog(state), *services],
        listener,
        state.connections,
        lambda: state.settings.max_descriptors,
    )


async def fetch(state: IngressState, address: str) -> Fetched:
    """Fetches the newer routes and targets of a peer, and applies them.

    Returns:
        Whether the peer sent all of them, and other members to ask if not.

    Raises:
        copperloom.exception.PeerUnavailableError: The peer did not reply.
    """
    known = registry.complete_to(state.targets)
    request = peers_pb2.CatalogRequest(
        routes_version=state.table.version,
        targets_version=known.number,
        targets_era=known.era,
        wants_members=not state.members,
        address=state.settings.peers_listen,
    )
    reply = await client.call(
        state.channels,
        address,
        "Read",
        request,
        timeout_s=_CALL_TIMEOUT_S,
        stub=peers_grpc.CatalogStub,
    )
    if reply.targets:
        version = _targets_version(state, reply)
        _apply_targets(state, reply.targets, version, address)
    if reply.routes:
        _apply_routes(state, reply.routes, address)
    if reply.members:
        _add_members(state, reply.members)
    is_complete = _is_complete(state, reply, request)
    return Fetched(is_complete, tuple(reply.sources))


def _apply_routes(state: IngressState, packed: bytes, address: str) -> None:
    try:
        raw = zlib.decompress(packed)
    except zlib.error as error:
        logs.event("peer_unreadable", peer=address, error=str(error))
        return
    if updates.apply_routes(state, raw, address):
        state.routes_packed = packed


def _apply_targets(
    state: IngressState, packed: bytes, version: versions.Version, address: str
) -> None:
    try:
        targets = msgspec.msgpack.decode(zlib.decompress(packed), type=_Targets)
    except (zlib.error, *malformed.ERRORS) as error:
        logs.event("peer_unreadable", peer=address, error=str(error))
        return
    version = max(version, versions.Version(version.era, targets.confirmed))
    known = registry.complete_to(state.targets)
    if version <= known:
        return
    if not targets.whole and version.era != known.era:
        logs.event("peer_era_differs", peer=address, version=version)
        return
    updates.apply_targets(
        state,
        [
            rowlog.Row(
                row.key,
                versions.Version(version.era, row.version),
                row.value,
            )
            for row in targets.rows
        ],
        version,
        whole=targets.whole,
        source=address,
    )


def _add_members(state: IngressState, raw: bytes) -> None:
    try:
        rows = msgspec.json.decode(raw, type=list[catalog.MemberRow])
    except malformed.ERRORS as error:
        logs.event("peer_unreadable", error=str(error))
        return
    now = asyncio.get_running_loop().time()
    for row in rows:
        announcements.add_member(state, row, now)
