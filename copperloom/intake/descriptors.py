"""Keeps descriptors, and the system's buffers behind them, within bounds."""

import asyncio
import contextlib
import resource
import socket

from copperloom.decisions import intake
from copperloom.intake import pool

__all__ = [
    "CALLERS_SHARE",
    "OTHERS_SHARE",
    "accepted_at_once",
    "admits",
    "bound_queued",
    "bound_receive_buffer",
    "listen",
    "max_open",
]

# Descriptors for files, and the shares of the others that connections of
# callers, and those of all listeners, may leave open. Requests to targets and
# peers need the rest.
_RESERVED = 200
CALLERS_SHARE = 0.8
OTHERS_SHARE = 0.9
# Part of what is left that one listener may open before any is checked.
_AT_ONCE_SHARE = 1 / 4
# Receive buffer of a connection that is not accepted yet.
_QUEUED_RECEIVE_BYTES = 16_384


def max_open(limit: int, share: float) -> int:
    """Returns the highest descriptor that a connection may have.

    Args:
        limit: Descriptors that the process may open; 0 for the limit of the
            operating system.
        share: Share of the descriptors that are not reserved.
    """
    if not limit:
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int((limit - _RESERVED) * share)


def accepted_at_once(limit: int, backlog: int) -> int:
    """Returns how many connections may be accepted before one is checked."""
    left = max_open(limit, 1.0) - max_open(limit, OTHERS_SHARE)
    return max(1, min(backlog, int(left * _AT_ONCE_SHARE)))


def admits(
    connections: pool.Pool, transport: asyncio.Transport, highest: int
) -> bool:
    """Returns whether a new connection may stay open.

    Another one that waits for its caller is ended for it, if no descriptor is
    left.
    """
    # The lowest free number is given to each new descriptor.
    used = transport.get_extra_info("socket").fileno()
    return used < highest or pool.displace(connections, pool.loop_time())


def bound_receive_buffer(
    connections: pool.Pool, transport: asyncio.Transport
) -> None:
    """Bounds what the operating system receives before it is read."""
    size = intake.receive_buffer_bytes(
        connections.memory_bytes(), len(connections.clients)
    )
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def bound_queued(sock: socket.socket) -> None:
    """Bounds the same for connections that a socket has not accepted."""
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _QUEUED_RECEIVE_BYTES
        )


async def listen(
    factory, sock: socket.socket, backlog: int, limit: int
) -> asyncio.Server:
    """Accepts connections on a listening socket.

    The event loop accepts as many connections in an iteration as it is told
    that the queue has.

    Args:
        factory: Makes the protocol of a new connection.
        sock: The listening socket.
        backlog: Length of the queue of connections.
        limit: Descriptors that the process may open; 0 for the limit of the
            operating system.
    """
    loop = asyncio.get_running_loop()
    bound_queued(sock)
    at_once = accepted_at_once(limit, backlog)
    server = await loop.create_server(factory, sock=sock, backlog=at_once)
    sock.listen(backlog)
    return server
