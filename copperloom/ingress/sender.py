"""Sends requests to targets, byte for byte as received.

Every request uses a new connection. On a reused connection, a duplicate or
delayed answer, or the unread rest of a body, would be attributed to the next
request, and a request sent while the target closes an idle connection could
not be distinguished from one that ran. A new connection costs a round trip,
and a failure to connect proves that nothing was sent.
"""

import asyncio
import contextlib
import dataclasses
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

import aiohttp
import yarl
from aiohttp import http_exceptions

from copperloom import exception
from copperloom.utils import http_errors, response_protocol, sockets

__all__ = ["Reply", "Sender", "close", "is_listening", "send"]

# Below the operating system's delay before it resends a lost SYN packet: trying
# another target is faster. A target that runs accepts within a few
# milliseconds; the lost packet is sent again after a second.
CONNECT_TIMEOUT_S = 0.35
_MAX_LINE_BYTES = 65_536
_MAX_LINES = 128
# The message with which aiohttp refuses a head or trailers.
_TOO_MANY_LINES = "Too many headers"


class _Protocol(response_protocol.BoundedProtocol):
    """The protocol of a connection that is used once."""

    def close(self) -> None:
        """Closes the connection; what was not sent yet is discarded.

        A target that does not read would otherwise keep it open.
        """
        self.abort()


class Sender:
    """The HTTP client for targets.

    Attributes:
        make_socket: Returns a socket for an address, as
            `sockets.monitored_socket` does.
        session: Created on first use, inside the event loop.
    """

    def __init__(self):
        self.make_socket = sockets.monitored_socket
        self.session: aiohttp.ClientSession | None = None

    def open(self) -> aiohttp.ClientSession:
        """Returns the session, and creates it on first use."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=_connector(self.make_socket),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=(
                    "Accept",
                    "Accept-Encoding",
                    "Content-Type",
                    "User-Agent",
                ),
                timeout=aiohttp.ClientTimeout(total=None),
                max_line_size=_MAX_LINE_BYTES,
                max_field_size=_MAX_LINE_BYTES,
                max_headers=_MAX_LINES,
            )
        return self.session


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer whose head has been received.

    Attributes:
        status: The HTTP status.
        headers: The headers.
        response: aiohttp's response, to read the body from.
        protocol: The protocol of its connection.
    """

    status: int
    headers: Mapping[str, str]
    response: aiohttp.ClientResponse
    protocol: _Protocol

    def check_complete(self) -> None:
        """Checks that the body that was read is complete.

        Raises:
            copperloom.exception.StreamBrokenError: A reset ended the body.
        """
        if response_protocol.is_truncated(self.response):
            raise exception.StreamBrokenError(
                "connection reset before the end of the answer",
                connection_lost=True,
            )


def _connector(make_socket) -> aiohttp.TCPConnector:
    return response_protocol.make_connector(
        _Protocol,
        limit=0,
        force_close=True,
        use_dns_cache=False,
        socket_factory=make_socket,
    )


@contextlib.asynccontextmanager
async def send(
    client: Sender,
    address: str,
    method: str,
    raw_path: str,
    headers: Mapping[str, str],
    body: bytes,
    *,
    timeout_s: float | None = None,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    wait_on: Callable[[], Awaitable[float | None]] | None = None,
    abandon: asyncio.Future | None = None,
) -> AsyncIterator[Reply]:
    """Sends a request and yields its reply once the head is received.

    Leaving the context closes the connection, which makes the target stop.

    Args:
        client: The HTTP client.
        address: IP:port of the target.
        method: The HTTP method.
        raw_path: Path and query as the caller sent them.
        headers: All headers except those of the connection.
        body: The complete body.
        timeout_s: Timeout for the head of the answer in seconds; None for no
            timeout.
        connect_timeout_s: Timeout for the connection in seconds.
        wait_on: Called at the timeout; returns for how many seconds the wait
            continues, or None for its end. Without it the wait ends.
        abandon: Its result acts as the timeout.

    Raises:
        copperloom.exception.TargetUnreachableError: No connection was made,
            so the request has not run.
        copperloom.exception.StreamBrokenError: The request may have run.
    """
    url = yarl.URL(f"http://{address}{raw_path}", encoded=True)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s)
    pending = client.open().request(
        method,
        url,
        headers=headers,
        data=body or None,
        allow_redirects=False,
        timeout=timeout,
        middlewares=(_classify,),
    )
    try:
        async with await _head(pending, timeout_s, wait_on, abandon) as resp:
            # aiohttp clears the public `connection` once a short answer is
            # complete.
            yield Reply(resp.status, resp.headers, resp, resp._protocol)
    except (aiohttp.ClientError, OSError) as error:
        raise _broken(error) from error
    except exception.CopperloomError:
        raise
    except Exception as error:
        raise http_errors.unforeseen(error) from error


async def _head(pending, timeout_s, wait_on, abandon) -> aiohttp.ClientResponse:
    """Waits for the head of an answer; may continue after the timeout."""

    async def wait():
        return await pending

    task = asyncio.ensure_future(wait())
    try:
        waits = {task} if abandon is None else {task, abandon}
        while not task.done():
            await asyncio.wait(
                waits,
                timeout=None if timeout_s == math.inf else timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done():
                break
            # A request is abandoned only once; the wait may go on after it.
            waits = {task}
            timeout_s = await wait_on() if wait_on is not None else None
            if timeout_s is None and not task.done():
                raise exception.StreamBrokenError(
                    "target sent no answer before the timeout", is_silent=True
                )
        return await task
    finally:
        # Also ends the request if this wait is cancelled.
        task.cancel()


async def _classify(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Distinguishes a failure to connect from a broken connection.

    As a middleware it runs below aiohttp's own retries of idempotent methods,
    and its errors are not retried by them.
    """
    try:
        return await handler(req)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        is_silent = isinstance(error, TimeoutError)
        raise exception.TargetUnreachableError(
            http_errors.describe(error), is_silent=is_silent
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise _broken(error) from error


async def close(client: Sender) -> None:
    """Closes all connections of a client."""
    if client.session is not None:
        await client.session.close()


async def is_listening(client: Sender, address: str) -> bool | None:
    """Returns whether a target accepts connections; None if that is unknown.

    A host refuses connections to a port on which no process listens. Silence
    may have other reasons, such as a network partition.
    """
    host, _, port = address.rpartition(":")
    peer = (host, int(port))
    loop = asyncio.get_running_loop()
    info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", peer)
    with client.make_socket(info) as sock:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, peer)
        except ConnectionRefusedError:
            return False
        except OSError:
            return None
    return True


def _broken(error: BaseException) -> exception.StreamBrokenError:
    cause = _first_cause(error)
    place, bound = _exceeded_bound(cause)
    if place:
        # aiohttp does not tell how much came.
        return exception.AnswerTooLongError(
            http_errors.describe(cause),
            place=place,
            size=bound + 1,
            bound=bound,
        )
    is_lost = not isinstance(cause, response_protocol.MalformedHeadError)
    return exception.StreamBrokenError(
        http_errors.describe(error), connection_lost=is_lost
    )


def _first_cause(error: BaseException) -> BaseException:
    while error.__cause__ is not None:
        error = error.__cause__
    return error


def _exceeded_bound(cause: BaseException) -> tuple[str, int]:
    """Returns the place and the bound of aiohttp that ended an answer."""
    if isinstance(cause, http_exceptions.LineTooLong):
        return "line", _MAX_LINE_BYTES
    is_refused = isinstance(cause, http_exceptions.BadHttpMessage)
    if is_refused and _TOO_MANY_LINES in str(cause):
        return "lines", _MAX_LINES
    return "", 0
