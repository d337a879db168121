"""Guards against failures of a fleet in mass restarts and rolling stops."""

import asyncio
import signal
import tempfile
import unittest

import aiohttp

from bench.frontsoak import callers, checks, processes, world

_READY_LIMIT_S = 8.0
_POLL_S = 0.05
# Covers membership, the first read of both tables, and periodic polls.
_MAX_CALLS_PER_INSTANCE = 8
_ROLLING_STOP_SIZES = world.Sizes(fronts=3, callers=6)
_MASS_KILL_SIZES = world.Sizes(fronts=9, callers=0)


class RecoveryTest(unittest.IsolatedAsyncioTestCase):
    async def _open(self, seed: int, sizes: world.Sizes) -> world.World:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        run = await world.open_world(seed, sizes, folder.name, self.session)
        self.addAsyncCleanup(world.close, run)
        supervisors = [
            asyncio.ensure_future(processes.keep(f)) for f in run.fronts
        ]

        async def cancel_supervisors() -> None:
            for task in supervisors:
                task.cancel()

        self.addAsyncCleanup(cancel_supervisors)
        return run

    async def test_all_instances_killed_at_once(self):
        """Guards against a slow recovery or a thundering herd at the table.

        All instances are killed at the same time and restart.
        """
        run = await self._open(61, _MASS_KILL_SIZES)
        calls_before = sum(run.store.calls.values())
        for front in run.fronts:
            front.signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        async with asyncio.timeout(_READY_LIMIT_S):
            for front in run.fronts:
                while not await front.ready(self.session):
                    await asyncio.sleep(_POLL_S)
        calls = sum(run.store.calls.values()) - calls_before
        self.assertLessEqual(calls, len(run.fronts) * _MAX_CALLS_PER_INSTANCE)

    async def test_instances_stopped_in_turn(self):
        """Guards against cut answers and repeated runs in a rolling stop.

        Callers move to the other instances, as behind a load balancer.
        """
        run = await self._open(62, _ROLLING_STOP_SIZES)
        calling = [
            asyncio.ensure_future(callers.call_on(run, self.session, n))
            for n in range(_ROLLING_STOP_SIZES.callers)
        ]
        for front in run.fronts:
            front.signal(signal.SIGTERM)
            await asyncio.sleep(1.5)
        await asyncio.sleep(3.0)
        run.stopping = True
        await asyncio.gather(*calling)
        await asyncio.sleep(0.7)
        self.assertEqual(checks.check(run), [])
        cut = [g.id for g in run.got if not g.whole and g.status]
        self.assertEqual(cut, [])
