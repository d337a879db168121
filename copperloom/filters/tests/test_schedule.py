"""Tests of work that was queued or placed while the process was suspended."""

import asyncio
import types
import unittest

from copperloom import configuration, exception, messages
from copperloom.controllers import config, dispatcher
from copperloom.controllers.tests import fixtures
from copperloom.decisions import scheduler
from copperloom.filters import schedule

_SERVICE = configuration.TargetKind.SERVICE


class SuspendedProcessTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.entry = fixtures.entry_state(self, "127.0.0.1:1")

    async def asyncSetUp(self):
        self.now = asyncio.get_running_loop().time()
        entity = fixtures.target("t", kind=_SERVICE, serves=("d",))
        change = configuration.Change(1, "n", "o", (entity,))
        cfg = configuration.apply(configuration.Configuration(), change)
        config.adopt(self.entry, cfg, self.now)
        # With a second member the configuration needs to be confirmed.
        self.entry.members["b"] = types.SimpleNamespace(
            last_reply_at=float("-inf"), version=0
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
        placement = messages.Placement(self.request, ("t",), (0,), 0)
        return types.SimpleNamespace(state=self.entry, placement=placement)

    async def test_request_goes_to_the_current_address(self):
        """A request must not go to an address that its target no longer has.

        Another process may use that address now.
        """
        entity = fixtures.target("t", kind=_SERVICE, serves=("d",))
        entity[1]["address"] = "127.0.0.1:10"
        change = configuration.Change(2, "n", "o", (entity,))
        ex = self.exchange()
        ex.cfg = self.entry.cfg
        config.adopt(
            self.entry, configuration.apply(self.entry.cfg, change), self.now
        )
        self.assertEqual(schedule.lead_target(ex).address, "127.0.0.1:10")

    async def test_queued_work_waits_for_a_confirmed_configuration(self):
        """Queued work must not be placed under an outdated configuration.

        Its target may have been retired while the process was suspended.
        """
        future = dispatcher.register(self.entry, self.request.id)
        scheduler.offer(self.entry.sched, self.request, self.now)
        next_step_at = dispatcher.step(self.entry, self.now)
        self.assertFalse(future.done())
        self.assertIsNotNone(next_step_at)
        config.confirm(self.entry, self.now)
        dispatcher.step(self.entry, self.now)
        self.assertEqual(future.result().targets, ("t",))

    async def test_placed_work_waits_for_a_confirmed_configuration(self):
        with self.assertRaises(exception.StaleConfigurationError):
            schedule.check_placement(self.exchange())
        config.confirm(self.entry, self.now)
        schedule.check_placement(self.exchange())

    async def test_placed_work_is_not_sent_to_a_draining_target(self):
        config.confirm(self.entry, self.now)
        scheduler.set_draining(self.entry.sched, frozenset(["t"]), self.now)
        with self.assertRaises(exception.TargetRefusedError):
            schedule.check_placement(self.exchange())
