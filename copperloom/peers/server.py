"""Serves the calls of other instances."""

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
from copperloom.intake import calls
from copperloom.peers import digest, peers_grpc, peers_pb2

__all__ = ["PeerServer", "serve"]


class PeerServer:
    """The gRPC server for peers.

    Attributes:
        server: The library's server.
        service: The implementation of its methods.
    """

    def __init__(self, server: grpclib.server.Server, service: "_Peers"):
        self.server = server
        self.service = service

    def close(self) -> None:
        """Stops listening, and refuses calls on open connections.

        The library leaves them open, so that a peer could still get replies of
        an instance that has stopped.
        """
        self.service.closed = True
        self.server.close()

    async def wait_closed(self) -> None:
        """Waits until the calls from peers and to them have ended."""
        await self.server.wait_closed()
        await membership.close(self.service.state)


class _Peers(peers_grpc.PeersBase):
    def __init__(self, state):
        self.state = state
        self.closed = False

    async def Exchange(self, stream) -> None:  # noqa: N802
        request = await self.receive(stream)
        now = asyncio.get_running_loop().time()
        digest_exchange.record_request(self.state, request, now)
        reply = digest.make(self.state, now)
        await self.send(
            stream, digest.add_peers(reply, self.state, request), request
        )

    async def Reserve(self, stream) -> None:  # noqa: N802
        request = await self.receive(stream)
        now = asyncio.get_running_loop().time()
        await self.send(
            stream,
            reservation_owners.grant_reservation(self.state, request, now),
            request,
        )

    async def Release(self, stream) -> None:  # noqa: N802
        request = await self.receive(stream)
        reservation_owners.release_reservations(self.state, request)
        await self.send(stream, peers_pb2.ReleaseReply(), request)

    async def Fetch(self, stream) -> None:  # noqa: N802
        request = await self.receive(stream)
        await self.send(
            stream, config_fetch.reply_to(self.state, request), request
        )

    async def receive(self, stream):
        if self.closed:
            raise grpclib.GRPCError(grpclib.const.Status.UNAVAILABLE)
        return await stream.recv_message()

    async def send(self, stream, reply, request) -> None:
        channels = self.state.membership.channels
        channels.bytes_in += request.ByteSize()
        channels.bytes_out += reply.ByteSize()
        await stream.send_message(reply)


async def serve(state) -> tuple[PeerServer, str]:
    """Starts the server for peers.

    Returns:
        The server, and the address (IP:port) that peers call.
    """
    host, _, port = state.settings.entry.peers_listen.rpartition(":")
    listener = socket.create_server((host, int(port)))
    listener.setblocking(False)
    state.peers_address = "{}:{}".format(*listener.getsockname()[:2])
    channels = state.membership.channels
    byte_counts = state.metrics.peer_bytes
    byte_counts.labels("in").set_function(lambda: channels.bytes_in)
    byte_counts.labels("out").set_function(lambda: channels.bytes_out)
    service = _Peers(state)
    server = await calls.serve(
        [service],
        listener,
        state.connections,
        lambda: state.settings.limits.max_descriptors,
    )
    return PeerServer(server, service), state.peers_address
