"""Receives callers' requests over HTTP within bounds.

The HTTP library bounds a line and the number of lines, but neither a head, nor
empty lines before it, nor chunk lines and trailers, and it parses whatever has
arrived at once. So the bytes of a connection are kept as they came until a head
is complete, and are then parsed in small parts, taking turns with all other
connections.
"""

import asyncio
import http
import re
from collections.abc import Callable

from aiohttp import hdrs, streams, web
from aiohttp.http_parser import RawRequestMessage

from copperloom import exception, logs
from copperloom.decisions import framing, intake
from copperloom.intake import descriptors, pool

__all__ = ["Connection", "Describe", "make_factory"]

# Bytes read at once from a connection.
_READ_BYTES = 65_536
_PART_BYTES = 16_384
# More is not received behind a request in progress. As long as less has come,
# the caller is seen to leave.
_MAX_WAITING_BYTES = 4096
# Each chunk becomes an object until its handler has run.
_CHUNKED_PART_BYTES = 4096
_CHUNK_OBJECT_FACTOR = 25
# Heads are bounded here, so that the library's own bounds must not apply.
_NO_LIMIT = 1 << 40
_HEAD_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_CHUNKED_END = b"\r\n\r\n"
_METHOD = re.compile(rb"[A-Z][A-Z-]{0,31}(?: |$)")
_CONNECT = b"CONNECT "
_INTERNAL = 500
_MAX_TEXT = 200
_HEAD_TOO_LARGE = 431

# Returns headers and body for an error.
Describe = Callable[[exception.CopperloomError], tuple[dict[str, str], bytes]]


class Connection(web.RequestHandler):
    """A connection of a caller.

    Attributes:
        pool: The connections of the process.
        describe: Describes an error.
        max_descriptor: Highest descriptor that it may have; None for no check.
        intake: What it holds.
        raw: Bytes that were received and not parsed yet.
        searched: Bytes of `raw` that hold no end of a head.
        empty_bytes: Bytes of empty lines before the head.
        head_bytes: Memory of the head that was parsed.
        body: The body that is being received; None if there is none.
        body_left: Bytes of the body still to come; None if it is chunked.
        last_bytes: The last bytes of the body that were parsed.
        uncounted: Bytes of the body that were parsed but not counted yet.
        counted_body: Bytes of the body that were counted.
        framing: Count of bytes beside the body.
        is_discarding: Whether the rest of a body is read without a use, so
            that its caller gets the answer.
        is_held: Whether nothing more is to be received for now.
    """

    def __init__(
        self,
        manager: web.Server,
        connections: pool.Pool,
        describe: Describe,
        max_descriptor: Callable[[], int] | None,
        **options,
    ):
        loop = asyncio.get_running_loop()
        super().__init__(manager, loop=loop, **options)
        self.pool = connections
        self.describe = describe
        self.max_descriptor = max_descriptor
        now = loop.time()
        self.intake = intake.Intake(self.end, now, now)
        self.raw = bytearray()
        self.is_held = False
        self._reset()

    def _reset(self) -> None:
        self.searched = 0
        self.empty_bytes = 0
        self.head_bytes = 0
        self.body: streams.StreamReader | None = None
        self.body_left: int | None = None
        self.last_bytes = b""
        self.uncounted = 0
        self.counted_body = 0
        self.framing = framing.Framing()
        self.is_discarding = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begins to receive, unless no descriptor is left."""
        transport.max_size = _READ_BYTES
        super().connection_made(transport)
        pool.join(self.pool, self)
        descriptors.bound_receive_buffer(self.pool, transport)
        if self.max_descriptor is not None:
            highest = self.max_descriptor()
            if not descriptors.admits(self.pool, transport, highest):
                transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Releases what the connection held."""
        pool.leave(self.pool, self)
        self.raw.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Keeps what was received until it is its turn to be parsed."""
        if not self._is_receiving():
            return
        if data:
            self.intake.progress_at = pool.loop_time()
            self.raw += data
            self._recount()
        else:
            # The library goes on with what it had kept of a body.
            super().data_received(data)
            self._check_body()
        if self.raw and self._is_receiving():
            pool.advance(self.pool, self)

    def advance(self, now: float) -> None:
        """Parses what was received, while it is the turn of the connection."""
        while self.raw and self._is_receiving():
            if self.intake.phase is intake.Phase.WHOLE:
                # The next request waits until this one has its answer.
                if len(self.raw) > _MAX_WAITING_BYTES:
                    self.hold()
                return
            if self.body is None:
                if self.writing_paused:
                    # The caller does not read its answers.
                    self.hold()
                    return
                if not self._parse_head(now):
                    return
            elif self._reading_paused:
                return
            else:
                self._parse_body()
            if self.raw and pool.is_turn_over(self.pool):
                pool.resume_later(self.pool, self)
                return

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Goes on after the reader of a body was too slow."""
        # The library calls this for each chunk that is read.
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def resume_writing(self) -> None:
        """Goes on with the next request once answers have been read."""
        super().resume_writing()
        if self.intake.phase is not intake.Phase.WHOLE:
            self._continue()

    def hold(self) -> None:
        """Stops to receive."""
        self.is_held = True
        super()._pause_transport_reading()

    def release(self) -> None:
        """Goes on to receive, unless the library has stopped it."""
        if self.intake.is_ended:
            return
        self.is_held = False
        if not self._reading_paused and not self._buffer_paused:
            super()._resume_transport_reading()

    def end(self, error: exception.CopperloomError | None) -> None:
        """Ends the connection, with an error if it can still be sent."""
        self.raw.clear()
        self.hold()
        if self.transport is None:
            return
        if error is None or self.is_discarding:
            self.transport.abort()
        elif self.body is not None:
            # The handler of the request reads the body, and answers.
            self._lingering_time = 0.0
            self.body.set_exception(error)
        else:
            self._close_with(error)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that can't be parsed or read."""
        error = exc
        if status < _INTERNAL:
            pool.record_ended(self.pool, self.intake, "malformed")
            error = exception.MalformedRequestError("request is malformed")
        if isinstance(error, ConnectionError):
            # The caller has left, which needs no line in the log.
            return web.Response(status=status)
        if not isinstance(error, exception.CopperloomError):
            return super().handle_error(request, status, exc, message)
        headers, body = self.describe(error)
        response = web.Response(status=error.status, headers=headers, body=body)
        response.force_close()
        return response

    async def _handle_request(self, request, start_time, request_handler):
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        finally:
            self._finish_request()

    def _resume_transport_reading(self) -> None:
        if not self.is_held:
            super()._resume_transport_reading()

    def _is_receiving(self) -> bool:
        is_closing = self._force_close or self._close
        return not (
            self.transport is None or is_closing or self.intake.is_ended
        )

    def _recount(self) -> None:
        own = self.intake
        body_bytes = 0
        if self.body is not None and not self.is_discarding:
            body_bytes = self.body.total_bytes
        held_bytes = (
            intake.CONNECTION_BYTES
            + len(self.raw)
            + self.head_bytes
            + intake.body_bytes_held(body_bytes)
            + intake.framing_bytes_held(self.framing)
        )
        pool.charge(self.pool, own, held_bytes - own.held_bytes)

    def _parse_head(self, now: float) -> bool:
        """Parses a head; returns False if it is not complete."""
        own = self.intake
        self._skip_empty_lines()
        end = _HEAD_END.search(
            self.raw, max(0, self.searched - _MAX_END_BYTES + 1)
        )
        size = end.end() if end is not None else len(self.raw)
        max_bytes = self.pool.limits().max_header_bytes
        if size + self.empty_bytes > max_bytes:
            self._refuse_head(
                exception.HeadTooLargeError(
                    f"request head exceeds the limit of {max_bytes} bytes"
                )
            )
            return False
        if self.raw and own.phase is intake.Phase.IDLE:
            own.phase = intake.Phase.HEAD
            own.began_at = now
        if end is None:
            self.searched = size
            if self.raw and not _METHOD.match(self.raw):
                self._refuse_head(
                    exception.MalformedRequestError("request is malformed")
                )
            return False
        head = bytes(self.raw[:size])
        del self.raw[:size]
        if head.startswith(_CONNECT):
            self._refuse_head(
                exception.MalformedRequestError("CONNECT is not supported")
            )
            return False
        return self._feed_head(head)

    def _skip_empty_lines(self) -> None:
        if not self.raw.startswith((b"\r", b"\n")):
            return
        kept = len(self.raw.lstrip(b"\r\n"))
        empty_bytes = len(self.raw) - kept
        del self.raw[:empty_bytes]
        self.empty_bytes += empty_bytes
        self.searched = 0

    def _feed_head(self, head: bytes) -> bool:
        self.head_bytes = intake.head_bytes_held(len(head), head.count(b"\n"))
        self._recount()
        if self.intake.is_ended:
            # There is no memory for what the head becomes.
            return False
        self.intake.phase = intake.Phase.WHOLE
        self._feed(head, self.head_bytes)
        if not self._messages:
            # What the library waits for is no request.
            self._refuse_head(
                exception.MalformedRequestError("request is malformed")
            )
            return False
        message, payload = self._messages[-1]
        if (
            isinstance(message, RawRequestMessage)
            and payload is not streams.EMPTY_PAYLOAD
            and not payload.is_eof()
        ):
            self.intake.phase = intake.Phase.BODY
            self.body = payload
            self.body_left = None
            if not message.chunked:
                self.body_left = _length(message.headers)
            max_bytes = self.pool.limits().max_body_bytes
            if self.body_left is not None and self.body_left > max_bytes:
                # It is refused by the announced length.
                self.hold()
        return True

    def _parse_body(self) -> None:
        part = self._next_part()
        del self.raw[: len(part)]
        is_chunked = self.body_left is None
        factor = _CHUNK_OBJECT_FACTOR if is_chunked else 1
        self.uncounted += len(part)
        self._feed(part, len(part) * factor)
        self._check_body()

    def _feed(self, data: bytes, held_bytes: int) -> None:
        """Lets the library parse bytes, and counts what that takes."""
        began_at = self._loop.time()
        try:
            super().data_received(data)
        except Exception as error:
            # It has no answer for some of its errors.
            logs.event("request_unreadable", error=repr(error)[:_MAX_TEXT])
            self.transport.abort()
        pool.take_turn(self.pool, held_bytes, self._loop.time() - began_at)

    def _next_part(self) -> bytes:
        """Returns bytes that hold nothing behind the end of the body."""
        if self.body_left is not None:
            part = bytes(self.raw[: min(_PART_BYTES, self.body_left)])
            self.body_left -= len(part)
            return part
        part = bytes(self.raw[:_CHUNKED_PART_BYTES])
        # A chunked body ends with an empty line, as may any of its data.
        end = (self.last_bytes + part).find(_CHUNKED_END)
        if end >= 0:
            part = part[: end + len(_CHUNKED_END) - len(self.last_bytes)]
        self.last_bytes = (self.last_bytes + part)[1 - len(_CHUNKED_END) :]
        return part

    def _check_body(self) -> None:
        """Counts a part of a body that was parsed, and finds its end."""
        if self.body is None:
            return
        is_malformed = False
        while self._messages and not isinstance(
            self._messages[-1][0], RawRequestMessage
        ):
            # The library would only answer it after the handler of the
            # request, which waits for the rest of the body.
            self._messages.pop()
            is_malformed = True
        if is_malformed:
            pool.record_ended(self.pool, self.intake, "malformed")
            self._refuse_body(
                exception.MalformedRequestError("request body is malformed")
            )
            return
        if self.body_left is None and not self._is_framing_allowed():
            max_bytes = self.pool.limits().max_header_bytes
            pool.record_ended(self.pool, self.intake, "framing")
            self._refuse_body(
                exception.HeadTooLargeError(
                    "chunk lines and trailers exceed the limit of"
                    f" {max_bytes} bytes"
                )
            )
            return
        if self._is_discarded_too_long():
            self.transport.abort()
            return
        self._recount()
        if not self.body.is_eof():
            return
        self.intake.phase = intake.Phase.WHOLE
        if self.is_discarding:
            self._await_next()

    def _is_discarded_too_long(self) -> bool:
        max_bytes = self.pool.limits().max_body_bytes
        return self.is_discarding and self.body.total_bytes > 2 * max_bytes

    def _is_framing_allowed(self) -> bool:
        if self._reading_paused:
            # The library has not parsed all of it.
            return True
        body_bytes = self.body.total_bytes - self.counted_body
        framing_bytes = self.uncounted - body_bytes
        self.counted_body += body_bytes
        self.uncounted = 0
        bound = intake.body_bound(self.pool.limits().max_header_bytes)
        return not framing.add(self.framing, bound, framing_bytes, body_bytes)

    def _refuse_body(self, error: exception.CopperloomError) -> None:
        self.intake.phase = intake.Phase.WHOLE
        self.end(error)

    def _refuse_head(self, error: exception.CopperloomError) -> None:
        reason = "head" if error.status == _HEAD_TOO_LARGE else "malformed"
        pool.record_ended(self.pool, self.intake, reason)
        self.raw.clear()
        self._close_with(error)

    def _close_with(self, error: exception.CopperloomError) -> None:
        transport = self.transport
        transport.write(_encode(error, *self.describe(error)))
        if transport.get_write_buffer_size():
            # The caller does not read.
            transport.abort()
        self.force_close()

    def _finish_request(self) -> None:
        if self.body is None or self.body.is_eof():
            self._await_next()
        elif self._lingering_time and not self.intake.is_ended:
            self.is_discarding = True
            self.head_bytes = 0
            self._recount()
            self._continue()
        else:
            # The library closes the connection.
            pool.record_ended(self.pool, self.intake, "unread")
            self.raw.clear()
            self.hold()

    def _await_next(self) -> None:
        own = self.intake
        now = self._loop.time()
        own.phase = intake.Phase.IDLE
        own.served += 1
        own.began_at = own.progress_at = now
        self._reset()
        self._recount()
        # The library finds out first whether the connection stays open.
        self._loop.call_soon(self._loop.call_soon, self._continue)

    def _continue(self) -> None:
        if not self._is_receiving():
            return
        self.release()
        if self.raw:
            pool.advance(self.pool, self)


def _length(headers) -> int:
    # Python refuses to convert a long text, even one of zeros.
    return int(headers[hdrs.CONTENT_LENGTH].lstrip("0") or "0")


def _encode(
    error: exception.CopperloomError, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns an answer that ends its connection."""
    status = http.HTTPStatus(error.status)
    headers = headers | {
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines = [f"{name}: {value}" for name, value in headers.items()]
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", *lines, "", ""]
    return "\r\n".join(lines).encode() + body


def make_factory(
    connections: pool.Pool,
    manager: web.Server,
    describe: Describe,
    max_descriptor: Callable[[], int] | None = None,
    linger_s: float = 0.0,
    **options,
) -> Callable[[], Connection]:
    """Returns a function that makes the protocols of new connections.

    Args:
        connections: The connections of the process.
        manager: The server whose handler gets their requests.
        describe: Describes an error to a caller whose request was not read.
        max_descriptor: Returns the highest descriptor that a connection may
            have; None if that is checked before.
        linger_s: How long the rest of a body is read after its answer, in
            seconds, so that a caller that still sends gets the answer.
        **options: Options of the library's request handlers.
    """

    def make() -> Connection:
        return Connection(
            manager,
            connections,
            describe,
            max_descriptor,
            lingering_time=linger_s,
            max_line_size=_NO_LIMIT,
            max_field_size=_NO_LIMIT,
            max_headers=_NO_LIMIT,
            access_log=None,
            **options,
        )

    return make
