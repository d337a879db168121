"""Measured costs of messages on loopback, for docs/CAPACITY.md.

Bytes are counted by the stand-ins' proxy, at the TCP payload, both ways.
Processor time is that of both sides, since they share this process.
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

_TIMES = 300
_WARM_UP = 20
_CALL_S = 5.0
_LOADS = 12
_UNLIMITED = 1e9
_RECORDS = 3_000
_RECORDS_AT_ONCE = 200


async def exchange_figures() -> list[slopes.Figure]:
    """Measures an exchange of digests and a reservation between two peers."""
    out = []
    async with _peer() as address, _counted(address) as (way, count):
        host, _, port = way.rpartition(":")
        channel = grpclib.client.Channel(host, int(port))
        stub = peers_grpc.PeersStub(channel)
        digests = {
            "exchange of empty digests": slopes.digest(0, 0, 0),
            "exchange of digests with 12 loads": slopes.digest(_LOADS, 0, 0),
        }
        for name, message in digests.items():
            out += await _cost(name, count, lambda m=message: stub.Exchange(m))
        ask = peers_pb2.ReserveRequest(
            instance="entry-0123",
            boot="0123456789ab",
            target="target-0123",
            stream="entry-0123.0123456789ab.123456",
            tokens=400_000,
            ttl_ms=10_000,
        )
        out += await _cost("reservation", count, lambda: stub.Reserve(ask))
        channel.close()
    return out


async def platform_figures() -> list[slopes.Figure]:
    """Measures a read of the head and of the instance list."""
    out = []
    async with _platform() as address, _counted(address) as (way, count):
        client = platform_http.connect(way)
        head = interface.Write("config/head", {"version": 1, "nonce": "0" * 16})
        await client.transact([], [head], timeout_s=_CALL_S)
        out += await _cost(
            "read of the head",
            count,
            lambda: client.read("config/head", timeout_s=_CALL_S),
        )
        for index in range(sizes.DESIGN.daemons):
            row = interface.InstanceRow(
                f"entry-{index:04d}", "entry", "10.1.2.3:9000", "dc-07"
            )
            await client.announce(row, timeout_s=_CALL_S)
        out += await _cost(
            "read of the instance list",
            count,
            lambda: client.instances(timeout_s=_CALL_S),
        )
        await client.close()
    return out


async def report_figures() -> list[slopes.Figure]:
    """Measures a load report and an empty list of streams of an engine."""
    out = []
    own = plan.make_settings(settings.EngineSettings, {})
    server = await engine.serve(own)
    async with _counted(server.addresses["listen"]) as (way, count):
        targets = targets_http.connect(connect_s=_CALL_S)
        calls = {
            "load report": targets.load,
            "list of streams": targets.streams,
        }
        for name, call in calls.items():
            out += await _cost(
                name, count, lambda call=call: call(way, timeout_s=_CALL_S)
            )
        await targets.close()
    await server.close()
    return out


async def record_figures() -> list[slopes.Figure]:
    """Measures idempotency records through one entry's batches."""
    async with _platform() as address:
        client = platform_http.connect(address)
        calls = 0

        async def transact(*args, **kwargs):
            nonlocal calls
            calls += 1
            return await client.transact(*args, **kwargs)

        counted = dataclasses.replace(client, transact=transact)
        batcher = row_batch.Batcher(counted, timeout_s=_CALL_S)
        begin, cpu = time.monotonic(), time.process_time()
        await _write_records(batcher)
        took, used = time.monotonic() - begin, time.process_time() - cpu
        await client.close()
    name = "records"
    return [
        slopes.Figure(f"{name}, written", _RECORDS / took, "1/s"),
        slopes.Figure(f"{name}, rows a transaction", _RECORDS / calls, ""),
        slopes.Figure(f"{name}, processor, both sides", used / _RECORDS, "s"),
    ]


async def _write_records(batcher: row_batch.Batcher) -> None:
    value = {"nonce": "0" * 24, "digest": "0" * 32, "state": "started"}
    pending: set[asyncio.Task] = set()
    for index in range(_RECORDS):
        if len(pending) >= _RECORDS_AT_ONCE:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        key = f"idem/organisation-{index % 97:05d}/key-{index}"
        pending.add(asyncio.create_task(row_batch.put(batcher, key, 0, value)))
    await asyncio.gather(*pending)


async def _cost(
    name: str,
    count: Callable[[], int],
    call: Callable[[], Awaitable],
) -> list[slopes.Figure]:
    for _ in range(_WARM_UP):
        await call()
    begin, cpu = count(), time.process_time()
    for _ in range(_TIMES):
        await call()
    used = time.process_time() - cpu
    # The last bytes may still be on their way through the proxy.
    await asyncio.sleep(0.05)
    size = (count() - begin) / _TIMES
    return [
        slopes.Figure(f"{name}, bytes both ways", size, "bytes"),
        slopes.Figure(
            f"{name}, processor, both sides and proxy", used / _TIMES, "s"
        ),
    ]


class _Peer(peers_grpc.PeersBase):
    """Answers each exchange with the digest that it got."""

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
    own = plan.make_settings(platform.PlatformStandinSettings, sections)
    server = await platform.serve(own)
    yield server.addresses["listen"]
    await server.close()


@contextlib.asynccontextmanager
async def _counted(
    upstream: str,
) -> AsyncIterator[tuple[str, Callable[[], int]]]:
    """Gives an address before another, and a count of the bytes passed."""
    sections = {"proxy": {"pairs": (f"way=127.0.0.1:0>{upstream}",)}}
    server = await proxy.serve(
        plan.make_settings(settings.ProxySettings, sections)
    )

    def count() -> int:
        pair = server.truth()["way"]
        return pair["bytes_up"] + pair["bytes_down"]

    yield server.addresses["way"], count
    await server.close()
