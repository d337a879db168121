"""Which connections are ended while their requests are being received.

Answers the load of callers that send more than the limits allow, or stop short
of the end of a request and stay: what was received of unfinished requests
would fill the memory, and their connections would take all descriptors. A
request that is still being received has run nowhere, so that it can be refused
truthfully; one that is complete is never ended here.
"""

import dataclasses
import enum
from collections.abc import Callable, Iterable

from copperloom import exception, routing
from copperloom.decisions import framing

__all__ = [
    "CONNECTION_BYTES",
    "MAX_TURN_S",
    "Intake",
    "Phase",
    "Resets",
    "add_resets",
    "body_bound",
    "body_bytes_held",
    "choose_displaced",
    "choose_ended",
    "framing_bytes_held",
    "head_bytes_held",
    "is_overdue",
    "max_bytes_with_small",
    "max_held_bytes",
    "max_turn_bytes",
    "receive_buffer_bytes",
]

# Share of the memory for what is held of requests.
_HELD_SHARE = 0.25
# Share that may be parsed in one iteration of the event loop, before those that
# read the result have run.
_TURN_SHARE = 1 / 32
# The same in time.
MAX_TURN_S = 0.001
# Share for what the operating system holds for a connection, divided by the
# number of connections.
_RECEIVE_SHARE = 1 / 32
_MIN_RECEIVE_BYTES = 16_384
_MAX_RECEIVE_BYTES = 1_048_576
# Memory of an open connection, and of a request in progress, beside what was
# received.
CONNECTION_BYTES = 12_288
_REQUEST_BYTES = 32_768
# A parsed head is held as bytes, as text, and as a copy for the target. Most of
# a short field is objects.
_HEAD_COPIES = 5
_FIELD_BYTES = 500
_SHORTEST_FIELD_BYTES = 5
# A body is held once, and once more while it is sent.
_BODY_COPIES = 2
# A chunk of one byte has five bytes beside it; some clients pad its size.
_FRAMING_PER_BODY_BYTE = 16.0
_MAX_FRAMING_CREDIT_BYTES = 4096
# A proper caller that takes as long as it may is not cut off by delays.
_MARGIN_S = 0.5
# After this time without a byte, a request counts as stalled.
_STALL_S = 0.25
# Connections younger than this are not closed for others.
_MIN_SILENCE_S = 0.1
_MIN_IDLE_S = 1.0
# Requests that hold less are ended only if the memory is exceeded by this
# share: complete requests may fill it for as long as targets take.
_SMALL_BYTES = 98_304
_SMALL_EXCESS_SHARE = 0.25
# Calls that a peer may give up at once, and further ones per second.
_MAX_RESETS = 100
_RESETS_PER_S = 100.0
# What is ended when the memory is full makes room for more than one request.
_RELIEF_SHARE = 0.1


class Phase(enum.Enum):
    """What a connection has received of its current request."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    WHOLE = "whole"


# Called with the error that the caller should get, or None for a plain close.
End = Callable[[exception.CopperloomError | None], None]


@dataclasses.dataclass(slots=True, eq=False)
class Intake:
    """What a connection holds.

    Attributes:
        end: Ends the connection.
        began_at: Monotonic time at which the current request began.
        progress_at: Monotonic time at which bytes were last received.
        phase: What it has received of the current request.
        held_bytes: Memory that it takes.
        served: Number of requests that it has completed.
        is_lasting: Whether it may stay idle for any time.
        is_ended: Whether it was ended, and is about to release its memory.
    """

    end: End
    began_at: float
    progress_at: float
    phase: Phase = Phase.IDLE
    held_bytes: int = CONNECTION_BYTES
    served: int = 0
    is_lasting: bool = False
    is_ended: bool = False


@dataclasses.dataclass(slots=True)
class Resets:
    """The calls that a peer has given up.

    Attributes:
        count: Their number, less those that have been forgiven.
        at: Monotonic time of the latest one.
    """

    count: float = 0.0
    at: float = 0.0


def add_resets(resets: Resets, number: int, now: float) -> bool:
    """Counts calls that were given up; returns whether there are too many.

    Starting a call and giving it up costs the peer less than this instance.

    Args:
        resets: Those of the connection.
        number: Number of further ones.
        now: Monotonic time.
    """
    forgiven = (now - resets.at) * _RESETS_PER_S
    resets.count = max(0.0, resets.count - forgiven) + number
    resets.at = now
    return resets.count > _MAX_RESETS


def max_held_bytes(memory_bytes: float) -> int:
    """Returns the memory for what is held of requests, in bytes."""
    return int(memory_bytes * _HELD_SHARE)


def max_bytes_with_small(memory_bytes: float) -> int:
    """Returns the memory for them if small requests come last, in bytes."""
    return int(memory_bytes * _HELD_SHARE * (1 + _SMALL_EXCESS_SHARE))


def max_turn_bytes(memory_bytes: float) -> int:
    """Returns the memory that may be taken in one iteration, in bytes."""
    return int(memory_bytes * _TURN_SHARE)


def receive_buffer_bytes(memory_bytes: float, connections: int) -> int:
    """Returns the size of a connection's receive buffer, in bytes.

    What the operating system has received counts as the process's memory.

    Args:
        memory_bytes: Memory of the instance, in bytes.
        connections: Number of open connections, with the new one.
    """
    share = int(memory_bytes * _RECEIVE_SHARE / max(1, connections))
    return max(_MIN_RECEIVE_BYTES, min(_MAX_RECEIVE_BYTES, share))


def head_bytes_held(size: int, fields: int) -> int:
    """Returns the memory of a request whose head was parsed, in bytes."""
    return _REQUEST_BYTES + _fields_bytes_held(size, fields)


def body_bytes_held(size: int) -> int:
    """Returns the memory of the received part of a body, in bytes."""
    return size * _BODY_COPIES


def framing_bytes_held(counted: framing.Framing) -> int:
    """Returns the memory that chunk lines and trailers may take, in bytes."""
    excess = max(0, int(counted.excess_bytes))
    return _fields_bytes_held(excess, excess // _SHORTEST_FIELD_BYTES)


def _fields_bytes_held(size: int, fields: int) -> int:
    return size * _HEAD_COPIES + fields * _FIELD_BYTES


def body_bound(max_header_bytes: int) -> framing.Bound:
    """Returns the bound of bytes beside a body: chunk lines and trailers."""
    return framing.Bound(
        max_header_bytes, _FRAMING_PER_BODY_BYTE, _MAX_FRAMING_CREDIT_BYTES
    )


def is_overdue(own: Intake, limits: routing.RequestLimits, now: float) -> bool:
    """Returns whether a connection has taken longer than a caller may."""
    if own.is_ended:
        return False
    if own.phase is Phase.HEAD:
        return now - own.began_at > limits.header_timeout_s + _MARGIN_S
    if own.phase is Phase.WHOLE or own.is_lasting:
        return False
    return now - own.progress_at > limits.idle_timeout_s + _MARGIN_S


def choose_ended(
    intakes: Iterable[Intake], excess_bytes: int, max_bytes: int, now: float
) -> list[Intake]:
    """Chooses connections to end, as the memory is full.

    Requests that make no progress are ended first, then the others that are
    still being received, and idle connections last; in each group those that
    hold the most memory. Those that hold little are spared at first.

    Args:
        intakes: All connections.
        excess_bytes: Memory that they hold beyond the bound, in bytes.
        max_bytes: The bound.
        now: Monotonic time.
    """
    spares_small = excess_bytes < max_bytes * _SMALL_EXCESS_SHARE
    candidates = [
        own
        for own in intakes
        if own.phase is not Phase.WHOLE
        and not own.is_ended
        and not (spares_small and own.held_bytes <= _SMALL_BYTES)
    ]
    candidates.sort(
        key=lambda own: (
            _is_idle(own),
            now - own.progress_at < _STALL_S,
            -own.held_bytes,
        )
    )
    wanted = excess_bytes + int(max_bytes * _RELIEF_SHARE)
    chosen = []
    for own in candidates:
        if wanted <= 0:
            break
        chosen.append(own)
        wanted -= own.held_bytes
    return chosen


def choose_displaced(intakes: Iterable[Intake], now: float) -> Intake | None:
    """Chooses a connection to end for a new one, as no descriptor is left.

    It is the one that has sent nothing for the longest time, of those that have
    not completed a request if there are any.
    """
    candidates = [own for own in intakes if _is_displaceable(own, now)]
    return min(
        candidates,
        key=lambda own: (_is_idle(own), own.progress_at),
        default=None,
    )


def _is_displaceable(own: Intake, now: float) -> bool:
    if own.phase is Phase.WHOLE or own.is_ended:
        return False
    least_s = _MIN_IDLE_S if _is_idle(own) else _MIN_SILENCE_S
    return now - own.progress_at >= least_s


def _is_idle(own: Intake) -> bool:
    """Returns whether it is a caller's that may send another request."""
    return own.phase is Phase.IDLE and own.served > 0
