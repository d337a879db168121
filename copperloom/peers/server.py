"""Serves other entries."""

import asyncio
import socket

import grpclib
import grpclib.const
import grpclib.server

from copperloom.controllers import (
    config_fetch,
    digest_exchange,
    membership,
    reservation_owners,
)
from copperloom.peers import digest, peers_grpc, peers_pb2

__all__ = ["PeerServer", "serve"]


class PeerServer:
    """A listening server and this entry's calls to its peers.

    Attributes:
        server: The library's server.
        service: The calls that it serves.
    """

    def __init__(self, server: grpclib.server.Server, service: "_Peers"):
        self.server = server
        self.service = service

    def close(self) -> None:
        """Stops listening, and refuses calls on connections still open.

        The library leaves them open; a peer that used one would go on hearing
        an entry that has stopped.
        """
        self.service.closed = True
        self.server.close()

    async def wait_closed(self) -> None:
        """Waits until calls from and to peers have ended."""
        await self.server.wait_closed()
        await membership.close(self.service.state)


class _Peers(peers_grpc.PeersBase):
    def __init__(self, state):
        self.state = state
        self.closed = False

    async def Exchange(self, stream) -> None:  # noqa: N802
        told = await self.receive(stream)
        now = asyncio.get_running_loop().time()
        digest_exchange.note_request(self.state, told, now)
        reply = digest.make(self.state, now)
        await self.send(stream, digest.add_peers(reply, self.state, told), told)

    async def Reserve(self, stream) -> None:  # noqa: N802
        asked = await self.receive(stream)
        now = asyncio.get_running_loop().time()
        await self.send(
            stream, reservation_owners.grant(self.state, asked, now), asked
        )

    async def Release(self, stream) -> None:  # noqa: N802
        asked = await self.receive(stream)
        reservation_owners.release_reservations(self.state, asked)
        await self.send(stream, peers_pb2.ReleaseReply(), asked)

    async def Fetch(self, stream) -> None:  # noqa: N802
        asked = await self.receive(stream)
        await self.send(stream, config_fetch.reply_to(self.state, asked), asked)

    async def receive(self, stream):
        if self.closed:
            raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE)
        return await stream.recv_message()

    async def send(self, stream, reply, asked) -> None:
        channels = self.state.membership.channels
        channels.bytes_in += asked.ByteSize()
        channels.bytes_out += reply.ByteSize()
        await stream.send_message(reply)


async def serve(state) -> tuple[PeerServer, str]:
    """Listens for other entries.

    Returns:
        The server, and the address (IP:port) that others are told.
    """
    host, _, port = state.settings.entry.peers_listen.rpartition(":")
    listener = socket.create_server((host, int(port)))
    listener.setblocking(False)
    state.peers_address = "{}:{}".format(*listener.getsockname()[:2])
    channels = state.membership.channels
    counts = state.metrics.peer_bytes
    counts.labels("in").set_function(lambda: channels.bytes_in)
    counts.labels("out").set_function(lambda: channels.bytes_out)
    service = _Peers(state)
    server = grpclib.server.Server([service])
    await server.start(sock=listener)
    return PeerServer(server, service), state.peers_address
