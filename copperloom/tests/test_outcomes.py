"""Guards against late, false or missing outcomes and against wrong answers."""

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

    async def begin_stream(self, req: Ask, entry: str = "e0"):
        """Begins a stream; returns its task, its answer and its engine."""
        task, received = trials.begin(self.trial, entry, req)
        await trials.until(
            lambda: received.text or task.done(), 9, "first token"
        )
        self.assertTrue(received.text, received.error)
        return (
            task,
            received,
            self.system.engines[received.stream.partition("/")[0]],
        )

    def fault(self, **changes) -> None:
        trials.fault(self, self.system, *self.system.engines, **changes)

    async def test_entry_killed_mid_stream(self):
        """Guards against a lost answer when its entry is killed.

        The caller resumes at another entry, from the last token received.
        """
        await trials.extra_entry(self, self.trial, "e7")
        req = Ask("killed entry", tokens=80, resumable=True)
        task, received, _ = await self.begin_stream(req, "e7")
        trials.kill(self.trial, "e7")
        self.assertEqual((await task).outcome, Outcome.CUT)
        rest = await trials.resume(self.trial, "e0", req, received)
        self.assertEqual(rest.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_resumed_stream_is_not_cancelled_by_its_first_entry(self):
        """Guards against cancellation of a stream resumed at another entry.

        The first entry cancels a stream that is not resumed in time.
        """
        req = Ask("moved", tokens=120, resumable=True, limit_s=20)
        task, received, _ = await self.begin_stream(req)
        task.cancel()
        await task
        rest = await trials.resume(self.trial, "e1", req, received)
        self.assertEqual(rest.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_resume_has_a_time_limit(self):
        """Guards against a resumed answer without a time limit."""
        await trials.extra_entry(self, self.trial, "e6")
        req = Ask("slow rest", tokens=_LONG, resumable=True, limit_s=2)
        task, received, _ = await self.begin_stream(req, "e6")
        trials.kill(self.trial, "e6")
        await task
        rest = await trials.resume(self.trial, "e1", req, received)
        self.assertEqual(rest.outcome, Outcome.MAY_HAVE_RUN)
        await trials.settle(self, self.trial)

    async def test_stream_of_another_organisation(self):
        """Guards against access to the stream of another organisation."""
        req = Ask("secret", tokens=60)
        task, received, _ = await self.begin_stream(req)
        intruder_req = Ask("thief", organisation=systems.ORGANISATIONS[1])
        intruder_answer = callers.ReceivedAnswer(stream=received.stream)
        call = await trials.resume(
            self.trial, "e1", intruder_req, intruder_answer
        )
        self.assertEqual((call.code, call.text), (_NOT_AUTHORISED, ""))
        self.assertEqual((await task).outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_killed_entry_leaves_no_memory(self):
        """Guards against engine memory held for a caller of a killed entry.

        Another entry must detect the lost owner and cancel the stream.
        """
        await trials.extra_entry(self, self.trial, "e8")
        req = Ask("orphan", tokens=_LONG)
        task, _, _ = await self.begin_stream(req, "e8")
        trials.kill(self.trial, "e8")
        await task
        await trials.settle(self, self.trial)

    async def test_engine_dies_mid_stream(self):
        """Guards against a late or "not run" outcome after an engine restart.

        The restarted engine has the same address but no streams.
        """
        req = Ask("dead engine", tokens=_LONG, limit_s=8)
        task, _, engine = await self.begin_stream(req)
        engine.control(die=0.2)
        self.assertIn(
            (await task).outcome,
            (Outcome.MAY_HAVE_RUN, Outcome.RAN_AND_FAILED),
        )
        await trials.settle(self, self.trial)

    async def test_engine_freezes_mid_stream(self):
        """Guards against a missed time limit when an engine freezes.

        The stream must be cancelled once the engine resumes.
        """
        req = Ask("frozen engine", tokens=_LONG, limit_s=2)
        task, _, engine = await self.begin_stream(req)
        engine.freeze()
        self.addCleanup(engine.resume)
        self.assertEqual((await task).outcome, Outcome.MAY_HAVE_RUN)
        engine.resume()
        await trials.settle(self, self.trial)

    async def test_slow_engines(self):
        """Guards against missed time limits when the engines are slow."""
        for engine in self.system.engines.values():
            engine.control(slow_factor=100)
            self.addCleanup(engine.control, slow_factor=1)
        for i in range(4):
            trials.begin(self.trial, "e0", Ask(f"slow {i}", limit_s=1.5))
        await trials.settle(self, self.trial)

    async def test_reply_lost(self):
        """Guards against a second run or a lost answer when a reply is lost.

        The entry chose the stream's name and can fetch the answer by it.
        """
        for engine in self.system.engines.values():
            engine.control(drop_reply_next=1)
            self.addCleanup(engine.control, drop_reply_next=0)
        req = Ask("lost reply", repeatable=False)
        call = await trials.ask(self.trial, "e0", req)
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_replies_lost_for_good(self):
        """Guards against a second run when no reply reaches the entry.

        The caller must learn that the work may have run.
        """
        self.fault(cut_down_after=0)
        req = Ask("no way back", repeatable=False, limit_s=12)
        call = await trials.ask(self.trial, "e0", req)
        self.assertEqual(call.outcome, Outcome.MAY_HAVE_RUN)
        trials.heal(self.system)
        await trials.settle(self, self.trial)

    async def test_cut_towards_engines(self):
        """Guards against a false "not run" when sent requests are lost.

        The connections stay open; new work must run once the link recovers.
        """
        self.fault(drop_up=True)
        call = await trials.ask(self.trial, "e0", Ask("up", limit_s=2))
        self.assertNotEqual(call.outcome, Outcome.ANSWERED)
        trials.heal(self.system)
        call = await trials.ask(self.trial, "e0", Ask("after", limit_s=10))
        self.assertEqual(call.outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_pieces_swallowed(self):
        """Guards against an answer with a gap after some bytes are lost."""
        req = Ask("hole", tokens=60, limit_s=8)
        task, received, _ = await self.begin_stream(req)
        self.fault(drop_down=True)
        await asyncio.sleep(0.3)
        self.fault(drop_down=False)
        await task
        self.assertNotEqual(received.text, "")
        await trials.settle(self, self.trial)

    async def test_half_open_connections(self):
        """Guards against a missed time limit on half-open connections.

        The engine dies, but the entry's connections to it stay open.
        """
        req = Ask("half open", tokens=_LONG, limit_s=1.5)
        task, _, engine = await self.begin_stream(req)
        self.fault(half_open=True)
        engine.control(die=0.1)
        self.assertIn(
            (await task).outcome,
            (Outcome.MAY_HAVE_RUN, Outcome.RAN_AND_FAILED),
        )
        await trials.settle(self, self.trial)

    async def test_connections_reset_again_and_again(self):
        """Guards against mixed-up or cut answers after connection resets.

        Many callers at two entries stream while all connections break twice.
        """
        for i in range(30):
            req = Ask(f"many {i}", tokens=20 + 3 * i, limit_s=20)
            trials.begin(self.trial, f"e{i % 2}", req)
        for _ in range(2):
            await asyncio.sleep(0.4)
            self.system.proxy.control(reset=True)
        await trials.settle(self, self.trial)
        outcomes = {call.outcome for call in self.trial.history.calls}
        self.assertEqual(outcomes, {Outcome.ANSWERED})

    async def test_one_answer_broken_many_times(self):
        """Guards against failing a stream after a fixed number of reconnects.

        The stream makes progress between the breaks.
        """
        req = Ask("many breaks", tokens=160, limit_s=20)
        task, received, _ = await self.begin_stream(req)
        for _ in range(8):
            self.system.proxy.control(reset=True)
            previous = received.text
            await trials.until(
                lambda previous=previous: (
                    received.text != previous or task.done()
                ),
                9,
                "progress",
            )
        self.assertEqual((await task).outcome, Outcome.ANSWERED)
        await trials.settle(self, self.trial)

    async def test_callers_go_away(self):
        """Guards against leaked memory after callers disconnect.

        Requests and cancellations are delayed and may overtake each other.
        """
        tasks = []
        for i in range(4):
            req = Ask(f"gone {i}", tokens=_LONG, limit_s=60)
            tasks.append((await self.begin_stream(req))[0])
        self.fault(hold_up=True)
        for i in range(4):
            req = Ask(f"gone early {i}", tokens=_LONG, limit_s=60)
            tasks.append(trials.begin(self.trial, "e1", req)[0])
        await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.3)
        self.fault(hold_up=False)
        await trials.settle(self, self.trial)


if __name__ == "__main__":
    unittest.main()
