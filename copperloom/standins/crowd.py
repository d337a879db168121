"""Clients that don't keep to any limit: heads, bodies and silence of any form.

Usage:
  crowd PLAN

PLAN is a `Plan` as JSON. The process runs until it is terminated, or for the
plan's time. Each client sends the pieces of its kind, then keeps its connection
open; it opens another one when the connection is closed.
"""

import asyncio
import contextlib
import dataclasses
import enum
import random
import signal
import socket
import sys
from collections.abc import Callable, Iterator

import docopt
import msgspec

__all__ = ["KINDS", "Plan", "Step", "Template", "run"]

_BLOCK_BYTES = 65_536
_FIELD_BYTES = 8_000
_LARGE_FIELD_BYTES = 60_000
_LARGE_FIELDS = 120
_RECONNECT_S = 0.02
_CONNECT_S = 2.0
# Pause of a client that sends a byte at a time.
_SLOW_S = 0.5
_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
# Calls on a connection, and frames of each: within the windows of flow control.
_CALLS = 9
_CALL_FRAMES = 25
_DATAGRAM_BYTES = 40_000
_DATAGRAM_PAUSE_S = 0.01


@dataclasses.dataclass(frozen=True)
class Template:
    """A proper request, which the clients distort.

    Attributes:
        lines: Request line of a POST and its fields, without those that frame
            the body.
        max_header_bytes: Maximum size of a head.
        max_body_bytes: Maximum size of a body.
    """

    lines: tuple[str, ...]
    max_header_bytes: int
    max_body_bytes: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a crowd does.

    Attributes:
        address: IP:port that it connects to.
        kinds: Names of the kinds of its clients, which take turns.
        clients: Number of clients.
        seconds: Time after which it stops, in seconds.
        seed: Seed of what is random.
        template: The request that is distorted.
    """

    address: str
    kinds: tuple[str, ...]
    clients: int
    seconds: float
    seed: int
    template: Template


class Step(enum.Enum):
    """What a client does between two pieces, beside sending."""

    STOP_READING = "stop_reading"
    END_SENDING = "end_sending"
    ABORT = "abort"


_Pieces = Iterator[bytes | Step]


def _head(template: Template, *fields: str) -> bytes:
    return "\r\n".join([*template.lines, *fields, "", ""]).encode()


def _open_head(template: Template) -> bytes:
    """Returns a head without its end."""
    return _head(template)[:-2]


def _slowly(data: bytes) -> _Pieces:
    """Yields a byte at a time; an empty piece is a pause."""
    for number in range(len(data)):
        yield data[number : number + 1]
        yield b""


def _repeat(data: bytes) -> _Pieces:
    block = data * max(1, _BLOCK_BYTES // len(data))
    while True:
        yield block


def _fields(size: int, count: int | None = None) -> _Pieces:
    number = 0
    while count is None or number < count:
        number += 1
        yield f"X-{number}: ".encode() + b"v" * size + b"\r\n"


def _endless_head(template: Template, rng: random.Random) -> _Pieces:
    yield _open_head(template)
    yield from _fields(_FIELD_BYTES)


def _large_fields(template: Template, rng: random.Random) -> _Pieces:
    yield _open_head(template)
    yield from _fields(_LARGE_FIELD_BYTES, _LARGE_FIELDS)


def _tiny_fields(template: Template, rng: random.Random) -> _Pieces:
    yield _open_head(template)
    yield from _repeat(b"a:b\r\n")


def _tiny_fields_whole(template: Template, rng: random.Random) -> _Pieces:
    """Yields a head of the maximum size, without the body that it announces."""
    begin = _open_head(template) + b"Content-Length: 9\r\n"
    left = template.max_header_bytes - len(begin) - 2
    yield begin + b"a:b\r\n" * (left // 5) + b"\r\n"


def _endless_request_line(template: Template, rng: random.Random) -> _Pieces:
    yield b"GET /"
    yield from _repeat(b"x")


def _endless_method(template: Template, rng: random.Random) -> _Pieces:
    yield from _repeat(b"A")


def _empty_lines(template: Template, rng: random.Random) -> _Pieces:
    yield from _repeat(b"\r\n")


def _garbage(template: Template, rng: random.Random) -> _Pieces:
    while True:
        yield rng.randbytes(_BLOCK_BYTES)


def _garbage_lines(template: Template, rng: random.Random) -> _Pieces:
    yield from _repeat(b"not a request\r\n\r\n")


def _announced_body(template: Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield _head(template, f"Content-Length: {size}")
    yield b"x" * (size - 1)


def _one_chunk(template: Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield _head(template, "Transfer-Encoding: chunked")
    yield f"{size:x}\r\n".encode() + b"x" * (size - 1)


def _chunks(template: Template, size: int) -> _Pieces:
    """Yields chunks of the given size up to the maximum, without the last."""
    yield _head(template, "Transfer-Encoding: chunked")
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    count = template.max_body_bytes // size
    per_block = max(1, _BLOCK_BYTES // len(chunk))
    while count > 0:
        yield chunk * min(count, per_block)
        count -= per_block


def _large_chunks(template: Template, rng: random.Random) -> _Pieces:
    yield from _chunks(template, 64_000)


def _tiny_chunks(template: Template, rng: random.Random) -> _Pieces:
    yield from _chunks(template, 1)


def _random_chunks(template: Template, rng: random.Random) -> _Pieces:
    yield from _chunks(template, rng.choice((2, 3, 17, 100, 1000)))


def _chunk_extension(template: Template, rng: random.Random) -> _Pieces:
    yield _head(template, "Transfer-Encoding: chunked") + b"1;"
    yield from _repeat(b"x")


def _extended_chunks(template: Template, rng: random.Random) -> _Pieces:
    yield _head(template, "Transfer-Encoding: chunked")
    yield from _repeat(b"1;" + b"e" * 1000 + b"\r\nx\r\n")


def _chunk_size(template: Template, rng: random.Random) -> _Pieces:
    yield _head(template, "Transfer-Encoding: chunked")
    yield from _repeat(b"0")


def _trailers(template: Template, rng: random.Random) -> _Pieces:
    yield _head(template, "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    yield from _repeat(b"a:b\r\n")


def _too_long_body(template: Template, rng: random.Random) -> _Pieces:
    yield _head(template, f"Content-Length: {10**12}")
    yield from _repeat(b"x")


def _too_long_chunks(template: Template, rng: random.Random) -> _Pieces:
    yield _head(template, "Transfer-Encoding: chunked")
    yield from _repeat(b"10000\r\n" + b"x" * 65_536 + b"\r\n")


def _pipelined(template: Template, rng: random.Random) -> _Pieces:
    yield Step.STOP_READING
    yield from _repeat(_head(template, "Content-Length: 1") + b"x")


def _pipelined_bodies(template: Template, rng: random.Random) -> _Pieces:
    yield Step.STOP_READING
    size = template.max_body_bytes
    request = _head(template, f"Content-Length: {size}") + b"x" * size
    while True:
        yield request


def _pipelined_half(template: Template, rng: random.Random) -> _Pieces:
    """Yields a whole request, then one that stops just short of its end."""
    yield _head(template, "Content-Length: 1") + b"x"
    yield from _announced_body(template, rng)


def _whole_heads(template: Template, rng: random.Random) -> _Pieces:
    """Yields whole requests whose heads have the maximum size."""
    begin = _open_head(template) + b"Content-Length: 0\r\n"
    left = template.max_header_bytes - len(begin) - 2
    request = begin + b"a:b\r\n" * (left // 5) + b"\r\n"
    while True:
        yield request


def _field_name(template: Template, rng: random.Random) -> _Pieces:
    yield _open_head(template)
    yield from _repeat(b"x")


def _huge_chunk(template: Template, rng: random.Random) -> _Pieces:
    yield _head(template, "Transfer-Encoding: chunked") + b"7fffffffffff\r\n"
    yield from _repeat(b"x")


def _unread_errors(template: Template, rng: random.Random) -> _Pieces:
    """Yields requests that are refused at once, and reads no answer."""
    yield Step.STOP_READING
    yield from _repeat(b"GET /none HTTP/1.1\r\nHost: none\r\n\r\n")


def _half_closed(template: Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield _head(template, f"Content-Length: {size}") + b"x" * (size // 2)
    yield Step.END_SENDING


def _aborted(template: Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield _head(template, f"Content-Length: {size}") + b"x" * (size - 1)
    yield Step.ABORT


def _opened_only(template: Template, rng: random.Random) -> _Pieces:
    yield Step.ABORT


def _upgrade(template: Template, rng: random.Random) -> _Pieces:
    fields = ("Connection: upgrade", "Upgrade: websocket", "Content-Length: 0")
    yield _head(template, *fields)
    yield from _repeat(b"x")


def _connect(template: Template, rng: random.Random) -> _Pieces:
    yield b"CONNECT example:80 HTTP/1.1\r\nHost: example:80\r\n\r\n"
    yield from _repeat(b"x")


def _expects(template: Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield _head(template, f"Content-Length: {size}", "Expect: 100-continue")


def _silent(template: Template, rng: random.Random) -> _Pieces:
    yield from ()


def _half_head(template: Template, rng: random.Random) -> _Pieces:
    head = _head(template)
    yield head[: rng.randrange(1, len(head) - 1)]


def _slow_head(template: Template, rng: random.Random) -> _Pieces:
    yield from _slowly(_head(template, "Content-Length: 1") + b"x")


def _slow_body(template: Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield _head(template, f"Content-Length: {size}")
    yield from _slowly(b"x" * size)


def _slow_large_body(template: Template, rng: random.Random) -> _Pieces:
    """Yields nearly all of a body, and then a byte at a time."""
    size = template.max_body_bytes
    yield _head(template, f"Content-Length: {size}") + b"x" * (size - 1000)
    yield from _slowly(b"x" * 1000)


def _frames(template: Template, rng: random.Random) -> _Pieces:
    """Yields an HTTP/2 preface and DATA frames of streams never opened."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    size = 16_384
    yield from _repeat(size.to_bytes(3, "big") + b"\0\0\0\0\0\1" + b"x" * size)


def _continuations(template: Template, rng: random.Random) -> _Pieces:
    """Yields an HTTP/2 preface and a header block without end."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0" + b"\0\0\1\1\0\0\0\0\1\x82"
    size = 16_000
    frame = size.to_bytes(3, "big") + b"\x09\0\0\0\0\1" + b"\x00" * size
    yield from _repeat(frame)


def _half_frame(template: Template, rng: random.Random) -> _Pieces:
    """Yields an HTTP/2 preface and a frame that stops short of its end."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    yield (16_384).to_bytes(3, "big") + b"\0\0\0\0\0\1" + b"x" * 16_000


def _call_without_end(template: Template, rng: random.Random) -> _Pieces:
    """Yields calls of a peer whose messages stop short of their end."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    for stream in range(1, 2 * _CALLS, 2):
        number = stream.to_bytes(4, "big")
        block = _CALL_FIELDS
        yield len(block).to_bytes(3, "big") + b"\1\4" + number + block
        message = b"\0\x7f\xff\xff\xff" + b"x" * 16_000
        yield len(message).to_bytes(3, "big") + b"\0\0" + number + message
        for _ in range(_CALL_FRAMES):
            yield (16_000).to_bytes(3, "big") + b"\0\0" + number + b"x" * 16_000


def _literal(name: bytes, value: bytes) -> bytes:
    """Returns a header field as an HPACK literal without indexing."""
    return b"\0" + bytes([len(name)]) + name + bytes([len(value)]) + value


_CALL_FIELDS = b"".join(
    _literal(name, value)
    for name, value in (
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", b"/copperloom.peers.Relay/Forward"),
        (b":authority", b"peer"),
        (b"te", b"trailers"),
        (b"content-type", b"application/grpc"),
    )
)

# Kinds of clients by name: each yields the pieces that one connection sends.
KINDS: dict[str, Callable[[Template, random.Random], _Pieces]] = {
    "aborted": _aborted,
    "announced_body": _announced_body,
    "call_without_end": _call_without_end,
    "chunk_extension": _chunk_extension,
    "chunk_size": _chunk_size,
    "connect": _connect,
    "continuations": _continuations,
    "empty_lines": _empty_lines,
    "endless_head": _endless_head,
    "endless_method": _endless_method,
    "endless_request_line": _endless_request_line,
    "expects": _expects,
    "extended_chunks": _extended_chunks,
    "field_name": _field_name,
    "frames": _frames,
    "garbage": _garbage,
    "garbage_lines": _garbage_lines,
    "half_closed": _half_closed,
    "half_frame": _half_frame,
    "half_head": _half_head,
    "huge_chunk": _huge_chunk,
    "large_chunks": _large_chunks,
    "large_fields": _large_fields,
    "one_chunk": _one_chunk,
    "opened_only": _opened_only,
    "pipelined": _pipelined,
    "pipelined_bodies": _pipelined_bodies,
    "pipelined_half": _pipelined_half,
    "random_chunks": _random_chunks,
    "silent": _silent,
    "slow_body": _slow_body,
    "slow_head": _slow_head,
    "slow_large_body": _slow_large_body,
    "tiny_chunks": _tiny_chunks,
    "tiny_fields": _tiny_fields,
    "tiny_fields_whole": _tiny_fields_whole,
    "too_long_body": _too_long_body,
    "too_long_chunks": _too_long_chunks,
    "trailers": _trailers,
    "unread_errors": _unread_errors,
    "upgrade": _upgrade,
    "whole_heads": _whole_heads,
}
# Sends datagrams that are no messages.
_DATAGRAMS = "datagrams"


async def run(plan: Plan) -> None:
    """Runs the clients for the plan's time."""
    tasks = [
        asyncio.ensure_future(_stay(plan, number))
        for number in range(plan.clients)
    ]
    try:
        await asyncio.sleep(plan.seconds)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _stay(plan: Plan, number: int) -> None:
    rng = random.Random(f"{plan.seed}.{number}")
    kind = plan.kinds[number % len(plan.kinds)]
    if kind == _DATAGRAMS:
        await _send_datagrams(plan.address, rng)
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            await _connect_once(plan, KINDS[kind], rng)
        await asyncio.sleep(_RECONNECT_S)


async def _connect_once(plan: Plan, kind, rng: random.Random) -> None:
    host, _, port = plan.address.rpartition(":")
    async with asyncio.timeout(_CONNECT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    reading = asyncio.ensure_future(_discard(reader))
    sending = asyncio.ensure_future(
        _send(writer, reader, kind(plan.template, rng))
    )
    try:
        await asyncio.wait(
            (reading, sending), return_when=asyncio.FIRST_EXCEPTION
        )
    finally:
        for task in (reading, sending):
            task.cancel()
        await asyncio.gather(reading, sending, return_exceptions=True)
        writer.transport.abort()


async def _discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(_BLOCK_BYTES):
        pass
    raise ConnectionResetError("the connection was closed")


async def _send(writer, reader, pieces: _Pieces) -> None:
    for piece in pieces:
        if piece is Step.STOP_READING:
            writer.transport.pause_reading()
        elif piece is Step.END_SENDING:
            writer.write_eof()
        elif piece is Step.ABORT:
            raise ConnectionAbortedError
        elif piece:
            writer.write(piece)
            await writer.drain()
        else:
            await asyncio.sleep(_SLOW_S)


async def _send_datagrams(address: str, rng: random.Random) -> None:
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        while True:
            with contextlib.suppress(OSError):
                sock.sendto(rng.randbytes(_DATAGRAM_BYTES), (host, int(port)))
            await asyncio.sleep(_DATAGRAM_PAUSE_S)


async def _run_until_terminated(plan: Plan) -> None:
    task = asyncio.ensure_future(run(plan))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task


def main(argv: list[str] | None = None) -> int:
    """Runs a crowd."""
    args = docopt.docopt(__doc__, argv)
    plan = msgspec.json.decode(args["PLAN"], type=Plan)
    asyncio.run(_run_until_terminated(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
