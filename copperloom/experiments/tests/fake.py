"""A tiny fake entry that answers as a test tells it to."""

import asyncio
import unittest

import msgspec
from aiohttp import web

__all__ = ["start_entry"]


def chunk(text: str, finish: str | None = None, name: str = "r1") -> bytes:
    choice = {"delta": {"content": text}, "finish_reason": finish}
    value = {"id": name, "choices": [choice]}
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


async def whole(request: web.Request) -> web.StreamResponse:
    return await stream(request, [chunk("a"), chunk("b", "stop"), DONE])


async def cut(request: web.Request) -> web.StreamResponse:
    return await stream(request, [chunk("a")])


async def crossed(request: web.Request) -> web.StreamResponse:
    pieces = [chunk("a"), chunk("b", "stop", name="r2"), DONE]
    return await stream(request, pieces)


async def refuse(request: web.Request) -> web.Response:
    error = {"code": 3001, "message": "busy", "run": "not_run"}
    return web.json_response({"error": error}, status=503)


async def fail_late(request: web.Request) -> web.StreamResponse:
    error = {"code": 4004, "message": "broke", "run": "may_have_run"}
    data = b"data: " + msgspec.json.encode({"error": error}) + b"\n\n"
    return await stream(request, [chunk("a"), data])


async def hang(request: web.Request) -> web.Response:
    await asyncio.sleep(60)


DONE = b"data: [DONE]\n\n"


async def stream(request: web.Request, pieces) -> web.StreamResponse:
    response = web.StreamResponse(headers={"X-Copperloom-Request": "r1"})
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for piece in pieces:
        await response.write(piece)
    return response


async def start_entry(
    case: unittest.IsolatedAsyncioTestCase, answer
) -> tuple[str, list[dict]]:
    """Starts a fake entry; returns its address and the bodies it got."""
    seen = []

    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        seen.append({"headers": request.headers, "body": body})
        return await answer(request)

    app = web.Application(client_max_size=1 << 26)
    app.router.add_route("*", "/{path:.*}", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    case.addAsyncCleanup(runner.cleanup)
    host, port = runner.addresses[0]
    return f"{host}:{port}", seen
