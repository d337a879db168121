"""A fake entry with canned answers."""

import asyncio
import unittest

import msgspec
from aiohttp import web

__all__ = ["start_entry"]


def chunk(text: str, finish: str | None = None, answer_id: str = "r1") -> bytes:
    choice = {"delta": {"content": text}, "finish_reason": finish}
    value = {"id": answer_id, "choices": [choice]}
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


async def complete(request: web.Request) -> web.StreamResponse:
    return await send_stream(request, [chunk("a"), chunk("b", "stop"), DONE])


async def truncate(request: web.Request) -> web.StreamResponse:
    return await send_stream(request, [chunk("a")])


async def mix_answers(request: web.Request) -> web.StreamResponse:
    pieces = [chunk("a"), chunk("b", "stop", answer_id="r2"), DONE]
    return await send_stream(request, pieces)


async def refuse(request: web.Request) -> web.Response:
    error = {"code": 3001, "message": "busy", "run": "not_run"}
    return web.json_response({"error": error}, status=503)


async def fail_late(request: web.Request) -> web.StreamResponse:
    error = {"code": 4004, "message": "broke", "run": "may_have_run"}
    data = b"data: " + msgspec.json.encode({"error": error}) + b"\n\n"
    return await send_stream(request, [chunk("a"), data])


async def hang(request: web.Request) -> web.Response:
    await asyncio.sleep(60)


DONE = b"data: [DONE]\n\n"


async def send_stream(request: web.Request, pieces) -> web.StreamResponse:
    response = web.StreamResponse(headers={"X-Copperloom-Request": "r1"})
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for piece in pieces:
        await response.write(piece)
    return response


async def start_entry(
    case: unittest.IsolatedAsyncioTestCase, handler
) -> tuple[str, list[dict]]:
    """Starts a fake entry with one handler for all requests.

    Returns:
        Its address, and a list to which each request's headers and body are
        added.
    """
    received = []

    async def record(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        received.append({"headers": request.headers, "body": body})
        return await handler(request)

    app = web.Application(client_max_size=1 << 26)
    app.router.add_route("*", "/{path:.*}", record)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    case.addAsyncCleanup(runner.cleanup)
    host, port = runner.addresses[0]
    return f"{host}:{port}", received
