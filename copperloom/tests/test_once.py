"""Work that is not repeatable runs at most once under its key."""

import asyncio
import unittest

from copperloom.history import Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

_KEY_IN_USE = 2009
_KEY_CONFLICT = 2008


def _dear(key: str, **values) -> Ask:
    """A service call that is billed."""
    return Ask(key, key=key, repeatable=False, service=True, **values)


def _dear_stream(key: str, **values) -> Ask:
    """An engine's work that is billed."""
    return Ask(key, key=key, repeatable=False, **values)


class OnceTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls, entries=2, engines=2, services=1, proxies=("platform",)
        )

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)

    async def check_runs(self, key: str, count: int) -> None:
        await trials.settle(self, self.trial)
        self.assertEqual(trials.runs_of(self.trial, key), count)

    async def test_one_key_at_two_entries_at_once(self):
        """Callers and their retries reach two entries at the same moment.

        Both entries look before either has written: only the condition of
        the insert stands between them and a second admission.
        """
        for i in range(20):
            for entry in ("e0", "e1"):
                trials.begin(self.trial, entry, _dear(f"race{i}"))
        await trials.settle(self, self.trial)
        for i in range(20):
            self.assertEqual(trials.runs_of(self.trial, f"race{i}"), 1)

    async def test_confirmation_lost(self):
        """The record is written, and its writer is not told.

        The entry makes the same insert again, finds its own nonce, and runs
        the work once; a repeat gets the same answer without a run.
        """
        self.system.platform.control(lose_confirmations=1)
        call = await trials.ask(self.trial, "e0", _dear("unconfirmed"))
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        again = await trials.ask(self.trial, "e1", _dear("unconfirmed"))
        self.assertEqual(again.outcome, Outcome.ANSWERED)
        await self.check_runs("unconfirmed", 1)

    async def test_write_lost(self):
        """The record's write vanishes; the entry can't tell, and writes it."""
        self.system.platform.control(drop_writes=1)
        call = await trials.ask(self.trial, "e0", _dear("vanished"))
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await self.check_runs("vanished", 1)

    async def paused_with_record(self, want: Ask):
        """Has e1 write its record and stop there; resumes it at the end."""
        trials.fault(self, self.system, "platform-e1", hold_down=True)
        first, _ = trials.begin(self.trial, "e1", want)
        row = f"idem/{want.organisation}/{want.key}"
        await trials.until(
            lambda: any(
                r["key"] == row for r in self.system.platform.truth()["rows"]
            ),
            5,
            "the record",
        )
        with trials.frozen(self.trial, "e1"):
            trials.heal(self.system)
            second = await trials.ask(self.trial, "e0", want)
            await asyncio.sleep(1.5)
        return await first, second

    async def test_holder_paused(self):
        """An entry is paused between its record and its dispatch.

        Meanwhile the caller tries again elsewhere. No one may take the record
        over, since the paused entry goes on as if no time had passed.
        """
        want = _dear("paused")
        _, second = await self.paused_with_record(want)
        self.assertEqual(second.code, _KEY_IN_USE)
        self.assertEqual(second.outcome, Outcome.MAY_HAVE_RUN)
        await trials.settle(self, self.trial)
        self.assertLessEqual(trials.runs_of(self.trial, want.key), 1)

    async def test_holder_paused_beyond_its_limit(self):
        """As above, and the request's limit passes during the pause.

        When the entry goes on, its caller is past waiting: nothing may be
        sent any more, or the "not run" that it then says would be untrue.
        """
        want = _dear("overslept", limit_s=1.0)
        await self.paused_with_record(want)
        await self.check_runs(want.key, 0)

    async def test_engine_dies_after_dispatch(self):
        """A billed audit runs; its engine dies, and forgets it.

        Neither the entry nor a repeat under the key runs it again.
        """
        want = _dear_stream("audit", tokens=500, limit_s=8)
        task, seen = trials.begin(self.trial, "e0", want)
        await trials.until(lambda: seen.text, 5, "first token")
        engine = self.system.engines[seen.stream.partition("/")[0]]
        engine.control(die=0.2)
        self.assertNotEqual((await task).outcome, Outcome.ANSWERED)
        again = await trials.ask(self.trial, "e1", want)
        self.assertIn(
            again.outcome, (Outcome.MAY_HAVE_RUN, Outcome.RAN_AND_FAILED)
        )
        await self.check_runs("audit", 1)

    async def test_entry_killed_after_dispatch(self):
        """A billed audit runs; the entry that sent it is killed.

        Its record stays. A repeat elsewhere is told that it may have run.
        """
        await trials.extra_entry(self, self.trial, "e7")
        want = _dear_stream("orphan", tokens=500, limit_s=8)
        task, seen = trials.begin(self.trial, "e7", want)
        await trials.until(lambda: seen.text, 5, "first token")
        trials.kill(self.trial, "e7")
        await task
        again = await trials.ask(self.trial, "e0", want)
        self.assertEqual(again.outcome, Outcome.MAY_HAVE_RUN)
        await self.check_runs("orphan", 1)

    async def test_reply_lost(self):
        """A billed call runs and its reply is lost: it is not made again."""
        self.system.services["s0"].control(drop_reply_next=1)
        want = _dear("no-reply", limit_s=4)
        call = await trials.ask(self.trial, "e0", want)
        self.assertEqual(call.outcome, Outcome.MAY_HAVE_RUN)
        again = await trials.ask(self.trial, "e1", want)
        self.assertEqual(again.outcome, Outcome.MAY_HAVE_RUN)
        await self.check_runs("no-reply", 1)

    async def test_refusal_is_no_run(self):
        """Both engines say that they did not run it; a third try runs it."""
        for engine in self.system.engines.values():
            engine.control(refuse_next=1)
            self.addCleanup(engine.control, refuse_next=0)
        want = _dear_stream("refused", limit_s=8)
        call = await trials.ask(self.trial, "e0", want)
        await trials.settle(self, self.trial)
        ran = trials.runs_of(self.trial, "refused")
        self.assertEqual(ran, int(call.outcome is Outcome.ANSWERED))

    async def test_key_of_another_request(self):
        """A key is used again for another body: it is refused, not run."""
        await trials.ask(self.trial, "e0", _dear_stream("twice"))
        other = Ask("other text", key="twice", repeatable=False)
        call = await trials.ask(self.trial, "e1", other)
        self.assertEqual(call.code, _KEY_CONFLICT)
        self.assertEqual(call.outcome, Outcome.NOT_RUN)
        await self.check_runs("twice", 1)


if __name__ == "__main__":
    unittest.main()
