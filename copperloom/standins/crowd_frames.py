"""Kinds of clients that send HTTP/2 frames, as peers do, without end."""

import itertools
import random
from collections.abc import Callable

from copperloom.standins import crowd_pieces

__all__ = ["CALL_KINDS", "KINDS"]

_Pieces = crowd_pieces.Pieces
_Template = crowd_pieces.Template
_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
# Calls on a connection, and frames of each: within the windows of flow control.
_CALLS = 9
_CALL_FRAMES = 25
_CALLS_AT_ONCE = 100


def _frames(template: _Template, rng: random.Random) -> _Pieces:
    """Yields an HTTP/2 preface and DATA frames of streams never opened."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    size = 16_384
    yield from crowd_pieces.repeat(
        size.to_bytes(3, "big") + b"\0\0\0\0\0\1" + b"x" * size
    )


def _continuations(template: _Template, rng: random.Random) -> _Pieces:
    """Yields an HTTP/2 preface and a header block without end."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0" + b"\0\0\1\1\0\0\0\0\1\x82"
    size = 16_000
    frame = size.to_bytes(3, "big") + b"\x09\0\0\0\0\1" + b"\x00" * size
    yield from crowd_pieces.repeat(frame)


def _half_frame(template: _Template, rng: random.Random) -> _Pieces:
    """Yields an HTTP/2 preface and a frame that stops short of its end."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    yield (16_384).to_bytes(3, "big") + b"\0\0\0\0\0\1" + b"x" * 16_000


def _call_without_end(template: _Template, rng: random.Random) -> _Pieces:
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


def _begin_call(stream: int, block: bytes) -> bytes:
    """Returns the frame that begins a call, without the end of its fields."""
    number = stream.to_bytes(4, "big")
    return len(block).to_bytes(3, "big") + b"\1\4" + number + block


def _resets(template: _Template, rng: random.Random) -> _Pieces:
    """Yields calls that are reset as soon as they have begun."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    for first in itertools.count(1, 2 * _CALLS_AT_ONCE):
        yield b"".join(
            _begin_call(stream, _CALL_FIELDS)
            + b"\0\0\4\3\0"
            + stream.to_bytes(4, "big")
            + b"\0\0\0\x08"
            for stream in range(first, first + 2 * _CALLS_AT_ONCE, 2)
        )


def _calls_without_message(template: _Template, rng: random.Random) -> _Pieces:
    """Yields as many calls as a connection may have, without a message."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    for stream in range(1, 2 * _CALLS_AT_ONCE, 2):
        yield _begin_call(stream, _CALL_FIELDS)


def _long_fields(template: _Template, rng: random.Random) -> _Pieces:
    """Yields calls with many fields."""
    yield _PREFACE + b"\0\0\0\4\0\0\0\0\0"
    fields = b"".join(
        _literal(f"x{number:05}".encode(), b"v" * 120) for number in range(110)
    )
    for stream in itertools.count(1, 2):
        yield _begin_call(stream, _CALL_FIELDS + fields)


# Kinds of clients by name, as in `crowd_requests`.
KINDS: dict[str, Callable[[_Template, random.Random], _Pieces]] = {
    "call_without_end": _call_without_end,
    "continuations": _continuations,
    "frames": _frames,
    "half_frame": _half_frame,
}
# Kinds that only a listener for peers reads.
CALL_KINDS: dict[str, Callable[[_Template, random.Random], _Pieces]] = {
    "calls_without_message": _calls_without_message,
    "long_fields": _long_fields,
    "resets": _resets,
}
