"""Passes routes, targets and members on between instances.

Made for an instance that the platform's table turns away while it serves the
others, and for one that starts while the table is away: a peer that has a
newer version gives it, and the instance goes by it as if the table had.
"""

import asyncio
import socket

import grpclib.server
import msgspec

from copperloom import logs
from copperloom.decisions import registry
from copperloom.ingress import follow
from copperloom.ingress.state import IngressState, Member
from copperloom.peers import client, peers_grpc, peers_pb2
from copperloom.platform import catalog, decoding

__all__ = ["fetch", "serve"]

# A round trip and some hundred KB; a peer that takes longer is not well.
_CALL_S = 1.0


class _Catalog(peers_grpc.CatalogBase):
    def __init__(self, state: IngressState):
        self.state = state

    async def Read(self, stream) -> None:  # noqa: N802
        asked = await stream.recv_message()
        await stream.send_message(_reply(self.state, asked))


def _reply(state: IngressState, asked) -> peers_pb2.CatalogReply:
    reply = peers_pb2.CatalogReply(
        routes_version=state.table.version,
        targets_version=state.targets.version,
        members=msgspec.json.encode(
            [
                catalog.MemberRow(m.instance, "", m.datagrams, m.calls)
                for m in state.members.values()
            ]
        ),
    )
    if asked.routes_version < state.table.version:
        reply.routes = state.routes_raw
    if asked.targets_version < state.targets.version:
        reply.targets = msgspec.json.encode(state.targets_raw)
    return reply


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


async def fetch(state: IngressState, address: str) -> None:
    """Takes over what a peer has newer.

    Raises:
        copperloom.exception.PeerUnavailableError: No answer.
    """
    asked = peers_pb2.CatalogRequest(
        routes_version=state.table.version,
        targets_version=state.targets.version,
    )
    reply = await client.call(
        state.channels,
        address,
        "Read",
        asked,
        timeout_s=_CALL_S,
        stub=peers_grpc.CatalogStub,
    )
    if reply.routes:
        follow.adopt_routes(state, reply.routes, address)
    if reply.targets and reply.targets_version > state.targets.version:
        _take_targets(state, reply, address)
    _take_members(state, reply.members)


def _take_targets(state: IngressState, reply, address: str) -> None:
    try:
        raw = msgspec.json.decode(reply.targets, type=dict[str, bytes])
    except msgspec.MsgspecError as error:
        logs.event("peer_unreadable", peer=address, error=str(error))
        return
    now = asyncio.get_running_loop().time()
    decoded = {n: decoding.decode_target(n, value) for n, value in raw.items()}
    before = dict(state.targets.entries)
    entries = [entry for entry in decoded.values() if entry is not None]
    version = reply.targets_version
    started = registry.replace(state.targets, entries, version, now)
    state.targets_raw = raw
    after = state.targets.entries
    changes = [
        (name, after.get(name))
        for name in before.keys() | after.keys()
        if before.get(name) != after.get(name)
    ]
    follow.note_targets(state, changes, started, address)


def _take_members(state: IngressState, raw: bytes) -> None:
    try:
        rows = msgspec.json.decode(raw or b"[]", type=list[catalog.MemberRow])
    except msgspec.MsgspecError as error:
        logs.event("peer_unreadable", error=str(error))
        return
    now = asyncio.get_running_loop().time()
    for row in rows:
        if row.instance != state.settings.instance:
            state.members.setdefault(
                row.instance,
                Member(row.instance, row.datagrams, row.calls, now),
            )
