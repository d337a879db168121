"""Tests requests that arrive before routes and targets are known."""

import asyncio
import time
import unittest

from copperloom.daemons import front
from copperloom.ingress.tests import fixtures

_TABLE_DOWN = 503
# Allowance for a busy machine.
_SLACK_S = 0.4


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_held_until_routes_are_known(self):
        """A starting instance must not refuse what it can serve shortly after.

        Callers could spend their retry at another instance that just started.
        """
        system = await fixtures.start_system(self, fronts=0)
        system.store.down = _TABLE_DOWN
        await system.add_front()
        calls = [
            asyncio.ensure_future(fixtures.call(system, path, prompt=prompt))
            for path, prompt in (("/write/x", 0), ("/chat/x", 900))
        ]
        await asyncio.sleep(0.1)
        self.assertFalse(any(call.done() for call in calls))
        system.store.down = None
        answers = await asyncio.gather(*calls)
        self.assertEqual([a.status for a in answers], [200, 200])

    async def test_request_is_refused_if_routes_stay_unknown(self):
        """Requests must not be held for the whole outage of the table service.

        They get 503 at the end of the hold, and later ones get it at once.
        """
        system = await fixtures.start_system(self, fronts=0)
        system.store.down = _TABLE_DOWN
        await system.add_front()
        started_at = time.monotonic()
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        elapsed_s = time.monotonic() - started_at
        self.assertLess(elapsed_s, front.START_HOLD_S + _SLACK_S)
        started_at = time.monotonic()
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 503)
        self.assertLess(time.monotonic() - started_at, _SLACK_S)
