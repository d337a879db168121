"""Guards against leaked parts of prompts that span several engines."""

import unittest

from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

# Exceeds the memory of one engine, at four bytes per token.
_PROMPT = "manifest " * 270_000
# Includes the time for which a new owner of an engine grants no memory.
_START_LIMIT_S = 15.0


class GroupsTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls,
            entries=2,
            engines=3,
            services=0,
            engine={"time_scale": 20},
            short_floor=0.3,
        )

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)

    def holders(self) -> list[str]:
        engines = self.system.engines.items()
        return [name for name, engine in engines if trials.in_use(engine)]

    async def begin_group(self, name: str, entry: str = "e0"):
        """Begins a call and waits until several engines hold its parts."""
        req = Ask(name + _PROMPT, tokens=5, limit_s=40)
        task, _ = trials.begin(self.trial, entry, req)
        await trials.until(
            lambda: len(self.holders()) > 1 or task.done(),
            _START_LIMIT_S,
            "parts at several engines",
        )
        self.assertFalse(task.done(), self.trial.history.calls)
        return task

    async def test_group_answers(self):
        """Guards against failure to join the parts at the lead engine."""
        call = await (await self.begin_group("whole"))
        self.assertEqual((call.outcome, call.code), (Outcome.ANSWERED, 0))
        await trials.settle(self, self.trial)

    async def test_caller_goes_away(self):
        """Guards against leaked parts after the caller disconnects."""
        task = await self.begin_group("gone")
        task.cancel()
        await task
        await trials.settle(self, self.trial)

    async def test_engine_dies(self):
        """Guards against leaked parts after one engine of the group dies.

        The caller gets an answer or an error within its time limit.
        """
        task = await self.begin_group("broken")
        self.system.engines[self.holders()[0]].control(die=0.3)
        await task
        await trials.settle(self, self.trial)

    async def test_entry_killed(self):
        """Guards against parts that stay held after their entry is killed."""
        await trials.extra_entry(self, self.trial, "e7")
        task = await self.begin_group("orphan", "e7")
        trials.kill(self.trial, "e7")
        await task
        await trials.settle(self, self.trial)


if __name__ == "__main__":
    unittest.main()
