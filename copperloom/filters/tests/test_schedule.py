"""Work that was queued or placed before a pause."""

import asyncio
import types
import unittest

from copperloom import configuration, exception, messages
from copperloom.controllers import config, dispatcher
from copperloom.controllers.tests import fixtures
from copperloom.decisions import scheduler
from copperloom.filters import schedule

_SERVICE = configuration.TargetKind.SERVICE


class PauseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.entry = fixtures.entry_state(self, "127.0.0.1:1")

    async def asyncSetUp(self):
        self.now = asyncio.get_running_loop().time()
        put = fixtures.target("t", kind=_SERVICE, serves=("d",))
        change = configuration.Change(1, "n", "o", (put,))
        cfg = configuration.apply(configuration.Configuration(), change)
        config.adopt(self.entry, cfg, self.now)
        # One of two members: without a proof it may not go on.
        self.entry.members["b"] = types.SimpleNamespace(
            heard_at=float("-inf"), version=0
        )
        self.request = messages.Request(
            id="a.b.1",
            organisation="org",
            weight=1.0,
            deployment="d",
            kind=_SERVICE,
            model="",
            prompt_tokens=0,
            max_tokens=0,
            arrived=self.now,
            deadline=self.now + 60.0,
            version=1,
        )

    def exchange(self):
        placed = messages.Placement(self.request, ("t",), (0,), 0)
        return types.SimpleNamespace(state=self.entry, placement=placed)

    async def test_target_that_has_moved(self):
        """A target gets another address while a request waits for it.

        Sent to the old one, it would reach nobody, or whoever has that
        address now.
        """
        put = fixtures.target("t", kind=_SERVICE, serves=("d",))
        put[1]["address"] = "127.0.0.1:10"
        change = configuration.Change(2, "n", "o", (put,))
        ex = self.exchange()
        ex.cfg = self.entry.cfg
        config.adopt(
            self.entry, configuration.apply(self.entry.cfg, change), self.now
        )
        self.assertEqual(schedule.lead_target(ex).address, "127.0.0.1:10")

    async def test_queued_work_waits_for_a_proof(self):
        """The process wakes up with work queued and an old configuration.

        A target may have been retired meanwhile. The work is placed once the
        configuration is known to be in force.
        """
        future = dispatcher.expect(self.entry, self.request.id)
        scheduler.offer(self.entry.sched, self.request, self.now)
        again_at = dispatcher.step(self.entry, self.now)
        self.assertFalse(future.done())
        self.assertIsNotNone(again_at)
        config.confirm(self.entry, self.now)
        dispatcher.step(self.entry, self.now)
        self.assertEqual(future.result().targets, ("t",))

    async def test_placed_work_waits_for_a_proof(self):
        with self.assertRaises(exception.StaleConfigurationError):
            schedule.check_placement(self.exchange())
        config.confirm(self.entry, self.now)
        schedule.check_placement(self.exchange())

    async def test_placed_work_does_not_go_to_a_target_that_left(self):
        config.confirm(self.entry, self.now)
        scheduler.set_draining(self.entry.sched, frozenset(["t"]), self.now)
        with self.assertRaises(exception.TargetRefusedError):
            schedule.check_placement(self.exchange())
