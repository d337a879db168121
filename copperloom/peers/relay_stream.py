"""Opens streams over which a peer sends a request to targets.

Every request uses a connection of its own, so that a silent peer is given up
without a loss for other requests.
"""

import contextlib
from collections.abc import AsyncIterator

import grpclib
import grpclib.client
import grpclib.config
from grpclib import exceptions

from copperloom.peers import peers_grpc

__all__ = ["ERRORS", "open_stream"]

# Bytes that a peer may send before they have been read.
_WINDOW_BYTES = 256 * 1024
_CONFIG = grpclib.config.Configuration(
    http2_connection_window_size=_WINDOW_BYTES,
    http2_stream_window_size=_WINDOW_BYTES,
)
# How the failure of a connection to a peer shows.
ERRORS = (
    grpclib.GRPCError,
    exceptions.ProtocolError,
    exceptions.StreamTerminatedError,
    OSError,
)


class _LeftError(Exception):
    """Leaves the library's context without a wait."""


@contextlib.asynccontextmanager
async def open_stream(address: str) -> AsyncIterator[grpclib.client.Stream]:
    """Opens a stream to a peer; leaving the context ends its work.

    Args:
        address: IP:port of the peer. The connection is made with the first
            message.
    """
    host, _, port = address.rpartition(":")
    channel = grpclib.client.Channel(host, int(port), config=_CONFIG)
    try:
        async with peers_grpc.RelayStub(channel).Forward.open() as stream:
            yield stream
            # The library would wait for the end of the peer's work.
            raise _LeftError
    except _LeftError:
        pass
    finally:
        channel.close()
