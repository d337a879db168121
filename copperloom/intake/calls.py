"""Receives calls of other instances over gRPC within bounds.

The library acknowledges data of a message before it is complete, so that flow
control doesn't bound what a connection holds.
"""

import asyncio
import socket
from collections.abc import Callable

import grpclib.server
from grpclib import config, protocol
from h2 import events as h2_events
from h2 import utilities

from copperloom import exception, logs
from copperloom.decisions import intake
from copperloom.intake import descriptors, pool

__all__ = ["serve"]

_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
_READ_BYTES = 65_536
# A part may hold hundreds of frames.
_PART_BYTES = 4096
# Replies to frames are sent whether they are read or not.
_MAX_UNSENT_BYTES = 262_144
_BACKLOG = 256
# Memory of the library's parser of a connection.
_PARSER_BYTES = 131_072
# A message holds a body and what belongs to its head, encoded.
_MESSAGE_OVERHEAD_BYTES = 262_144
# Bytes of a frame, or of a block of fields, that is not complete.
_MAX_FRAME_BYTES = 65_536
# Memory of a call in progress, beside its message.
_CALL_BYTES = 32_768
# Fields of a call, decoded.
_MAX_FIELDS_BYTES = 4096
# Ended calls that a connection remembers, for frames that were on their way.
_MAX_REMEMBERED_CALLS = 100
# A message is held encoded and decoded.
_COPIES = 2
_WINDOW_BYTES = 1_048_576
_CHECK_S = 0.25


class _Processor(protocol.EventsProcessor):
    """Releases a call as soon as its peer has reset it.

    The library does so at the end of the call's handler, which never begins if
    the reset comes with the call.

    Attributes:
        releases: Releases each call, by the number of its stream.
    """

    def __init__(self, handler, connection):
        super().__init__(handler, connection)
        self.releases: dict[int, Callable[[], None]] = {}

    def register(self, stream: protocol.Stream) -> Callable[[], None]:
        """Adds a call; returns a function that releases it once."""
        release = super().register(stream)

        def release_once() -> None:
            if self.releases.pop(stream.id, None) is not None:
                release()

        self.releases[stream.id] = release_once
        return release_once

    def process_stream_reset(self, event: h2_events.StreamReset) -> None:
        """Cancels a call, and releases it."""
        super().process_stream_reset(event)
        release = self.releases.get(event.stream_id)
        if release is not None:
            release()


class _Connection(protocol.H2Protocol):
    """A connection of a peer.

    Attributes:
        pool: The connections of the process.
        highest: Returns the highest descriptor that it may have.
        intake: What it holds.
        transport: The connection; None once it is closed.
        is_begun: Whether its first bytes have shown that it is a peer's.
        raw: Bytes that wait to be parsed.
        frame_bytes: Bytes of a frame that is not complete.
        resets: Calls that the peer has given up.
        next_check: Timer of the next look at what its calls hold.
    """

    def __init__(self, handler, settings, h2_config, connections, highest):
        super().__init__(handler, settings, h2_config)
        self.pool = connections
        self.highest = highest
        now = pool.loop_time()
        self.intake = intake.Intake(self.end, now, now)
        self.transport: asyncio.Transport | None = None
        self.is_begun = False
        self.raw = bytearray()
        self.frame_bytes = 0
        self.resets = intake.Resets()
        self.next_check: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins to receive, unless no descriptor is left."""
        self.transport = transport
        transport.max_size = _READ_BYTES
        pool.join(self.pool, self)
        descriptors.bound_receive_buffer(self.pool, transport)
        if not descriptors.admits(self.pool, transport, self.highest()):
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Releases what the connection held."""
        pool.leave(self.pool, self)
        self.transport = None
        self.raw.clear()
        if self.next_check is not None:
            self.next_check.cancel()
        if self.is_begun:
            super().connection_lost(exc)
            # The library keeps cancelled calls until other peers connect.
            loop = asyncio.get_running_loop()
            loop.call_later(_CHECK_S, self.handler.check_closed)

    def data_received(self, data: bytes) -> None:
        """Keeps what was received until it is its turn to be parsed."""
        if self.transport is None or self.intake.is_ended:
            return
        self.intake.progress_at = pool.loop_time()
        self.raw += data
        if not self.is_begun and not self._begin():
            return
        pool.advance(self.pool, self)

    def advance(self, now: float) -> None:
        """Parses what was received, while it is the turn of the connection."""
        while self.raw and self.transport is not None:
            if self.intake.is_ended:
                return
            part = bytes(self.raw[:_PART_BYTES])
            del self.raw[:_PART_BYTES]
            began_at = pool.loop_time()
            calls = self._parse(part)
            elapsed_s = pool.loop_time() - began_at
            held_bytes = len(part) * _COPIES + calls * _CALL_BYTES
            pool.take_turn(self.pool, held_bytes, elapsed_s)
            if self.raw and pool.is_turn_over(self.pool):
                pool.resume_later(self.pool, self)
                return

    def hold(self) -> None:
        """Stops to receive."""
        if self.transport is not None:
            self.transport.pause_reading()

    def release(self) -> None:
        """Goes on to receive."""
        if self.transport is not None and not self.intake.is_ended:
            self.transport.resume_reading()

    def end(self, error: exception.CopperloomError | None) -> None:
        """Closes the connection."""
        self.raw.clear()
        if self.transport is not None:
            self.transport.abort()

    def _begin(self) -> bool:
        """Returns whether the connection is known to be a peer's."""
        if not _PREFACE.startswith(bytes(self.raw[: len(_PREFACE)])):
            self._refuse("malformed")
            return False
        if len(self.raw) < len(_PREFACE):
            self.intake.phase = intake.Phase.HEAD
            return False
        self.is_begun = True
        super().connection_made(self.transport)
        self.processor = _Processor(self.handler, self.connection)
        # The library remembers 65,536 of them, and has no setting for it.
        self.connection._connection._closed_streams = utilities.SizeLimitDict(
            size_limit=_MAX_REMEMBERED_CALLS
        )
        pool.charge(self.pool, self.intake, _PARSER_BYTES)
        return True

    def _parse(self, data: bytes) -> int:
        """Parses received bytes; returns the number of calls that begin."""
        try:
            events = self.connection.feed(data)
            self.connection.flush()
            begun = [e for e in events if _begins_call(e)]
            if self._is_excessive(events, begun):
                return len(begun)
            for event in events:
                self.processor.process(event)
        except Exception as error:
            # The library raises many kinds of errors for bytes that are none
            # of a peer's.
            logs.event("peer_unreadable", level="DEBUG", error=repr(error))
            self._refuse("malformed")
            return 0
        if self.transport is not None and not self.transport.is_closing():
            self.connection.flush()
            self.frame_bytes = 0 if events else self.frame_bytes + len(data)
            self._check_sizes()
        return len(begun)

    def _is_excessive(self, events, begun) -> bool:
        """Refuses a connection whose calls are none of a peer's."""
        resets = sum(isinstance(e, h2_events.StreamReset) for e in events)
        if any(map(_has_long_fields, begun)):
            self._refuse("framing")
        elif resets and intake.add_resets(
            self.resets, resets, pool.loop_time()
        ):
            self._refuse("resets")
        return self.intake.is_ended

    def _check_sizes(self) -> None:
        if self.frame_bytes > _MAX_FRAME_BYTES:
            self._refuse("framing")
        elif self.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self._refuse("unread")
        else:
            self._check()

    def _check(self) -> None:
        """Counts what the calls in progress hold."""
        own = self.intake
        streams = self.processor.streams.values()
        sizes = [stream.data_received for stream in streams]
        max_bytes = self.pool.limits().max_body_bytes + _MESSAGE_OVERHEAD_BYTES
        if sizes and max(sizes) > max_bytes:
            self._refuse("framing")
            return
        if sizes:
            own.served = 1
            own.is_lasting = True
            if self.next_check is None:
                loop = asyncio.get_running_loop()
                self.next_check = loop.call_later(_CHECK_S, self._check_again)
        own.phase = _phase(streams)
        held_bytes = (
            intake.CONNECTION_BYTES
            + _PARSER_BYTES
            + sum(sizes) * _COPIES
            + len(sizes) * _CALL_BYTES
            + len(self.raw)
            + self.transport.get_write_buffer_size()
        )
        pool.charge(self.pool, own, held_bytes - own.held_bytes)

    def _check_again(self) -> None:
        self.next_check = None
        if self.transport is not None and not self.intake.is_ended:
            self._check()

    def _refuse(self, reason: str) -> None:
        pool.record_ended(self.pool, self.intake, reason)
        self.raw.clear()
        if self.transport is not None:
            self.transport.abort()


def _phase(streams) -> intake.Phase:
    if any(_is_partial(stream) for stream in streams):
        return intake.Phase.BODY
    return intake.Phase.WHOLE if streams else intake.Phase.IDLE


def _is_partial(stream: protocol.Stream) -> bool:
    """Returns whether a call has no message yet, or a part of one."""
    # The library has no public way to tell.
    buffer = stream.buffer
    has_part = buffer._acked_size > 0 or not buffer._unacked.empty()
    return has_part or not stream.data_received


def _begins_call(event: h2_events.Event) -> bool:
    return isinstance(event, h2_events.RequestReceived)


def _has_long_fields(event: h2_events.RequestReceived) -> bool:
    """Returns whether a call has more fields than a peer sends."""
    size = sum(len(name) + len(value) for name, value in event.headers)
    return size > _MAX_FIELDS_BYTES


class _Server(grpclib.server.Server):
    """The library's server, with connections that are bounded."""

    def __init__(self, services, connections, highest):
        settings = config.Configuration(
            http2_connection_window_size=_WINDOW_BYTES,
            http2_stream_window_size=_WINDOW_BYTES,
        )
        super().__init__(services, config=settings)
        self.connections = connections
        self.highest = highest

    def _protocol_factory(self) -> protocol.H2Protocol:
        made = super()._protocol_factory()
        return _Connection(
            made.handler,
            made.config,
            made.h2_config,
            self.connections,
            self.highest,
        )


async def serve(
    services,
    sock: socket.socket,
    connections: pool.Pool,
    limit: Callable[[], int],
) -> grpclib.server.Server:
    """Starts a server for calls of other instances.

    Args:
        services: Implementations of the library's services.
        sock: The listening socket.
        connections: The connections of the process.
        limit: Returns how many descriptors the process may open; 0 for the
            limit of the operating system.
    """

    def highest() -> int:
        return descriptors.max_open(limit(), descriptors.OTHERS_SHARE)

    server = _Server(services, connections, highest)
    descriptors.bound_queued(sock)
    at_once = descriptors.accepted_at_once(limit(), _BACKLOG)
    await server.start(sock=sock, backlog=at_once)
    sock.listen(_BACKLOG)
    return server
