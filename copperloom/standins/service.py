"""A plain service for tests and trials; it runs each call that it takes."""

import asyncio
import random

from aiohttp import web

from copperloom.standins import ledger, server, settings

__all__ = ["serve"]

_MS_PER_S = 1000


async def serve(program: settings.ServiceSettings) -> server.Server:
    """Starts a service."""
    spec = program.service
    rng = random.Random(spec.seed)
    faults = server.Faults()
    records = ledger.Ledger()
    running = 0

    async def handle(request: web.Request) -> web.StreamResponse:
        nonlocal running
        body = await request.read()
        busy = running >= spec.max_running
        if faults.leaving or busy or faults.take("refuse_next"):
            return web.Response(status=503, headers={"X-Not-Run": "true"})
        key = request.headers.get("Idempotency-Key", "")
        request_id = request.headers.get("X-Request-Id", "")
        ledger.called(records, request_id, key, request.path_qs)
        running += 1
        try:
            mean_s = spec.latency_ms / _MS_PER_S * faults.slow_factor
            await asyncio.sleep(mean_s * rng.uniform(0.5, 1.5))
        finally:
            running -= 1
        if faults.take("drop_reply_next"):
            return server.abort(request)
        if faults.take("fail_next"):
            return server.error(500, "failed", ran=True)
        return server.reply(
            {"path": request.path_qs, "key": key, "bytes": len(body)}
        )

    return await server.start(
        spec.listen,
        [web.route("*", "/{path:.*}", handle)],
        faults=faults,
        truth=lambda: {"running": running, **ledger.tell(records)},
    )
