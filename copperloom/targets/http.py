"""Engines and plain services by HTTP, as docs/PROTOCOLS.md tells.

The only module that knows the targets' protocol. What may be believed about a
call that failed is decided here: *not run* is said only where no byte of the
request can have reached the target, or where the target itself says so.
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

__all__ = ["connect"]

# Shorter than the targets' own limit, so that this side closes an idle
# connection first: a request on a connection that the target has just closed
# breaks and can only be reported as "may have run".
_KEEP_ALIVE_S = 10.0
# aiohttp rounds longer time limits up to whole seconds, which would let a
# request pass its deadline; this turns the rounding off.
_NO_ROUNDING_S = 1e9
# About seventy times the time between two tokens at the design size, so that
# a busy engine is not taken for a dead connection; short enough that a caller
# with a time limit of a minute still gets its answer by another connection.
_STALL_S = 5.0
_OK = 200
_FORBIDDEN = 403
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_ERROR_BYTES = 2000
# A larger body is sent in parts, so that a prompt of a million tokens does
# not stand twice in memory nor hold up the loop while it is written.
_WHOLE_BYTES = 1 << 20
_PART_BYTES = 1 << 18


class _ErrorBody(msgspec.Struct):
    error: str = ""
    ran: bool | None = None
    retry_after_s: float | None = None


class _Events(msgspec.Struct):
    events: list[interface.CacheEvent]


_STREAMS = msgspec.json.Decoder(list[interface.StreamInfo])
_LOAD = msgspec.json.Decoder(interface.LoadReport)
_EVENTS = msgspec.json.Decoder(_Events)
_ERROR = msgspec.json.Decoder(_ErrorBody)


class _Client:
    """The one session, made by the first call, when the loop runs."""

    def __init__(self, connect_s: float, stall_s: float):
        self.connect_s = connect_s
        self.stall_s = stall_s
        self.session: aiohttp.ClientSession | None = None


def connect(
    *, connect_s: float, stall_s: float = _STALL_S
) -> interface.Targets:
    """Makes the record of functions for targets that speak this protocol.

    Args:
        connect_s: Time limit to connect, in seconds.
        stall_s: Longest time without a piece in an answer that has begun, in
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
    sending = _send(
        client,
        "POST",
        f"http://{address}/streams",
        timeout_s,
        data=_body(_encode_open(req)),
    )
    async with sending as resp:
        await _check(resp)
        async for some in _follow(client, resp, req.stream, 0):
            yield some


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
        await _check(resp)
        async for some in _follow(client, resp, stream, offset):
            yield some


async def _follow(
    client: _Client, resp: aiohttp.ClientResponse, stream: str, offset: int
) -> AsyncIterator[list[interface.Piece]]:
    with stalls.watch(
        resp.content.readany,
        resp.close,
        limit_s=client.stall_s,
        begun=offset > 0,
    ) as read:
        async for some in pieces.follow(read, stream, offset):
            yield some


async def _cancel(
    client: _Client, address: str, stream: str, *, timeout_s: float
) -> None:
    await _fetch(client, "DELETE", _stream_url(address, stream), timeout_s)


async def _streams(
    client: _Client, address: str, *, timeout_s: float
) -> list[interface.StreamInfo]:
    url = f"http://{address}/streams"
    return _decode(_STREAMS, await _fetch(client, "GET", url, timeout_s))


async def _load(
    client: _Client, address: str, *, timeout_s: float
) -> interface.LoadReport:
    url = f"http://{address}/load"
    return _decode(_LOAD, await _fetch(client, "GET", url, timeout_s))


async def _cache_events(
    client: _Client, address: str, after: int, *, timeout_s: float
) -> list[interface.CacheEvent]:
    url = f"http://{address}/events?after={after}"
    return _decode(_EVENTS, await _fetch(client, "GET", url, timeout_s)).events


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
            raise exception.OrderRefusedError((await _error(resp)).error)
        await _check(resp)


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
    sending = _send(
        client,
        call.method,
        f"http://{address}{call.path}",
        timeout_s,
        data=call.body,
        headers=headers,
    )
    async with sending as resp:
        if resp.status == _UNAVAILABLE and resp.headers.get("X-Not-Run"):
            raise exception.TargetRefusedError()
        body = await resp.read()
        return interface.ServiceReply(resp.status, body, resp.content_type)


async def _close(client: _Client) -> None:
    session, client.session = client.session, None
    if session is not None:
        await session.close()


def _stream_url(address: str, stream: str) -> str:
    return f"http://{address}/streams/{urllib.parse.quote(stream, safe='')}"


def _encode_open(req: interface.StreamOpen) -> bytes:
    """Encodes it with the messages, which are JSON already, in place."""
    body = {name: getattr(req, name) for name in req.__slots__}
    body["messages"] = msgspec.Raw(req.messages)
    return msgspec.json.encode(body)


def _body(data: bytes) -> bytes | AsyncIterator[bytes]:
    return data if len(data) <= _WHOLE_BYTES else _parts(data)


async def _parts(data: bytes) -> AsyncIterator[bytes]:
    for at in range(0, len(data), _PART_BYTES):
        yield data[at : at + _PART_BYTES]


def _session(client: _Client) -> aiohttp.ClientSession:
    if client.session is None:
        client.session = aiohttp.ClientSession(
            # Requests are bounded by the decisions, so the pool does not
            # make any wait for a free connection.
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=_KEEP_ALIVE_S
            ),
            middlewares=(_classify,),
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )
    return client.session


async def _classify(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turns a failure to get a reply into what may be believed of it.

    It stands below aiohttp's own retry of GET, PUT and DELETE on a broken
    kept-alive connection, which acts only on aiohttp's errors: such a retry
    would run a call twice, or report the second attempt's refused connection
    as "not run" although the first may have run.
    """
    try:
        return await handler(req)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise exception.TargetUnreachableError(str(error)) from error
    except (aiohttp.ClientError, OSError) as error:
        raise exception.StreamBrokenError(_reason(error)) from error


@contextlib.asynccontextmanager
async def _send(
    client: _Client, method: str, url: str, timeout_s: float, **options
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Sends a request and gives the response; maps all failures."""
    timeout = aiohttp.ClientTimeout(
        total=timeout_s,
        connect=min(client.connect_s, timeout_s),
        ceil_threshold=_NO_ROUNDING_S,
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
        raise exception.StreamBrokenError(_reason(error)) from error


async def _fetch(
    client: _Client, method: str, url: str, timeout_s: float
) -> bytes:
    async with _send(client, method, url, timeout_s) as resp:
        await _check(resp)
        return await resp.read()


async def _check(resp: aiohttp.ClientResponse) -> None:
    """Raises unless the target took the request."""
    if resp.status == _OK:
        return
    body = await _error(resp)
    text = f"{resp.status} {body.error}"
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
    # A conflict over a name that runs, or a reply that is not the target's
    # own word (a proxy's, say): nothing is known of the work.
    raise exception.StreamBrokenError(text)


async def _error(resp: aiohttp.ClientResponse) -> _ErrorBody:
    body = await resp.read()
    try:
        return _ERROR.decode(body)
    except msgspec.DecodeError:
        return _ErrorBody(error=repr(body[:_ERROR_BYTES]))


def _decode(decoder: msgspec.json.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise exception.StreamBrokenError(str(error)) from error


def _reason(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
