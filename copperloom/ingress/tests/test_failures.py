"""What callers get when targets fail, and how often their requests run."""

import asyncio
import unittest

from copperloom.decisions import timeouts
from copperloom.ingress import relay
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

# Faults after which nobody knows whether the request ran.
_MAY_HAVE_RUN = (
    Fault.UNSEALED,
    Fault.OTHERS_ANSWER,
    Fault.ENCODED,
    Fault.TRUNCATE,
    Fault.RESET_UNFRAMED,
    Fault.NOT_HTTP,
    Fault.RESET,
)
_NOT_RUN = (Fault.REFUSE, Fault.MISDIRECTED)


def _runs(system, answer) -> int:
    return sum(t.runs.count(answer.id) for t in system.targets.values())


class OnceTest(unittest.IsolatedAsyncioTestCase):
    async def test_at_most_one_run_whatever_fails(self):
        """A door must not open twice.

        The target runs the request and its answer is lost, cut, another
        request's or no answer at all. The caller is told that it may have run
        (502), it is sent nowhere else, and no 503 invites it to come back.
        """
        system = await fixtures.start_system(self, engines=1)
        for fault in _MAY_HAVE_RUN:
            with self.subTest(fault):
                for target in system.targets.values():
                    target.always = fault
                answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 502)
                self.assertEqual(_runs(system, answer), 1)

    async def test_refusal_is_passed_on_as_not_run(self):
        """A full target says that it did not run the request.

        The route allows one target, so the caller gets 503 with a time to come
        back at once: the request has not run and never will.
        """
        system = await fixtures.start_system(self, engines=1)
        for fault in _NOT_RUN:
            with self.subTest(fault):
                for target in system.targets.values():
                    target.always = fault
                answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["Retry-After"]), 0)
                self.assertEqual(_runs(system, answer), 0)

    async def test_silent_target_ends_at_the_time_limit(self):
        """A target takes the request and never answers.

        At the time limit the caller gets 504, which promises nothing; the
        connection is closed, so that the target stops.
        """
        system = await fixtures.start_system(self, engines=1, plain=1)
        target = system.targets["plain-0"]
        target.always = Fault.MUTE
        answer = await fixtures.call(system, "/write/x", wait_ms=300)
        self.assertEqual(answer.status, 504)
        await fixtures.until(lambda: target.left == 1)

    async def test_unreachable_target_costs_no_run(self):
        """The first target has crashed and its port is closed.

        No connection is made, so nothing was sent: even a request that may run
        once goes on to the other target.
        """
        system = await fixtures.start_system(self, engines=1)
        await system.targets["plain-0"].close()
        answers = [await fixtures.call(system, "/write/x") for _ in range(4)]
        self.assertEqual({a.status for a in answers}, {200})


class RepeatTest(unittest.IsolatedAsyncioTestCase):
    async def test_idempotent_request_is_sent_once_more(self):
        """One target fails in any way; the caller gets the other's answer."""
        system = await fixtures.start_system(self, engines=1)
        for fault in (*_MAY_HAVE_RUN, *_NOT_RUN, Fault.FAIL):
            with self.subTest(fault):
                for target in system.targets.values():
                    target.faults.clear()
                system.fronts[0].entry.health.clear()
                system.targets["plain-0"].faults.append(fault)
                system.targets["plain-1"].faults.append(fault)
                answer = await fixtures.call(system, "/read/x", method="GET")
                # Both are spoiled once: the first answer fails, and so does
                # the second; a third target is not allowed.
                self.assertIn(answer.status, (500, 502, 503))
                self.assertLessEqual(_runs(system, answer), 2)
                again = await fixtures.call(system, "/read/x", method="GET")
                self.assertEqual(again.status, 200)

    async def test_one_bad_target_is_hidden(self):
        system = await fixtures.start_system(self, engines=1)
        system.targets["plain-0"].always = Fault.RESET
        answers = [
            await fixtures.call(system, "/read/x", method="GET")
            for _ in range(6)
        ]
        self.assertEqual({a.status for a in answers}, {200})

    async def test_silent_target_is_given_up_in_time(self):
        """A target takes a status question and never answers.

        The question may run twice, so it goes to the other target while half
        of its time is left, and its caller gets that one's answer.
        """
        system = await fixtures.start_system(self, engines=1)
        system.targets["plain-0"].always = Fault.MUTE
        answers = [
            await fixtures.call(system, "/read/x", method="GET", wait_ms=800)
            for _ in range(3)
        ]
        self.assertEqual({a.status for a in answers}, {200})


class StreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_broken_stream_goes_on_elsewhere(self):
        """An engine crashes after two events, or within the third.

        The other engine goes on after the last whole event; the caller sees
        each event once, in order, and no half event.
        """
        system = await fixtures.start_system(self)
        for fault in (Fault.BREAK, Fault.HALF_EVENT):
            with self.subTest(fault):
                system.fronts[0].entry.health.clear()
                for target in system.targets.values():
                    target.faults.clear()
                    target.seen.clear()
                for target in system.targets.values():
                    target.faults.append(fault)
                    target.break_after = 2
                # The second engine must not fail as well.
                answer = await self._call_until_one_fails(system)
                wanted = "".join(
                    f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6)
                )
                self.assertEqual(answer.body.decode(), wanted)
                self.assertTrue(answer.whole)

    async def _call_until_one_fails(self, system):
        task = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=5000)
        )
        await fixtures.until(
            lambda: any(t.seen for t in system.targets.values())
        )
        for target in system.targets.values():
            target.faults.clear()
        return await task

    async def test_stream_that_may_not_resume_is_cut(self):
        """An engine crashes in a stream that may run once.

        The caller's connection ends without the last chunk, so that no client
        takes the half answer for a whole one.
        """
        system = await fixtures.start_system(self)
        for target in system.targets.values():
            target.always = Fault.BREAK
        answer = await fixtures.call(system, "/once/x", prompt=5000)
        self.assertFalse(answer.whole)
        self.assertEqual(_runs(system, answer), 1)

    async def test_stream_that_stands_still_is_taken_up(self):
        """An engine freezes in mid-stream; its connection stays open.

        Before the caller would leave, the stream goes on at the other one.
        """
        system = await fixtures.start_system(self)
        task = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=5000)
        )
        await fixtures.until(
            lambda: any(t.running for t in system.targets.values())
        )
        frozen = next(t for t in system.targets.values() if t.running)
        frozen.pause_s = 60.0
        answer = await task
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body.count(b"id: "), 5)

    async def test_silence_alone_ends_no_stream(self):
        """Both engines stand still, one after the other.

        The route allows two targets; the second one is waited for until it
        goes on, since nobody else may be asked.
        """
        system = await fixtures.start_system(self)
        engines = [t for n, t in system.targets.items() if "engine" in n]
        for target in engines:
            target.pause_s = 0.02
        task = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=5000, wait_ms=9000)
        )
        await fixtures.until(lambda: any(t.running for t in engines))
        for target in engines:
            target.pause_s = 2.0
        await fixtures.until(lambda: all(t.seen for t in engines))
        answer = await task
        self.assertTrue(answer.whole or answer.status == 200)
        self.assertEqual(len(engines[0].seen) + len(engines[1].seen), 2)
        self.assertGreaterEqual(answer.body.count(b"id: "), 2)

    def test_patience_ends_before_callers_leave(self):
        self.assertLess(
            relay.STALL_SHARE * timeouts.ABANDON_S, timeouts.ABANDON_S
        )


class LeaveTest(unittest.IsolatedAsyncioTestCase):
    async def test_target_stops_when_the_caller_leaves(self):
        """A caller gives up before the answer, or in the middle of a stream.

        Half a second later no target works for it any more.
        """
        system = await fixtures.start_system(self)
        for path, prompt in (("/read/x", 0), ("/chat/x", 5000)):
            with self.subTest(path):
                for target in system.targets.values():
                    target.pause_s = 5.0
                task = asyncio.ensure_future(
                    fixtures.call(system, path, prompt=prompt)
                )
                await fixtures.until(
                    lambda: any(t.running for t in system.targets.values())
                )
                task.cancel()
                await fixtures.until(
                    lambda: not any(t.running for t in system.targets.values()),
                    limit_s=0.5,
                )
                entry = system.fronts[0].entry
                self.assertEqual(entry.inflight.own, {})
                self.assertEqual(entry.active, 0)


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    async def test_repeats_stop_when_the_budget_is_spent(self):
        """All targets refuse all requests; callers keep asking.

        Each instance sends its share of repeats and then none, so that the
        load on the targets does not double just when they have no room.
        """
        system = await fixtures.start_system(self, engines=1)
        for target in system.targets.values():
            target.always = Fault.REFUSE
        answers = await asyncio.gather(
            *(fixtures.call(system, "/read/x", method="GET") for _ in range(60))
        )
        arrivals = sum(len(t.seen) for t in system.targets.values())
        self.assertEqual({a.status for a in answers}, {503})
        self.assertLessEqual(arrivals, 60 + 0.2 * 60 + 0.7 * 20)
