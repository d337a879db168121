"""Guards against repeated runs of work that is not repeatable."""

import asyncio
import unittest

from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

_KEY_IN_USE = 2009
_KEY_CONFLICT = 2008


def _service_call(key: str, **values) -> Ask:
    """Returns a service call that must not run twice."""
    return Ask(key, key=key, repeatable=False, service=True, **values)


def _engine_call(key: str, **values) -> Ask:
    """Returns an engine request that must not run twice."""
    return Ask(key, key=key, repeatable=False, **values)


class OnceTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls, entries=2, engines=2, services=1, proxies=("platform",)
        )

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)

    async def assert_runs(self, key: str, count: int) -> None:
        await trials.settle(self, self.trial)
        self.assertEqual(trials.runs_of(self.trial, key), count)

    async def test_one_key_at_two_entries_at_once(self):
        """Guards against two admissions by entries that race for one key.

        Both read the table before either inserts its record.
        """
        for i in range(20):
            for entry in ("e0", "e1"):
                trials.begin(self.trial, entry, _service_call(f"race{i}"))
        await trials.settle(self, self.trial)
        for i in range(20):
            self.assertEqual(trials.runs_of(self.trial, f"race{i}"), 1)

    async def test_confirmation_lost(self):
        """Guards against a refusal or a second run after a lost confirmation.

        The entry must recognise its own record when it repeats the insert.
        """
        self.system.platform.control(lose_confirmations=1)
        call = await trials.ask(self.trial, "e0", _service_call("unconfirmed"))
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        repeated = await trials.ask(
            self.trial, "e1", _service_call("unconfirmed")
        )
        self.assertEqual(repeated.outcome, Outcome.ANSWERED)
        await self.assert_runs("unconfirmed", 1)

    async def test_record_write_lost(self):
        """Guards against a failed or repeated run after a lost record."""
        self.system.platform.control(drop_writes=1)
        call = await trials.ask(self.trial, "e0", _service_call("vanished"))
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await self.assert_runs("vanished", 1)

    async def freeze_after_record(self, req: Ask):
        """Freezes e1 after it wrote its record, and sends the request to e0.

        Returns:
            The calls at e1, after it resumed, and at e0.
        """
        trials.fault(self, self.system, "platform-e1", hold_down=True)
        first, _ = trials.begin(self.trial, "e1", req)
        row = f"idem/{req.organisation}/{req.key}"
        await trials.until(
            lambda: any(
                r["key"] == row for r in self.system.platform.truth()["rows"]
            ),
            5,
            "record written",
        )
        with trials.frozen(self.trial, "e1"):
            trials.heal(self.system)
            second = await trials.ask(self.trial, "e0", req)
            await asyncio.sleep(1.5)
        return await first, second

    async def test_holder_paused(self):
        """Guards against takeover of a record whose entry is paused.

        The entry may still dispatch the work when it resumes.
        """
        req = _service_call("paused")
        _, second = await self.freeze_after_record(req)
        self.assertEqual(second.code, _KEY_IN_USE)
        self.assertEqual(second.outcome, Outcome.MAY_HAVE_RUN)
        await trials.settle(self, self.trial)
        self.assertLessEqual(trials.runs_of(self.trial, req.key), 1)

    async def test_holder_paused_beyond_its_limit(self):
        """Guards against dispatch after the time limit passed in a pause.

        The entry reports "not run", which a later dispatch would make false.
        """
        req = _service_call("overslept", limit_s=1.0)
        await self.freeze_after_record(req)
        await self.assert_runs(req.key, 0)

    async def test_engine_dies_after_dispatch(self):
        """Guards against a second run after the engine lost the first."""
        req = _engine_call("audit", tokens=500, limit_s=8)
        task, received = trials.begin(self.trial, "e0", req)
        await trials.until(lambda: received.text, 5, "first token")
        engine = self.system.engines[received.stream.partition("/")[0]]
        engine.control(die=0.2)
        self.assertNotEqual((await task).outcome, Outcome.ANSWERED)
        repeated = await trials.ask(self.trial, "e1", req)
        self.assertIn(
            repeated.outcome, (Outcome.MAY_HAVE_RUN, Outcome.RAN_AND_FAILED)
        )
        await self.assert_runs("audit", 1)

    async def test_entry_killed_after_dispatch(self):
        """Guards against a second run after the dispatching entry is killed.

        Its record remains, so that a retry reports that the work may have run.
        """
        await trials.extra_entry(self, self.trial, "e7")
        req = _engine_call("orphan", tokens=500, limit_s=8)
        task, received = trials.begin(self.trial, "e7", req)
        await trials.until(lambda: received.text, 5, "first token")
        trials.kill(self.trial, "e7")
        await task
        repeated = await trials.ask(self.trial, "e0", req)
        self.assertEqual(repeated.outcome, Outcome.MAY_HAVE_RUN)
        await self.assert_runs("orphan", 1)

    async def test_reply_lost(self):
        """Guards against a second run after the reply is lost."""
        self.system.services["s0"].control(drop_reply_next=1)
        req = _service_call("no-reply", limit_s=4)
        call = await trials.ask(self.trial, "e0", req)
        self.assertEqual(call.outcome, Outcome.MAY_HAVE_RUN)
        repeated = await trials.ask(self.trial, "e1", req)
        self.assertEqual(repeated.outcome, Outcome.MAY_HAVE_RUN)
        await self.assert_runs("no-reply", 1)

    async def test_refusal_is_no_run(self):
        """Guards against a false outcome or a second run after refusals."""
        for engine in self.system.engines.values():
            engine.control(refuse_next=1)
            self.addCleanup(engine.control, refuse_next=0)
        req = _engine_call("refused", limit_s=8)
        call = await trials.ask(self.trial, "e0", req)
        await trials.settle(self, self.trial)
        run_count = trials.runs_of(self.trial, "refused")
        self.assertEqual(run_count, int(call.outcome is Outcome.ANSWERED))

    async def test_key_reused_with_another_body(self):
        """Guards against a run under a key that belongs to another body."""
        await trials.ask(self.trial, "e0", _engine_call("twice"))
        conflicting = Ask("other text", key="twice", repeatable=False)
        call = await trials.ask(self.trial, "e1", conflicting)
        self.assertEqual(call.code, _KEY_CONFLICT)
        self.assertEqual(call.outcome, Outcome.NOT_RUN)
        await self.assert_runs("twice", 1)


if __name__ == "__main__":
    unittest.main()
