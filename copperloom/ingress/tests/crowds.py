"""Starts an instance as a process, and crowds of clients that misuse it."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable

import msgspec

from copperloom.ingress.tests import fixtures, process_watch
from copperloom.platform.standins import wire
from copperloom.standins import crowd, crowd_pieces

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_DESCRIPTORS",
    "MAX_HEADER_BYTES",
    "MEMORY_MB",
    "Crowded",
    "ask",
    "check",
    "check_crowd",
    "connect",
    "document",
    "exchange",
    "is_running",
    "play",
    "request_lines",
    "start",
    "stop",
]

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_000_000
MEMORY_MB = 152
MAX_DESCRIPTORS = 400
_CLIENTS = 200
# Time for which a crowd is there before an ordinary caller comes, and the time
# after which it leaves in any case.
_CROWD_S = 4.0
_STAY_S = 150.0
_SEED = 54
# Every daemon of ours takes it as the body of a proper request.
_BODY = (
    b'{"model": "chat", "max_tokens": 2, '
    b'"messages": [{"role": "user", "content": "x"}]}'
)
# Tries of an ordinary caller while a crowd is there, and after it has left.
_TRIES = 20
_TRY_S = 5.0
_PAUSE_S = 0.1
_READY_S = 20.0
_SETTLE_S = 20.0
# Memory that may stay in use after a crowd, as a share of all.
_LEFT_SHARE = 0.25
# The writer's burst and its rate over the time of a crowd, in long lines.
_MAX_LOG_BYTES = 2_000_000
_MEGABYTE_BYTES = 1_000_000
_GRACE_S = 4.0
_EXIT_S = 10.0
# Ports for traffic among instances.
_FIRST_PORT = 17_440
_ROOT = pathlib.Path(__file__).resolve().parents[3]


@dataclasses.dataclass
class Crowded:
    """An instance that runs as a process.

    Attributes:
        process: The process.
        addresses: IP:port by listener: callers, readiness, peers, metrics and
            datagrams.
        log: File with its output.
        lines: Request line and fields of a proper request.
        system: The table service and the targets.
        document: Its settings.
    """

    process: asyncio.subprocess.Process | subprocess.Popen
    addresses: dict[str, str]
    log: pathlib.Path
    lines: Callable[[str], tuple[str, ...]]
    system: fixtures.System | None = None
    document: dict | None = None


def request_lines(
    number: str, wait_s: float = 3600.0, path: str = "/read/x"
) -> tuple[str, ...]:
    """Returns the request line and the fields of a proper request."""
    fields = wire.caller_headers(fixtures.HOST, number, fixtures.KEY, wait_s)
    return (
        f"POST {path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in fields.items()),
    )


async def start(
    case: unittest.IsolatedAsyncioTestCase,
    *,
    grace_s: float = _GRACE_S,
    **limits,
) -> Crowded:
    """Starts a system; returns it once its instance serves.

    Args:
        case: The test.
        grace_s: The instance's grace period, in seconds.
        **limits: Limits of the operators' document that replace the defaults.
    """
    system = await fixtures.start_system(case, engines=0, plain=2, fronts=0)
    system.store.put("op", "config", document(2, **limits))
    folder = tempfile.TemporaryDirectory(prefix="copperloom-")
    case.addCleanup(folder.cleanup)
    path = pathlib.Path(folder.name)
    ip = fixtures.next_ip()
    ports = tuple(fixtures.free_port() for _ in range(4))
    metrics = ports[3]
    own = wire.instance_settings(
        "front-0",
        ip,
        ports[:3],
        system.store.address,
        internal_ports=[_FIRST_PORT, _FIRST_PORT + 10],
        bounds={"grace_s": grace_s},
        limits={"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS},
    )
    (path / "settings.json").write_text(json.dumps(own))
    (path / "front.ini").write_text(f"[metrics]\nport = {metrics}\n")
    process = await _launch(path)
    names = ("callers", "readiness", "peers", "metrics")
    addresses = {n: f"{ip}:{p}" for n, p in zip(names, ports, strict=True)} | {
        "datagrams": f"{ip}:{_FIRST_PORT}"
    }
    crowded = Crowded(
        process, addresses, path / "log", request_lines, system, own
    )
    case.addAsyncCleanup(_end, crowded)
    async with asyncio.timeout(_READY_S):
        while await ask(crowded, tries=1) != 200:
            await asyncio.sleep(_PAUSE_S)
    return crowded


def document(version: int = 1, timeout_ms: int = 60_000, **limits) -> dict:
    """Returns the operators' document: routes with a long time limit."""
    routes = fixtures.routes(version)
    for route in routes["routes"]:
        route["timeout_ms"] = timeout_ms
    routes["limits"] = {
        "max_header_bytes": MAX_HEADER_BYTES,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 2000,
        "idle_timeout_ms": 5000,
    } | limits
    return routes


async def _launch(folder: pathlib.Path) -> asyncio.subprocess.Process:
    with (folder / "log").open("ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "copperloom.daemons.start",
            f"--settings={folder / 'front.ini'}",
            cwd=_ROOT,
            env=os.environ
            | {wire.INSTANCE_ENVIRONMENT: str(folder / "settings.json")},
            stdout=log,
            stderr=log,
        )


async def _end(crowded: Crowded) -> None:
    if crowded.process.returncode is None:
        crowded.process.kill()
    await crowded.process.wait()


async def ask(
    crowded: Crowded, tries: int = _TRIES, body: bytes = _BODY
) -> int:
    """Sends an ordinary request until it is served; returns the last status.

    The status is 0 if the connection was refused or closed.
    """
    status = 0
    for _ in range(tries):
        head = "\r\n".join(
            [
                *crowded.lines(f"ask-{next(fixtures._ids)}"),
                f"Content-Length: {len(body)}",
                "Connection: close",
                "",
                "",
            ]
        )
        status = 0
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            async with asyncio.timeout(_TRY_S):
                received = await exchange(
                    crowded.addresses["callers"], head.encode() + body
                )
            status = int(received.split(None, 2)[1])
        if status == 200:
            break
        await asyncio.sleep(_PAUSE_S)
    return status


async def connect(address: str):
    """Opens a connection; returns its reader and writer."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(address: str, data: bytes) -> bytes:
    """Sends bytes on a new connection; returns all that is received.

    Raises:
        ValueError: Nothing was received.
    """
    reader, writer = await connect(address)
    try:
        writer.write(data)
        received = b""
        with contextlib.suppress(ConnectionError):
            while block := await reader.read(65_536):
                received += block
    finally:
        writer.transport.abort()
    if not received:
        raise ValueError("the connection was closed without an answer")
    return received


async def play(
    case: unittest.IsolatedAsyncioTestCase,
    crowded: Crowded,
    kinds: tuple[str, ...],
    listener: str = "callers",
    **plan,
) -> asyncio.subprocess.Process:
    """Starts a crowd as a process, which stays until it is stopped."""
    values = {"clients": _CLIENTS, "seconds": _STAY_S, "seed": _SEED} | plan
    template = crowd_pieces.Template(
        crowded.lines("crowd"), MAX_HEADER_BYTES, MAX_BODY_BYTES
    )
    planned = crowd.Plan(
        address=crowded.addresses[listener],
        kinds=kinds,
        template=template,
        **values,
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "copperloom.standins.crowd",
        msgspec.json.encode(planned).decode(),
        cwd=_ROOT,
    )
    case.addAsyncCleanup(stop, process)
    return process


async def check_crowd(
    case: unittest.IsolatedAsyncioTestCase,
    *kinds: str,
    listener: str = "callers",
    **plan,
) -> None:
    """Checks what an instance is while a crowd is there, and afterwards.

    It lives, it stays within its memory and its descriptors, an ordinary
    request is answered, and most of the memory is free again afterwards.
    """
    await check(case, await start(case), kinds, listener, **plan)


async def check(
    case: unittest.IsolatedAsyncioTestCase,
    crowded: Crowded,
    kinds: tuple[str, ...],
    listener: str = "callers",
    **plan,
) -> None:
    """Checks the same of an instance that was started."""
    async with process_watch.watch(
        crowded.process.pid,
        crowded.addresses.values(),
        lambda: is_running(crowded),
    ) as seen:
        process = await play(case, crowded, kinds, listener, **plan)
        await asyncio.sleep(_CROWD_S)
        during = await ask(crowded)
        case.assertIsNone(process.returncode, "the crowd ended by itself")
        await stop(process)
        after = await ask(crowded)
    case.assertTrue(is_running(crowded), "the instance ended")
    case.assertLessEqual(seen.memory_bytes, MEMORY_MB * _MEGABYTE_BYTES, seen)
    case.assertLessEqual(seen.descriptors, MAX_DESCRIPTORS)
    case.assertEqual((during, after), (200, 200))
    left = seen.before_bytes + _LEFT_SHARE * MEMORY_MB * _MEGABYTE_BYTES
    with contextlib.suppress(TimeoutError):
        await fixtures.until(
            lambda: process_watch.resident_bytes(seen.pid) <= left, _SETTLE_S
        )
    case.assertLessEqual(process_watch.resident_bytes(seen.pid), left)
    case.assertLessEqual(crowded.log.stat().st_size, _MAX_LOG_BYTES)


def is_running(crowded: Crowded) -> bool:
    """Returns whether the process has not ended."""
    process = crowded.process
    if isinstance(process, subprocess.Popen):
        return process.poll() is None
    return process.returncode is None


async def stop(process: asyncio.subprocess.Process) -> None:
    """Ends a process."""
    if process.returncode is None:
        process.terminate()
        async with asyncio.timeout(_EXIT_S):
            await process.wait()
