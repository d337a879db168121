"""Tests the waiting of requests for placement, with running targets."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import deferral
from copperloom.ingress.tests import fixtures


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    async def test_prompt_is_deferred_until_engines_are_free(self):
        system = await fixtures.start_system(self, engines=2)
        delays = mock.Mock(side_effect=[0.2, 0.1, 0.0])
        started_at = asyncio.get_running_loop().time()
        with mock.patch.object(deferral, "defer_s", delays):
            answer = await fixtures.call(system, "/chat/x", prompt=60_000)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        self.assertEqual(answer.status, 200)
        self.assertEqual(delays.call_count, 3)
        self.assertGreater(elapsed_s, 0.3)

    async def test_deferred_prompt_is_dropped_when_its_caller_disconnects(self):
        """A prompt must not be sent after its caller has disconnected."""
        system = await fixtures.start_system(self, engines=1)
        with mock.patch.object(deferral, "defer_s", return_value=0.1):
            calling = asyncio.ensure_future(
                fixtures.call(system, "/chat/x", prompt=60_000)
            )
            await asyncio.sleep(0.3)
            calling.cancel()
            await asyncio.sleep(0.3)
        entry = system.fronts[0].entry
        self.assertEqual(entry.active, 0)
        self.assertEqual(system.targets["engine-0"].seen, [])

    async def test_deferral_ends_at_the_time_limit(self):
        """Repeated deferrals must not exceed the caller's time limit."""
        system = await fixtures.start_system(self, engines=1)
        with mock.patch.object(deferral, "defer_s", return_value=0.1):
            answer = await fixtures.call(
                system, "/chat/x", prompt=60_000, wait_ms=700
            )
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(system.targets["engine-0"].seen, [])
