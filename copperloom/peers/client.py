"""Calls other instances over persistent connections."""

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
        bytes_out: Bytes of requests and replies sent to peers.
        bytes_in: Bytes of requests and replies received from peers.
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
        message: The request.
        timeout_s: Timeout in seconds.
        stub: Client class of the service that has the method.

    Returns:
        The reply.

    Raises:
        copperloom.exception.PeerUnavailableError: No reply within the timeout;
            the peer may still have processed the call.
    """
    service = stub(_channel(channels, address))
    channels.bytes_out += message.ByteSize()
    try:
        # A separate timeout, since the library's deadline does not cover the
        # connection attempt.
        async with asyncio.timeout(timeout_s):
            reply = await getattr(service, method)(message, timeout=timeout_s)
    except (
        grpclib.GRPCError,
        exceptions.ProtocolError,
        exceptions.StreamTerminatedError,
        OSError,
    ) as error:
        _drop(channels, address)
        raise exception.PeerUnavailableError(
            f"{address} gave no valid reply: {error}"
        ) from error
    channels.bytes_in += reply.ByteSize()
    return reply


def close(channels: Channels) -> None:
    """Closes all connections."""
    for address in list(channels.open):
        _drop(channels, address)


def prune(channels: Channels, addresses: set[str]) -> None:
    """Closes the connections to all addresses but the given ones."""
    for address in channels.open.keys() - addresses:
        _drop(channels, address)


def _channel(channels: Channels, address: str) -> grpclib.client.Channel:
    channel = channels.open.get(address)
    if channel is None:
        host, _, port = address.rpartition(":")
        channel = grpclib.client.Channel(host, int(port))
        channels.open[address] = channel
    return channel


def _drop(channels: Channels, address: str) -> None:
    """Closes a connection after a failure.

    A connection to a frozen or unreachable peer accepts requests without a
    reply until the kernel drops it; a new one works or fails at once.
    """
    channel = channels.open.pop(address, None)
    if channel is not None:
        with contextlib.suppress(OSError):
            channel.close()
