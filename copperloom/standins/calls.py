"""HTTP handlers of the engine stand-in."""

import asyncio
import dataclasses

import msgspec
from aiohttp import web

from copperloom.standins import batch, cache, ledger, reading, server
from copperloom.targets import interface

__all__ = ["routes"]

_ORDER = msgspec.json.Decoder(interface.Order)


def routes(engine) -> list[web.RouteDef]:
    """Returns the routes of an engine.

    Args:
        engine: The copperloom.standins.engine.Engine to serve.
    """

    def bind(handler):
        async def handle(request: web.Request) -> web.StreamResponse:
            return await handler(engine, request)

        return handle

    return [
        web.post("/streams", bind(_open)),
        web.get("/streams", bind(_list)),
        web.get("/streams/{stream}", bind(_resume)),
        web.delete("/streams/{stream}", bind(_cancel)),
        web.get("/kv/{stream}", bind(_export)),
        web.get("/load", bind(_load)),
        web.get("/events", bind(_events)),
        web.post("/orders", bind(_order)),
    ]


async def _open(engine, request: web.Request) -> web.StreamResponse:
    req = reading.decode_open(await request.read())
    refusal = _refusal(engine, req)
    if refusal is not None:
        return refusal
    imported = 0
    if req.imports:
        found = await engine.parts.export_all(req.imports)
        if found is None:
            return _refuse(engine, req, 503, "an imported part is missing")
        imported = found
        # The stream may have been cancelled during the requests for parts.
        refusal = _refusal(engine, req)
        if refusal is not None:
            return refusal
    stream = batch.add(engine.batch, req, engine.now(), imported=imported)
    if stream is None:
        return _refuse(
            engine, req, 503, "no KV memory or queue full", retry_after_s=1.0
        )
    return await _run(engine, request, req, stream)


async def _run(
    engine,
    request: web.Request,
    req: interface.StreamOpen,
    stream: batch.Stream,
) -> web.StreamResponse:
    ledger.record_arrival(engine.ledger, req, stream.mark, "")
    engine.wake.set()
    if engine.faults.consume("fail_next"):
        _end(engine, stream, batch.StreamState.FAILED)
        return server.error(500, "failed by an injected fault", ran=True)
    if req.imports:
        engine.parts.watch(
            req.imports,
            lambda: _end(engine, stream, batch.StreamState.FAILED),
            lambda: stream.state in batch.ENDED_STATES,
        )
    if engine.faults.consume("drop_reply_next"):
        return server.abort(request)
    return await reading.relay(request, stream, 0, engine.now)


def _refusal(engine, req: interface.StreamOpen) -> web.Response | None:
    """Returns the refusal of a stream; None if it may be added."""
    if req.stream in engine.tombstones:
        return _refuse(engine, req, 409, "cancelled before it arrived")
    if req.stream in engine.batch.streams:
        return _refuse(engine, req, 409, "stream name already in use", ran=True)
    if engine.faults.leaving:
        return _refuse(engine, req, 503, "leaving")
    if not engine.any_model and req.model not in engine.models:
        return _refuse(engine, req, 503, "model not loaded")
    if engine.faults.consume("refuse_next"):
        return _refuse(engine, req, 503, "refused by an injected fault")
    return None


def _refuse(
    engine,
    req: interface.StreamOpen,
    status: int,
    text: str,
    **fields,
) -> web.Response:
    ledger.record_arrival(engine.ledger, req, "", text)
    return server.error(status, text, **fields)


async def _resume(engine, request: web.Request) -> web.StreamResponse:
    stream = engine.batch.streams.get(request.match_info["stream"])
    if stream is None or stream.state in (
        batch.StreamState.CANCELLED,
        batch.StreamState.FAILED,
    ):
        return server.error(404, "unknown stream", ran=True)
    if stream.organisation != request.query.get("organisation"):
        return server.error(403, "stream of another organisation", ran=True)
    stream.owner = request.query["owner"]
    offset = int(request.query.get("offset", "0"))
    return await reading.relay(request, stream, offset, engine.now)


async def _cancel(engine, request: web.Request) -> web.Response:
    name = request.match_info["stream"]
    engine.tombstones[name] = engine.now() + engine.spec.tombstone_s
    ledger.record_cancel(engine.ledger, name)
    stream = engine.batch.streams.get(name)
    if stream is not None:
        _end(engine, stream, batch.StreamState.CANCELLED)
    return server.reply({})


def _end(engine, stream: batch.Stream, state: batch.StreamState) -> None:
    # A stream from before a crash has already released its memory.
    if engine.batch.streams.get(stream.name) is stream:
        batch.remove(engine.batch, stream, state, engine.now())


async def _list(engine, request: web.Request) -> web.Response:
    now = engine.now()
    return server.reply(
        [
            interface.StreamInfo(
                stream=stream.name,
                owner=stream.owner,
                kv_tokens=stream.kv_tokens,
                attached=stream.readers > 0,
                idle_s=0.0 if stream.readers else now - stream.last_read_at,
            )
            for stream in engine.batch.streams.values()
            if stream.state not in batch.ENDED_STATES
        ]
    )


async def _export(engine, request: web.Request) -> web.Response:
    stream = engine.batch.streams.get(request.match_info["stream"])
    if stream is None or stream.state is not batch.StreamState.HELD:
        return server.error(404, "unknown part")
    return server.reply({"kv_tokens": stream.kv_tokens})


async def _load(engine, request: web.Request) -> web.Response:
    if engine.spec.report_lag_s:
        taken_at, report = engine.report
    else:
        taken_at, report = engine.now(), batch.load(engine.batch, engine.boot)
    return server.reply(
        dataclasses.replace(
            report,
            boot=engine.boot,
            age_s=engine.now() - taken_at,
            leaving=engine.faults.leaving,
            models=tuple(sorted(engine.models)),
        )
    )


async def _events(engine, request: web.Request) -> web.Response:
    until = engine.now() - engine.spec.event_lag_s
    after = int(request.query.get("after", "0"))
    found = cache.events(engine.batch.cache, after, until)
    last = found[-1].sequence if found else after
    return server.reply({"events": found, "last": last})


async def _order(engine, request: web.Request) -> web.Response:
    order = _ORDER.decode(await request.read())
    outdated = order.fencing < engine.fencing
    if engine.spec.checks_fencing and outdated:
        ledger.record_order(engine.ledger, order, obeyed=False)
        return server.error(
            409, f"fencing number {engine.fencing} was already seen"
        )
    engine.fencing = max(engine.fencing, order.fencing)
    ledger.record_order(engine.ledger, order, obeyed=True)
    if order.kind == "load_model":
        batch_before = engine.batch
        await asyncio.sleep(engine.spec.load_model_s / engine.spec.time_scale)
        if engine.batch is not batch_before:
            return server.abort(request)
        engine.models.add(order.value)
    else:
        engine.roles[order.kind] = order.value
    return server.reply({})
