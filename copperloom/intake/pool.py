"""Counts what all connections of a process hold, and ends some of them."""

import asyncio
import collections
import gc
from collections.abc import Callable, Iterable
from typing import Protocol

import prometheus_client

from copperloom import exception, logs, routing
from copperloom.decisions import intake
from copperloom.utils import heap

__all__ = [
    "Client",
    "Pool",
    "advance",
    "bytes_left",
    "charge",
    "displace",
    "end_receiving",
    "has_unsent",
    "is_turn_over",
    "join",
    "leave",
    "loop_time",
    "record_ended",
    "resume_later",
    "take_turn",
]

_SWEEP_S = 0.5
_LOG_INTERVAL_S = 1.0
# Others have given way by then.
_RETRY_S = 0.2
# Parts of the memory for what ended connections hold: more is collected at
# once, less only after a time in which none has ended.
_GARBAGE_SHARE = 0.25
_QUIET_GARBAGE_SHARE = 1 / 64
# Time between turns of long requests while new connections wait to be read.
_LONG_INTERVAL_S = 0.01
_SHORT_BYTES = 4096


class Client(Protocol):
    """A connection whose bytes are parsed in turns."""

    intake: intake.Intake
    raw: bytearray
    transport: asyncio.Transport | None

    def advance(self, now: float) -> None:
        """Parses what was received, while it is the turn of the connection."""

    def hold(self) -> None:
        """Stops to receive."""

    def release(self) -> None:
        """Goes on to receive."""


class Pool:
    """The open connections of a process, at all its listeners.

    Attributes:
        limits: Returns the limits on what callers may send.
        memory_bytes: Returns the memory of the process, in bytes.
        clients: The connections, by their state.
        held_bytes: Memory that they take.
        ending_bytes: Part of it that is about to be released.
        garbage_bytes: Memory of ended connections since the last collection.
        is_garbage_growing: Whether one was closed since the last sweep.
        is_collection_due: Whether a collection is due once none is closed.
        turn_bytes: Memory that may still be taken in this iteration of the
            event loop.
        turn_s: Time that may still be taken in this iteration, in seconds.
        waiting: Connections that wait for their turn, in order.
        is_turn_due: Whether the next turn is scheduled.
        has_arrivals: Whether new connections wait to be read.
        long_at: Monotonic time at which long requests last had a turn.
        sweep: Timer of the next look for connections that are overdue.
        ended: Number of connections ended since the last log line, by reason.
        next_line: Timer of the next log line; None if there is nothing to log.
        refused: Counter of connections that were ended, by reason.
    """

    def __init__(
        self,
        limits: Callable[[], routing.RequestLimits],
        memory_bytes: Callable[[], float],
        refused: prometheus_client.Counter,
    ):
        self.limits = limits
        self.memory_bytes = memory_bytes
        self.clients: dict[intake.Intake, Client] = {}
        self.held_bytes = 0
        self.ending_bytes = 0
        self.garbage_bytes = 0
        self.is_garbage_growing = False
        self.is_collection_due = False
        self.turn_bytes = intake.max_turn_bytes(memory_bytes())
        self.turn_s = intake.MAX_TURN_S
        self.waiting: dict[Client, None] = {}
        self.is_turn_due = False
        self.has_arrivals = False
        self.long_at = float("-inf")
        self.sweep: asyncio.TimerHandle | None = None
        self.ended: collections.Counter[str] = collections.Counter()
        self.next_line: asyncio.TimerHandle | None = None
        self.refused = refused


def join(pool: Pool, client: Client) -> None:
    """Adds a new connection."""
    pool.clients[client.intake] = client
    pool.held_bytes += client.intake.held_bytes
    if pool.sweep is None:
        loop = asyncio.get_running_loop()
        pool.sweep = loop.call_later(_SWEEP_S, _sweep, pool)
    _relieve(pool, loop_time())


def leave(pool: Pool, client: Client) -> None:
    """Removes a connection that was closed."""
    own = client.intake
    pool.waiting.pop(client, None)
    if pool.clients.pop(own, None) is None:
        return
    pool.held_bytes -= own.held_bytes
    if own.is_ended:
        pool.ending_bytes -= own.held_bytes
        _count_garbage(pool, own.held_bytes)
    elif own.held_bytes > intake.CONNECTION_BYTES:
        _count_garbage(pool, own.held_bytes - intake.CONNECTION_BYTES)


def bytes_left(pool: Pool) -> int:
    """Returns the memory that new connections may still take, in bytes."""
    max_bytes = intake.max_bytes_with_small(pool.memory_bytes())
    return max_bytes - pool.held_bytes + pool.ending_bytes


def charge(pool: Pool, own: intake.Intake, held_bytes: int) -> None:
    """Counts memory that a connection takes, or releases if it is negative.

    A connection that was closed counts nothing, while its handler still ends.
    """
    if own not in pool.clients:
        return
    own.held_bytes += held_bytes
    pool.held_bytes += held_bytes
    if own.is_ended:
        pool.ending_bytes += held_bytes
    elif held_bytes > 0:
        _relieve(pool, loop_time())


def take_turn(pool: Pool, held_bytes: int, seconds: float) -> None:
    """Counts memory and time that parsing takes until others have run."""
    pool.turn_bytes -= held_bytes
    pool.turn_s -= seconds
    _schedule_turn(pool)


def is_turn_over(pool: Pool) -> bool:
    """Returns whether others have to run before more is parsed."""
    return pool.turn_bytes <= 0 or pool.turn_s <= 0 or bool(pool.waiting)


def advance(pool: Pool, client: Client) -> None:
    """Lets a connection parse what it received, now or in a later turn."""
    if is_turn_over(pool):
        resume_later(pool, client)
    else:
        client.advance(loop_time())


def resume_later(pool: Pool, client: Client) -> None:
    """Lets a connection wait for a turn, unless it does so already."""
    client.hold()
    pool.waiting.setdefault(client)
    _schedule_turn(pool)


def displace(pool: Pool, now: float) -> bool:
    """Ends a connection for a new one; returns whether there was any."""
    chosen = intake.choose_displaced(pool.clients, now)
    if chosen is None:
        return False
    _end(pool, chosen, None, "descriptors")
    return True


def end_receiving(pool: Pool, before: float) -> None:
    """Ends requests that are still being received, as the process stops.

    Args:
        pool: The connections.
        before: Monotonic time; later requests go on.
    """
    for own in list(pool.clients):
        is_receiving = own.phase in (intake.Phase.HEAD, intake.Phase.BODY)
        if is_receiving and own.began_at <= before and not own.is_ended:
            error = exception.DrainingError(
                "instance is stopping; retry at another one",
                retry_after_s=0.0,
            )
            _end(pool, own, error, "stopping")


def has_unsent(pool: Pool) -> bool:
    """Returns whether callers or peers have not taken all of their answers.

    What the operating system holds is sent although the process has ended.
    """
    transports = [client.transport for client in pool.clients.values()]
    return any(
        transport is not None and transport.get_write_buffer_size()
        for transport in transports
    )


def loop_time() -> float:
    """Returns the event loop's time."""
    return asyncio.get_running_loop().time()


def _schedule_turn(pool: Pool) -> None:
    if not pool.is_turn_due:
        pool.is_turn_due = True
        asyncio.get_running_loop().call_soon(_begin_turn, pool)


def _begin_turn(pool: Pool) -> None:
    pool.is_turn_due = False
    pool.turn_bytes = intake.max_turn_bytes(pool.memory_bytes())
    pool.turn_s = intake.MAX_TURN_S
    now = loop_time()
    waiting, pool.waiting = pool.waiting, {}
    order = collections.deque(_order(pool, waiting, now))
    while order and pool.turn_bytes > 0 and pool.turn_s > 0:
        client = order.popleft()
        del waiting[client]
        client.release()
        client.advance(now)
    pool.waiting = waiting | pool.waiting
    if pool.waiting:
        _schedule_turn(pool)


def _order(pool: Pool, waiting: Iterable[Client], now: float) -> list[Client]:
    """Returns the connections that may have their turn, in order.

    A short request must not wait until the long ones of others are parsed, nor
    a new connection until it is read.
    """
    if not pool.has_arrivals or now - pool.long_at >= _LONG_INTERVAL_S:
        pool.long_at = now
        return sorted(waiting, key=_is_long)
    return [client for client in waiting if not _is_long(client)]


def _is_long(client: Client) -> bool:
    """Returns whether a body, or a long head, is to be parsed."""
    is_body = client.intake.phase is intake.Phase.BODY
    return is_body or len(client.raw) > _SHORT_BYTES


def _relieve(pool: Pool, now: float) -> None:
    max_bytes = intake.max_held_bytes(pool.memory_bytes())
    excess_bytes = pool.held_bytes - pool.ending_bytes - max_bytes
    if excess_bytes <= 0:
        return
    for own in intake.choose_ended(pool.clients, excess_bytes, max_bytes, now):
        error = exception.MemoryFullError(
            "instance has no memory left for this request; nothing was run",
            retry_after_s=_RETRY_S,
        )
        _end(pool, own, error, "memory")


def _sweep(pool: Pool) -> None:
    now = loop_time()
    limits = pool.limits()
    for own in list(pool.clients):
        if intake.is_overdue(own, limits, now):
            error = None
            if own.phase is not intake.Phase.IDLE:
                error = exception.RequestTimeoutError(
                    "request was not received within the time limit"
                )
            _end(pool, own, error, "timeout")
    _collect_quiet(pool)
    pool.sweep = None
    if pool.clients or pool.is_collection_due:
        loop = asyncio.get_running_loop()
        pool.sweep = loop.call_later(_SWEEP_S, _sweep, pool)


def _end(
    pool: Pool,
    own: intake.Intake,
    error: exception.CopperloomError | None,
    reason: str,
) -> None:
    record_ended(pool, own, reason)
    own.end(error)


def _count_garbage(pool: Pool, held_bytes: int) -> None:
    """Collects ended connections, which are held by reference cycles.

    The collector counts objects, not what they hold.
    """
    pool.garbage_bytes += held_bytes
    pool.is_garbage_growing = True
    max_bytes = intake.max_held_bytes(pool.memory_bytes())
    if pool.garbage_bytes > max_bytes * _QUIET_GARBAGE_SHARE:
        pool.is_collection_due = True
    if pool.garbage_bytes > max_bytes * _GARBAGE_SHARE:
        _collect(pool)


def _collect_quiet(pool: Pool) -> None:
    """Collects what is left after many have ended.

    Otherwise the last ones would stay until as many have ended again, and so
    would those whose handlers had not ended at an earlier collection.
    """
    is_growing, pool.is_garbage_growing = pool.is_garbage_growing, False
    if pool.is_collection_due and not is_growing:
        pool.is_collection_due = False
        _collect(pool)
        asyncio.get_running_loop().call_soon(heap.trim)


def _collect(pool: Pool) -> None:
    pool.garbage_bytes = 0
    asyncio.get_running_loop().call_soon(gc.collect)


def record_ended(pool: Pool, own: intake.Intake, reason: str) -> None:
    """Counts a connection that is ended, and logs the counts later."""
    if own not in pool.clients:
        return
    if not own.is_ended:
        own.is_ended = True
        pool.ending_bytes += own.held_bytes
    pool.refused.labels(reason).inc()
    pool.ended[reason] += 1
    if pool.next_line is None:
        loop = asyncio.get_running_loop()
        pool.next_line = loop.call_later(_LOG_INTERVAL_S, _log, pool)


def _log(pool: Pool) -> None:
    logs.event(
        "connections_ended",
        **dict(pool.ended),
        open=len(pool.clients),
        held_bytes=pool.held_bytes,
        max_bytes=intake.max_held_bytes(pool.memory_bytes()),
    )
    pool.ended.clear()
    pool.next_line = None
