"""Injects faults through signals, links, the table, targets and operators."""

import asyncio
import signal

from bench.frontsoak import callers
from bench.frontsoak.world import (
    LARGE_KEY,
    LimitPeriod,
    LinkFault,
    World,
    routes,
)
from copperloom.platform.standins import crashes, links, raw_answers
from copperloom.platform.standins import target as target_standin
from copperloom.standins import proxy

__all__ = ["inject_faults"]

_TARGET_FAULTS = (
    target_standin.Fault.REFUSE,
    target_standin.Fault.RESET,
    target_standin.Fault.TRUNCATE,
    target_standin.Fault.OTHERS_ANSWER,
    target_standin.Fault.UNSEALED,
    target_standin.Fault.MUTE,
    target_standin.Fault.BREAK,
    target_standin.Fault.HALF_EVENT,
    target_standin.Fault.UNFRAMED,
    target_standin.Fault.UNFRAMED_HALF,
)
_DELAYED = ({"delay_s": 0.05}, {"delay_s": 0.3})
_SILENT = (
    {"drop_up": True},
    {"drop_down": True},
    {"hold_up": True},
    {"hold_down": True},
    {"half_open": True},
)
_MAX_CONCURRENT = 4
_MAX_LIMIT_S = 12.0
_MAX_ANNOUNCED_S = 5.0
_MAX_RETRY_AFTER_S = 6.0
_MAX_REJECTING_S = 3.0
_USUAL_PAUSE_S = 0.01
_MAX_SLOW_S = 5.0
_MAX_PARTITION_S = 6.0
_MAX_FLOOD_PER_S = 120.0
_MAX_FLOOD_S = 2.0
# Of the stand-ins of targets.
_USUAL_PAUSE_S = 0.01
_MAX_ENDLESS_S = 2.0
_MALFORMED_TIMES = ("", "-1", "nan", "9" * 30)


async def inject_faults(world: World) -> None:
    """Injects random faults, partly concurrent, until the schedule ends."""
    loop = asyncio.get_running_loop()
    end = loop.time() + world.sizes.seconds
    active: set[asyncio.Task] = set()
    while loop.time() < end:
        await asyncio.sleep(world.rng.uniform(0.05, 0.6))
        if len(active) < _MAX_CONCURRENT:
            fault = world.rng.choice(_FAULTS)
            task = asyncio.ensure_future(fault(world))
            active.add(task)
            task.add_done_callback(active.discard)
    await asyncio.gather(*active)


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


async def _take_table_down(world: World) -> None:
    world.store.down = world.rng.choice((503, 429))
    await asyncio.sleep(world.rng.uniform(0.2, 1.5))
    world.store.down = None


async def _forget_table_history(world: World) -> None:
    world.store.forget_history()


async def _fault_table_link(world: World) -> None:
    front = world.rng.choice(world.fronts)
    link_faults = world.rng.choice((*_DELAYED, *_SILENT, {"refuse": True}))
    await _fault_link(world, front.table_link, link_faults)


async def _fault_target_link(world: World) -> None:
    name = world.rng.choice(list(world.links))
    link_faults = world.rng.choice((*_DELAYED, *_SILENT, {"refuse": True}))
    if link_faults in _SILENT:
        world.silenced.add(name)
    since = asyncio.get_running_loop().time()
    await _fault_link(world, world.links[name], link_faults)
    until = asyncio.get_running_loop().time()
    world.link_faults.append(LinkFault(name, since, until))


async def _fault_link(
    world: World, link: proxy.Pair, link_faults: dict
) -> None:
    link.faults = proxy.PairFaults(**link_faults)
    await asyncio.sleep(world.rng.uniform(0.2, 1.5))
    link.faults = proxy.PairFaults()


async def _reset_link(world: World) -> None:
    links = [*world.links.values(), *(f.table_link for f in world.fronts)]
    link = world.rng.choice(links)
    proxy.reset(link)
    now = asyncio.get_running_loop().time()
    world.link_faults += [
        LinkFault(name, now, now)
        for name, known in world.links.items()
        if known is link
    ]


async def _fault_target(world: World) -> None:
    target = world.rng.choice(list(world.targets.values()))
    kind = world.rng.choice(_TARGET_FAULTS)
    target.faults.extend([kind] * world.rng.randint(1, 4))


async def _send_endless_answers(world: World) -> None:
    """Has some targets send answers without end, also to checks and orders."""
    names = world.rng.sample(list(world.targets), 2)
    for name in names:
        fault = world.rng.choice(raw_answers.ENDLESS_FAULTS)
        world.targets[name].always = fault
        world.targets[name].other_answers = fault
    await asyncio.sleep(world.rng.uniform(0.1, _MAX_ENDLESS_S))
    for name in names:
        world.targets[name].always = None
        world.targets[name].other_answers = None


async def _crash_target(world: World) -> None:
    target = world.rng.choice(list(world.targets.values()))
    target.restart_after_s = world.rng.uniform(0.1, 2.0)
    crashes.crash(target)


async def _crash_many_targets(world: World) -> None:
    for target in list(world.targets.values()):
        if world.rng.random() < 0.6:
            crashes.crash(target)


async def _limit_target(world: World) -> None:
    await _limit(world, [world.rng.choice(list(world.targets))])


async def _limit_service(world: World) -> None:
    kind = world.rng.choice(("engine", "plain"))
    await _limit(world, [n for n in world.targets if n.startswith(kind)])


async def _limit(world: World, names: list[str]) -> None:
    """Makes targets name a limit for some time, unless one does already."""
    names = [n for n in names if world.targets[n].limit is None]
    per_s = round(world.rng.uniform(0.0, 5.0), 1)
    since = asyncio.get_running_loop().time()
    for name in names:
        world.targets[name].limit = str(per_s)
    await asyncio.sleep(world.rng.uniform(0.5, _MAX_LIMIT_S))
    until = asyncio.get_running_loop().time()
    for name in names:
        world.targets[name].limit = None
        world.limits.append(LimitPeriod(name, per_s, since, until))


async def _announce_drain(world: World) -> None:
    await _announce_together(world, [world.rng.choice(list(world.targets))])


async def _announce_service(world: World) -> None:
    kind = world.rng.choice(("engine", "plain"))
    await _announce_together(
        world, [n for n in world.targets if n.startswith(kind)]
    )


async def _announce_together(world: World, names: list[str]) -> None:
    """Makes targets say that they drain, serve on, end and start again.

    The table is away for a part of that time, or keeps rows that say ready.
    """
    for name in names:
        world.targets[name].draining = "1"
    if world.rng.random() < 0.5:
        await _take_table_down(world)
    else:
        for name in names:
            world.register(name, seq=world.rng.randint(1, 99))
    await asyncio.sleep(world.rng.uniform(0.5, _MAX_ANNOUNCED_S))
    for name in names:
        if world.targets[name].draining is not None:
            world.targets[name].restart_after_s = world.rng.uniform(0.1, 1.0)
            crashes.crash(world.targets[name])


async def _reject(world: World) -> None:
    await _reject_together(world, [world.rng.choice(list(world.targets))])


async def _reject_service(world: World) -> None:
    kind = world.rng.choice(("engine", "plain"))
    await _reject_together(
        world, [n for n in world.targets if n.startswith(kind)]
    )


async def _reject_together(world: World, names: list[str]) -> None:
    """Makes targets reject requests, some with values that are no times."""
    for name in names:
        target = world.targets[name]
        seconds = f"{world.rng.uniform(0.1, _MAX_RETRY_AFTER_S):.1f}"
        target.seals_refusals = world.rng.random() < 0.5
        target.retry_after = world.rng.choice(
            (seconds, seconds, seconds, *_MALFORMED_TIMES)
        )
    await asyncio.sleep(world.rng.uniform(0.1, _MAX_REJECTING_S))
    for name in names:
        world.targets[name].retry_after = None


async def _slow_some(world: World) -> None:
    """Makes some targets of a service slower than the others for a time."""
    kind = world.rng.choice(("engine", "plain"))
    names = [n for n in world.targets if n.startswith(kind)]
    slow = world.rng.sample(names, world.rng.randint(1, len(names) - 1))
    for name in slow:
        world.targets[name].pause_s *= world.rng.uniform(1.5, 4.0)
    await asyncio.sleep(world.rng.uniform(0.5, _MAX_SLOW_S))
    for name in slow:
        world.targets[name].pause_s = _USUAL_PAUSE_S


async def _drain_target(world: World) -> None:
    name = world.rng.choice(list(world.targets))
    world.register(name, state="draining")
    await asyncio.sleep(world.rng.uniform(0.1, 0.6))
    world.register(name)


async def _partition_some(world: World) -> None:
    await _partition(world, world.rng.randint(1, len(world.fronts) - 1))


async def _partition_all(world: World) -> None:
    await _partition(world, len(world.fronts))


async def _partition(world: World, count: int) -> None:
    """Partitions some instances from all targets, a few times in a row."""
    loop = asyncio.get_running_loop()
    fronts = world.rng.sample(world.fronts, count)
    fronts = [f for f in fronts if f.links.partition is None]
    how = world.rng.choice(list(links.Partition))
    for _ in range(world.rng.randint(1, 2)):
        since = loop.time()
        for front in fronts:
            await front.links.cut(how)
        await asyncio.sleep(world.rng.uniform(0.3, _MAX_PARTITION_S))
        for front in fronts:
            await front.links.heal()
            front.partitions.append((since, loop.time()))
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))


async def _flood(world: World) -> None:
    """Has most new connections go to one instance, then to another."""
    for front in world.rng.sample(world.fronts, 2):
        await callers.flood(
            world,
            front,
            world.rng.uniform(50.0, _MAX_FLOOD_PER_S),
            world.rng.uniform(0.5, _MAX_FLOOD_S),
        )


async def _evacuate(world: World) -> None:
    """Evacuates a data centre, while one instance alone reads the table."""
    loop = asyncio.get_running_loop()
    name = world.rng.choice("ab")
    if name in world.evacuated:
        return
    world.evacuated[name] = loop.time()
    cut_off = [f.table_link for f in world.rng.sample(world.fronts, 2)]
    for link in cut_off:
        link.faults = proxy.PairFaults(refuse=True)
        proxy.reset(link)
    world.store.put("op", f"evacuate/{name}", {})
    await asyncio.sleep(world.rng.uniform(0.1, 2.0))
    for link in cut_off:
        link.faults = proxy.PairFaults()
    await asyncio.sleep(world.rng.uniform(0.0, 8.0))
    world.store.remove("op", f"evacuate/{name}")
    since = world.evacuated.pop(name)
    world.evacuations.append((name, since, loop.time()))


async def _flood_slow_service(world: World) -> None:
    """One organisation floods a service whose targets have become slow."""
    kind = world.rng.choice(("plain", "engine"))
    slow = [n for n in world.targets if n.startswith(kind)]
    for name in slow:
        world.targets[name].pause_s = world.rng.uniform(0.05, 0.3)
        world.register(name, slots=1)
    await callers.flood(
        world,
        world.rng.choice(world.fronts),
        world.rng.uniform(30.0, _MAX_FLOOD_PER_S),
        world.rng.uniform(0.5, _MAX_FLOOD_S),
        kind=1 if kind == "plain" else 3,
        key=LARGE_KEY,
    )
    for name in slow:
        world.targets[name].pause_s = _USUAL_PAUSE_S
        world.register(name)


async def _corrupt_rows(world: World) -> None:
    malformed = (b"\xff", {"state": "ready"}, {"service": 1, "address": []})
    for number, row in enumerate(malformed):
        world.store.put("servers", f"spoiled-{number}", row)
    world.store.put("op", "config", {"version": "none"})
    world.store.put("op", "config", routes(world.version))


async def _change_routes(world: World) -> None:
    for _ in range(world.rng.randint(1, 4)):
        world.version += world.rng.randint(1, 5)
        world.store.put("op", "config", routes(world.version))
        await asyncio.sleep(world.rng.uniform(0.0, 0.1))


_FAULTS = (
    _kill,
    _kill_many,
    _pause,
    _terminate,
    _terminate,
    _terminate_in_turn,
    _reload,
    _take_table_down,
    _forget_table_history,
    _fault_table_link,
    _fault_target_link,
    _fault_target_link,
    _reset_link,
    _fault_target,
    _fault_target,
    _crash_target,
    _crash_many_targets,
    _limit_target,
    _limit_service,
    _announce_drain,
    _announce_service,
    _reject,
    _reject_service,
    _slow_some,
    _drain_target,
    _partition_some,
    _partition_some,
    _partition_all,
    _flood,
    _corrupt_rows,
    _evacuate,
    _change_routes,
    _flood_slow_service,
    _send_endless_answers,
)
