"""Has the table service return from older copies, and checks what follows."""

import asyncio
import random

import aiohttp

from bench.frontsoak.findings import Finding
from bench.frontsoak.world import World, routes
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire

__all__ = ["check_configuration", "inject_returns"]

_MAX_COPY_AGE_S = 3.0
_MAX_AWAY_S = 1.2
# A change has to be in force within this time at undisturbed instances.
_CONFIGURATION_S = 2.0
_STABILITY_WINDOW_S = 3.0
_EVACUATION_ROWS = {name: f"evacuate/{name}" for name in "ab"}


async def inject_returns(world: World, seed: int) -> None:
    """Returns the table service from copies, at random times.

    The draws are apart from those of the other faults.
    """
    rng = random.Random(f"returns {seed}")
    for _ in range(world.sizes.returns):
        span_s = world.sizes.seconds / world.sizes.returns
        age_s = min(_MAX_COPY_AGE_S, span_s / 2) * rng.random()
        await asyncio.sleep(rng.uniform(0.0, span_s / 2))
        await _return_from_copy(world, rng, age_s)


async def _return_from_copy(
    world: World, rng: random.Random, age_s: float
) -> None:
    """Loses what was written within a time; its writers write it again."""
    backup = world.store.copy()
    await asyncio.sleep(age_s)
    stays_open = rng.random() < 0.3
    if not stays_open:
        world.store.leave()
        await asyncio.sleep(rng.uniform(0.0, _MAX_AWAY_S))
    world.store.return_from(backup, ends_feeds=not stays_open)
    world.store.put("op", "config", routes(world.version))
    for data_centre, row in _EVACUATION_ROWS.items():
        if data_centre in world.evacuated:
            world.store.put("op", row, {})
        elif row in world.store.rows["op"]:
            world.store.remove("op", row)
    for name in world.targets:
        world.register(name)


async def check_configuration(
    world: World, session: aiohttp.ClientSession
) -> list[Finding]:
    """Adds a route just after a return; finds instances that don't know it."""
    loop = asyncio.get_running_loop()
    # Beyond the other faults, so that instances are undisturbed.
    await asyncio.sleep(_STABILITY_WINDOW_S)
    backup = world.store.copy()
    for _ in range(2):
        world.store.put("op", "config", routes(world.version))
    await asyncio.sleep(0.2)
    world.store.leave()
    await asyncio.sleep(_MAX_AWAY_S)
    world.store.return_from(backup)
    world.store.put("op", "config", routes(world.version))
    world.version += 1
    document = routes(world.version)
    added = fixtures.engine_route("/added/", service="plain", gap_aim_ms=None)
    document["routes"].append(added | {"kind": "idempotent", "sticky": False})
    world.store.put("op", "config", document)
    confirmed_at = loop.time()
    # An instance may be disturbed until the store has been back for a time.
    await asyncio.sleep(max(_CONFIGURATION_S, _STABILITY_WINDOW_S))
    found = []
    for front in world.fronts:
        if any(at > confirmed_at for at in front.signalled_at):
            continue
        status = await _status(session, front)
        if status == 404:
            detail = f"{front.number} doesn't know version {world.version}"
            found.append(Finding("CONFIG", detail))
    return found


async def _status(session: aiohttp.ClientSession, front) -> int:
    """Returns the status for a request on the added route; 0 without any."""
    headers = wire.caller_headers(
        fixtures.HOST, f"added-{front.number}", fixtures.KEY, 2.0, 0
    )
    try:
        async with session.get(
            f"http://{front.address}/added/x", headers=headers
        ) as resp:
            return resp.status
    except aiohttp.ClientError:
        return 0
