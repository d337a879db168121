"""Answers of a fake target that are written without an HTTP library.

Their bodies have neither a length nor chunks, a wrong length, or no HTTP head.
"""

import asyncio

from copperloom.platform.standins import crashes
from copperloom.platform.standins.target_faults import Fault

__all__ = [
    "PLAIN_FAULTS",
    "STREAM_FAULTS",
    "part_of",
    "write_plain",
    "write_stream",
]

PLAIN_FAULTS = (
    Fault.TRUNCATE,
    Fault.RESET_UNFRAMED,
    Fault.UNFRAMED,
    Fault.NOT_HTTP,
)
# Faults of streams that have neither a length nor chunks.
STREAM_FAULTS = (Fault.UNFRAMED, Fault.UNFRAMED_HALF, Fault.RESET_UNFRAMED)
_PARTIAL_EVENT_BYTES = 16
# Time until the bytes of an answer have left.
_FLUSH_S = 0.05


def part_of(event: bytes) -> bytes:
    """Returns the begin of an event, which is not complete."""
    return event[:_PARTIAL_EVENT_BYTES]


async def write_plain(request, headers, body: bytes, fault: Fault) -> None:
    """Writes a response bypassing aiohttp and closes the connection."""
    lines = [f"{k}: {v}" for k, v in headers.items()]
    if fault is Fault.TRUNCATE:
        lines.append(f"Content-Length: {len(body) + 10}")
    head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
    transport = request.transport
    if fault is Fault.NOT_HTTP:
        transport.write(b"\x00\x01garbage\r\n\r\n")
    else:
        transport.write(head + body)
    await asyncio.sleep(_FLUSH_S)
    if fault is Fault.RESET_UNFRAMED:
        crashes.reset(request.transport)
    else:
        transport.close()


async def write_stream(target, request, response, first, fault):
    """Sends a stream that ends with its connection, or breaks off."""
    lines = [f"{k}: {v}" for k, v in response.headers.items()]
    transport = request.transport
    transport.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
    for number in range(first, target.events + 1):
        await asyncio.sleep(target.pause_s)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        is_broken = fault is not Fault.UNFRAMED
        if is_broken and number - first == target.break_after:
            transport.write(part_of(event))
            break
        transport.write(event)
    await asyncio.sleep(_FLUSH_S)
    if fault is Fault.RESET_UNFRAMED:
        crashes.reset(transport)
    else:
        transport.close()
    return response
