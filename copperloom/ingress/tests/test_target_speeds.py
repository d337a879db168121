"""Tests that instances find and share the speeds of targets."""

import asyncio
import unittest

from copperloom.decisions import target_speed
from copperloom.ingress.tests import fixtures

_INTERVAL_S = 0.02


def _runs(system) -> dict[str, int]:
    return {name: len(t.runs) for name, t in system.targets.items()}


class TargetSpeedsTest(unittest.IsolatedAsyncioTestCase):
    async def test_slow_target_gets_fewer_requests_of_all_instances(self):
        """Guards against instances that share no observations."""
        system = await fixtures.start_system(self, engines=0, plain=4, fronts=2)
        for target in system.targets.values():
            target.pause_s = 0.08
        system.targets["plain-0"].pause_s = 0.32
        await fixtures.call_often(system, "/read/x", 3.0, _INTERVAL_S)
        before = _runs(system)
        await fixtures.call_often(system, "/read/x", 2.0, _INTERVAL_S)
        after = _runs(system)
        got = {name: after[name] - before[name] for name in after}
        others = [n for name, n in got.items() if name != "plain-0"]
        self.assertLess(got["plain-0"], 0.2 * min(others))

    async def test_instance_without_requests_learns_of_a_slow_target(self):
        """Guards against an owner that does not know what it places on."""
        system = await fixtures.start_system(self, engines=0, plain=3, fronts=2)
        for target in system.targets.values():
            target.pause_s = 0.05
        system.targets["plain-0"].pause_s = 0.25
        # Several at a time, so that all targets get some.
        for _ in range(12):
            calls = [fixtures.call(system, "/read/x") for _ in range(6)]
            await asyncio.gather(*calls)
        idle = system.fronts[1].entry.speeds
        await fixtures.until(lambda: len(idle.samples) == 3)
        now = asyncio.get_running_loop().time()
        self.assertEqual(list(target_speed.outliers(idle, now)), ["plain-0@1"])

    async def test_slow_engine_is_found(self):
        """Guards against streams that tell nothing of their engine."""
        system = await fixtures.start_system(self, engines=3, plain=0, fronts=1)
        for target in system.targets.values():
            target.pause_s = 0.04
        system.targets["engine-0"].pause_s = 0.12
        await fixtures.call_often(system, "/chat/x", 4.0, 0.1, prompt=4000)
        speeds = system.fronts[0].entry.speeds
        now = asyncio.get_running_loop().time()
        slow = target_speed.outliers(speeds, now)
        self.assertEqual([n for n, r in slow.items() if r > 1], ["engine-0@1"])
