"""Ends answers of targets that are longer than their bounds.

The bounds are those of `decisions.answer_limits`. Heads and chunk lines are
checked by the connection (see `sender`).
"""

import asyncio

import aiohttp

from copperloom import exception, logs, routing
from copperloom.decisions import answer_limits, health
from copperloom.ingress import events, exchange, sender
from copperloom.ingress.state import IngressState

__all__ = [
    "BodyBuffer",
    "StreamBounds",
    "add_events",
    "finish",
    "is_final",
    "pause",
    "read_body",
    "record",
    "record_of",
    "release",
]

_WITHOUT_BODY = (204, 304)


class BodyBuffer:
    """The bytes of a plain answer, counted with those of other answers.

    Attributes:
        ex: The request.
        chunks: The bytes received.
        bound: Maximum number of bytes.
    """

    def __init__(self, ex: exchange.Exchange, *, is_announced: bool):
        self.ex = ex
        self.chunks: list[bytes] = []
        self.bound = answer_limits.max_body_bytes(
            ex.state.settings.memory_bytes
        )
        release(ex)
        ex.answer_body = answer_limits.Body(is_announced)

    def add(self, chunk: bytes) -> None:
        """Adds bytes.

        Raises:
            copperloom.exception.AnswerTooLongError: The body is too long, or
                no memory is left for it.
        """
        body = self.ex.answer_body
        answer_limits.add_bytes(self.ex.state.body_memory, body, len(chunk))
        if body.size > self.bound:
            raise too_long("body", body.size, self.bound)
        self.check()
        self.chunks.append(chunk)

    def check(self) -> None:
        """Checks that the body was not ended in favour of others.

        Raises:
            copperloom.exception.AnswerTooLongError: It was.
        """
        if self.ex.answer_body.is_ended:
            raise self.ended_error()

    def ended_error(self) -> exception.AnswerTooLongError:
        """Returns the error for a body that was ended."""
        taken = self.ex.state.body_memory.unannounced_bytes
        return too_long("bodies", self.ex.answer_body.size, taken)

    def finish(self) -> bytes:
        """Returns the complete body."""
        self.ex.answer_body.is_complete = True
        return b"".join(self.chunks)


async def read_body(ex: exchange.Exchange, reply: sender.Reply) -> bytes:
    """Reads the body of a plain answer.

    Raises:
        copperloom.exception.AnswerTooLongError: It is too long.
        copperloom.exception.StreamBrokenError: It broke off.
    """
    announced = _announced_bytes(ex, reply)
    buffer = BodyBuffer(ex, is_announced=announced is not None)
    if announced is not None and announced > buffer.bound:
        raise too_long("announced_length", announced, buffer.bound)
    # The reader of a connection that is only closed here would wait for ever.
    ex.answer_body.on_end = lambda: reply.protocol.fail(buffer.ended_error())
    try:
        await _fill(buffer, reply)
    except BaseException:
        buffer.chunks.clear()
        release(ex)
        raise
    return buffer.finish()


async def _fill(buffer: BodyBuffer, reply: sender.Reply) -> None:
    try:
        async for chunk in reply.response.content.iter_any():
            buffer.add(chunk)
        buffer.check()
        reply.check_complete()
    except aiohttp.ClientError:
        buffer.check()
        raise


def _announced_bytes(ex: exchange.Exchange, reply: sender.Reply) -> int | None:
    if ex.http.method == "HEAD" or reply.status in _WITHOUT_BODY:
        return 0
    return reply.response.content_length


def release(ex: exchange.Exchange) -> None:
    """Releases the memory of an answer that was sent or given up."""
    if ex.answer_body is not None:
        answer_limits.end_body(ex.state.body_memory, ex.answer_body)
        ex.answer_body = None


class StreamBounds:
    """The bounds of one stream of events.

    Attributes:
        bound: Maximum number of bytes.
        size: Bytes received; each event that was checked counts like some.
        pace: Its rate.
        unpaid_bytes: Those of `size` since the last pause.
        splitter: Splits it at the ends of events.
        checker: Checks its events; None for a stream that can't be resumed,
            which consists of whatever its only target sends.
    """

    def __init__(self, ex: exchange.Exchange):
        self.bound = answer_limits.max_stream_bytes(
            ex.head.max_tokens, ex.state.settings.memory_bytes
        )
        self.size = 0
        self.pace = answer_limits.Pace()
        self.unpaid_bytes = 0
        self.splitter = events.Splitter()
        self.checker: events.Checker | None = None
        if ex.route.resumable:
            is_resumed = ex.response is not None
            last_id = ex.last_event if is_resumed else ""
            self.checker = events.Checker(last_id, is_resumed=is_resumed)


def add_events(bounds: StreamBounds, chunk: bytes) -> events.Events | None:
    """Adds bytes of a stream; returns the events that they complete, or None.

    Raises:
        copperloom.exception.AnswerTooLongError: The stream or an event is too
            long.
        copperloom.exception.StreamBrokenError: The bytes are no events, and
            the stream may be resumed.
    """
    size = len(chunk)
    if bounds.checker is None:
        complete = events.feed(bounds.splitter, chunk)
        rest_bytes = len(bounds.splitter.rest)
    else:
        data = events.split(bounds.splitter, chunk)
        before = bounds.checker.count
        complete = data and events.check(bounds.checker, data)
        checked = bounds.checker.count - before
        size += checked * answer_limits.CHECK_BYTES
        rest_bytes = len(bounds.splitter.rest) + len(bounds.checker.held)
    bounds.size += size
    bounds.unpaid_bytes += size
    if rest_bytes > answer_limits.MAX_EVENT_BYTES:
        raise too_long("event", rest_bytes, answer_limits.MAX_EVENT_BYTES)
    if bounds.size > bounds.bound:
        raise too_long("stream", bounds.size, bounds.bound)
    return complete


def finish(bounds: StreamBounds) -> bytes:
    """Returns what was not sent yet at the end of a stream.

    Raises:
        copperloom.exception.StreamBrokenError: The stream ended inside an
            event.
    """
    rest = bytes(bounds.splitter.rest)
    if rest.strip(b"\r\n"):
        raise exception.StreamBrokenError(
            "target ended its stream in the middle of an event",
            connection_lost=True,
        )
    if bounds.checker is not None:
        rest = bytes(bounds.checker.held) + rest
    return rest


async def pause(bounds: StreamBounds) -> None:
    """Waits until a stream may be read again.

    Meanwhile the connection is not read, so that the target has to wait.
    """
    now = asyncio.get_running_loop().time()
    size, bounds.unpaid_bytes = bounds.unpaid_bytes, 0
    delay_s = answer_limits.pause_s(bounds.pace, size, now)
    if delay_s > 0:
        await asyncio.sleep(delay_s)


def is_final(ex: exchange.Exchange, error: exception.StreamBrokenError) -> bool:
    """Returns whether a stream must not be resumed after an error.

    The id of the last event of an endless stream is worth nothing: a target
    that resumed after it would end the stream as if it were complete. Events
    without an id would come twice.
    """
    if ex.response is None:
        return False
    if not ex.route.resumable or ex.has_unnumbered:
        return True
    is_too_long = isinstance(error, exception.AnswerTooLongError)
    return is_too_long and error.place != "event"


def too_long(place: str, size: int, bound: int) -> exception.AnswerTooLongError:
    """Returns the error for an answer that is longer than a bound."""
    return exception.AnswerTooLongError(
        f"{place} of the answer has {size} bytes or more, {bound} are allowed",
        place=place,
        size=size,
        bound=bound,
    )


def record(
    state: IngressState,
    error: exception.CopperloomError,
    target: str,
    request: str = "",
) -> None:
    """Logs and counts an answer that was too long; ignores other errors."""
    if not isinstance(error, exception.AnswerTooLongError):
        return
    state.metrics.long_answers.labels(error.place).inc()
    logs.event(
        "answer_too_long",
        request=request,
        target=target,
        place=error.place,
        bytes=error.size,
        bound=error.bound,
    )


def record_of(
    state: IngressState,
    error: exception.CopperloomError,
    target: routing.TargetEntry,
    request: str = "",
) -> None:
    """Does the same for a check or an order, and penalises the target."""
    if not isinstance(error, exception.AnswerTooLongError):
        return
    record(state, error, target.name, request)
    now = asyncio.get_running_loop().time()
    known = state.health.setdefault(target.name, health.Health())
    health.record_failure(known, now, health.BROKEN_PENALTY)
    state.digest_due.set()
