"""Stand-in for the platform: table, object store, instance list, weights.

It keeps all in memory and misbehaves on request: outages, no answers, slow
spells, and writes that take effect although their confirmation is lost. See
docs/PROTOCOLS.md.
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

_MOST_ROWS = 25
_MOST_SCAN = 1000
_HISTORY_S = 120.0
_BODY_BYTES = 64_000_000


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
    """What a control call changes; what it leaves out stays as it is.

    Attributes:
        outage: Services ("table", "objects", "instances", "weights") that
            answer 503.
        black_hole: Services that take requests and never answer.
        slow_s: Delay before each answer.
        lose_confirmations: How many further transactions take effect, then
            have their connection closed instead of an answer.
        drop_writes: How many further transactions have no effect and their
            connection closed.
        reads_per_s: Rate of reads.
        writes_per_s: Rate of rows written.
        weights_per_s: Rate of permits.
        list_lag_s: Most age of a view of the instance list.
        instance_ttl_s: Life of an instance not told again.
        list_targets: Rows of targets to show in the instance list for good.
        unlist_targets: Names of targets to take off it.
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


class _Transact(msgspec.Struct):
    conditions: list[interface.Condition]
    writes: list[interface.Write]


class _Weights(msgspec.Struct):
    count: int


class _Bucket:
    """Permits that refill with time, up to those of one second."""

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.level = rate
        self.at = now


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
            "reads": _Bucket(section.reads_per_s, now),
            "writes": _Bucket(section.writes_per_s, now),
            "weights": _Bucket(section.weights_per_s, now),
        }


async def serve(program: PlatformStandinSettings) -> server.Server:
    """Starts a platform."""
    state = _State(program.platform, time.monotonic())
    app = web.Application(
        client_max_size=_BODY_BYTES, middlewares=[_faults(state)]
    )
    app.add_routes(_routes(state))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = program.platform.listen.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    address = ":".join(str(part) for part in runner.addresses[0][:2])
    return server.Server(
        {"listen": address}, lambda: _tell(state), runner.cleanup
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


def _faults(state: _State):
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
            return _refusal(503, "outage", 1.0)
        return await handler(request)

    return middleware


def _refusal(status: int, text: str, retry_after_s: float) -> web.Response:
    body = {"error": text, "ran": False, "retry_after_s": retry_after_s}
    return web.json_response(body, status=status)


def _json(value) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def _take(state: _State, name: str, count: float) -> web.Response | None:
    """Takes permits, or returns the refusal that says when to come back."""
    bucket = state.buckets[name]
    now = time.monotonic()
    refill = (now - bucket.at) * bucket.rate
    bucket.level = min(max(bucket.rate, 1.0), bucket.level + refill)
    bucket.at = now
    if bucket.level < count:
        state.calls["rate_limited"] += 1
        wait_s = (count - bucket.level) / max(bucket.rate, 1e-3)
        return _refusal(429, "over the rate", wait_s)
    bucket.level -= count
    return None


async def _transact(state: _State, request: web.Request) -> web.Response:
    asked = msgspec.json.decode(await request.read(), type=_Transact)
    state.calls["transact"] += 1
    names = {c.key for c in asked.conditions} | {w.key for w in asked.writes}
    if len(names) > _MOST_ROWS:
        return _refusal(400, f"more than {_MOST_ROWS} rows", 0)
    limited = _take(state, "writes", len(asked.writes))
    if limited is not None:
        return limited
    if state.drop_writes > 0:
        state.drop_writes -= 1
        return _hang_up(request)
    conflicts = table.transact(state.table, asked.conditions, asked.writes)
    if state.lose_confirmations > 0:
        state.lose_confirmations -= 1
        return _hang_up(request)
    return _json({"committed": not conflicts, "conflicts": conflicts})


def _hang_up(request: web.Request) -> web.Response:
    request.transport.abort()
    return web.Response()


async def _read(state: _State, request: web.Request) -> web.Response:
    state.calls["read"] += 1
    limited = _take(state, "reads", 1)
    return limited or _json(table.read(state.table, request.query["key"]))


async def _scan(state: _State, request: web.Request) -> web.Response:
    state.calls["scan"] += 1
    limited = _take(state, "reads", 1)
    if limited is not None:
        return limited
    limit = min(int(request.query.get("limit", _MOST_SCAN)), _MOST_SCAN)
    after = request.query.get("after", "")
    rows = table.scan(state.table, request.query["prefix"], after, limit)
    return _json({"rows": rows})


async def _get_object(state: _State, request: web.Request) -> web.Response:
    state.calls["get_object"] += 1
    data = state.objects.get(request.match_info["name"])
    if data is None:
        return _refusal(404, "no such object", 0)
    return web.Response(body=data)


async def _put_object(state: _State, request: web.Request) -> web.Response:
    state.calls["put_object"] += 1
    state.objects[request.match_info["name"]] = await request.read()
    return _json({})


async def _announce(state: _State, request: web.Request) -> web.Response:
    state.calls["announce"] += 1
    row = msgspec.json.decode(await request.read(), type=interface.InstanceRow)
    state.announced[row.name] = (row, time.monotonic())
    _look(state)
    return _json({})


def _look(state: _State) -> None:
    """Notes what the list is now, for views that lag."""
    now = time.monotonic()
    gone = now - state.instance_ttl_s
    rows = [row for row, told in state.announced.values() if told >= gone]
    state.views.append((now, rows + list(state.targets.values())))
    while len(state.views) > 1 and state.views[1][0] < now - _HISTORY_S:
        state.views.popleft()


async def _instances(state: _State, request: web.Request) -> web.Response:
    state.calls["instances"] += 1
    _look(state)
    # Views of different ages, so that a later read may see an older list.
    lag_s = state.list_lag_s * state.random.uniform(0.5, 1.0)
    until = time.monotonic() - lag_s
    rows = state.views[0][1]
    for at, view in reversed(state.views):
        if at <= until:
            rows = view
            break
    return _json({"instances": rows})


async def _weights(state: _State, request: web.Request) -> web.Response:
    state.calls["weights"] += 1
    asked = msgspec.json.decode(await request.read(), type=_Weights)
    return _take(state, "weights", asked.count) or _json({})


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
    _look(state)
    return _json({})


async def _truth(state: _State, request: web.Request) -> web.Response:
    return _json(_tell(state))


def _tell(state: _State) -> dict:
    return {
        "rows": list(state.table.rows.values()),
        "objects": {name: len(d) for name, d in state.objects.items()},
        "calls": {**state.calls, "rows_written": state.table.written},
        "instances": sorted(state.announced),
    }
