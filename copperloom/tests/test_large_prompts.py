"""Guards against leaked memory by prompts larger than one engine."""

import asyncio
import unittest

from copperloom import exception
from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

# Exceeds the memory of one engine, at four bytes per token.
_PROMPT = "word" * 600_000
_LONG = 5000
# Longer than the time after which the peers consider an entry dead.
_PAUSE_S = 4.0
_CAPACITY_EXCEEDED = exception.CapacityExceededError.code
# A new owner of an engine grants memory only after one reservation lifetime; a
# short one keeps the tests fast.
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
        await self.wait_until_granted("e0")

    async def wait_until_granted(self, entry: str) -> None:
        """Waits until the owners of all engines grant memory."""
        deadline = asyncio.get_running_loop().time() + 20
        while True:
            req = self.make_request("first", tokens=1)
            call = await trials.ask(self.trial, entry, req)
            if call.outcome is Outcome.ANSWERED:
                return
            self.assertEqual(call.code, _CAPACITY_EXCEEDED, call)
            self.assertLess(asyncio.get_running_loop().time(), deadline)
            await asyncio.sleep(0.3)

    def make_request(self, name: str, **changes) -> Ask:
        return Ask(name + _PROMPT, **{"limit_s": 240.0, **changes})

    def engines_in_use(self) -> int:
        """Returns the number of engines that hold memory."""
        states = [e.truth() for e in self.system.engines.values()]
        return sum(state["kv_used"] > 0 for state in states)

    async def begin(self, entry: str, req: Ask):
        """Begins a call and waits until several engines hold its parts."""
        task, received = trials.begin(self.trial, entry, req)
        await trials.until(
            lambda: self.engines_in_use() >= 2 or task.done(),
            20,
            "parts at several engines",
        )
        self.assertFalse(task.done(), received)
        return task, received

    async def test_whole_answer(self):
        call = await trials.ask(self.trial, "e0", self.make_request("whole"))
        self.assertEqual(call.outcome, Outcome.ANSWERED, call)
        await trials.settle(self, self.trial)

    async def test_entry_killed_while_the_group_runs(self):
        """Guards against parts that stay held after their entry is killed.

        The engines' owners must cancel the abandoned parts.
        """
        await trials.extra_entry(self, self.trial, "e8", **_ENTRY)
        await self.wait_until_granted("e8")
        task, _ = await self.begin(
            "e8", self.make_request("killed", tokens=_LONG)
        )
        trials.kill(self.trial, "e8")
        await task
        await trials.settle(self, self.trial)
        self.assertEqual(self.engines_in_use(), 0)

    async def test_caller_goes_away(self):
        """Guards against leaked memory after the caller disconnects."""
        task, _ = await self.begin(
            "e0", self.make_request("gone", tokens=_LONG)
        )
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await trials.until(
            lambda: not self.engines_in_use(), 20, "engine memory released"
        )

    async def test_entry_paused_while_the_group_runs(self):
        """Guards against a false "not run" and leaks after an entry's pause.

        Its parts are cancelled meanwhile, so its calls for them come too late.
        """
        await trials.extra_entry(self, self.trial, "e7", **_ENTRY)
        await self.wait_until_granted("e7")
        task, _ = await self.begin(
            "e7", self.make_request("paused", tokens=_LONG)
        )
        with trials.frozen(self.trial, "e7"):
            await asyncio.sleep(_PAUSE_S)
        call = await asyncio.wait_for(task, 60)
        self.assertNotEqual(call.outcome, Outcome.NOT_RUN)
        await trials.settle(self, self.trial)
        self.assertEqual(self.engines_in_use(), 0)

    async def test_engine_of_a_part_dies(self):
        """Guards against a false "not run" and leaks after an engine's restart.

        The restarted engine has lost its part of the prompt.
        """
        req = self.make_request("part lost", tokens=_LONG)
        task, _ = await self.begin("e0", req)
        self.system.engines["g1"].control(die=0.2)
        self.assertNotEqual((await task).outcome, Outcome.NOT_RUN)
        await trials.settle(self, self.trial)
        self.assertEqual(self.engines_in_use(), 0)
