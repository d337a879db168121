"""A simulated plain service, which replies after a random delay."""

import asyncio
import random

from aiohttp import web

from copperloom.standins import ledger, server, settings

__all__ = ["serve"]

_MS_PER_S = 1000


async def serve(program: settings.ServiceSettings) -> server.Server:
    """Starts a service and returns its server."""
    spec = program.service
    rng = random.Random(spec.seed)
    faults = server.Faults()
    calls_ledger = ledger.Ledger()
    running = 0

    async def handle(request: web.Request) -> web.StreamResponse:
        nonlocal running
        body = await request.read()
        overloaded = running >= spec.max_running
        if faults.leaving or overloaded or faults.consume("refuse_next"):
            return web.Response(status=503, headers={"X-Not-Run": "true"})
        key = request.headers.get("Idempotency-Key", "")
        request_id = request.headers.get("X-Request-Id", "")
        ledger.record_call(calls_ledger, request_id, key, request.path_qs)
        running += 1
        try:
            mean_s = spec.latency_ms / _MS_PER_S * faults.slow_factor
            await asyncio.sleep(mean_s * rng.uniform(0.5, 1.5))
        finally:
            running -= 1
        if faults.consume("drop_reply_next"):
            return server.abort(request)
        if faults.consume("fail_next"):
            return server.error(500, "failed by an injected fault", ran=True)
        return server.reply(
            {"path": request.path_qs, "key": key, "bytes": len(body)}
        )

    return await server.start(
        spec.listen,
        [web.route("*", "/{path:.*}", handle)],
        faults=faults,
        truth=lambda: {"running": running, **ledger.snapshot(calls_ledger)},
    )
