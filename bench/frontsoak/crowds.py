"""Has crowds of clients that keep to no limit call instances."""

import asyncio
import random

from bench.frontsoak.processes import Front
from bench.frontsoak.world import World
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire
from copperloom.standins import crowd, crowd_pieces

__all__ = ["inject_crowds"]

_CLIENTS = 40
_KINDS_AT_ONCE = 3
_MIN_STAY_S = 0.5
_MAX_STAY_S = 3.0
_TIME_LIMIT_S = 60.0
_MAX_HEADER_BYTES = 16_384
_MAX_BODY_BYTES = 100_000


async def inject_crowds(world: World, seed: int) -> None:
    """Has crowds come at random times, to one listener of one instance each.

    The draws are apart from those of the other faults.
    """
    rng = random.Random(f"crowds {seed}")
    for _ in range(world.sizes.crowds):
        span_s = world.sizes.seconds / world.sizes.crowds
        stay_s = rng.uniform(_MIN_STAY_S, min(_MAX_STAY_S, span_s))
        await asyncio.sleep(rng.uniform(0.0, max(0.0, span_s - stay_s)))
        await crowd.run(_plan(world, rng, stay_s))


def _plan(world: World, rng: random.Random, stay_s: float) -> crowd.Plan:
    front: Front = rng.choice(world.fronts)
    fields = wire.caller_headers(
        fixtures.HOST, "crowd", fixtures.KEY, _TIME_LIMIT_S
    )
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return crowd.Plan(
        address=f"{front.ip}:{rng.choice(front.ports)}",
        kinds=tuple(rng.sample(sorted(crowd.KINDS), _KINDS_AT_ONCE)),
        clients=_CLIENTS,
        seconds=stay_s,
        seed=rng.randrange(1 << 30),
        template=crowd_pieces.Template(
            ("POST /read/crowd HTTP/1.1", *lines),
            _MAX_HEADER_BYTES,
            _MAX_BODY_BYTES,
        ),
    )
