"""Prompts larger than one engine, through real entries and engines."""

import asyncio
import unittest

from copperloom import exception
from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

# Four bytes count as a token; an engine has room for 400,000 tokens.
_PROMPT = "word" * 600_000
_LONG = 5000
# Entries in tests count as gone after two seconds of silence.
_PAUSE_S = 4.0
CAPACITY = exception.CapacityExceededError.code
# Owners of engines grant memory from one life of a reservation after they
# became owners; the default of ten seconds would only lengthen the tests.
_ENTRY = {"targets": {"reservation_s": 1.0}}


class LargePromptsTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls,
            entries=2,
            engines=4,
            services=0,
            engine={"time_scale": 50},
            entry=_ENTRY,
        )

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)
        await self.until_granted("e0")

    async def until_granted(self, entry: str) -> None:
        """Waits until the owners of all engines grant memory."""
        end = asyncio.get_running_loop().time() + 20
        while True:
            want = self.ask("first", tokens=1)
            call = await trials.ask(self.trial, entry, want)
            if call.outcome is Outcome.ANSWERED:
                return
            self.assertEqual(call.code, CAPACITY, call)
            self.assertLess(asyncio.get_running_loop().time(), end)
            await asyncio.sleep(0.3)

    def ask(self, name: str, **changes) -> Ask:
        return Ask(name + _PROMPT, **{"limit_s": 240.0, **changes})

    def holding(self) -> int:
        """Returns how many engines hold memory now."""
        truths = [e.truth() for e in self.system.engines.values()]
        return sum(truth["kv_used"] > 0 for truth in truths)

    async def begin(self, entry: str, want: Ask):
        """Begins a call and waits until a group of engines holds it."""
        task, seen = trials.begin(self.trial, entry, want)
        await trials.until(
            lambda: self.holding() >= 2 or task.done(), 20, "group holds"
        )
        self.assertFalse(task.done(), seen)
        return task, seen

    async def test_whole_answer(self):
        call = await trials.ask(self.trial, "e0", self.ask("whole"))
        self.assertEqual(call.outcome, Outcome.ANSWERED, call)
        await trials.settle(self, self.trial)

    async def test_entry_killed_while_the_group_runs(self):
        """The entry dies with parts held on several engines.

        Nobody cancels the parts, which would be held for ever: the engines'
        owners find that nobody reads or touches them any more.
        """
        await trials.extra_entry(self, self.trial, "e8", **_ENTRY)
        await self.until_granted("e8")
        task, _ = await self.begin("e8", self.ask("killed", tokens=_LONG))
        trials.kill(self.trial, "e8")
        await task
        await trials.settle(self, self.trial)
        self.assertEqual(self.holding(), 0)

    async def test_caller_goes_away(self):
        """The caller hangs up while the parts are filled."""
        task, _ = await self.begin("e0", self.ask("gone", tokens=_LONG))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await trials.until(lambda: not self.holding(), 20, "memory is back")

    async def test_entry_paused_while_the_group_runs(self):
        """The entry stands still for longer than it takes to count as gone.

        Its parts are not touched meanwhile and are cancelled. When it wakes
        up its caller gets an outcome that does not claim "not run", and no
        memory is left behind by its late resumes and touches.
        """
        await trials.extra_entry(self, self.trial, "e7", **_ENTRY)
        await self.until_granted("e7")
        task, _ = await self.begin("e7", self.ask("paused", tokens=_LONG))
        with trials.frozen(self.trial, "e7"):
            await asyncio.sleep(_PAUSE_S)
        call = await asyncio.wait_for(task, 60)
        self.assertNotEqual(call.outcome, Outcome.NOT_RUN)
        await trials.settle(self, self.trial)
        self.assertEqual(self.holding(), 0)

    async def test_engine_of_a_part_dies(self):
        """One engine of the group restarts and has lost its part.

        The caller gets an outcome in time; the other engines' memory is free.
        """
        want = self.ask("part lost", tokens=_LONG)
        task, _ = await self.begin("e0", want)
        self.system.engines["g1"].control(die=0.2)
        self.assertNotEqual((await task).outcome, Outcome.NOT_RUN)
        await trials.settle(self, self.trial)
        self.assertEqual(self.holding(), 0)
