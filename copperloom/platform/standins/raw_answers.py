"""Answers of a fake target that are written without an HTTP library.

Their bodies have neither a length nor chunks, a wrong length, or no HTTP head.
"""

import asyncio
import functools
import itertools

from copperloom.platform.standins import crashes
from copperloom.platform.standins.target_faults import Fault

__all__ = [
    "ENDLESS_FAULTS",
    "FLUSH_S",
    "PLAIN_FAULTS",
    "STREAM_FAULTS",
    "part_of",
    "write_cut",
    "write_early",
    "write_endless",
    "write_plain",
    "write_raw",
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
_CHUNKED = ("Transfer-Encoding: chunked",)
_STREAM = ("Content-Type: text/event-stream",)
_BODY = b"x" * 4096
# The begin of an endless answer after its status line, and what is repeated.
_ENDLESS = {
    Fault.ENDLESS_HEAD: ((), b"", b"X-More: y\r\n"),
    Fault.ENDLESS_LINE: ((), b"X-Long: ", _BODY),
    Fault.ENDLESS_INTERIM: ((), b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    Fault.ENDLESS_BODY: ((), b"\r\n", _BODY),
    Fault.ENDLESS_CHUNKS: (_CHUNKED, b"\r\n", b"1000\r\n" + _BODY + b"\r\n"),
    Fault.ENDLESS_SMALL_CHUNKS: (_CHUNKED, b"\r\n", b"1\r\nx\r\n"),
    Fault.ENDLESS_CHUNK_SIZE: (_CHUNKED, b"\r\n", b"0" * 4096),
    Fault.ENDLESS_EXTENSION: (_CHUNKED, b"\r\n1;a=", _BODY),
    Fault.ENDLESS_TRAILERS: (_CHUNKED, b"\r\n0\r\n", b"X-More: y\r\n"),
    Fault.ENDLESS_REFUSAL: (("Copperloom-Not-Executed: 1",), b"\r\n", _BODY),
    Fault.ENDLESS_EVENT: (_STREAM, b"\r\ndata: ", _BODY),
    Fault.ENDLESS_EVENTS: (_STREAM, b"\r\n", b"id: %d\ndata: x\n\n"),
    Fault.ANNOUNCED: (("Content-Length: 16000001",), b"\r\n", _BODY),
}
ENDLESS_FAULTS = tuple(_ENDLESS)
_BLOCK_BYTES = 262_144
_POLL_S = 0.002
_PARTIAL_EVENT_BYTES = 16
# Time until the bytes of an answer have left.
FLUSH_S = 0.05


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
    await asyncio.sleep(FLUSH_S)
    if fault is Fault.RESET_UNFRAMED:
        crashes.reset(request.transport)
    else:
        transport.close()


async def write_raw(target, request, headers, request_id: str) -> None:
    """Writes an answer whose head its target makes, and closes."""
    body = f"{target.name} did {request_id}".encode()
    head = target.write_head([f"{k}: {v}" for k, v in headers.items()])
    request.transport.write(head + body)
    await asyncio.sleep(FLUSH_S)
    request.transport.close()


async def write_cut(target, request, headers) -> None:
    """Writes the begin of a head, and closes or resets."""
    head = target.cut_answer([f"{k}: {v}" for k, v in headers.items()])
    request.transport.write(head)
    await asyncio.sleep(FLUSH_S)
    if target.resets:
        crashes.reset(request.transport)
    else:
        request.transport.close()
    # The handler is cancelled as the connection is lost.
    await asyncio.sleep(FLUSH_S)


async def write_early(target, request) -> None:
    """Answers a request that is still being received, then resets."""
    request.transport.pause_reading()
    request.transport.write(target.early_answer)
    await asyncio.sleep(FLUSH_S)
    crashes.reset(request.transport)
    # The handler is cancelled as the connection is lost.
    await asyncio.sleep(FLUSH_S)


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
    await asyncio.sleep(FLUSH_S)
    if fault is Fault.RESET_UNFRAMED:
        crashes.reset(transport)
    else:
        transport.close()
    return response


@functools.lru_cache(maxsize=64)
def _make_block(repeated: bytes, number: int) -> bytes:
    """Returns a block of an endless answer, with increasing ids of events."""
    times = _BLOCK_BYTES // len(repeated)
    block = repeated * times
    if b"%d" not in repeated:
        return block
    first = number * times + 1
    return block % tuple(range(first, first + times))


async def write_endless(target, request, headers, fault: Fault) -> None:
    """Writes an answer without end, as fast as its receiver reads it."""
    transport = request.transport
    extra, begin, repeated = _ENDLESS[fault]
    status = "HTTP/1.1 200 OK"
    if fault is Fault.ENDLESS_REFUSAL:
        status = "HTTP/1.1 503 Service Unavailable"
    lines = [status, *(f"{k}: {v}" for k, v in headers.items()), *extra, ""]
    if fault is not Fault.ENDLESS_INTERIM:
        transport.write("\r\n".join(lines).encode() + begin)
    numbers = itertools.count()
    while not transport.is_closing():
        if not transport.get_write_buffer_size():
            block = _make_block(repeated, next(numbers))
            transport.write(block)
            target.endless_bytes += len(block)
        await asyncio.sleep(_POLL_S)
    raise ConnectionResetError("receiver closed the connection")
