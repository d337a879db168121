"""The platform's service is down for long: what is safe goes on."""

import time
import unittest

from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

_PLATFORM_DOWN = 5001
# Far above one failed call, far below the request's limit.
_AT_ONCE_S = 2.0
_CONFIRM_S = 1.0


class OutagesTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls,
            entries=3,
            engines=1,
            entry={"membership": {"confirm_s": _CONFIRM_S}},
        )

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)
        self.addCleanup(self.system.platform.control, outage=[], black_hole=[])

    async def test_long_outage(self):
        """The table is down for longer than any proof of freshness lasts.

        Work without a key needs no record and goes on. Keyed work is refused
        at once with code and Retry-After, and runs once after the outage.
        """
        self.system.platform.control(outage=["table", "objects"])
        begun = time.monotonic()
        dear = Ask("dear", key="dear", repeatable=False, service=True)
        while time.monotonic() < begun + 2.5 * _CONFIRM_S:
            refused = await trials.ask(self.trial, "e0", dear)
            self.assertEqual(refused.code, _PLATFORM_DOWN)
            self.assertEqual(refused.outcome, Outcome.NOT_RUN)
            self.assertGreater(refused.retry_after_s, 0)
            took_s = refused.returned - refused.invoked
            self.assertLess(took_s, _AT_ONCE_S)
            for entry in ("e0", "e1", "e2"):
                plain = await trials.ask(self.trial, entry, Ask("plain"))
                self.assertEqual(plain.outcome, Outcome.ANSWERED)
        self.system.platform.control(outage=[])
        call = await self.until_answered("e1", dear)
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)
        self.assertEqual(trials.runs_of(self.trial, "dear"), 1)

    async def until_answered(self, entry: str, want: Ask):
        while True:
            call = await trials.ask(self.trial, entry, want)
            if call.outcome is not Outcome.NOT_RUN:
                return call

    async def test_no_answer_at_all(self):
        """The table takes calls and never answers them.

        Keyed work can't be known to be recorded: it has its outcome in time,
        and what is said of it is true.
        """
        self.system.platform.control(black_hole=["table"])
        dear = Ask("hole", key="hole", repeatable=False, limit_s=2)
        call = await trials.ask(self.trial, "e0", dear)
        self.assertEqual(call.outcome, Outcome.NOT_RUN)
        plain = await trials.ask(self.trial, "e0", Ask("plain"))
        self.assertEqual(plain.outcome, Outcome.ANSWERED)
        self.system.platform.control(black_hole=[])
        await trials.settle(self, self.trial)

    async def test_entry_that_starts_in_an_outage(self):
        """An entry is replaced while the table is down.

        It takes the newest configuration that its peers have, and serves.
        """
        before = trials.read_configuration(self.trial, "e0")
        self.system.platform.control(outage=["table", "objects"])
        await trials.extra_entry(self, self.trial, "e7")
        read = trials.read_configuration(self.trial, "e7")
        self.assertEqual(read.version, before.version)
        call = await trials.ask(self.trial, "e7", Ask("new"))
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)


if __name__ == "__main__":
    unittest.main()
