"""Sets up a schedule: instances, table service, targets and their links."""

import asyncio
import dataclasses
import random

from bench.frontsoak import processes
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import crashes
from copperloom.platform.standins import store as store_standin
from copperloom.platform.standins import target as target_standin
from copperloom.standins import proxy

__all__ = [
    "COLD_BOUND_PER_S",
    "CRASHING_PART",
    "LARGE_KEY",
    "CallResult",
    "LimitPeriod",
    "LinkFault",
    "Sizes",
    "World",
    "close",
    "open_world",
    "routes",
]

# A part of prompts that crashes the targets that begin to write on it.
CRASHING_PART = "bad1"
# Targets are cold after each restart.
_COLD_S = 1.5
_COLD_PER_S = 6.0
COLD_BOUND_PER_S = _COLD_PER_S * processes.COLD_OVER + processes.COLD_SLACK
# Key of the organisation that floods services.
LARGE_KEY = "key-large"
_READY_TIMEOUT_S = 40.0
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Sizes:
    """The size of a schedule.

    Attributes:
        fronts: Number of instances.
        targets: Number of targets of each of the two services.
        callers: Number of callers.
        read_cost_ms: Delay of the first instance's event loop for each request
            that it reads, in milliseconds.
        seconds: Duration, in seconds.
        returns: How often the table service returns from an older copy.
        crowds: How often a crowd of clients comes that keep to no limit.
    """

    fronts: int = 3
    targets: int = 3
    callers: int = 9
    seconds: float = 8.0
    read_cost_ms: float = 0.0
    returns: int = 0
    crowds: int = 0


@dataclasses.dataclass(frozen=True)
class CallResult:
    """The result of one call.

    Attributes:
        path: Path of the request.
        id: Request id.
        front: Number of the instance that was called.
        status: HTTP status; 0 if no answer came.
        body: Body of the answer, as far as it was received.
        whole: Whether the answer was received to its end.
        started_at: Monotonic time at which the call was started.
        ended_at: Monotonic time at which the call ended_at.
    """

    path: str
    id: str
    front: int
    status: int
    body: bytes
    whole: bool
    started_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True)
class LimitPeriod:
    """A period in which a target names a rate limit.

    Attributes:
        target: Name of the target.
        per_s: Requests per second that it takes from all instances together.
        since: Monotonic time from which it names it.
        until: Monotonic time until which it names it.
    """

    target: str
    per_s: float
    since: float
    until: float


@dataclasses.dataclass(frozen=True)
class LinkFault:
    """A period in which a target's link delayed or lost bytes, or was reset.

    Attributes:
        target: Name of the target.
        since: Monotonic time from which it did.
        until: Monotonic time until which it did.
    """

    target: str
    since: float
    until: float


class World:
    """The state of one schedule.

    Attributes:
        rng: Generator of all draws.
        sizes: Size of the schedule.
        store: Table service.
        fronts: Instances.
        targets: Targets by name.
        links: Proxy in front of each target, by name of the target.
        link_listeners: Listener of each of these proxies, by the same name.
        limits: Periods in which targets name rate limits.
        link_faults: Faults of the targets' links.
        evacuated: Data centres with a row, and when it was written.
        evacuations: Data centres that had one, with its begin and end.
        crashing: Bodies of the requests that crash the targets that run them.
        silenced: Names of the targets whose link has lost or held back bytes,
            or the closing of a connection.
        version: Version of the routes.
        got: Results of all calls.
        stopping: Whether callers should stop.
        listeners: Listeners of the proxies in front of the table service.
        background: Restarts of proxies in progress.
    """

    def __init__(self, seed: int, sizes: Sizes):
        self.rng = random.Random(seed)
        self.sizes = sizes
        self.store: store_standin.StoreStandin | None = None
        self.fronts: list[processes.Front] = []
        self.targets: dict[str, target_standin.TargetStandin] = {}
        self.links: dict[str, proxy.Pair] = {}
        self.link_listeners: dict[str, asyncio.Server] = {}
        self.limits: list[LimitPeriod] = []
        self.link_faults: list[LinkFault] = []
        self.evacuated: dict[str, float] = {}
        self.evacuations: list[tuple[str, float, float]] = []
        self.crashing: set[bytes] = set()
        self.background: set[asyncio.Task] = set()
        self.silenced: set[str] = set()
        self.version = 1
        self.got: list[CallResult] = []
        self.stopping = False
        self.listeners: list[asyncio.Server] = []

    def register(self, name: str, **changes) -> None:
        """Writes the row of a target, with the address of its proxy."""
        row = self.targets[name].registration(
            "engines" if name.startswith("engine") else "plain", **changes
        )
        row["address"] = self.links[name].listen
        row["zone"] = "b" if name.endswith("-1") else "a"
        self.store.put("servers", name, row)


async def open_world(seed: int, sizes: Sizes, folder: str, session) -> World:
    """Starts a schedule's processes and waits until all instances are ready."""
    world = World(seed, sizes)
    world.store = await store_standin.serve()
    world.store.put("op", "config", routes(world.version))
    for number in range(sizes.targets):
        for kind in ("engine", "plain"):
            await _add_target(world, f"{kind}-{number}")
    for number in range(sizes.fronts):
        front = processes.Front(number, seed, folder)
        front.table_link = await _link(world, world.store.address)
        for link in world.links.values():
            await front.links.add(link.listen)
        if not world.fronts:
            front.read_cost_ms = sizes.read_cost_ms
        world.fronts.append(front)
        await front.start()
    async with asyncio.timeout(_READY_TIMEOUT_S):
        for front in world.fronts:
            while not await front.ready(session):
                await asyncio.sleep(_POLL_S)
    return world


def routes(version: int) -> dict:
    """Returns the operators' document: two organisations and cold starts."""
    rows = [
        {"name": "lounge", "api_keys": [fixtures.KEY], "priority": 1},
        {"name": "large", "api_keys": [LARGE_KEY]},
    ]
    document = fixtures.routes(version, tenants=rows)
    for service in document["services"]:
        service |= {"cold_start_s": _COLD_S, "cold_per_s": _COLD_PER_S}
    return document


async def _add_target(world: World, name: str) -> None:
    target = await target_standin.serve(name)
    target.cold_start_s = _COLD_S
    target.crashes_on = lambda request: (
        request.body in world.crashing
        or crashes.has_part(request, CRASHING_PART)
    )
    target.on_crash = lambda _: _close_link(world, name)
    target.on_restart = lambda _: _start(world, _reopen_link(world, name))
    world.targets[name] = target
    world.links[name] = proxy.Pair("127.0.0.1:0", target.address)
    world.link_listeners[name] = await proxy.open_pair(world.links[name])
    world.register(name)


def _close_link(world: World, name: str) -> None:
    """Makes proxies refuse connections, as the host of a dead process."""
    world.link_listeners[name].close()
    proxy.reset(world.links[name])
    for front in world.fronts:
        front.links.end_target(world.links[name].listen)


async def _reopen_link(world: World, name: str) -> None:
    world.link_listeners[name] = await proxy.open_pair(world.links[name])
    for front in world.fronts:
        await front.links.start_target(world.links[name].listen)
    world.register(name)


def _start(world: World, restart) -> None:
    task = asyncio.ensure_future(restart)
    world.background.add(task)
    task.add_done_callback(world.background.discard)


async def _link(world: World, upstream: str) -> proxy.Pair:
    pair = proxy.Pair("127.0.0.1:0", upstream)
    world.listeners.append(await proxy.open_pair(pair))
    return pair


async def close(world: World) -> None:
    """Ends the instances, the proxies, the targets and the table service."""
    for front in world.fronts:
        await front.end()
        front.links.close()
    for listener in (*world.listeners, *world.link_listeners.values()):
        listener.close()
    links = [*world.links.values(), *(f.table_link for f in world.fronts)]
    for task in [t for pair in links for t in pair.tasks]:
        task.cancel()
    for target in world.targets.values():
        await target.close()
    await world.store.close()
