"""What a schedule plays with: instances, table, targets and their links."""

import asyncio
import dataclasses
import random

from bench.frontsoak import processes
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import store as store_standin
from copperloom.platform.standins import target as target_standin
from copperloom.standins import proxy

__all__ = ["Got", "Sizes", "World", "close", "open_world"]

_READY_S = 40.0
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Sizes:
    """How much of each kind there is.

    Attributes:
        fronts: Instances.
        targets: Targets of each of the two services.
        callers: Callers.
        seconds: Length of the schedule.
    """

    fronts: int = 3
    targets: int = 3
    callers: int = 9
    seconds: float = 8.0


@dataclasses.dataclass(frozen=True)
class Got:
    """What a caller got.

    Attributes:
        path: What it asked for.
        id: The request's id.
        front: Number of the instance asked.
        status: The status; 0 if no answer came.
        body: The body as far as it came.
        whole: Whether the answer came to its end.
        begun: Monotonic time at which it asked.
        ended: Monotonic time at which it had the answer.
    """

    path: str
    id: str
    front: int
    status: int
    body: bytes
    whole: bool
    begun: float
    ended: float


class World:
    """Everything of one schedule.

    Attributes:
        rng: Source of all draws.
        sizes: How much there is.
        store: The table service.
        fronts: The instances.
        targets: The targets by name.
        links: The proxy before each target, by its name.
        silenced: Targets whose link has swallowed bytes or closes.
        version: Version of the routes.
        got: What callers got.
        stopping: Whether callers should end.
    """

    def __init__(self, seed: int, sizes: Sizes):
        self.rng = random.Random(seed)
        self.sizes = sizes
        self.store: store_standin.StoreStandin | None = None
        self.fronts: list[processes.Front] = []
        self.targets: dict[str, target_standin.TargetStandin] = {}
        self.links: dict[str, proxy.Pair] = {}
        self.silenced: set[str] = set()
        self.version = 1
        self.got: list[Got] = []
        self.stopping = False
        self.listeners: list[asyncio.Server] = []

    def register(self, name: str, **changes) -> None:
        """Writes a target's row, with the address of its link."""
        row = self.targets[name].registration(
            "engines" if name.startswith("engine") else "plain", **changes
        )
        row["address"] = self.links[name].listen
        self.store.put("servers", name, row)


async def open_world(seed: int, sizes: Sizes, folder: str, session) -> World:
    """Starts everything; returns once all instances are ready."""
    world = World(seed, sizes)
    world.store = await store_standin.serve()
    world.store.put("op", "config", fixtures.routes())
    for number in range(sizes.targets):
        for kind in ("engine", "plain"):
            name = f"{kind}-{number}"
            world.targets[name] = await target_standin.serve(name)
            world.links[name] = await _link(world, world.targets[name].address)
            world.register(name)
    for number in range(sizes.fronts):
        front = processes.Front(number, seed, folder)
        front.store_link = await _link(world, world.store.address)
        world.fronts.append(front)
        await front.start()
    async with asyncio.timeout(_READY_S):
        for front in world.fronts:
            while not await front.ready(session):
                await asyncio.sleep(_POLL_S)
    return world


async def _link(world: World, upstream: str) -> proxy.Pair:
    pair = proxy.Pair("127.0.0.1:0", upstream)
    world.listeners.append(await proxy.open_pair(pair))
    return pair


async def close(world: World) -> None:
    """Ends all that was started."""
    for front in world.fronts:
        await front.end()
    for listener in world.listeners:
        listener.close()
    links = [*world.links.values(), *(f.store_link for f in world.fronts)]
    for task in [t for pair in links for t in pair.tasks]:
        task.cancel()
    for target in world.targets.values():
        await target.close()
    await world.store.close()
