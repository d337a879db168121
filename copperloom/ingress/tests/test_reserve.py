"""Tests memory reservations for prompts that exceed one engine's memory."""

import unittest

from copperloom.ingress import reserve
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire


class ReserveTest(unittest.IsolatedAsyncioTestCase):
    async def test_memory_is_reserved_and_released(self):
        system = await fixtures.start_system(self, engines=4)
        answer = await fixtures.call(system, "/long/x", prompt=5000)
        self.assertEqual(answer.status, 404)
        await fixtures.add_long_route(system, timeout_ms=9000)
        answer = await fixtures.call(
            system, "/long/x", prompt=500_000, wait_ms=8000
        )
        self.assertEqual(answer.status, 200)
        ran = next(t for t in system.targets.values() if t.runs)
        helpers = ran.seen[-1].headers[wire.HELPERS]
        self.assertIn("/", helpers)
        await fixtures.until(
            lambda: not any(t.memory for t in system.targets.values())
        )

    async def test_partial_reservation_is_released(self):
        """Memory must not stay reserved if another engine refuses its share."""
        system = await fixtures.start_system(self, engines=2)
        await fixtures.add_long_route(system, timeout_ms=3000)
        for target in system.targets.values():
            if target.name.startswith("engine"):
                target.kv_tokens = 10
        answer = await fixtures.call(
            system, "/long/x", prompt=500_000, wait_ms=1500
        )
        self.assertEqual(answer.status, 503)
        await fixtures.until(
            lambda: not any(t.memory for t in system.targets.values())
        )

    def test_lease_outlasts_two_lost_renewals(self):
        self.assertGreater(reserve.LEASE_S, 3 * reserve.RENEW_INTERVAL_S)
