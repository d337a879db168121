"""HTTP server, injected faults and replies shared by the stand-ins."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

__all__ = ["Faults", "Server", "abort", "error", "reply", "start"]

_MAX_BODY_BYTES = 256 << 20
_SHUTDOWN_TIMEOUT_S = 0.5


@dataclasses.dataclass
class Faults:
    """Faults that tests inject.

    Attributes:
        leaving: Whether the stand-in is draining and refuses new work.
        slow_factor: Factor by which durations of work are multiplied.
        refuse_next: Number of requests to refuse without running them.
        fail_next: Number of requests to run and then fail.
        drop_reply_next: Number of requests to run without a reply.
        frozen_until: Loop time until which the stand-in makes no progress.
        dead_until: Loop time until which connections are reset.
    """

    leaving: bool = False
    slow_factor: float = 1.0
    refuse_next: int = 0
    fail_next: int = 0
    drop_reply_next: int = 0
    frozen_until: float = 0.0
    dead_until: float = 0.0

    def consume(self, name: str) -> bool:
        """Decrements a count; returns whether it was above zero."""
        count = getattr(self, name)
        if count:
            setattr(self, name, count - 1)
        return count > 0


@dataclasses.dataclass(frozen=True)
class Server:
    """A running stand-in.

    Attributes:
        addresses: IP:port by name.
        truth: Returns the state and the records of the stand-in.
        close: Stops the stand-in.
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
    """Starts an HTTP server with the given routes and those for tests.

    Args:
        listen: IP:port; port 0 picks a free one.
        routes: Routes of the stand-in.
        faults: Faults, which control requests change.
        truth: Returns the body of the reply to truth requests.
        control: Applies changes that are not fields of `faults`.
        close: Called after the server has stopped listening.
    """
    app = web.Application(
        client_max_size=_MAX_BODY_BYTES, middlewares=[_fault_middleware(faults)]
    )
    app.add_routes(
        [
            web.post("/_standin/control", _control_handler(faults, control)),
            web.get("/_standin/truth", _truth_handler(truth)),
            *routes,
        ]
    )
    runner = web.AppRunner(
        app,
        access_log=None,
        # Ends the handler of a reader that disconnects, so that its stream
        # is not listed as attached after the connection has ended.
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
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
    """Returns an error reply in the format of docs/PROTOCOLS.md."""
    body = {"error": text, "ran": ran}
    if retry_after_s is not None:
        body["retry_after_s"] = retry_after_s
    return reply(body, status=status)


def abort(request: web.Request) -> web.Response:
    """Aborts the connection of a request without a reply."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _fault_middleware(faults: Faults):
    """Builds the middleware that applies faults, except to control calls."""

    @web.middleware
    async def apply_faults(request, handler):
        if request.path.startswith("/_standin/"):
            return await handler(request)
        loop = asyncio.get_running_loop()
        while loop.time() < faults.frozen_until:
            await asyncio.sleep(faults.frozen_until - loop.time())
        if loop.time() < faults.dead_until:
            return abort(request)
        return await handler(request)

    return apply_faults


def _control_handler(faults: Faults, control):
    fields = {field.name for field in dataclasses.fields(faults)}

    async def handle(request: web.Request) -> web.Response:
        changes = msgspec.json.decode(await request.read())
        freeze_s = changes.pop("freeze_s", None)
        if freeze_s is not None:
            now = asyncio.get_running_loop().time()
            faults.frozen_until = now + freeze_s
        for name in fields & changes.keys():
            setattr(faults, name, changes.pop(name))
        if changes:
            if control is None:
                return error(400, f"unknown changes: {sorted(changes)}")
            control(changes)
        return reply({})

    return handle


def _truth_handler(truth):
    async def handle(request: web.Request) -> web.Response:
        return reply(truth())

    return handle
