"""Placement among running targets, as far as it is not a pure decision."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import deferral
from copperloom.ingress.tests import fixtures


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    async def test_prompt_waits_and_is_served(self):
        """Engines come free within a moment; the prompt is held that long."""
        system = await fixtures.start_system(self, engines=2)
        waits = mock.Mock(side_effect=[0.2, 0.1, 0.0])
        begun = asyncio.get_running_loop().time()
        with mock.patch.object(deferral, "defer_s", waits):
            answer = await fixtures.call(system, "/chat/x", prompt=60_000)
        took = asyncio.get_running_loop().time() - begun
        self.assertEqual(answer.status, 200)
        self.assertEqual(waits.call_count, 3)
        self.assertGreater(took, 0.3)

    async def test_caller_that_leaves_meanwhile(self):
        """The caller leaves while its prompt waits; nothing is sent."""
        system = await fixtures.start_system(self, engines=1)
        with mock.patch.object(deferral, "defer_s", return_value=0.1):
            asking = asyncio.ensure_future(
                fixtures.call(system, "/chat/x", prompt=60_000)
            )
            await asyncio.sleep(0.3)
            asking.cancel()
            await asyncio.sleep(0.3)
        entry = system.fronts[0].entry
        self.assertEqual(entry.active, 0)
        self.assertEqual(system.targets["engine-0"].seen, [])

    async def test_wait_ends_with_the_time_limit(self):
        """A wait that never ends must not outlast the caller's patience."""
        system = await fixtures.start_system(self, engines=1)
        with mock.patch.object(deferral, "defer_s", return_value=0.1):
            answer = await fixtures.call(
                system, "/chat/x", prompt=60_000, wait_ms=700
            )
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(system.targets["engine-0"].seen, [])
