"""Determines a request's route and organisation, and reads its body."""

import asyncio
import contextlib

from aiohttp import hdrs, http

from copperloom import exception, logs, routing
from copperloom.decisions import budget, registry
from copperloom.ingress import allowed_targets, exchange, stopping

__all__ = [
    "authorise",
    "authorise_relayed",
    "await_start",
    "find_route",
    "read_body",
]

_NOT_READY_RETRY_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def await_start(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Holds requests until routes, targets and peers' work are known.

    An instance starts to listen before it has read the tables. Callers refused
    in this time could spend their retry at another instance that has just
    started. Requests placed before peers have reported their work would go to
    engines that wrongly appear idle.
    """
    state = ex.state
    if not (state.routing_known.is_set() and state.peers_synced.is_set()):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(max(started_at, state.hold_until)):
                await state.routing_known.wait()
                await state.peers_synced.wait()
        logs.event(
            "held_at_start",
            request=ex.id,
            waited_s=loop.time() - started_at,
            routing_known=state.routing_known.is_set(),
            peers_synced=state.peers_synced.is_set(),
        )
    await nxt(ex)


async def find_route(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets the route, the service and the final deadline."""
    table = ex.state.table
    if not table.version:
        # A 404 would be wrong if the route is in a table not loaded yet.
        raise exception.StaleConfigurationError(
            "instance has not loaded its routes yet; retry later",
            retry_after_s=_NOT_READY_RETRY_S,
        )
    ex.table_version = table.version
    path = ex.http.raw_path.partition("?")[0]
    host = ex.http.headers.get(hdrs.HOST, "")
    route = routing.match(table, host, path)
    if route is None:
        raise exception.UnknownDeploymentError(
            "no route matches the host and path of this request"
        )
    ex.route = route
    ex.priority = route.priority
    ex.deadline = min(ex.deadline, ex.arrived + route.timeout_s)
    ex.limit.reschedule(ex.deadline)
    stopping.bound_deadline(ex)
    await nxt(ex)


async def authorise(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets the organisation of the request's key, and selects the service."""
    _identify(ex)
    now = asyncio.get_running_loop().time()
    ex.service = _service(ex, now)
    budget.record_request(ex.state.budget, ex.service, now)
    await nxt(ex)


async def authorise_relayed(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Does the same for a peer's request, which counts there already."""
    _identify(ex)
    ex.service = _service(ex, asyncio.get_running_loop().time())
    await nxt(ex)


def _identify(ex: exchange.Exchange) -> None:
    table = ex.state.table
    by_organisation = None
    if table.keyed and not ex.route.public:
        organisation = table.organisations.get(ex.head.key)
        if organisation is None:
            raise exception.UnknownOrganisationError(
                "API key belongs to no organisation"
            )
        ex.organisation = organisation.name
        if organisation.priority is not None:
            ex.priority = organisation.priority
        by_organisation = organisation.allowed_regions
    allowed_targets.set_data_centres(ex, by_organisation)


def _service(ex: exchange.Exchange, now: float) -> str:
    usable = frozenset(
        b.service
        for b in ex.route.backends
        if registry.usable(ex.state.targets, b.service, now, ex.data_centres)
    )
    return routing.choose_service(ex.route, usable, ex.state.rng)


async def read_body(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Reads the complete body, so that a retry can send it again."""
    max_bytes = ex.state.table.limits.max_body_bytes
    length = ex.http.content_length
    if length is not None and length > max_bytes:
        raise exception.BodyTooLargeError(
            f"request body exceeds the limit of {max_bytes} bytes"
        )
    expects = ex.http.headers.get(hdrs.EXPECT, "").lower()
    if expects == "100-continue" and ex.http.version >= http.HttpVersion11:
        await ex.http.writer.write(_CONTINUE)
    chunks = []
    size = 0
    chunk = b""
    async for chunk in ex.http.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise exception.BodyTooLargeError(
                f"request body exceeds the limit of {max_bytes} bytes"
            )
        chunks.append(chunk)
    ex.body = b"".join(chunks)
    # This frame lives as long as the request.
    chunks.clear()
    del chunk
    await nxt(ex)
