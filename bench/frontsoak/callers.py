"""Simulates callers that keep their connections and call continuously."""

import asyncio
import random

import aiohttp

from bench.frontsoak.world import CRASHING_PART, CallResult, World
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire

__all__ = [
    "REQUEST_TIMEOUT_S",
    "call_on",
    "flood",
    "repeat_crashing",
    "send_crashing_part",
]

# Timeout that a caller sends with its request.
REQUEST_TIMEOUT_S = 2.5
# Exceeds the timeout sent, so that late answers are seen.
_CLIENT_TIMEOUT_S = REQUEST_TIMEOUT_S + 4.0
# Path, method and number of prompt tokens of each kind of request.
_REQUESTS = (
    ("/read/x", "GET", 0),
    ("/write/x", "POST", 0),
    ("/chat/x", "POST", 4000),
    ("/once/x", "POST", 4000),
)
_MAX_INTERVAL_S = 0.05
# Requests that crash the targets that run them.
_CRASHING = (("/write/crash", "POST", 0), ("/chat/crash", "POST", 4000))
_MAX_CRASHING_INTERVAL_S = 0.25
# A part that all prompts share.
_SHARED_PART = "5c1e"
_PARTS_DELAY_S = 2.0


async def call_on(world: World, session, number: int) -> None:
    """Makes random calls to random instances until the schedule ends."""
    rng = random.Random(world.rng.random())
    sequence = 0
    while not world.stopping:
        sequence += 1
        front = rng.choice(world.fronts)
        request_id = f"c{number}-{sequence}"
        result = await _call(session, front, request_id, *rng.choice(_REQUESTS))
        if result is not None:
            world.got.append(result)
        await asyncio.sleep(rng.uniform(0.0, _MAX_INTERVAL_S))


async def repeat_crashing(world: World, session, number: int) -> None:
    """Repeats a request that crashes its targets until the schedule ends."""
    rng = random.Random(world.rng.random())
    request = rng.choice(_CRASHING)
    body = f"crash-{number}".encode()
    world.crashing.add(body)
    sequence = 0
    while not world.stopping:
        sequence += 1
        front = rng.choice(world.fronts)
        request_id = f"x{number}-{sequence}"
        result = await _call(session, front, request_id, *request, body)
        if result is not None:
            world.got.append(result)
        await asyncio.sleep(rng.uniform(0.0, _MAX_CRASHING_INTERVAL_S))


async def send_crashing_part(world: World, session) -> None:
    """Sends prompts that share a crashing part until the schedule ends."""
    rng = random.Random(world.rng.random())
    await asyncio.sleep(rng.uniform(0.0, _PARTS_DELAY_S))
    sequence = 0
    while not world.stopping:
        sequence += 1
        shared = [_SHARED_PART, CRASHING_PART]
        rng.shuffle(shared)
        parts = ",".join(f"{part}:9" for part in (*shared, f"c{sequence:x}"))
        body = f"part {sequence}".encode()
        request_id = f"p{sequence}"
        path = rng.choice(("/chat/part-crash", "/once/part-crash"))
        result = await _call(
            session,
            rng.choice(world.fronts),
            request_id,
            *(path, "POST", 4000, body, parts),
        )
        if result is not None:
            world.got.append(result)
        await asyncio.sleep(rng.uniform(0.0, _MAX_CRASHING_INTERVAL_S))


async def flood(
    world: World, front, per_s: float, seconds: float, kind=0, key=fixtures.KEY
) -> None:
    """Opens many new connections to one instance, with a request each."""
    loop = asyncio.get_running_loop()
    name = f"f{len(world.got)}"
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        end = loop.time() + seconds
        calls = []
        while loop.time() < end and not world.stopping:
            request_id = f"{name}-{len(calls)}"
            request = _REQUESTS[kind]
            sent = _call(session, front, request_id, *request, key=key)
            calls.append(asyncio.ensure_future(sent))
            await asyncio.sleep(1.0 / per_s)
        results = await asyncio.gather(*calls)
    world.got += [r for r in results if r is not None]


async def _call(
    session,
    front,
    request_id,
    path,
    method,
    prompt_tokens,
    sent=b"q",
    parts="",
    key=fixtures.KEY,
) -> CallResult | None:
    """Makes one call; returns None if no connection could be opened."""
    loop = asyncio.get_running_loop()
    headers = wire.caller_headers(
        fixtures.HOST,
        request_id,
        key,
        REQUEST_TIMEOUT_S,
        prompt_tokens,
    )
    if prompt_tokens:
        headers[wire.PARTS] = parts or f"{_SHARED_PART}:9,{request_id}:9"
    started_at = loop.time()
    body = b""
    status = 0
    whole = False
    try:
        async with session.request(
            method,
            f"http://{front.address}{path}",
            headers=headers,
            data=sent if method == "POST" else None,
            timeout=aiohttp.ClientTimeout(total=_CLIENT_TIMEOUT_S),
        ) as resp:
            status = resp.status
            async for chunk in resp.content.iter_any():
                body += chunk
            whole = True
    except aiohttp.ClientConnectorError:
        return None
    except (aiohttp.ClientError, TimeoutError, OSError):
        # What was received until the connection broke is still checked.
        whole = False
    return CallResult(
        path,
        request_id,
        front.number,
        status,
        body,
        whole,
        started_at,
        loop.time(),
    )
