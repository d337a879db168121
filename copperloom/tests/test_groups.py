"""Prompts larger than one engine's memory: all parts or none stay."""

import unittest

from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

# With four bytes to a token half as much again as one engine holds.
_PROMPT = "manifest " * 270_000
# Includes the time for which a new owner of an engine grants nothing.
_BEGUN_S = 15.0


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
        """Begins work that needs several engines; waits until it has them."""
        want = Ask(name + _PROMPT, tokens=5, limit_s=40)
        task, _ = trials.begin(self.trial, entry, want)
        await trials.until(
            lambda: len(self.holders()) > 1 or task.done(), _BEGUN_S, "parts"
        )
        self.assertFalse(task.done(), self.trial.history.calls)
        return task

    async def test_answered(self):
        """Parts are filled at several engines and joined at one of them."""
        call = await (await self.begin_group("whole"))
        self.assertEqual((call.outcome, call.code), (Outcome.ANSWERED, 0))
        await trials.settle(self, self.trial)

    async def test_caller_goes_away(self):
        """The caller hangs up while parts are held at several engines."""
        task = await self.begin_group("gone")
        task.cancel()
        await task
        await trials.settle(self, self.trial)

    async def test_engine_dies(self):
        """One engine dies and loses its part; the others' parts go too.

        The caller gets its answer from other engines or an error in time.
        """
        task = await self.begin_group("broken")
        self.system.engines[self.holders()[0]].control(die=0.3)
        await task
        await trials.settle(self, self.trial)

    async def test_entry_killed(self):
        """The entry that holds the parts is killed; nobody asks for them."""
        await trials.extra_entry(self, self.trial, "e7")
        task = await self.begin_group("orphan", "e7")
        trials.kill(self.trial, "e7")
        await task
        await trials.settle(self, self.trial)


if __name__ == "__main__":
    unittest.main()
