"""Listens for callers, for the balancer's readiness checks and for metrics."""

import asyncio
import socket

import msgspec
from aiohttp import web

from copperloom import chains, logs
from copperloom.ingress import chain, exchange, scrape, views
from copperloom.ingress.state import IngressState

__all__ = ["Listeners", "close", "close_callers", "is_ready", "listen"]

_LONGEST_LINE = 65_536
_UNAVAILABLE = 503
# Connections that come at once: callers move here together when another
# instance stops.
_BACKLOG = 1024
_STOP_S = 0.1
# Reading from a connection and starting its request take a few.
_TAKE_IN_TURNS = 10
# Callers close their own idle connections sooner. One that this side closed
# could meet a request on its way.
_KEPT_S = 300.0


class Listeners:
    """What is open for others to connect to.

    Attributes:
        callers: The library's server for callers.
        sockets: The listening sockets, by what they are for.
        busy: Callers' connections with a request in progress.
    """

    def __init__(self):
        self.busy: set = set()
        self.callers: web.Server | None = None
        self.sockets: dict[str, asyncio.Server] = {}


def is_ready(state: IngressState) -> bool:
    """Tells whether new connections should come here.

    An instance that knows no routes or no targets could only refuse.
    """
    return state.routing_known.is_set() and not state.draining


async def listen(
    state: IngressState, metrics: str, callers: socket.socket | None = None
) -> Listeners:
    """Opens the listeners.

    Args:
        state: The instance's state.
        metrics: IP:port for metrics and operators' questions, "" for none.
        callers: A socket that listens for callers already, if there is one.
    """
    own = Listeners()
    own.callers = web.Server(
        _caller(state, own.busy),
        access_log=None,
        handler_cancellation=True,
        auto_decompress=False,
        keepalive_timeout=_KEPT_S,
        max_line_size=_LONGEST_LINE,
        max_field_size=_LONGEST_LINE,
        lingering_time=0,
    )
    addresses = {
        "readiness": (state.settings.readiness_listen, _readiness(state)),
        "metrics": (metrics, _operators(state)),
    }
    for name, (address, handler) in addresses.items():
        if address:
            server = web.Server(handler, access_log=None)
            own.sockets[name] = await _open(address, server)
    own.sockets["callers"] = await _open(
        state.settings.callers_listen, own.callers, callers
    )
    return own


async def close_callers(own: Listeners) -> None:
    """Takes no further requests; those in progress go on.

    Idle connections are closed, and the others after their request. A caller
    that kept one open could otherwise send a request just before the process
    is killed: one that crosses the close has not been read and is sent anew.
    """
    server = own.sockets.pop("callers", None)
    if server is not None:
        server.close()
    for _ in range(_TAKE_IN_TURNS):
        # Takes in the requests that have come over the network by now.
        await asyncio.sleep(0)
    for connection in own.callers.connections:
        if connection in own.busy:
            connection.close()
        elif connection.transport is not None:
            # The library's own close() would leave it open and unread.
            connection.transport.close()


async def close(own: Listeners) -> None:
    """Closes everything, idle connections too."""
    await close_callers(own)
    for server in own.sockets.values():
        server.close()
    if own.callers is not None:
        await own.callers.shutdown(_STOP_S)


async def _open(
    address: str, server: web.Server, listening: socket.socket | None = None
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    if listening is not None:
        return await loop.create_server(
            server, sock=listening, backlog=_BACKLOG
        )
    host, _, port = address.rpartition(":")
    return await loop.create_server(
        server, host, int(port), backlog=_BACKLOG, reuse_address=True
    )


def _caller(state: IngressState, busy: set):
    async def handle(http: web.BaseRequest) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        ex = exchange.Exchange(state, http, now)
        busy.add(http.protocol)
        try:
            await chains.run(chain.REQUESTS, ex)
            await _answer(ex)
        finally:
            busy.discard(http.protocol)
        return ex.response

    return handle


async def _answer(ex: exchange.Exchange) -> None:
    """Sends the response, unless it is a stream that was sent already."""
    if ex.response is None:
        # The caller has left; nothing can be sent to it.
        ex.response = web.Response(status=_UNAVAILABLE)
    if ex.response.prepared:
        return
    if ex.state.draining:
        # Tells the caller to connect elsewhere, so that closing this
        # connection later cuts no request.
        ex.response.force_close()
    try:
        await ex.response.prepare(ex.http)
        await ex.response.write_eof()
    except ConnectionError as error:
        logs.event("caller_gone", request=ex.id, error=str(error))


def _readiness(state: IngressState):
    async def handle(http: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if is_ready(state) else _UNAVAILABLE)

    return handle


def _operators(state: IngressState):
    """Serves /metrics, /status and /explain?host=..&path=..&key=..."""

    async def handle(http: web.BaseRequest) -> web.Response:
        now = asyncio.get_running_loop().time()
        if http.path == "/status":
            return _json(views.status(state, now))
        if http.path == "/explain":
            asked = [http.query.get(n, "") for n in ("host", "path", "key")]
            return _json(views.explain(state, *asked, now))
        return web.Response(
            body=scrape.page(state, now), content_type="text/plain"
        )

    return handle


def _json(value) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
