"""Listens for callers, readiness checks of the load balancer, and operators."""

import asyncio
import socket
from collections.abc import Callable

import msgspec
from aiohttp import web

from copperloom import chains, exception, logs
from copperloom.ingress import (
    chain,
    connection_gate,
    exchange,
    long_answers,
    reachability_checks,
    scrape,
    views,
)
from copperloom.ingress.state import IngressState
from copperloom.intake import connection, descriptors, pool

__all__ = ["Listeners", "close", "close_callers", "is_ready", "listen"]

_UNAVAILABLE = 503
_BAD_GATEWAY = 502
# Callers of another instance reconnect together when it stops.
_BACKLOG = 1024
_SHUTDOWN_S = 0.1
# Iterations of the event loop in which received requests are read and started.
_READ_ITERATIONS = 10
# Longer than callers keep idle connections: a connection that this side closes
# may lose a request in transit.
_KEEPALIVE_S = 300.0


class Listeners:
    """The open listeners of an instance.

    Attributes:
        callers: aiohttp's server for callers.
        sockets: The listening servers by purpose.
        busy: Callers' connections with a request in progress.
        gate: Admits callers' connections.
    """

    def __init__(self):
        self.busy: set = set()
        self.callers: web.Server | None = None
        self.gate: connection_gate.Gate | None = None
        self.sockets: dict[str, asyncio.Server] = {}


def is_ready(state: IngressState) -> bool:
    """Returns whether the load balancer should send connections here.

    An instance without routes or targets could only refuse requests.
    """
    return state.routing_known.is_set() and not state.draining


async def listen(
    state: IngressState, metrics: str, callers: socket.socket | None = None
) -> Listeners:
    """Opens the listeners.

    Args:
        state: The instance's state.
        metrics: IP:port for metrics and operators' requests, "" for none.
        callers: A socket that already listens for callers, if any.
    """
    own = Listeners()
    own.callers = web.Server(
        _caller_handler(state, own.busy),
        handler_cancellation=True,
    )
    addresses = {
        "readiness": (
            state.settings.readiness_listen,
            _readiness_handler(state),
        ),
        "metrics": (metrics, _operator_handler(state)),
    }
    for name, (address, handler) in addresses.items():
        if address:
            factory = _factory(
                state, web.Server(handler), lambda: _max_descriptor(state)
            )
            own.sockets[name] = await _open(state, address, factory)
    own.gate = connection_gate.Gate(state, _factory(state, own.callers))
    own.sockets["callers"] = await _open(
        state, state.settings.callers_listen, own.gate, callers
    )
    return own


async def close_callers(own: Listeners) -> None:
    """Stops accepting requests; those in progress continue.

    Idle connections are closed at once and the others after their request.
    Otherwise a caller could use an idle connection just before the process is
    killed. A request in transit at the close is never read, so that its caller
    can safely send it again.
    """
    server = own.sockets.pop("callers", None)
    if server is not None:
        server.close()
        connection_gate.close(own.gate)
    for _ in range(_READ_ITERATIONS):
        # Lets the requests that have already arrived start.
        await asyncio.sleep(0)
    # Their rest would not be read.
    pool.end_receiving(own.gate.state.connections, pool.loop_time())
    for opened in own.callers.connections:
        if opened in own.busy:
            opened.close()
        elif opened.transport is not None:
            # aiohttp's close() would leave the connection open but unread.
            opened.transport.close()


async def close(own: Listeners) -> None:
    """Closes all listeners and connections."""
    await close_callers(own)
    for server in own.sockets.values():
        server.close()
    if own.callers is not None:
        await own.callers.shutdown(_SHUTDOWN_S)


async def _open(
    state: IngressState,
    address: str,
    factory: Callable[[], asyncio.Protocol],
    listening_socket: socket.socket | None = None,
) -> asyncio.Server:
    if listening_socket is None:
        host, _, port = address.rpartition(":")
        listening_socket = socket.create_server((host, int(port)))
    return await descriptors.listen(
        factory, listening_socket, _BACKLOG, state.settings.max_descriptors
    )


def _factory(
    state: IngressState,
    server: web.Server,
    max_descriptor: Callable[[], int] | None = None,
) -> Callable[[], connection.Connection]:
    return connection.make_factory(
        state.connections,
        server,
        _describe_unread,
        max_descriptor,
        auto_decompress=False,
        keepalive_timeout=_KEEPALIVE_S,
    )


def _max_descriptor(state: IngressState) -> int:
    limit = state.settings.max_descriptors
    return descriptors.max_open(limit, descriptors.OTHERS_SHARE)


def _describe_unread(
    error: exception.CopperloomError,
) -> tuple[dict[str, str], bytes]:
    """Returns headers and body for a request that was not read."""
    headers = {
        "Content-Type": "text/plain; charset=utf-8",
        "Copperloom-Error": str(error.code),
    }
    if error.retry_after_s is not None:
        headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return headers, f"{error.code} {error}\n".encode()


def _caller_handler(state: IngressState, busy: set):
    async def handle(req: web.BaseRequest) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        ex = exchange.Exchange(state, req, now)
        busy.add(req.protocol)
        try:
            await chains.run(chain.REQUESTS, ex)
            await _send_response(ex)
        finally:
            long_answers.release(ex)
            busy.discard(req.protocol)
        return ex.response

    return handle


async def _send_response(ex: exchange.Exchange) -> None:
    """Sends the response unless it was already sent as a stream."""
    if ex.response is None:
        # The caller has probably disconnected, but aiohttp requires a response.
        not_run = ex.run is exception.Run.NOT_RUN
        status = _UNAVAILABLE if not_run else _BAD_GATEWAY
        ex.response = web.Response(status=status)
    if ex.response.prepared:
        return
    now = asyncio.get_running_loop().time()
    if exchange.closes_connection(ex, now):
        ex.response.force_close()
    try:
        await ex.response.prepare(ex.http)
        await ex.response.write_eof()
    except ConnectionError as error:
        logs.event("caller_gone", request=ex.id, error=str(error))


def _readiness_handler(state: IngressState):
    async def handle(req: web.BaseRequest) -> web.Response:
        now = asyncio.get_running_loop().time()
        is_in = is_ready(state) and not reachability_checks.is_withdrawn(
            state, now
        )
        return web.Response(status=200 if is_in else _UNAVAILABLE)

    return handle


def _operator_handler(state: IngressState):
    """Serves /metrics, /status and /explain?host=..&path=..&key=..."""

    async def handle(req: web.BaseRequest) -> web.Response:
        now = asyncio.get_running_loop().time()
        if req.path == "/status":
            return _json(views.status(state, now))
        if req.path == "/explain":
            arguments = [req.query.get(n, "") for n in ("host", "path", "key")]
            return _json(views.explain(state, *arguments, now))
        return web.Response(
            body=scrape.page(state, now), content_type="text/plain"
        )

    return handle


def _json(value) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
