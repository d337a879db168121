"""Crashes and restarts of fake targets."""

import asyncio
import socket
import struct

from aiohttp import web

from copperloom.platform.standins import wire

__all__ = ["crash", "crash_under", "has_part", "reset", "restart"]

# Exceeds the time until the reset of its connection cancels a handler.
_CANCELLED_S = 0.1


def reset(transport) -> None:
    """Closes a connection with a TCP reset."""
    sock = transport.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def crash(target) -> None:
    """Ends the target as a crash of its process would.

    Its connections are reset, and its port refuses new ones until it restarts.
    """
    if target.runner is None:
        return
    runner, target.runner = target.runner, None
    for site in list(runner.sites):
        site._server.close()
    for connection in list(runner.server.connections):
        if connection.transport is not None:
            reset(connection.transport)
    target.memory.clear()
    target.on_crash(target)
    target.restarting = asyncio.ensure_future(_restart_later(target, runner))


async def _restart_later(target, ended) -> None:
    await ended.cleanup()
    if target.restart_after_s is not None:
        await asyncio.sleep(target.restart_after_s)
        await restart(target)


async def restart(target) -> None:
    """Starts the target again at its address, as a new incarnation."""
    host, _, port = target.address.rpartition(":")
    target.born += 1
    target.draining = None
    target.retry_after = None
    target.begin_cold()
    if target.renamed:
        target.name = f"{target.name.partition('.')[0]}.{target.born}"
    await target.listen(host, int(port))
    target.on_restart(target)


def has_part(received, part: str) -> bool:
    """Returns whether a request's prompt has a part; its last one is its own.

    Ids are compared as they are written.
    """
    entries = received.headers.get(wire.PARTS, "").split(",")
    return part in [e.partition(":")[0] for e in entries[:-1]]


async def crash_under(target, request, received) -> None:
    """Crashes after the head of a stream, or before a plain answer."""
    if wire.TOKENS in request.headers:
        headers = {wire.REQUEST: received.id, wire.SEAL: f"s.{received.id}"}
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
    await asyncio.sleep(target.pause_s)
    target.crashed_by.append(received)
    crash(target)
    # The reset of the connection cancels this handler.
    await asyncio.sleep(_CANCELLED_S)
