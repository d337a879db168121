"""Measures the cost of messages on loopback.

A proxy counts the bytes of TCP payload in both directions. Processor time is
that of both sides, since they share this process.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import grpclib.client
import grpclib.server

from copperloom.controllers import row_batch
from copperloom.experiments import plan, sizes, slopes
from copperloom.peers import peers_grpc, peers_pb2
from copperloom.platform import http as platform_http
from copperloom.platform import interface
from copperloom.standins import engine, platform, proxy, settings
from copperloom.targets import http as targets_http

__all__ = [
    "exchange_figures",
    "platform_figures",
    "record_figures",
    "report_figures",
]

_CALLS = 300
_WARM_UP_CALLS = 20
_CALL_TIMEOUT_S = 5.0
_LOADS = 12
_UNLIMITED = 1e9
_RECORDS = 3_000
_CONCURRENT_RECORDS = 200


async def exchange_figures() -> list[slopes.Figure]:
    """Measures an exchange of digests and a reservation between two peers."""
    out = []
    async with _peer() as address, _counting_proxy(address) as (proxied, count):
        host, _, port = proxied.rpartition(":")
        channel = grpclib.client.Channel(host, int(port))
        stub = peers_grpc.PeersStub(channel)
        digests = {
            "exchange of empty digests": slopes.digest(0, 0, 0),
            "exchange of digests with 12 loads": slopes.digest(_LOADS, 0, 0),
        }
        for name, message in digests.items():
            out += await _call_figures(
                name, count, lambda m=message: stub.Exchange(m)
            )
        req = peers_pb2.ReserveRequest(
            instance="entry-0123",
            boot="0123456789ab",
            target="target-0123",
            stream="entry-0123.0123456789ab.123456",
            tokens=400_000,
            ttl_ms=10_000,
        )
        out += await _call_figures(
            "reservation", count, lambda: stub.Reserve(req)
        )
        channel.close()
    return out


async def platform_figures() -> list[slopes.Figure]:
    """Measures reads of the configuration's head and the instance list."""
    out = []
    async with (
        _platform() as address,
        _counting_proxy(address) as (proxied, count),
    ):
        client = platform_http.connect(proxied)
        head = interface.Write("config/head", {"version": 1, "nonce": "0" * 16})
        await client.transact([], [head], timeout_s=_CALL_TIMEOUT_S)
        out += await _call_figures(
            "read of the head",
            count,
            lambda: client.read("config/head", timeout_s=_CALL_TIMEOUT_S),
        )
        for index in range(sizes.DESIGN.entries):
            row = interface.InstanceRow(
                f"entry-{index:04d}", "entry", "10.1.2.3:9000", "dc-07"
            )
            await client.announce(row, timeout_s=_CALL_TIMEOUT_S)
        out += await _call_figures(
            "read of the instance list",
            count,
            lambda: client.instances(timeout_s=_CALL_TIMEOUT_S),
        )
        await client.close()
    return out


async def report_figures() -> list[slopes.Figure]:
    """Measures a load report and an empty list of an engine's streams."""
    out = []
    engine_settings = plan.make_settings(settings.EngineSettings, {})
    server = await engine.serve(engine_settings)
    async with _counting_proxy(server.addresses["listen"]) as (proxied, count):
        targets = targets_http.connect(connect_s=_CALL_TIMEOUT_S)
        calls = {
            "load report": targets.load,
            "list of streams": targets.streams,
        }
        for name, call in calls.items():
            out += await _call_figures(
                name,
                count,
                lambda call=call: call(proxied, timeout_s=_CALL_TIMEOUT_S),
            )
        await targets.close()
    await server.close()
    return out


async def record_figures() -> list[slopes.Figure]:
    """Measures batched writes of idempotency records."""
    async with _platform() as address:
        client = platform_http.connect(address)
        calls = 0

        async def transact(*args, **kwargs):
            nonlocal calls
            calls += 1
            return await client.transact(*args, **kwargs)

        counting_client = dataclasses.replace(client, transact=transact)
        batcher = row_batch.Batcher(counting_client, timeout_s=_CALL_TIMEOUT_S)
        start, start_cpu = time.monotonic(), time.process_time()
        await _write_records(batcher)
        elapsed_s, cpu_s = (
            time.monotonic() - start,
            time.process_time() - start_cpu,
        )
        await client.close()
    name = "records"
    return [
        slopes.Figure(f"{name}, written", _RECORDS / elapsed_s, "1/s"),
        slopes.Figure(f"{name}, rows a transaction", _RECORDS / calls, ""),
        slopes.Figure(f"{name}, processor, both sides", cpu_s / _RECORDS, "s"),
    ]


async def _write_records(batcher: row_batch.Batcher) -> None:
    value = {"nonce": "0" * 24, "digest": "0" * 32, "state": "started"}
    pending: set[asyncio.Task] = set()
    for index in range(_RECORDS):
        if len(pending) >= _CONCURRENT_RECORDS:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        key = f"idem/organisation-{index % 97:05d}/key-{index}"
        pending.add(asyncio.create_task(row_batch.put(batcher, key, 0, value)))
    await asyncio.gather(*pending)


async def _call_figures(
    name: str,
    count: Callable[[], int],
    call: Callable[[], Awaitable],
) -> list[slopes.Figure]:
    for _ in range(_WARM_UP_CALLS):
        await call()
    start_bytes, start_cpu = count(), time.process_time()
    for _ in range(_CALLS):
        await call()
    cpu_s = time.process_time() - start_cpu
    # The proxy may not have forwarded the last bytes yet.
    await asyncio.sleep(0.05)
    size = (count() - start_bytes) / _CALLS
    return [
        slopes.Figure(f"{name}, bytes both ways", size, "bytes"),
        slopes.Figure(
            f"{name}, processor, both sides and proxy", cpu_s / _CALLS, "s"
        ),
    ]


class _Peer(peers_grpc.PeersBase):
    """A peer that echoes digests and grants every reservation."""

    async def Exchange(self, stream) -> None:  # noqa: N802
        await stream.send_message(await stream.recv_message())

    async def Reserve(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(peers_pb2.ReserveReply(granted=True))

    async def Release(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(peers_pb2.ReleaseReply())

    async def Fetch(self, stream) -> None:  # noqa: N802
        raise NotImplementedError


@contextlib.asynccontextmanager
async def _peer() -> AsyncIterator[str]:
    server = grpclib.server.Server([_Peer()])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    yield f"127.0.0.1:{port}"
    server.close()
    await server.wait_closed()


@contextlib.asynccontextmanager
async def _platform() -> AsyncIterator[str]:
    sections = {
        "platform": {
            "reads_per_s": _UNLIMITED,
            "writes_per_s": _UNLIMITED,
            "list_lag_s": 0.0,
        }
    }
    platform_settings = plan.make_settings(
        platform.PlatformStandinSettings, sections
    )
    server = await platform.serve(platform_settings)
    yield server.addresses["listen"]
    await server.close()


@contextlib.asynccontextmanager
async def _counting_proxy(
    upstream: str,
) -> AsyncIterator[tuple[str, Callable[[], int]]]:
    """Yields the address of a proxy of `upstream`, and its byte counter."""
    sections = {"proxy": {"pairs": (f"way=127.0.0.1:0>{upstream}",)}}
    server = await proxy.serve(
        plan.make_settings(settings.ProxySettings, sections)
    )

    def count() -> int:
        pair = server.truth()["way"]
        return pair["bytes_up"] + pair["bytes_down"]

    yield server.addresses["way"], count
    await server.close()
