"""Faults from outside: signals, links, the table, targets and operators."""

import asyncio
import signal

from bench.frontsoak.world import World
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import target as target_standin
from copperloom.standins import proxy

__all__ = ["disturb"]

_ANSWERS = (
    target_standin.Fault.REFUSE,
    target_standin.Fault.RESET,
    target_standin.Fault.TRUNCATE,
    target_standin.Fault.OTHERS_ANSWER,
    target_standin.Fault.UNSEALED,
    target_standin.Fault.MUTE,
    target_standin.Fault.BREAK,
    target_standin.Fault.HALF_EVENT,
)
# What a link does for a while.
_DELAYED = ({"delay_s": 0.05}, {"delay_s": 0.3})
_SILENT = (
    {"drop_up": True},
    {"drop_down": True},
    {"hold_up": True},
    {"hold_down": True},
    {"half_open": True},
)
_MOST_AT_ONCE = 4


async def disturb(world: World) -> None:
    """Plays faults in series, several of them at once, until the end."""
    loop = asyncio.get_running_loop()
    end = loop.time() + world.sizes.seconds
    under_way: set[asyncio.Task] = set()
    while loop.time() < end:
        await asyncio.sleep(world.rng.uniform(0.05, 0.6))
        if len(under_way) < _MOST_AT_ONCE:
            fault = world.rng.choice(_FAULTS)
            task = asyncio.ensure_future(fault(world))
            under_way.add(task)
            task.add_done_callback(under_way.discard)
    await asyncio.gather(*under_way)


async def _kill(world: World) -> None:
    world.rng.choice(world.fronts).signal(signal.SIGKILL)


async def _kill_many(world: World) -> None:
    for front in world.fronts:
        if world.rng.random() < 0.7:
            front.signal(signal.SIGKILL)


async def _pause(world: World) -> None:
    front = world.rng.choice(world.fronts)
    front.signal(signal.SIGSTOP)
    await asyncio.sleep(world.rng.uniform(0.2, 1.2))
    front.signal(signal.SIGCONT)


async def _terminate(world: World) -> None:
    world.rng.choice(world.fronts).signal(signal.SIGTERM)


async def _terminate_in_turn(world: World) -> None:
    for front in world.fronts[:4]:
        front.signal(signal.SIGTERM)
        await asyncio.sleep(world.rng.uniform(0.1, 0.8))


async def _reload(world: World) -> None:
    world.rng.choice(world.fronts).signal(signal.SIGHUP)


async def _store_down(world: World) -> None:
    world.store.down = world.rng.choice((503, 429))
    await asyncio.sleep(world.rng.uniform(0.2, 1.5))
    world.store.down = None


async def _store_forgets(world: World) -> None:
    world.store.forget_history()


async def _store_link(world: World) -> None:
    front = world.rng.choice(world.fronts)
    how = world.rng.choice((*_DELAYED, *_SILENT, {"refuse": True}))
    await _bad_link(world, front.store_link, how)


async def _target_link(world: World) -> None:
    name = world.rng.choice(list(world.links))
    how = world.rng.choice((*_DELAYED, *_SILENT, {"refuse": True}))
    if how in _SILENT:
        world.silenced.add(name)
    await _bad_link(world, world.links[name], how)


async def _bad_link(world: World, link: proxy.Pair, how: dict) -> None:
    link.faults = proxy.PairFaults(**how)
    await asyncio.sleep(world.rng.uniform(0.2, 1.5))
    link.faults = proxy.PairFaults()


async def _reset_link(world: World) -> None:
    links = [*world.links.values(), *(f.store_link for f in world.fronts)]
    proxy.reset(world.rng.choice(links))


async def _bad_answers(world: World) -> None:
    target = world.rng.choice(list(world.targets.values()))
    kind = world.rng.choice(_ANSWERS)
    target.faults.extend([kind] * world.rng.randint(1, 4))


async def _drain_target(world: World) -> None:
    name = world.rng.choice(list(world.targets))
    world.register(name, state="draining")
    await asyncio.sleep(world.rng.uniform(0.1, 0.6))
    world.register(name)


async def _spoil_rows(world: World) -> None:
    spoiled = (b"\xff", {"state": "ready"}, {"service": 1, "address": []})
    for number, row in enumerate(spoiled):
        world.store.put("servers", f"spoiled-{number}", row)
    world.store.put("op", "config", {"version": "none"})
    world.store.put("op", "config", fixtures.routes(world.version))


async def _change_routes(world: World) -> None:
    for _ in range(world.rng.randint(1, 4)):
        world.version += world.rng.randint(1, 5)
        world.store.put("op", "config", fixtures.routes(world.version))
        await asyncio.sleep(world.rng.uniform(0.0, 0.1))


_FAULTS = (
    _kill,
    _kill_many,
    _pause,
    _terminate,
    _terminate,
    _terminate_in_turn,
    _reload,
    _store_down,
    _store_forgets,
    _store_link,
    _target_link,
    _target_link,
    _reset_link,
    _bad_answers,
    _bad_answers,
    _drain_target,
    _spoil_rows,
    _change_routes,
)
