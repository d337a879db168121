"""Finds a request's route and organisation, and reads its body."""

import asyncio
import contextlib

from aiohttp import hdrs, http

from copperloom import exception, logs, routing
from copperloom.decisions import budget, registry
from copperloom.ingress import exchange, stopping

__all__ = ["authorise", "await_start", "find_route", "read_body"]

_NOT_READY_RETRY_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def await_start(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Holds requests that come before what they need is known.

    After all instances were killed their callers come back together, and this
    one listens a moment before it has read the tables. Refused, they would use
    up the one further try that most of them have, at an instance that knows as
    little; held, they are served some hundredths of a second later. Placed
    before others have told their work, they would go to engines that look idle
    and are not.
    """
    state = ex.state
    if not (state.routing_known.is_set() and state.peers_synced.is_set()):
        loop = asyncio.get_running_loop()
        begun = loop.time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(max(begun, state.hold_until)):
                await state.routing_known.wait()
                await state.peers_synced.wait()
        logs.event(
            "held_at_start",
            request=ex.id,
            waited_s=loop.time() - begun,
            routing_known=state.routing_known.is_set(),
            peers_synced=state.peers_synced.is_set(),
        )
    await nxt(ex)


async def find_route(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets the route, the service and the final deadline."""
    table = ex.state.table
    if not table.version:
        # An instance that knows no routes can't say that one does not exist.
        raise exception.StaleConfigurationError(
            "no routes are known here yet", retry_after_s=_NOT_READY_RETRY_S
        )
    ex.table_version = table.version
    path = ex.http.raw_path.partition("?")[0]
    host = ex.http.headers.get(hdrs.HOST, "")
    route = routing.match(table, host, path)
    if route is None:
        raise exception.UnknownDeploymentError("no route for this path")
    ex.route = route
    ex.priority = route.priority
    ex.deadline = min(ex.deadline, ex.arrived + route.timeout_s)
    ex.limit.reschedule(ex.deadline)
    stopping.bound_deadline(ex)
    await nxt(ex)


async def authorise(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets the organisation that holds the request's key."""
    table = ex.state.table
    if table.keyed and not ex.route.public:
        holder = table.organisations.get(ex.head.key)
        if holder is None:
            raise exception.UnknownOrganisationError("unknown key")
        ex.organisation = holder.name
        if holder.priority is not None:
            ex.priority = holder.priority
    now = asyncio.get_running_loop().time()
    ex.service = _service(ex, now)
    budget.record_request(ex.state.budget, ex.service, now)
    await nxt(ex)


def _service(ex: exchange.Exchange, now: float) -> str:
    usable = frozenset(
        b.service
        for b in ex.route.backends
        if registry.usable(ex.state.targets, b.service, now)
    )
    return routing.choose_service(ex.route, usable, ex.state.rng)


async def read_body(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Reads the whole body, so that it can be sent to a second target."""
    most = ex.state.table.limits.max_body_bytes
    length = ex.http.content_length
    if length is not None and length > most:
        raise exception.BodyTooLargeError(f"over {most} bytes")
    expects = ex.http.headers.get(hdrs.EXPECT, "").lower()
    if expects == "100-continue" and ex.http.version >= http.HttpVersion11:
        await ex.http.writer.write(_CONTINUE)
    parts = []
    size = 0
    async for part in ex.http.content.iter_any():
        size += len(part)
        if size > most:
            raise exception.BodyTooLargeError(f"over {most} bytes")
        parts.append(part)
    ex.body = b"".join(parts)
    await nxt(ex)
