"""What the stand-ins that speak HTTP have in common."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

__all__ = ["Faults", "Server", "abort", "error", "reply", "start"]

_BODY_BYTES = 256 << 20
_SHUTDOWN_S = 0.5


@dataclasses.dataclass
class Faults:
    """Faults that a test asked for; the counts fall as they are used up.

    Attributes:
        leaving: Whether new work is refused with the word that it leaves.
        slow_factor: What all times are multiplied by.
        refuse_next: Pieces of work to refuse, not run.
        fail_next: Pieces of work to run and fail.
        drop_reply_next: Pieces of work to run without any reply.
        frozen_until: Loop time until which nothing moves.
        dead_until: Loop time until which connections are reset.
    """

    leaving: bool = False
    slow_factor: float = 1.0
    refuse_next: int = 0
    fail_next: int = 0
    drop_reply_next: int = 0
    frozen_until: float = 0.0
    dead_until: float = 0.0

    def take(self, name: str) -> bool:
        """Uses up one of a count; returns whether there was one."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return left > 0


@dataclasses.dataclass(frozen=True)
class Server:
    """A stand-in that listens.

    Attributes:
        addresses: IP:port by name, for the line that says it is ready.
        truth: Tells what really happened.
        close: Stops it.
    """

    addresses: dict[str, str]
    truth: Callable[[], dict]
    close: Callable[[], Awaitable[None]]


async def start(
    listen: str,
    routes: list[web.RouteDef],
    *,
    faults: Faults,
    truth: Callable[[], dict],
    control: Callable[[dict], None] | None = None,
    close: Callable[[], Awaitable[None]] | None = None,
) -> Server:
    """Listens.

    Args:
        listen: IP:port; port 0 takes a free one.
        routes: What it answers besides the calls for tests.
        faults: Changed by the control call.
        truth: Answers the truth call.
        control: Takes the changes that are not fields of `faults`.
        close: Run after it stopped listening.
    """
    app = web.Application(
        client_max_size=_BODY_BYTES, middlewares=[_suffer(faults)]
    )
    app.add_routes(
        [
            web.post("/_standin/control", _controller(faults, control)),
            web.get("/_standin/truth", _teller(truth)),
            *routes,
        ]
    )
    runner = web.AppRunner(
        app,
        access_log=None,
        # A reader that goes away ends its handler, so that a stream is not
        # shown as attached for longer than its connection lasts.
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_S,
    )
    await runner.setup()
    host, _, port = listen.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()

    async def stop() -> None:
        await runner.cleanup()
        if close is not None:
            await close()

    host, port = runner.addresses[0][:2]
    return Server({"listen": f"{host}:{port}"}, truth, stop)


def reply(value, *, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def error(
    status: int,
    text: str,
    *,
    ran: bool = False,
    retry_after_s: float | None = None,
) -> web.Response:
    """Returns an error as docs/PROTOCOLS.md has it."""
    body = {"error": text, "ran": ran}
    if retry_after_s is not None:
        body["retry_after_s"] = retry_after_s
    return reply(body, status=status)


def abort(request: web.Request) -> web.Response:
    """Resets the request's connection; nothing more is sent on it."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _suffer(faults: Faults):
    """Makes the filter that freezes and resets all but the tests' calls."""

    @web.middleware
    async def suffer(request, handler):
        if request.path.startswith("/_standin/"):
            return await handler(request)
        loop = asyncio.get_running_loop()
        while loop.time() < faults.frozen_until:
            await asyncio.sleep(faults.frozen_until - loop.time())
        if loop.time() < faults.dead_until:
            return abort(request)
        return await handler(request)

    return suffer


def _controller(faults: Faults, control):
    fields = {field.name for field in dataclasses.fields(faults)}

    async def handle(request: web.Request) -> web.Response:
        changes = msgspec.json.decode(await request.read())
        frozen_s = changes.pop("freeze_s", None)
        if frozen_s is not None:
            now = asyncio.get_running_loop().time()
            faults.frozen_until = now + frozen_s
        for name in fields & changes.keys():
            setattr(faults, name, changes.pop(name))
        if changes:
            if control is None:
                return error(400, f"unknown changes: {sorted(changes)}")
            control(changes)
        return reply({})

    return handle


def _teller(truth):
    async def handle(request: web.Request) -> web.Response:
        return reply(truth())

    return handle
