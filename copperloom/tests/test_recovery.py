"""Instances as processes: all killed at once, and all stopped in turn."""

import asyncio
import signal
import tempfile
import unittest

import aiohttp

from bench.frontsoak import callers, checks, processes, world

_READY_LIMIT_S = 8.0
_POLL_S = 0.05
# Each process writes and reads the members' rows, reads both tables, and then
# follows them: two calls each 3 s, for those that do.
_MOST_CALLS_EACH = 8
_ROLL = world.Sizes(fronts=3, callers=6)
_NINE = world.Sizes(fronts=9, callers=0)


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    async def _open(self, seed: int, sizes: world.Sizes) -> world.World:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        run = await world.open_world(seed, sizes, folder.name, self.session)
        self.addAsyncCleanup(world.close, run)
        keeping = [asyncio.ensure_future(processes.keep(f)) for f in run.fronts]

        async def stop_keeping() -> None:
            for task in keeping:
                task.cancel()

        self.addAsyncCleanup(stop_keeping)
        return run

    async def test_nine_killed_at_once(self):
        """All processes are killed at the same moment, and start again.

        They are ready within seconds, and ask the table for little: no rush
        that the table would turn away.
        """
        run = await self._open(61, _NINE)
        before = sum(run.store.calls.values())
        for front in run.fronts:
            front.signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        async with asyncio.timeout(_READY_LIMIT_S):
            for front in run.fronts:
                while not await front.ready(self.session):
                    await asyncio.sleep(_POLL_S)
        calls = sum(run.store.calls.values()) - before
        self.assertLessEqual(calls, len(run.fronts) * _MOST_CALLS_EACH)

    async def test_all_stopped_in_turn(self):
        """Each process gets its stop signal while callers go on.

        Callers move to the others, as the balancer would move them; nothing
        that was read is cut, and nothing runs twice.
        """
        run = await self._open(62, _ROLL)
        asking = [
            asyncio.ensure_future(callers.call_on(run, self.session, n))
            for n in range(_ROLL.callers)
        ]
        for front in run.fronts:
            front.signal(signal.SIGTERM)
            await asyncio.sleep(1.5)
        await asyncio.sleep(3.0)
        run.stopping = True
        await asyncio.gather(*asking)
        await asyncio.sleep(0.7)
        self.assertEqual(checks.check(run), [])
        cut = [g.id for g in run.got if not g.whole and g.status]
        self.assertEqual(cut, [])
