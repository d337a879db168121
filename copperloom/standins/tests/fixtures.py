"""Stand-ins on the event loop of a test; they stop when the test ends."""

import asyncio
import time

import msgspec
from aiohttp import web

from copperloom.standins import engine, proxy, service, settings
from copperloom.standins import server as standin_server
from copperloom.targets import http, interface

__all__ = [
    "ask",
    "connect_targets",
    "encode",
    "read_all",
    "start_canned",
    "start_engine",
    "start_proxy",
    "start_service",
    "wait_until",
]

_FAST_ENGINE = {"time_scale": 50.0, "report_lag_s": 0.0}


async def start_engine(case, **changes):
    """Starts an engine and returns its server.

    Args:
        case: The test case, whose cleanup stops the engine.
        **changes: Settings; by default the engine runs in fast simulated
            time and reports its load without lag.
    """
    spec = settings.EngineSection(**{**_FAST_ENGINE, **changes})
    return await _start(case, engine, settings.EngineSettings(spec))


async def start_service(case, **changes):
    """Starts a plain service and returns its server."""
    spec = settings.ServiceSection(**changes)
    return await _start(case, service, settings.ServiceSettings(spec))


async def start_proxy(case, upstream: str):
    """Starts a proxy with one pair, named "p", and returns its server."""
    spec = settings.ProxySection(pairs=(f"p=127.0.0.1:0>{upstream}",))
    return await _start(case, proxy, settings.ProxySettings(spec))


async def start_canned(case, body: bytes) -> str:
    """Starts a server that replies to POST /streams with a fixed body."""

    async def handle(request: web.Request) -> web.Response:
        return web.Response(body=body)

    server = await standin_server.start(
        "127.0.0.1:0",
        [web.post("/streams", handle)],
        faults=standin_server.Faults(),
        truth=dict,
    )
    case.addAsyncCleanup(server.close)
    return server.addresses["listen"]


def encode(value) -> bytes:
    """Encodes a value as JSON."""
    return msgspec.json.encode(value)


async def connect_targets(case, **limits):
    """Returns a client of targets, which is closed when the test ends."""
    targets = http.connect(**{"connect_s": 1.0, **limits})
    case.addAsyncCleanup(targets.close)
    return targets


def ask(stream: str, **changes) -> interface.StreamOpen:
    """Builds a request with a short prompt and a short answer."""
    fields = {
        "owner": "e1.b1",
        "organisation": "org",
        "deployment": "chat",
        "model": "m",
        "messages": b'[{"role":"user","content":"hi"}]',
        "prompt_tokens": 1000,
        "max_tokens": 20,
    }
    return interface.StreamOpen(stream=stream, **{**fields, **changes})


async def read_all(pieces) -> str:
    """Reads an answer to its end and returns its text."""
    return "".join([piece.text async for chunk in pieces for piece in chunk])


async def wait_until(condition, *, limit_s: float = 10.0) -> None:
    """Waits until a condition holds and fails after `limit_s` seconds."""
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(
                "the condition did not hold within the time limit"
            )
        await asyncio.sleep(0.005)


async def _start(case, module, program):
    server = await module.serve(program)
    case.addAsyncCleanup(server.close)
    return server
