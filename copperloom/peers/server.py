"""Serves other entries."""

import asyncio
import socket

import grpclib.server

from copperloom.controllers import fetch, members, owners
from copperloom.peers import digest, peers_grpc, peers_pb2

__all__ = ["PeerServer", "serve"]


class PeerServer:
    """A listening server and this entry's calls to its peers.

    Attributes:
        server: The library's server.
        state: The entry's state.
    """

    def __init__(self, server: grpclib.server.Server, state):
        self.server = server
        self.state = state

    def close(self) -> None:
        """Stops listening."""
        self.server.close()

    async def wait_closed(self) -> None:
        """Waits until calls from and to peers have ended."""
        await self.server.wait_closed()
        await members.close(self.state)


class _Peers(peers_grpc.PeersBase):
    def __init__(self, state):
        self.state = state

    async def Exchange(self, stream) -> None:  # noqa: N802
        told = await stream.recv_message()
        now = asyncio.get_running_loop().time()
        members.note_request(self.state, told, now)
        reply = digest.make(self.state, now)
        await self.send(stream, digest.add_peers(reply, self.state, told), told)

    async def Reserve(self, stream) -> None:  # noqa: N802
        asked = await stream.recv_message()
        now = asyncio.get_running_loop().time()
        await self.send(stream, owners.grant(self.state, asked, now), asked)

    async def Release(self, stream) -> None:  # noqa: N802
        asked = await stream.recv_message()
        owners.give_back(self.state, asked)
        await self.send(stream, peers_pb2.ReleaseReply(), asked)

    async def Fetch(self, stream) -> None:  # noqa: N802
        asked = await stream.recv_message()
        await self.send(stream, fetch.reply_to(self.state, asked), asked)

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
    server = grpclib.server.Server([_Peers(state)])
    await server.start(sock=listener)
    return PeerServer(server, state), state.peers_address
