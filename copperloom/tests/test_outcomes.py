"""Every request has one outcome in time, and an answer is whole and own."""

import asyncio
import unittest

from copperloom.history import Outcome
from copperloom.tests import callers, systems, trials
from copperloom.tests.callers import Ask

_LONG = 5000
_NOT_AUTHORISED = 2004
_RESUMABLE_S = 1.0


class OutcomesTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls,
            entries=2,
            engines=2,
            proxies=("engines",),
            entry={"limits": {"resumable_s": _RESUMABLE_S}},
        )

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)

    async def begin_stream(self, want: Ask, entry: str = "e0"):
        """Begins a stream; returns it, what is seen, and its engine."""
        task, seen = trials.begin(self.trial, entry, want)
        await trials.until(lambda: seen.text or task.done(), 9, "first token")
        self.assertTrue(seen.text, seen.error)
        return task, seen, self.system.engines[seen.stream.partition("/")[0]]

    def fault(self, **changes) -> None:
        trials.fault(self, self.system, *self.system.engines, **changes)

    async def test_entry_killed_mid_stream(self):
        """The caller's connection breaks in the middle of an answer.

        Its entry is killed; the engine goes on. The caller reads on at
        another entry from the token that it had, and has its whole answer.
        """
        await trials.extra_entry(self, self.trial, "e7")
        want = Ask("killed entry", tokens=80, resumable=True)
        task, seen, _ = await self.begin_stream(want, "e7")
        trials.kill(self.trial, "e7")
        self.assertEqual((await task).outcome, Outcome.CUT)
        rest = await trials.resume(self.trial, "e0", want, seen)
        self.assertEqual(rest.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_resumed_stream_is_not_cancelled_by_its_first_entry(self):
        """The caller's connection breaks; it reads on at another entry.

        The first entry keeps the stream for a while, then gives its memory
        back, and would cut the answer off that goes out elsewhere by now.
        """
        want = Ask("moved", tokens=120, resumable=True, limit_s=20)
        task, seen, _ = await self.begin_stream(want)
        task.cancel()
        await task
        rest = await trials.resume(self.trial, "e1", want, seen)
        self.assertEqual(rest.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_resume_has_a_time_limit(self):
        """The rest of an answer comes too slowly; its caller is told."""
        await trials.extra_entry(self, self.trial, "e6")
        want = Ask("slow rest", tokens=_LONG, resumable=True, limit_s=2)
        task, seen, _ = await self.begin_stream(want, "e6")
        trials.kill(self.trial, "e6")
        await task
        rest = await trials.resume(self.trial, "e1", want, seen)
        self.assertEqual(rest.outcome, Outcome.MAY_HAVE_RUN)
        await trials.settle(self, self.trial)

    async def test_stream_of_another_organisation(self):
        """Somebody learnt a stream's name and asks for it.

        He is refused, and the answer goes on to its own caller.
        """
        want = Ask("secret", tokens=60)
        task, seen, _ = await self.begin_stream(want)
        thief = Ask("thief", organisation=systems.ORGANISATIONS[1])
        stolen = callers.Seen(stream=seen.stream)
        call = await trials.resume(self.trial, "e1", thief, stolen)
        self.assertEqual((call.code, call.text), (_NOT_AUTHORISED, ""))
        self.assertEqual((await task).outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_killed_entry_leaves_no_memory(self):
        """The caller is gone for good together with its entry.

        Nobody will cancel the long answer, which would hold the engine's
        memory for minutes; another entry finds that the owner is gone.
        """
        await trials.extra_entry(self, self.trial, "e8")
        want = Ask("orphan", tokens=_LONG)
        task, _, _ = await self.begin_stream(want, "e8")
        trials.kill(self.trial, "e8")
        await task
        await trials.settle(self, self.trial)

    async def test_engine_dies_mid_stream(self):
        """The answer breaks off, and what is left of it is nowhere.

        The engine restarts at once under its address and knows no stream.
        The caller gets an error in time, which does not say "not run".
        """
        want = Ask("dead engine", tokens=_LONG, limit_s=8)
        task, _, engine = await self.begin_stream(want)
        engine.control(die=0.2)
        self.assertIn(
            (await task).outcome,
            (Outcome.MAY_HAVE_RUN, Outcome.RAN_AND_FAILED),
        )
        await trials.settle(self, self.trial)

    async def test_engine_freezes_mid_stream(self):
        """Nothing comes any more, and no connection breaks.

        The caller gets its outcome when its limit passes; the stream is
        cancelled once the engine runs again.
        """
        want = Ask("frozen engine", tokens=_LONG, limit_s=2)
        task, _, engine = await self.begin_stream(want)
        engine.freeze()
        self.addCleanup(engine.resume)
        self.assertEqual((await task).outcome, Outcome.MAY_HAVE_RUN)
        engine.resume()
        await trials.settle(self, self.trial)

    async def test_slow_engines(self):
        """Answers come too slowly to end in time; callers are told in time."""
        for engine in self.system.engines.values():
            engine.control(slow_factor=100)
            self.addCleanup(engine.control, slow_factor=1)
        for i in range(4):
            trials.begin(self.trial, "e0", Ask(f"slow {i}", limit_s=1.5))
        await trials.settle(self, self.trial)

    async def test_reply_lost(self):
        """The engine takes the work and its reply is lost.

        The work may not run again. The entry chose the stream's name before
        it sent it, and so reads the answer by name: one run, whole answer.
        """
        for engine in self.system.engines.values():
            engine.control(drop_reply_next=1)
            self.addCleanup(engine.control, drop_reply_next=0)
        want = Ask("lost reply", repeatable=False)
        call = await trials.ask(self.trial, "e0", want)
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_replies_lost_for_good(self):
        """The engine takes the work, and nothing of it ever comes back.

        The entry can't read the answer by name either. The work may not run
        again: its caller is told that it may have run, and no other engine
        gets it.
        """
        self.fault(cut_down_after=0)
        want = Ask("no way back", repeatable=False, limit_s=12)
        call = await trials.ask(self.trial, "e0", want)
        self.assertEqual(call.outcome, Outcome.MAY_HAVE_RUN)
        trials.heal(self.system)
        await trials.settle(self, self.trial)

    async def test_cut_towards_engines(self):
        """What the entry sends is swallowed on the way; nothing breaks.

        It can't know that, so it must not say "not run" of a stream that it
        sent. Once the way is whole again, new work runs.
        """
        self.fault(drop_up=True)
        call = await trials.ask(self.trial, "e0", Ask("up", limit_s=2))
        self.assertNotEqual(call.outcome, Outcome.ANSWERED)
        trials.heal(self.system)
        call = await trials.ask(self.trial, "e0", Ask("after", limit_s=10))
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_pieces_swallowed(self):
        """Some pieces of an answer vanish on the way, the later ones come.

        An answer with a hole would look complete. The caller gets the whole
        one, or an error, never one with a hole.
        """
        want = Ask("hole", tokens=60, limit_s=8)
        task, seen, _ = await self.begin_stream(want)
        self.fault(drop_down=True)
        await asyncio.sleep(0.3)
        self.fault(drop_down=False)
        await task
        self.assertNotEqual(seen.text, "")
        await trials.settle(self, self.trial)

    async def test_half_open_connections(self):
        """The engine dies, and its connections' ends are never told.

        The entry waits for pieces of a stream that is no more; its callers
        have their outcome in time all the same.
        """
        want = Ask("half open", tokens=_LONG, limit_s=1.5)
        task, _, engine = await self.begin_stream(want)
        self.fault(half_open=True)
        engine.control(die=0.1)
        self.assertIn(
            (await task).outcome,
            (Outcome.MAY_HAVE_RUN, Outcome.RAN_AND_FAILED),
        )
        await trials.settle(self, self.trial)

    async def test_connections_reset_again_and_again(self):
        """Many callers at two entries; all connections break, twice.

        Late pieces of a broken connection and answers of other callers are
        near; each caller gets its own answer, whole.
        """
        for i in range(30):
            want = Ask(f"many {i}", tokens=20 + 3 * i, limit_s=20)
            trials.begin(self.trial, f"e{i % 2}", want)
        for _ in range(2):
            await asyncio.sleep(0.4)
            self.system.proxy.control(reset=True)
        await trials.settle(self, self.trial)
        outcomes = {call.outcome for call in self.trial.history.calls}
        self.assertEqual(outcomes, {Outcome.ANSWERED})

    async def test_one_answer_broken_many_times(self):
        """A long answer's connection breaks again and again, for minutes.

        It makes progress each time; the number of breaks is no reason to
        give it up.
        """
        want = Ask("many breaks", tokens=160, limit_s=20)
        task, seen, _ = await self.begin_stream(want)
        for _ in range(8):
            self.system.proxy.control(reset=True)
            had = seen.text
            await trials.until(
                lambda had=had: seen.text != had or task.done(), 9, "progress"
            )
        self.assertEqual((await task).outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_callers_go_away(self):
        """Callers hang up in the middle, some before the engine was reached.

        Requests and cancels wait together on the way and may overtake each
        other; all memory comes back long before the answers would have ended.
        """
        tasks = []
        for i in range(4):
            want = Ask(f"gone {i}", tokens=_LONG, limit_s=60)
            tasks.append((await self.begin_stream(want))[0])
        self.fault(hold_up=True)
        for i in range(4):
            want = Ask(f"gone early {i}", tokens=_LONG, limit_s=60)
            tasks.append(trials.begin(self.trial, "e1", want)[0])
        await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.3)
        self.fault(hold_up=False)
        await trials.settle(self, self.trial)


if __name__ == "__main__":
    unittest.main()
