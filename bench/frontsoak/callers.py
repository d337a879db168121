"""Callers of a schedule: they keep their connections and ask on and on."""

import asyncio
import random

import aiohttp

from bench.frontsoak.world import Got, World
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire

__all__ = ["WAIT_S", "call_on"]

# How long a caller says that it will wait.
WAIT_S = 2.5
# How long it does wait: longer, to see answers that come too late.
_LISTEN_S = WAIT_S + 4.0
_KINDS = (
    ("/read/x", "GET", 0),
    ("/write/x", "POST", 0),
    ("/chat/x", "POST", 4000),
    ("/once/x", "POST", 4000),
)
_MOST_PAUSE_S = 0.05


async def call_on(world: World, session, number: int) -> None:
    """Asks any instance for anything until the schedule ends."""
    rng = random.Random(world.rng.random())
    sequence = 0
    while not world.stopping:
        sequence += 1
        front = rng.choice(world.fronts)
        name = f"c{number}-{sequence}"
        got = await _ask(session, front, name, *rng.choice(_KINDS))
        if got is not None:
            world.got.append(got)
        await asyncio.sleep(rng.uniform(0.0, _MOST_PAUSE_S))


async def _ask(session, front, name, path, method, prompt) -> Got | None:
    """Asks once; None if no connection could be made."""
    loop = asyncio.get_running_loop()
    headers = wire.caller_headers(
        fixtures.HOST, name, fixtures.KEY, WAIT_S, prompt
    )
    begun = loop.time()
    body = b""
    status = 0
    whole = False
    try:
        async with session.request(
            method,
            f"http://{front.address}{path}",
            headers=headers,
            data=b"q" if method == "POST" else None,
            timeout=aiohttp.ClientTimeout(total=_LISTEN_S),
        ) as resp:
            status = resp.status
            async for part in resp.content.iter_any():
                body += part
            whole = True
    except aiohttp.ClientConnectorError:
        return None
    except (aiohttp.ClientError, TimeoutError, OSError):
        # The answer broke off; what came until then is judged.
        whole = False
    return Got(
        path, name, front.number, status, body, whole, begun, loop.time()
    )
