"""Kinds of clients that send HTTP/1 requests beyond all limits."""

import random
from collections.abc import Callable

from copperloom.standins import crowd_pieces

__all__ = ["KINDS", "OTHER_KINDS"]

_Pieces = crowd_pieces.Pieces
_Template = crowd_pieces.Template
_BLOCK_BYTES = 65_536
_FIELD_BYTES = 8_000
_LARGE_FIELD_BYTES = 60_000
_LARGE_FIELDS = 120


def _endless_head(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.open_head(template)
    yield from crowd_pieces.fields(_FIELD_BYTES)


def _large_fields(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.open_head(template)
    yield from crowd_pieces.fields(_LARGE_FIELD_BYTES, _LARGE_FIELDS)


def _tiny_fields(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.open_head(template)
    yield from crowd_pieces.repeat(b"a:b\r\n")


def _tiny_fields_whole(template: _Template, rng: random.Random) -> _Pieces:
    """Yields a head of the maximum size, without the body that it announces."""
    begin = crowd_pieces.open_head(template) + b"Content-Length: 9\r\n"
    left = template.max_header_bytes - len(begin) - 2
    yield begin + b"a:b\r\n" * (left // 5) + b"\r\n"


def _endless_request_line(template: _Template, rng: random.Random) -> _Pieces:
    yield b"GET /"
    yield from crowd_pieces.repeat(b"x")


def _endless_method(template: _Template, rng: random.Random) -> _Pieces:
    yield from crowd_pieces.repeat(b"A")


def _empty_lines(template: _Template, rng: random.Random) -> _Pieces:
    yield from crowd_pieces.repeat(b"\r\n")


def _garbage(template: _Template, rng: random.Random) -> _Pieces:
    while True:
        yield rng.randbytes(_BLOCK_BYTES)


def _garbage_lines(template: _Template, rng: random.Random) -> _Pieces:
    yield from crowd_pieces.repeat(b"not a request\r\n\r\n")


def _announced_body(template: _Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield crowd_pieces.head(template, f"Content-Length: {size}")
    yield b"x" * (size - 1)


def _one_chunk(template: _Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield crowd_pieces.head(template, "Transfer-Encoding: chunked")
    yield f"{size:x}\r\n".encode() + b"x" * (size - 1)


def _chunks(template: _Template, size: int) -> _Pieces:
    """Yields chunks of the given size up to the maximum, without the last."""
    yield crowd_pieces.head(template, "Transfer-Encoding: chunked")
    chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    count = template.max_body_bytes // size
    per_block = max(1, _BLOCK_BYTES // len(chunk))
    while count > 0:
        yield chunk * min(count, per_block)
        count -= per_block


def _large_chunks(template: _Template, rng: random.Random) -> _Pieces:
    yield from _chunks(template, 64_000)


def _tiny_chunks(template: _Template, rng: random.Random) -> _Pieces:
    yield from _chunks(template, 1)


def _random_chunks(template: _Template, rng: random.Random) -> _Pieces:
    yield from _chunks(template, rng.choice((2, 3, 17, 100, 1000)))


def _chunk_extension(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.head(template, "Transfer-Encoding: chunked") + b"1;"
    yield from crowd_pieces.repeat(b"x")


def _extended_chunks(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.head(template, "Transfer-Encoding: chunked")
    yield from crowd_pieces.repeat(b"1;" + b"e" * 1000 + b"\r\nx\r\n")


def _chunk_size(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.head(template, "Transfer-Encoding: chunked")
    yield from crowd_pieces.repeat(b"0")


def _trailers(template: _Template, rng: random.Random) -> _Pieces:
    yield (
        crowd_pieces.head(template, "Transfer-Encoding: chunked")
        + b"1\r\nx\r\n0\r\n"
    )
    yield from crowd_pieces.repeat(b"a:b\r\n")


def _too_long_body(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.head(template, f"Content-Length: {10**12}")
    yield from crowd_pieces.repeat(b"x")


def _too_long_chunks(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.head(template, "Transfer-Encoding: chunked")
    yield from crowd_pieces.repeat(b"10000\r\n" + b"x" * 65_536 + b"\r\n")


def _pipelined(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.Step.STOP_READING
    yield from crowd_pieces.repeat(
        crowd_pieces.head(template, "Content-Length: 1") + b"x"
    )


def _pipelined_bodies(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.Step.STOP_READING
    size = template.max_body_bytes
    request = (
        crowd_pieces.head(template, f"Content-Length: {size}") + b"x" * size
    )
    while True:
        yield request


def _pipelined_half(template: _Template, rng: random.Random) -> _Pieces:
    """Yields a whole request, then one that stops just short of its end."""
    yield crowd_pieces.head(template, "Content-Length: 1") + b"x"
    yield from _announced_body(template, rng)


def _whole_heads(template: _Template, rng: random.Random) -> _Pieces:
    """Yields whole requests whose heads have the maximum size."""
    begin = crowd_pieces.open_head(template) + b"Content-Length: 0\r\n"
    left = template.max_header_bytes - len(begin) - 2
    request = begin + b"a:b\r\n" * (left // 5) + b"\r\n"
    while True:
        yield request


def _field_name(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.open_head(template)
    yield from crowd_pieces.repeat(b"x")


def _huge_chunk(template: _Template, rng: random.Random) -> _Pieces:
    yield (
        crowd_pieces.head(template, "Transfer-Encoding: chunked")
        + b"7fffffffffff\r\n"
    )
    yield from crowd_pieces.repeat(b"x")


def _unread_errors(template: _Template, rng: random.Random) -> _Pieces:
    """Yields requests that are refused at once, and reads no answer."""
    yield crowd_pieces.Step.STOP_READING
    yield from crowd_pieces.repeat(b"GET /none HTTP/1.1\r\nHost: none\r\n\r\n")


def _half_closed(template: _Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield crowd_pieces.head(template, f"Content-Length: {size}") + b"x" * (
        size // 2
    )
    yield crowd_pieces.Step.END_SENDING


def _aborted(template: _Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield crowd_pieces.head(template, f"Content-Length: {size}") + b"x" * (
        size - 1
    )
    yield crowd_pieces.Step.ABORT


def _opened_only(template: _Template, rng: random.Random) -> _Pieces:
    yield crowd_pieces.Step.ABORT


def _upgrade(template: _Template, rng: random.Random) -> _Pieces:
    fields = ("Connection: upgrade", "Upgrade: websocket", "Content-Length: 0")
    yield crowd_pieces.head(template, *fields)
    yield from crowd_pieces.repeat(b"x")


def _connect(template: _Template, rng: random.Random) -> _Pieces:
    yield b"CONNECT example:80 HTTP/1.1\r\nHost: example:80\r\n\r\n"
    yield from crowd_pieces.repeat(b"x")


def _expects(template: _Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield crowd_pieces.head(
        template, f"Content-Length: {size}", "Expect: 100-continue"
    )


def _silent(template: _Template, rng: random.Random) -> _Pieces:
    yield from ()


def _half_head(template: _Template, rng: random.Random) -> _Pieces:
    head = crowd_pieces.head(template)
    yield head[: rng.randrange(1, len(head) - 1)]


def _slow_head(template: _Template, rng: random.Random) -> _Pieces:
    yield from crowd_pieces.slowly(
        crowd_pieces.head(template, "Content-Length: 1") + b"x"
    )


def _slow_body(template: _Template, rng: random.Random) -> _Pieces:
    size = template.max_body_bytes
    yield crowd_pieces.head(template, f"Content-Length: {size}")
    yield from crowd_pieces.slowly(b"x" * size)


def _slow_large_body(template: _Template, rng: random.Random) -> _Pieces:
    """Yields nearly all of a body, and then a byte at a time."""
    size = template.max_body_bytes
    yield crowd_pieces.head(template, f"Content-Length: {size}") + b"x" * (
        size - 1000
    )
    yield from crowd_pieces.slowly(b"x" * 1000)


def _unknown_paths(template: _Template, rng: random.Random) -> _Pieces:
    """Yields requests without end for long paths that nothing serves."""
    path = b"/" + b"a" * (template.max_header_bytes - 1000)
    yield from crowd_pieces.repeat(
        b"GET " + path + b" HTTP/1.1\r\nHost: none\r\n\r\n"
    )


# Kinds of clients by name: each yields the pieces that one connection sends.
KINDS: dict[str, Callable[[_Template, random.Random], _Pieces]] = {
    "aborted": _aborted,
    "announced_body": _announced_body,
    "chunk_extension": _chunk_extension,
    "chunk_size": _chunk_size,
    "connect": _connect,
    "empty_lines": _empty_lines,
    "endless_head": _endless_head,
    "endless_method": _endless_method,
    "endless_request_line": _endless_request_line,
    "expects": _expects,
    "extended_chunks": _extended_chunks,
    "field_name": _field_name,
    "garbage": _garbage,
    "garbage_lines": _garbage_lines,
    "half_closed": _half_closed,
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
# Kinds that only tests of their own play.
OTHER_KINDS: dict[str, Callable[[_Template, random.Random], _Pieces]] = {
    "unknown_paths": _unknown_paths,
}
