"""Tests an instance that gets most new connections, and can't serve all."""

import asyncio
import collections
import tempfile
import unittest

import aiohttp

from bench.frontsoak import world
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire

_STABILITY_WINDOW_S = 3.0
_MEASURED_S = 3.0
_USUAL_PER_S = 20.0
# Of what the instance has read, it serves at least so much of the usual share.
_MIN_SHARE = 0.75
_TIME_LIMIT_S = 2.0
_SERVED, _UNREAD, _FAILED = "served", "unread", "failed"


async def _call(run, session, number: int, front) -> str:
    """Sends a request on a new connection; returns what became of it."""
    headers = wire.caller_headers(
        fixtures.HOST, f"h{number}", fixtures.KEY, _TIME_LIMIT_S
    )
    try:
        async with (
            asyncio.timeout(_TIME_LIMIT_S),
            session.post(
                f"http://{front.address}/write/x", headers=headers, data=b"q"
            ) as resp,
        ):
            await resp.read()
            return _SERVED if resp.status == 200 else _FAILED
    except aiohttp.ClientConnectionError:
        return _UNREAD
    except TimeoutError:
        return _FAILED


async def _call_often(run, seconds: float, per_s: float, front):
    """Sends requests at a rate; returns how many had which result."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        while loop.time() < begin + seconds:
            sent = _call(run, session, len(tasks), front)
            tasks.append(asyncio.ensure_future(sent))
            await asyncio.sleep(
                max(0.0, begin + len(tasks) / per_s - loop.time())
            )
        return collections.Counter(await asyncio.gather(*tasks))


def _share(results: collections.Counter) -> float:
    read = results[_SERVED] + results[_FAILED]
    return results[_SERVED] / max(1, read)


class HotInstanceTest(unittest.TestCase):
    async def _play(self, cost_ms: float, per_s: float, folder: str) -> None:
        sizes = world.Sizes(read_cost_ms=cost_ms)
        async with aiohttp.ClientSession() as session:
            run = await world.open_world(39, sizes, folder, session)
            try:
                front = run.fronts[0]
                usual = await _call_often(run, 2.0, _USUAL_PER_S, front)
                await _call_often(run, _STABILITY_WINDOW_S, per_s, front)
                hot = await _call_often(run, _MEASURED_S, per_s, front)
                self.assertGreater(hot[_SERVED], _USUAL_PER_S)
                self.assertGreaterEqual(
                    _share(hot), _MIN_SHARE * _share(usual), (usual, hot)
                )
                self.assertTrue(await front.ready(session))
                after = await _call_often(run, 1.0, _USUAL_PER_S, front)
                self.assertEqual(_share(after), 1.0)
            finally:
                await world.close(run)

    def test_more_connections_than_can_be_served(self):
        """Guards against reading more requests than can be served."""
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._play(6.0, 186.0, folder))

    def test_twice_as_many_connections_as_can_be_read(self):
        """Guards against requests that all wait until their callers leave."""
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self._play(12.0, 152.0, folder))
