"""Admits callers' connections one by one, or closes them unread.

An event loop reads all connections that have data in one iteration, however
long that takes. The gate lets it read a new connection only once it has run the
work that the previous one caused, so that work in progress goes on meanwhile.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from copperloom import logs
from copperloom.decisions import load_shedding
from copperloom.ingress.state import IngressState
from copperloom.intake import connection, descriptors, pool

__all__ = ["Gate", "close"]

_LOG_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    transport: asyncio.Transport
    since: float


class Gate:
    """Creates the protocols of callers' connections.

    Attributes:
        state: The instance's state.
        factory: Makes the protocols of admitted connections.
        pending: Connections that wait to be read, the oldest first.
        standing_since: Monotonic time since which some wait; None if none do.
        admitted_at: Monotonic time of the latest admission; None once its work
            has run.
        pace_s: Time between two admissions, in seconds, if any is waiting.
        shed: Number of connections closed unread since the latest log line.
        next_line: Timer of the next one; None if it has no connections.
    """

    def __init__(
        self,
        state: IngressState,
        factory: Callable[[], connection.Connection],
    ):
        self.state = state
        self.factory = factory
        self.pending: collections.deque[_Pending] = collections.deque()
        self.standing_since: float | None = None
        self.admitted_at: float | None = None
        self.pace_s = 0.0
        self.shed = 0
        self.next_line: asyncio.TimerHandle | None = None

    def __call__(self) -> asyncio.Protocol:
        """Returns the protocol of a new connection."""
        return _Arrival(self)


class _Arrival(asyncio.Protocol):
    """The protocol of a connection until it is admitted."""

    def __init__(self, gate: Gate):
        self.gate = gate

    def connection_made(self, transport) -> None:
        _arrive(self.gate, transport, asyncio.get_running_loop().time())


def close(gate: Gate) -> None:
    """Closes all connections that have not been read."""
    for waiting in gate.pending:
        waiting.transport.abort()
    gate.pending.clear()
    gate.state.connections.has_arrivals = False


def _arrive(gate: Gate, transport: asyncio.Transport, now: float) -> None:
    own = gate.state.connections
    has_descriptor = descriptors.admits(own, transport, _max_descriptor(gate))
    load = load_shedding.Load(
        pending=len(gate.pending),
        standing_s=_standing_s(gate, now),
        is_shedding=load_shedding.is_shedding(gate.state.shed_at, now),
        pace_s=gate.pace_s,
        has_descriptor=has_descriptor,
        bytes_left=pool.bytes_left(own),
    )
    if not load_shedding.accepts(load):
        _shed(gate, transport, now)
    elif gate.admitted_at is None:
        _admit(gate, transport, now)
    else:
        transport.pause_reading()
        if gate.standing_since is None:
            gate.standing_since = now
        gate.pending.append(_Pending(transport, now))
        own.has_arrivals = True


def _max_descriptor(gate: Gate) -> int:
    limit = gate.state.settings.max_descriptors
    return descriptors.max_open(limit, descriptors.CALLERS_SHARE)


def _standing_s(gate: Gate, now: float) -> float:
    return 0.0 if gate.standing_since is None else now - gate.standing_since


def _admit(gate: Gate, transport: asyncio.Transport, now: float) -> None:
    handler = gate.factory()
    transport.set_protocol(handler)
    handler.connection_made(transport)
    transport.resume_reading()
    gate.admitted_at = now
    loop = asyncio.get_running_loop()
    # The request is read in the next iteration, and handled in the one after.
    loop.call_soon(loop.call_soon, _continue, gate)


def _continue(gate: Gate) -> None:
    """Admits the next connection that has not waited too long."""
    now = asyncio.get_running_loop().time()
    gate.pace_s = load_shedding.smooth(gate.pace_s, now - gate.admitted_at)
    gate.admitted_at = None
    while gate.pending:
        waiting = gate.pending.popleft()
        if waiting.transport.is_closing():
            continue
        if not load_shedding.is_expired(now - waiting.since):
            _admit(gate, waiting.transport, now)
            return
        _shed(gate, waiting.transport, now)
    gate.standing_since = None
    gate.state.connections.has_arrivals = False


def _shed(gate: Gate, transport: asyncio.Transport, now: float) -> None:
    transport.abort()
    gate.shed += 1
    gate.state.shed_at = now
    gate.state.metrics.shed_connections.inc()
    if gate.next_line is None:
        loop = asyncio.get_running_loop()
        gate.next_line = loop.call_later(_LOG_INTERVAL_S, _log, gate)


def _log(gate: Gate) -> None:
    logs.event(
        "connections_shed",
        connections=gate.shed,
        pending=len(gate.pending),
        pace_s=round(gate.pace_s, 4),
        held_bytes=gate.state.connections.held_bytes,
        active=gate.state.active,
    )
    gate.shed = 0
    gate.next_line = None
