"""The HTTP routes of an entry."""

import asyncio
import time

import prometheus_client
from aiohttp import web

from copperloom.controllers import config
from copperloom.daemons import admin
from copperloom.daemons.state import EntryState
from copperloom.filters import chain, exchange

__all__ = ["make_app"]


def make_app(state: EntryState) -> web.Application:
    """Builds the web application for callers and operators."""
    app = web.Application(middlewares=[_refuse])
    app.add_routes(
        [
            web.post("/v1/chat/completions", _run_chain(state, chain.CHAT)),
            web.get("/v1/models", _models(state)),
            web.get(
                "/v1/streams/{target}/{stream}", _run_chain(state, chain.RESUME)
            ),
            web.route(
                "*",
                "/v1/services/{name}/{path:.*}",
                _run_chain(state, chain.SERVICE),
            ),
            web.get("/health", _health),
            web.get("/ready", _ready(state)),
            web.get("/metrics", _metrics(state)),
        ]
    )
    app.add_routes(admin.routes(state))
    return app


@web.middleware
async def _refuse(http: web.Request, handler) -> web.StreamResponse:
    """Answers requests for unknown paths without an exception.

    Its traceback would keep the request in memory until the next cyclic
    collection.
    """
    match = http.match_info.http_exception
    if match is None:
        return await handler(http)
    match.__traceback__ = None
    return web.Response(
        status=match.status,
        text=match.text,
        headers={k: v for k, v in match.headers.items() if k == "Allow"},
    )


def _run_chain(state: EntryState, filters: tuple[exchange.Filter, ...]):
    """Returns a handler that runs requests through a chain of filters."""

    async def handle(http: web.Request) -> web.StreamResponse:
        now = asyncio.get_running_loop().time()
        ex = exchange.Exchange(state, http, now)
        await chain.run(filters, ex)
        if ex.response is None:
            # The caller disconnected before a response was started.
            return web.Response(status=499)
        if state.draining and not ex.response.prepared:
            ex.response.headers["Connection"] = "close"
        return ex.response

    return handle


def _models(state: EntryState):
    async def handle(http: web.Request) -> web.Response:
        models = [
            {
                "id": name,
                "object": "model",
                "created": int(time.time()),
                "owned_by": "copperloom",
            }
            for name, deployment in sorted(state.cfg.deployments.items())
            if deployment.model
        ]
        return web.json_response({"object": "list", "data": models})

    return handle


async def _health(http: web.Request) -> web.Response:
    return web.Response(text="ok\n")


def _ready(state: EntryState):
    async def handle(http: web.Request) -> web.Response:
        if state.draining:
            return web.Response(status=503, text="draining\n")
        if not state.cfg_loaded:
            return web.Response(status=503, text="no configuration\n")
        now = asyncio.get_running_loop().time()
        if not config.is_fresh(state, now):
            # Requests would be rejected until the configuration is confirmed,
            # so the load balancer should use other entries.
            return web.Response(status=503, text="configuration unproved\n")
        return web.Response(text="ready\n")

    return handle


def _metrics(state: EntryState):
    async def handle(http: web.Request) -> web.Response:
        data = prometheus_client.generate_latest(state.metrics.registry)
        return web.Response(
            body=data,
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )

    return handle
