"""Tests an instance beside targets whose answers never end."""

import asyncio
import pathlib
import tempfile
import unittest

import aiohttp

from bench.frontsoak import world
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire
from copperloom.platform.standins.target import Fault

_TARGETS = 8
_HOSTILE = 2
_SECONDS = 6.0
_PER_S = 40.0
_BURST = 48
_MAX_GROWTH_BYTES = 20_000_000
_MIN_SHARE = 0.9
_TIME_LIMIT_S = 4.0
_SAMPLE_S = 0.02
_KILOBYTE_BYTES = 1024


def _resident_bytes(pid: int) -> int:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in text.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1]) * _KILOBYTE_BYTES


async def _sample(pid: int, found: list[int]) -> None:
    while True:
        found.append(_resident_bytes(pid))
        await asyncio.sleep(_SAMPLE_S)


async def _call(session, front, request: str, path: str, prompt: int) -> bool:
    """Returns whether a request got a whole answer."""
    headers = wire.caller_headers(
        fixtures.HOST, request, fixtures.KEY, _TIME_LIMIT_S, prompt
    )
    url = f"http://{front.address}{path}"
    try:
        async with (
            asyncio.timeout(_TIME_LIMIT_S),
            session.post(url, headers=headers, data=b"q") as resp,
        ):
            await resp.read()
            return resp.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def _call_often(
    run, session, seconds: float, path: str, prompt: int
) -> dict[str, bool]:
    """Returns which requests got a whole answer, by their ids."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = {}
    while loop.time() < end:
        request = f"{path}{seconds}.{len(tasks)}"
        tasks[request] = asyncio.ensure_future(
            _call(session, run.fronts[0], request, path, prompt)
        )
        # All targets are in use from the begin.
        if len(tasks) > _BURST:
            await asyncio.sleep(1 / _PER_S)
    return {request: await task for request, task in tasks.items()}


class EndlessAnswersTest(unittest.TestCase):
    async def _play(self, kind: str, fault: Fault, folder: str) -> None:
        is_engine = kind == "engine"
        path = "/chat/x" if is_engine else "/write/x"
        prompt = 4000 if is_engine else 0
        sizes = world.Sizes(fronts=1, targets=_TARGETS)
        async with aiohttp.ClientSession() as session:
            run = await world.open_world(47, sizes, folder, session)
            try:
                await _call_often(run, session, 2.0, path, prompt)
                hostile = [run.targets[f"{kind}-{n}"] for n in range(_HOSTILE)]
                before = {r.id for t in hostile for r in t.seen}
                for target in hostile:
                    target.always = fault
                await self._check(run, session, hostile, before, path, prompt)
            finally:
                await world.close(run)

    async def _check(self, run, session, hostile, before, path, prompt) -> None:
        pid = run.fronts[0].process.pid
        begin = _resident_bytes(pid)
        found: list[int] = []
        sampling = asyncio.ensure_future(_sample(pid, found))
        served = await _call_often(run, session, _SECONDS, path, prompt)
        sampling.cancel()
        hit = {r.id for t in hostile for r in t.seen} - before
        others = [ok for request, ok in served.items() if request not in hit]
        growth = max(found) - begin
        share = sum(others) / len(others)
        self.assertGreaterEqual(len(hit), _HOSTILE)
        self.assertLess(growth, _MAX_GROWTH_BYTES)
        self.assertGreaterEqual(share, _MIN_SHARE)

    def test_bodies(self):
        """Guards against memory that bodies without an end fill."""
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._play("plain", Fault.ENDLESS_BODY, folder))

    def test_events(self):
        """Guards against endless streams that take the time of others."""
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._play("engine", Fault.ENDLESS_EVENTS, folder))

    def test_events_without_end(self):
        """Guards against memory that events without an end fill."""
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._play("engine", Fault.ENDLESS_EVENT, folder))
