"""Stand-in for the platform: table, object store, instance list, weights.

All data is in memory. Tests can inject faults: outages, requests that are
never answered, delays, and writes that take effect although their confirmation
is lost. The protocol is in docs/PROTOCOLS.md.
"""

import asyncio
import collections
import dataclasses
import random
import time

import msgspec
from aiohttp import web

from copperloom.platform import interface
from copperloom.settings import setting
from copperloom.standins import server, table

__all__ = ["Control", "PlatformStandinSettings", "serve"]

_MAX_ROWS = 25
_MAX_SCAN_ROWS = 1000
_VIEW_RETENTION_S = 120.0
_MAX_BODY_BYTES = 64_000_000


@dataclasses.dataclass(frozen=True)
class PlatformSection:
    """Address, rates and lags."""

    listen: str = setting("127.0.0.1:0", "Address.", unit="IP:port")
    reads_per_s: float = setting(2000.0, "Rate of reads.", unit="1/s", low=0)
    writes_per_s: float = setting(
        500.0, "Rate of rows written.", unit="1/s", low=0
    )
    weights_per_s: float = setting(
        1.0, "Rate of permits of the weight store.", unit="1/s", low=0
    )
    list_lag_s: float = setting(
        1.0, "Most age of a view of the instance list.", unit="s", low=0
    )
    instance_ttl_s: float = setting(
        10.0, "Life of an instance not told again.", unit="s", low=0
    )
    seed: int = setting(1, "Seed of the lags.")


@dataclasses.dataclass(frozen=True)
class PlatformStandinSettings:
    """Settings of the platform stand-in."""

    platform: PlatformSection


class Control(msgspec.Struct, omit_defaults=True):
    """Changes that a control request makes; absent fields change nothing.

    Attributes:
        outage: Services ("table", "objects", "instances", "weights") that
            reply with 503.
        black_hole: Services that accept requests and never reply.
        slow_s: Delay before each reply, in seconds.
        lose_confirmations: Number of further transactions that take effect
            and whose connection is then aborted without a reply.
        drop_writes: Number of further transactions that have no effect and
            whose connection is aborted without a reply.
        reads_per_s: Maximum rate of reads.
        writes_per_s: Maximum rate of rows written.
        weights_per_s: Maximum rate of permits of the weight store.
        list_lag_s: Maximum age of a view of the instance list, in seconds.
        instance_ttl_s: Time after which an instance that does not announce
            itself again is dropped from the list, in seconds.
        list_targets: Rows of targets to add to the instance list without
            expiry.
        unlist_targets: Names of targets to remove from the list.
    """

    outage: list[str] | None = None
    black_hole: list[str] | None = None
    slow_s: float | None = None
    lose_confirmations: int | None = None
    drop_writes: int | None = None
    reads_per_s: float | None = None
    writes_per_s: float | None = None
    weights_per_s: float | None = None
    list_lag_s: float | None = None
    instance_ttl_s: float | None = None
    list_targets: list[interface.InstanceRow] = []
    unlist_targets: list[str] = []


class _TransactBody(msgspec.Struct):
    conditions: list[interface.Condition]
    writes: list[interface.Write]


class _WeightsBody(msgspec.Struct):
    count: int


class _TokenBucket:
    """A token bucket that holds at most the permits of one second."""

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.level = rate
        self.refilled_at = now


class _State:
    def __init__(self, section: PlatformSection, now: float):
        self.table = table.Table()
        self.objects: dict[str, bytes] = {}
        self.announced: dict[str, tuple[interface.InstanceRow, float]] = {}
        self.targets: dict[str, interface.InstanceRow] = {}
        self.views: collections.deque = collections.deque([(now, [])])
        self.random = random.Random(section.seed)
        self.calls: collections.Counter = collections.Counter()
        self.outage: frozenset[str] = frozenset()
        self.black_hole: frozenset[str] = frozenset()
        self.slow_s = 0.0
        self.lose_confirmations = 0
        self.drop_writes = 0
        self.list_lag_s = section.list_lag_s
        self.instance_ttl_s = section.instance_ttl_s
        self.buckets = {
            "reads": _TokenBucket(section.reads_per_s, now),
            "writes": _TokenBucket(section.writes_per_s, now),
            "weights": _TokenBucket(section.weights_per_s, now),
        }


async def serve(program: PlatformStandinSettings) -> server.Server:
    """Starts a platform and returns its server."""
    state = _State(program.platform, time.monotonic())
    app = web.Application(
        client_max_size=_MAX_BODY_BYTES, middlewares=[_fault_middleware(state)]
    )
    app.add_routes(_routes(state))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = program.platform.listen.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    address = ":".join(str(part) for part in runner.addresses[0][:2])
    return server.Server(
        {"listen": address}, lambda: _snapshot(state), runner.cleanup
    )


def _routes(state: _State) -> list[web.RouteDef]:
    def bind(function):
        async def handler(request):
            return await function(state, request)

        return handler

    return [
        web.post("/table/transact", bind(_transact)),
        web.get("/table/row", bind(_read)),
        web.get("/table/scan", bind(_scan)),
        web.get("/objects/{name:.+}", bind(_get_object)),
        web.put("/objects/{name:.+}", bind(_put_object)),
        web.get("/instances", bind(_instances)),
        web.put("/instances/{name}", bind(_announce)),
        web.post("/weights", bind(_weights)),
        web.post("/_standin/control", bind(_control)),
        web.get("/_standin/truth", bind(_truth)),
    ]


def _fault_middleware(state: _State):
    @web.middleware
    async def middleware(request, handler):
        service = request.path.split("/")[1]
        if service == "_standin":
            return await handler(request)
        if service in state.black_hole:
            await asyncio.sleep(86_400)
        if state.slow_s:
            await asyncio.sleep(state.slow_s)
        if service in state.outage:
            return _error_response(503, "outage", 1.0)
        return await handler(request)

    return middleware


def _error_response(
    status: int, text: str, retry_after_s: float
) -> web.Response:
    body = {"error": text, "ran": False, "retry_after_s": retry_after_s}
    return web.json_response(body, status=status)


def _json_response(value) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _acquire(state: _State, name: str, count: float) -> web.Response | None:
    """Acquires permits, or returns a refusal with the time to retry after."""
    bucket = state.buckets[name]
    now = time.monotonic()
    refill = (now - bucket.refilled_at) * bucket.rate
    bucket.level = min(max(bucket.rate, 1.0), bucket.level + refill)
    bucket.refilled_at = now
    if bucket.level < count:
        state.calls["rate_limited"] += 1
        wait_s = (count - bucket.level) / max(bucket.rate, 1e-3)
        return _error_response(429, "rate limit exceeded", wait_s)
    bucket.level -= count
    return None


async def _transact(state: _State, request: web.Request) -> web.Response:
    body = msgspec.json.decode(await request.read(), type=_TransactBody)
    state.calls["transact"] += 1
    keys = {c.key for c in body.conditions} | {w.key for w in body.writes}
    if len(keys) > _MAX_ROWS:
        return _error_response(400, f"more than {_MAX_ROWS} rows", 0)
    limited = _acquire(state, "writes", len(body.writes))
    if limited is not None:
        return limited
    if state.drop_writes > 0:
        state.drop_writes -= 1
        return _abort(request)
    conflicts = table.transact(state.table, body.conditions, body.writes)
    if state.lose_confirmations > 0:
        state.lose_confirmations -= 1
        return _abort(request)
    return _json_response({"committed": not conflicts, "conflicts": conflicts})


def _abort(request: web.Request) -> web.Response:
    request.transport.abort()
    return web.Response()


async def _read(state: _State, request: web.Request) -> web.Response:
    state.calls["read"] += 1
    limited = _acquire(state, "reads", 1)
    return limited or _json_response(
        table.read(state.table, request.query["key"])
    )


async def _scan(state: _State, request: web.Request) -> web.Response:
    state.calls["scan"] += 1
    limited = _acquire(state, "reads", 1)
    if limited is not None:
        return limited
    limit = min(int(request.query.get("limit", _MAX_SCAN_ROWS)), _MAX_SCAN_ROWS)
    after = request.query.get("after", "")
    rows = table.scan(state.table, request.query["prefix"], after, limit)
    return _json_response({"rows": rows})


async def _get_object(state: _State, request: web.Request) -> web.Response:
    state.calls["get_object"] += 1
    data = state.objects.get(request.match_info["name"])
    if data is None:
        return _error_response(404, "unknown object", 0)
    return web.Response(body=data)


async def _put_object(state: _State, request: web.Request) -> web.Response:
    state.calls["put_object"] += 1
    state.objects[request.match_info["name"]] = await request.read()
    return _json_response({})


async def _announce(state: _State, request: web.Request) -> web.Response:
    state.calls["announce"] += 1
    row = msgspec.json.decode(await request.read(), type=interface.InstanceRow)
    state.announced[row.name] = (row, time.monotonic())
    _record_view(state)
    return _json_response({})


def _record_view(state: _State) -> None:
    """Stores the present instance list, so that later reads can lag."""
    now = time.monotonic()
    expired_before = now - state.instance_ttl_s
    rows = [
        row
        for row, announced_at in state.announced.values()
        if announced_at >= expired_before
    ]
    state.views.append((now, rows + list(state.targets.values())))
    while len(state.views) > 1 and state.views[1][0] < now - _VIEW_RETENTION_S:
        state.views.popleft()


async def _instances(state: _State, request: web.Request) -> web.Response:
    state.calls["instances"] += 1
    _record_view(state)
    # The age varies, so that a later read may see an older list.
    lag_s = state.list_lag_s * state.random.uniform(0.5, 1.0)
    until = time.monotonic() - lag_s
    rows = state.views[0][1]
    for viewed_at, view in reversed(state.views):
        if viewed_at <= until:
            rows = view
            break
    return _json_response({"instances": rows})


async def _weights(state: _State, request: web.Request) -> web.Response:
    state.calls["weights"] += 1
    body = msgspec.json.decode(await request.read(), type=_WeightsBody)
    return _acquire(state, "weights", body.count) or _json_response({})


async def _control(state: _State, request: web.Request) -> web.Response:
    control = msgspec.json.decode(await request.read(), type=Control)
    for name in ("outage", "black_hole"):
        if getattr(control, name) is not None:
            setattr(state, name, frozenset(getattr(control, name)))
    for name in (
        "slow_s",
        "lose_confirmations",
        "drop_writes",
        "list_lag_s",
        "instance_ttl_s",
    ):
        if getattr(control, name) is not None:
            setattr(state, name, getattr(control, name))
    for name, bucket in state.buckets.items():
        rate = getattr(control, f"{name}_per_s")
        if rate is not None:
            bucket.rate = rate
            bucket.level = min(bucket.level, rate)
    for row in control.list_targets:
        state.targets[row.name] = row
    for name in control.unlist_targets:
        state.targets.pop(name, None)
    _record_view(state)
    return _json_response({})


async def _truth(state: _State, request: web.Request) -> web.Response:
    return _json_response(_snapshot(state))


def _snapshot(state: _State) -> dict:
    return {
        "rows": list(state.table.rows.values()),
        "objects": {name: len(data) for name, data in state.objects.items()},
        "calls": {**state.calls, "rows_written": state.table.written},
        "instances": sorted(state.announced),
    }
