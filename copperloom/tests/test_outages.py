"""Guards against refused, hanging or repeated work in platform outages."""

import time
import unittest

from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

_PLATFORM_DOWN = 5001
# Separates an immediate refusal from one at the request's time limit.
_REFUSAL_LIMIT_S = 2.0
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
        """Guards against refused unkeyed work and slow refusals of keyed work.

        The outage outlasts the confirmation interval; keyed work runs after it.
        """
        self.system.platform.control(outage=["table", "objects"])
        started_at = time.monotonic()
        keyed = Ask("dear", key="dear", repeatable=False, service=True)
        while time.monotonic() < started_at + 2.5 * _CONFIRM_S:
            refused = await trials.ask(self.trial, "e0", keyed)
            self.assertEqual(refused.code, _PLATFORM_DOWN)
            self.assertEqual(refused.outcome, Outcome.NOT_RUN)
            self.assertGreater(refused.retry_after_s, 0)
            took_s = refused.returned - refused.invoked
            self.assertLess(took_s, _REFUSAL_LIMIT_S)
            for entry in ("e0", "e1", "e2"):
                plain = await trials.ask(self.trial, entry, Ask("plain"))
                self.assertEqual(plain.outcome, Outcome.ANSWERED)
        self.system.platform.control(outage=[])
        call = await self.until_answered("e1", keyed)
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)
        self.assertEqual(trials.runs_of(self.trial, "dear"), 1)

    async def until_answered(self, entry: str, req: Ask):
        while True:
            call = await trials.ask(self.trial, entry, req)
            if call.outcome is not Outcome.NOT_RUN:
                return call

    async def test_table_that_never_replies(self):
        """Guards against hanging requests when the table never replies.

        Keyed work must not run without a confirmed record.
        """
        self.system.platform.control(black_hole=["table"])
        keyed = Ask("hole", key="hole", repeatable=False, limit_s=2)
        call = await trials.ask(self.trial, "e0", keyed)
        self.assertEqual(call.outcome, Outcome.NOT_RUN)
        plain = await trials.ask(self.trial, "e0", Ask("plain"))
        self.assertEqual(plain.outcome, Outcome.ANSWERED)
        self.system.platform.control(black_hole=[])
        await trials.settle(self, self.trial)

    async def test_entry_that_starts_in_an_outage(self):
        """Guards against a new entry that can't serve during an outage.

        It must adopt the newest configuration of its peers.
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
