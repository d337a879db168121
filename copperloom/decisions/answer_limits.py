"""Bounds on what a target may send as an answer.

Answers the load of broken or hostile targets that send bytes without end: they
would fill the memory of an instance and take the time of its event loop from
all other requests. Every place of an answer has a bound in bytes, the bodies
that an instance holds share a part of its memory, and a stream of events has a
rate.
"""

import dataclasses
from collections.abc import Callable

from copperloom.decisions import framing

__all__ = [
    "CHECK_BYTES",
    "FRAMING",
    "Body",
    "BodyMemory",
    "Pace",
    "add_bytes",
    "end_body",
    "max_body_bytes",
    "max_stream_bytes",
    "pause_s",
]

_MAX_BODY_BYTES = 16_000_000
# Share of the memory that one plain answer may take.
_BODY_SHARE = 1 / 8
# Most bodies are shorter. They are never ended in favour of other answers.
_SMALL_BODY_BYTES = 65_536
# Bytes of an answer beside its body: heads, chunk sizes, chunk extensions and
# trailers. Each chunk has at least 5 such bytes, and parsing it takes as long
# as some hundred bytes of a body.
FRAMING = framing.Bound(max_bytes=262_144, per_body_byte=0.5)
MAX_EVENT_BYTES = 524_288
# An event with the probabilities of alternative tokens has some kilobytes.
_TOKEN_BYTES = 4096
_STREAM_BASE_BYTES = 262_144
# Engines send up to some hundred events of some hundred bytes a second.
_STREAM_BYTES_S = 262_144.0
# A stream that was held up by the network may catch up with this much.
_STREAM_BURST_BYTES = 1_048_576.0
# Checking an event takes time like passing on further bytes.
CHECK_BYTES = 32


def max_body_bytes(memory_bytes: float) -> int:
    """Returns the bound of a plain answer's body in bytes.

    Args:
        memory_bytes: Memory of the instance, in bytes.
    """
    return int(min(_MAX_BODY_BYTES, memory_bytes * _BODY_SHARE))


def max_stream_bytes(max_tokens: int, memory_bytes: float) -> int:
    """Returns the bound of a stream of events in bytes.

    Args:
        max_tokens: Maximum tokens of the answer; 0 if the request states none.
        memory_bytes: Memory of the instance, in bytes.
    """
    if not max_tokens:
        return max_body_bytes(memory_bytes)
    return _STREAM_BASE_BYTES + max_tokens * _TOKEN_BYTES


def _ignore() -> None:
    """Does nothing; the default of `Body.on_end`."""


@dataclasses.dataclass(slots=True, eq=False)
class Body:
    """The body of a plain answer that an instance holds.

    Attributes:
        is_announced: Whether its length was announced, so that it ends.
        size: Bytes received.
        is_complete: Whether it was received to its end.
        is_ended: Whether it was ended, as there was no memory left.
        on_end: Called when it is ended.
    """

    is_announced: bool
    size: int = 0
    is_complete: bool = False
    is_ended: bool = False
    on_end: Callable[[], None] = _ignore


class BodyMemory:
    """The bodies that an instance holds.

    Attributes:
        unannounced_bytes: Bound of all bodies without an announced length.
        total_bytes: Bound of all bodies.
        bodies: Bodies that are being received, or sent to their callers.
    """

    def __init__(self, memory_bytes: float):
        self.unannounced_bytes = max_body_bytes(memory_bytes)
        self.total_bytes = int(memory_bytes * _BODY_SHARE)
        self.bodies: set[Body] = set()


def add_bytes(memory: BodyMemory, body: Body, size: int) -> Body | None:
    """Counts bytes of a body; returns the body that has to be ended, if any.

    Bodies without an announced length are ended first, and the longest of
    them, since an endless one soon is.
    """
    memory.bodies.add(body)
    body.size += size
    unannounced = _taken_bytes(memory, are_announced=False)
    total = unannounced + _taken_bytes(memory, are_announced=True)
    if unannounced <= memory.unannounced_bytes and total <= memory.total_bytes:
        return None
    ended = _choose_ended(memory)
    if ended is not None:
        end_body(memory, ended)
        ended.is_ended = True
        ended.on_end()
    return ended


def end_body(memory: BodyMemory, body: Body) -> None:
    """Releases the memory of a body that was sent or given up."""
    memory.bodies.discard(body)


def _taken_bytes(memory: BodyMemory, *, are_announced: bool) -> int:
    return sum(
        _excess_bytes(body)
        for body in memory.bodies
        if body.is_announced is are_announced
    )


def _excess_bytes(body: Body) -> int:
    return max(0, body.size - _SMALL_BODY_BYTES)


def _choose_ended(memory: BodyMemory) -> Body | None:
    growing = [
        body
        for body in memory.bodies
        if not body.is_complete and _excess_bytes(body)
    ]
    return max(
        growing,
        key=lambda body: (not body.is_announced, body.size),
        default=None,
    )


@dataclasses.dataclass(slots=True)
class Pace:
    """The rate of a stream of events.

    Attributes:
        at: Monotonic time up to which its bytes are paid for.
    """

    at: float = float("-inf")


def pause_s(pace: Pace, size: int, now: float) -> float:
    """Returns the time after which a stream may be read again, in seconds.

    Args:
        pace: The rate of the stream.
        size: Bytes that were just read.
        now: Monotonic time.
    """
    earliest = now - _STREAM_BURST_BYTES / _STREAM_BYTES_S
    pace.at = max(pace.at, earliest) + size / _STREAM_BYTES_S
    return max(0.0, pace.at - now)
