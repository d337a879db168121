"""A client of engines and plain services over HTTP (docs/PROTOCOLS.md).

This is the only module that knows the targets' protocol. It decides whether a
failed call may have run: *not run* is reported only if no byte of the request
can have reached the target, or if the target itself reports it.
"""

import contextlib
import functools
import urllib.parse
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import yarl

from copperloom import exception
from copperloom.targets import interface, pieces, stalls
from copperloom.utils import (
    bounded_read,
    http_errors,
    malformed,
    response_protocol,
)

__all__ = ["connect"]

# Shorter than the targets' own limit, so that the client closes an idle
# connection first. A request on a connection that the target has just closed
# fails and can only be reported as "may have run".
_KEEP_ALIVE_S = 10.0
# aiohttp rounds timeouts above a threshold up to whole seconds, which would let
# a request exceed its deadline. No timeout reaches this threshold.
_ROUNDING_THRESHOLD_S = 1e9
# Many times the usual gap between tokens, so that a busy engine is not mistaken
# for a dead connection; short enough to resume within a caller's time limit.
_STALL_TIMEOUT_S = 5.0
_OK = 200
_FORBIDDEN = 403
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_MAX_ERROR_BYTES = 2000
_MAX_BODY_BYTES = 16_000_000
# A larger body is sent in chunks, so that a long prompt is not copied entirely
# and does not block the event loop.
_MAX_UNCHUNKED_BYTES = 1 << 20
_CHUNK_BYTES = 1 << 18


class _ErrorBody(msgspec.Struct):
    error: str = ""
    ran: bool | None = None
    retry_after_s: float | None = None


class _Events(msgspec.Struct):
    events: list[interface.CacheEvent]


_STREAMS_DECODER = msgspec.json.Decoder(list[interface.StreamInfo])
_LOAD_DECODER = msgspec.json.Decoder(interface.LoadReport)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)
_ERROR_DECODER = msgspec.json.Decoder(_ErrorBody)


class _Client:
    """The HTTP session, created by the first call, when the loop is running."""

    def __init__(self, connect_s: float, stall_s: float):
        self.connect_s = connect_s
        self.stall_s = stall_s
        self.session: aiohttp.ClientSession | None = None


def connect(
    *, connect_s: float, stall_s: float = _STALL_TIMEOUT_S
) -> interface.Targets:
    """Builds a client of targets that use this protocol.

    Args:
        connect_s: Timeout to connect, in seconds.
        stall_s: Maximum time without data in an answer that has started, in
            seconds; the answer then breaks and can be resumed.
    """
    client = _Client(connect_s, stall_s)
    bind = functools.partial
    return interface.Targets(
        open=bind(_open, client),
        resume=bind(_resume, client),
        cancel=bind(_cancel, client),
        streams=bind(_streams, client),
        load=bind(_load, client),
        cache_events=bind(_cache_events, client),
        order=bind(_order, client),
        call=bind(_call, client),
        close=bind(_close, client),
    )


async def _open(
    client: _Client,
    address: str,
    req: interface.StreamOpen,
    *,
    timeout_s: float,
) -> AsyncIterator[list[interface.Piece]]:
    request = _send(
        client,
        "POST",
        f"http://{address}/streams",
        timeout_s,
        data=_request_body(_encode_open(req)),
    )
    async with request as resp:
        await _raise_for_status(resp)
        async for batch in _read_answer(client, resp, req.stream, 0):
            yield batch


async def _resume(
    client: _Client,
    address: str,
    stream: str,
    offset: int,
    owner: str,
    organisation: str,
    *,
    timeout_s: float,
) -> AsyncIterator[list[interface.Piece]]:
    query = urllib.parse.urlencode(
        {"offset": offset, "owner": owner, "organisation": organisation}
    )
    url = f"{_stream_url(address, stream)}?{query}"
    async with _send(client, "GET", url, timeout_s) as resp:
        await _raise_for_status(resp)
        async for batch in _read_answer(client, resp, stream, offset):
            yield batch


async def _read_answer(
    client: _Client, resp: aiohttp.ClientResponse, stream: str, offset: int
) -> AsyncIterator[list[interface.Piece]]:
    with stalls.detect_stalls(
        resp.content.readany,
        resp.close,
        limit_s=client.stall_s,
        started=offset > 0,
    ) as read:
        async for batch in pieces.read_pieces(read, stream, offset):
            yield batch


async def _cancel(
    client: _Client, address: str, stream: str, *, timeout_s: float
) -> None:
    await _fetch(client, "DELETE", _stream_url(address, stream), timeout_s)


async def _streams(
    client: _Client, address: str, *, timeout_s: float
) -> list[interface.StreamInfo]:
    url = f"http://{address}/streams"
    return _decode(
        _STREAMS_DECODER, await _fetch(client, "GET", url, timeout_s)
    )


async def _load(
    client: _Client, address: str, *, timeout_s: float
) -> interface.LoadReport:
    url = f"http://{address}/load"
    return _decode(_LOAD_DECODER, await _fetch(client, "GET", url, timeout_s))


async def _cache_events(
    client: _Client, address: str, after: int, *, timeout_s: float
) -> list[interface.CacheEvent]:
    url = f"http://{address}/events?after={after}"
    return _decode(
        _EVENTS_DECODER, await _fetch(client, "GET", url, timeout_s)
    ).events


async def _order(
    client: _Client,
    address: str,
    order: interface.Order,
    *,
    timeout_s: float,
) -> None:
    url = f"http://{address}/orders"
    body = msgspec.json.encode(order)
    async with _send(client, "POST", url, timeout_s, data=body) as resp:
        if resp.status == _CONFLICT:
            raise exception.OrderRefusedError((await _read_error(resp)).error)
        await _raise_for_status(resp)


async def _call(
    client: _Client,
    address: str,
    call: interface.ServiceCall,
    *,
    timeout_s: float,
) -> interface.ServiceReply:
    headers = {"X-Request-Id": call.request, "Content-Type": call.content_type}
    if call.key:
        headers["Idempotency-Key"] = call.key
    request = _send(
        client,
        call.method,
        f"http://{address}{call.path}",
        timeout_s,
        data=call.body,
        headers=headers,
    )
    async with request as resp:
        if resp.status == _UNAVAILABLE and resp.headers.get("X-Not-Run"):
            raise exception.TargetRefusedError()
        body = await _read_body(resp)
        return interface.ServiceReply(resp.status, body, resp.content_type)


async def _close(client: _Client) -> None:
    session, client.session = client.session, None
    if session is not None:
        await session.close()


def _stream_url(address: str, stream: str) -> str:
    return f"http://{address}/streams/{urllib.parse.quote(stream, safe='')}"


def _encode_open(req: interface.StreamOpen) -> bytes:
    """Encodes a request without decoding its messages, which are JSON."""
    body = {name: getattr(req, name) for name in req.__slots__}
    body["messages"] = msgspec.Raw(req.messages)
    return msgspec.json.encode(body)


def _request_body(data: bytes) -> bytes | AsyncIterator[bytes]:
    return data if len(data) <= _MAX_UNCHUNKED_BYTES else _chunks(data)


async def _chunks(data: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(data), _CHUNK_BYTES):
        yield data[start : start + _CHUNK_BYTES]


def _session(client: _Client) -> aiohttp.ClientSession:
    if client.session is None:
        client.session = aiohttp.ClientSession(
            # The scheduler bounds the requests, so none needs to wait for a
            # free connection.
            connector=response_protocol.make_connector(
                response_protocol.BoundedProtocol,
                limit=0,
                keepalive_timeout=_KEEP_ALIVE_S,
            ),
            middlewares=(_convert_errors,),
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )
    return client.session


async def _convert_errors(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Converts connection errors into errors that state whether the work ran.

    The conversion also prevents aiohttp's own retries of GET, PUT and DELETE on
    a broken keep-alive connection, which react only to aiohttp's errors. Such a
    retry could run a call twice, or report its own refused connection as "not
    run" although the first attempt may have run.
    """
    try:
        return await handler(req)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise exception.TargetUnreachableError(
            http_errors.describe(error)
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise exception.StreamBrokenError(
            http_errors.describe(error)
        ) from error


@contextlib.asynccontextmanager
async def _send(
    client: _Client, method: str, url: str, timeout_s: float, **options
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Sends a request, yields the response and converts connection errors."""
    timeout = aiohttp.ClientTimeout(
        total=timeout_s,
        connect=min(client.connect_s, timeout_s),
        ceil_threshold=_ROUNDING_THRESHOLD_S,
    )
    try:
        async with _session(client).request(
            method,
            yarl.URL(url, encoded=True),
            timeout=timeout,
            allow_redirects=False,
            **options,
        ) as resp:
            yield resp
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise exception.StreamBrokenError(
            http_errors.describe(error)
        ) from error
    except exception.CopperloomError:
        raise
    except Exception as error:
        raise http_errors.unforeseen(error) from error


async def _fetch(
    client: _Client, method: str, url: str, timeout_s: float
) -> bytes:
    async with _send(client, method, url, timeout_s) as resp:
        await _raise_for_status(resp)
        return await _read_body(resp)


async def _read_body(resp: aiohttp.ClientResponse) -> bytes:
    """Reads a complete body of bounded length."""
    body = await bounded_read.read(resp, _MAX_BODY_BYTES)
    if response_protocol.is_truncated(resp):
        raise exception.StreamBrokenError(
            "connection reset before the end of the answer"
        )
    return body


async def _raise_for_status(resp: aiohttp.ClientResponse) -> None:
    """Raises the error that a reply reports, unless its status is 200."""
    if resp.status == _OK:
        return
    body = await _read_error(resp)
    text = f"{resp.status} {body.error[:_MAX_ERROR_BYTES]}"
    if resp.status == _NOT_FOUND:
        raise exception.StreamUnknownError(text)
    if resp.status == _FORBIDDEN:
        raise exception.NotAuthorisedError(text)
    if body.ran is True and resp.status != _CONFLICT:
        raise exception.TargetFailedError(text)
    if body.ran is False:
        raise exception.TargetRefusedError(
            text, retry_after_s=body.retry_after_s
        )
    # The stream's name is already in use, or the reply may come from a proxy:
    # the work may have run.
    raise exception.StreamBrokenError(text)


async def _read_error(resp: aiohttp.ClientResponse) -> _ErrorBody:
    body = await _read_body(resp)
    try:
        return _ERROR_DECODER.decode(body)
    except malformed.ERRORS:
        return _ErrorBody(error=repr(body[:_MAX_ERROR_BYTES]))


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except malformed.ERRORS as error:
        raise exception.StreamBrokenError(str(error)) from error
