"""Calls to other entries, over connections that are kept."""

import asyncio
import contextlib

import grpclib
import grpclib.client
from grpclib import exceptions

from copperloom import exception
from copperloom.peers import peers_grpc

__all__ = ["Channels", "call", "close", "prune"]


class Channels:
    """Connections to peers, one for each address.

    Attributes:
        open: Channels by address.
        bytes_out: Bytes of messages sent to peers and back to them.
        bytes_in: Bytes of messages that came from peers.
    """

    def __init__(self):
        self.open: dict[str, grpclib.client.Channel] = {}
        self.bytes_out = 0
        self.bytes_in = 0


async def call(
    channels: Channels,
    address: str,
    method: str,
    message,
    *,
    timeout_s: float,
    stub=peers_grpc.PeersStub,
):
    """Calls a method of a peer.

    Args:
        channels: The connections.
        address: IP:port of the peer.
        method: Name of the method.
        message: Its request.
        timeout_s: Time limit.
        stub: Class of the service that has the method.

    Returns:
        The reply.

    Raises:
        copperloom.exception.PeerUnavailableError: No answer in time; the call
            may have had its effect.
    """
    service = stub(_channel(channels, address))
    channels.bytes_out += message.ByteSize()
    try:
        # A bound of its own: the library's deadline does not cover the time
        # that a connection to a silent address takes.
        async with asyncio.timeout(timeout_s):
            reply = await getattr(service, method)(message, timeout=timeout_s)
    except (
        grpclib.GRPCError,
        exceptions.ProtocolError,
        exceptions.StreamTerminatedError,
        OSError,
    ) as error:
        _drop(channels, address)
        raise exception.PeerUnavailableError(f"{address}: {error}") from error
    channels.bytes_in += reply.ByteSize()
    return reply


def close(channels: Channels) -> None:
    """Closes all connections."""
    for address in list(channels.open):
        _drop(channels, address)


def prune(channels: Channels, addresses: set[str]) -> None:
    """Closes the connections to other addresses than these."""
    for address in channels.open.keys() - addresses:
        _drop(channels, address)


def _channel(channels: Channels, address: str) -> grpclib.client.Channel:
    found = channels.open.get(address)
    if found is None:
        host, _, port = address.rpartition(":")
        found = grpclib.client.Channel(host, int(port))
        channels.open[address] = found
    return found


def _drop(channels: Channels, address: str) -> None:
    """Closes a connection after a failure.

    A connection whose other end froze or was cut takes requests in silence
    until the kernel gives it up; a new one fails or works at once.
    """
    channel = channels.open.pop(address, None)
    if channel is not None:
        with contextlib.suppress(OSError):
            channel.close()
