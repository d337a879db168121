"""Sends the caller what a target or a peer answers, in complete units."""

import dataclasses
from collections.abc import Mapping

from aiohttp import web

from copperloom import exception
from copperloom.ingress import events, exchange

__all__ = ["Head", "end_stream", "is_stream", "send_events", "set_plain"]

_EVENT_STREAM = "text/event-stream"
_FIRST_ERROR_STATUS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer.

    Attributes:
        status: HTTP status.
        reason: Its reason phrase.
        headers: The headers for the caller.
    """

    status: int
    reason: str | None
    headers: Mapping[str, str]


def is_stream(head: Head) -> bool:
    """Returns whether an answer is a stream of events."""
    content_type = head.headers.get("Content-Type", "")
    is_success = head.status < _FIRST_ERROR_STATUS
    return is_success and content_type.startswith(_EVENT_STREAM)


def set_plain(
    ex: exchange.Exchange, head: Head, body: bytes, now: float
) -> None:
    """Sets a complete plain answer as the response.

    Raises:
        copperloom.exception.StreamBrokenError: The caller has the start of a
            stream, which must not be mixed with a plain answer.
    """
    if ex.response is not None:
        raise exception.StreamBrokenError(
            "target sent a plain answer instead of resuming the stream"
        )
    ex.first_at = now
    ex.response = web.Response(
        status=head.status,
        reason=head.reason,
        body=body,
        headers=head.headers,
    )


async def send_events(
    ex: exchange.Exchange, head: Head, complete: events.Events, now: float
) -> None:
    """Sends complete events, after the head if they are the first."""
    _record_event(ex, now)
    await _begin_stream(ex, head, now)
    ex.has_unnumbered |= not complete.is_resumable
    await ex.response.write(complete.data)
    if complete.last_id:
        ex.last_event = complete.last_id


async def end_stream(
    ex: exchange.Exchange, head: Head, now: float, *, rest: bytes = b""
) -> None:
    """Ends a stream that was received to its end, after its last bytes."""
    await _begin_stream(ex, head, now)
    if rest:
        await ex.response.write(rest)
    await ex.response.write_eof()


async def _begin_stream(ex: exchange.Exchange, head: Head, now: float) -> None:
    if ex.response is not None:
        return
    response = ex.new_stream(
        status=head.status, reason=head.reason, headers=head.headers
    )
    if exchange.closes_connection(ex, now):
        response.force_close()
    ex.response = response
    await response.prepare(ex.http)


def _record_event(ex: exchange.Exchange, now: float) -> None:
    if ex.first_at is None:
        ex.first_at = now
    else:
        ex.longest_gap_s = max(ex.longest_gap_s, now - ex.last_at)
    ex.last_at = now
