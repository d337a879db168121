"""Tests what callers receive, and how often requests run, if targets fail."""

import asyncio
import unittest

from copperloom.decisions import timeouts
from copperloom.ingress import relay
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

# Faults after which it is unknown whether the request ran.
_MAY_HAVE_RUN = (
    Fault.UNSEALED,
    Fault.OTHERS_ANSWER,
    Fault.OTHERS_REFUSAL,
    Fault.ENCODED,
    Fault.TRUNCATE,
    Fault.RESET_UNFRAMED,
    Fault.NOT_HTTP,
    Fault.RESET,
)
_NOT_RUN = (Fault.REFUSE, Fault.MISDIRECTED)


def _runs(system, answer) -> int:
    return sum(t.runs.count(answer.id) for t in system.targets.values())


class NonIdempotentTest(unittest.IsolatedAsyncioTestCase):
    async def test_non_idempotent_request_runs_at_most_once(self):
        """A request that may have run must not be sent again.

        A 503 would let its caller repeat it, so the status must be 502.
        """
        system = await fixtures.start_system(self, engines=1)
        for fault in _MAY_HAVE_RUN:
            with self.subTest(fault):
                for target in system.targets.values():
                    target.always = fault
                answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 502)
                self.assertEqual(_runs(system, answer), 1)

    async def test_refusal_by_target_becomes_503(self):
        """A caller must learn that its refused request can be repeated."""
        system = await fixtures.start_system(self, engines=1)
        for fault in _NOT_RUN:
            with self.subTest(fault):
                for target in system.targets.values():
                    target.always = fault
                answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["Retry-After"]), 0)
                self.assertEqual(_runs(system, answer), 0)

    async def test_silent_target_yields_504_at_the_time_limit(self):
        """A silent target must neither hold its caller nor keep running."""
        system = await fixtures.start_system(self, engines=1, plain=1)
        target = system.targets["plain-0"]
        target.always = Fault.MUTE
        answer = await fixtures.call(system, "/write/x", wait_ms=300)
        self.assertEqual(answer.status, 504)
        await fixtures.until(lambda: target.left == 1)

    async def test_request_is_sent_elsewhere_after_failed_connection(self):
        """A failed connection must not count as a possible run."""
        system = await fixtures.start_system(self, engines=1)
        await system.targets["plain-0"].close()
        answers = [await fixtures.call(system, "/write/x") for _ in range(4)]
        self.assertEqual({a.status for a in answers}, {200})


class FailingTargetTest(unittest.IsolatedAsyncioTestCase):
    async def test_target_whose_answers_are_server_errors(self):
        """Guards against a failing target that looks idle, and gets the work.

        Its check is good, and requests that run once get what it answers.
        """
        system = await fixtures.start_system(self, engines=0, plain=4)
        for target in system.targets.values():
            target.pause_s = 0.05
        bad = system.targets["plain-0"]
        bad.always = Fault.FAIL
        answers = await fixtures.call_often(system, "/write/x", 3.0, 0.05)
        even_share = len(answers) / len(system.targets)
        self.assertLess(len(bad.seen), even_share / 2)
        self.assertEqual({a.status for a in answers} - {500}, {200})


class RetryTest(unittest.IsolatedAsyncioTestCase):
    async def test_idempotent_request_is_sent_at_most_twice(self):
        system = await fixtures.start_system(self, engines=1)
        for fault in (*_MAY_HAVE_RUN, *_NOT_RUN, Fault.FAIL):
            with self.subTest(fault):
                for target in system.targets.values():
                    target.faults.clear()
                system.fronts[0].entry.health.clear()
                system.targets["plain-0"].faults.append(fault)
                system.targets["plain-1"].faults.append(fault)
                answer = await fixtures.call(system, "/read/x", method="GET")
                # Both attempts fail, and the route allows no third target.
                self.assertIn(answer.status, (500, 502, 503))
                self.assertLessEqual(_runs(system, answer), 2)
                later = await fixtures.call(system, "/read/x", method="GET")
                self.assertEqual(later.status, 200)

    async def test_failing_target_is_hidden_from_callers(self):
        system = await fixtures.start_system(self, engines=1)
        system.targets["plain-0"].always = Fault.RESET
        answers = [
            await fixtures.call(system, "/read/x", method="GET")
            for _ in range(6)
        ]
        self.assertEqual({a.status for a in answers}, {200})

    async def test_silent_target_is_abandoned_within_the_time_limit(self):
        """A silent target must not use up the time that a retry needs."""
        system = await fixtures.start_system(self, engines=1)
        system.targets["plain-0"].always = Fault.MUTE
        answers = [
            await fixtures.call(system, "/read/x", method="GET", wait_ms=800)
            for _ in range(3)
        ]
        self.assertEqual({a.status for a in answers}, {200})


class StreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_broken_stream_is_resumed_at_another_engine(self):
        """A crash of an engine must not lose, repeat or truncate an event."""
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
                # The second engine must not fail.
                answer = await self._call_until_one_fails(system)
                expected = "".join(
                    f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6)
                )
                self.assertEqual(answer.body.decode(), expected)
                self.assertTrue(answer.complete)

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

    async def test_broken_stream_that_may_not_resume_is_aborted(self):
        """A truncated answer must not appear complete to its caller."""
        system = await fixtures.start_system(self)
        for target in system.targets.values():
            target.always = Fault.BREAK
        answer = await fixtures.call(system, "/once/x", prompt=5000)
        self.assertFalse(answer.complete)
        self.assertEqual(_runs(system, answer), 1)

    async def test_stalled_stream_is_resumed_at_another_engine(self):
        """A frozen engine keeps its connection open and reports no error."""
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
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body.count(b"id: "), 5)

    async def test_stalled_stream_is_kept_if_no_retry_is_allowed(self):
        """A stalled answer may still continue if no retry can replace it."""
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
        self.assertTrue(answer.complete or answer.status == 200)
        self.assertEqual(len(engines[0].seen) + len(engines[1].seen), 2)
        self.assertGreaterEqual(answer.body.count(b"id: "), 2)

    def test_stall_timeout_is_shorter_than_callers_wait(self):
        self.assertLess(
            relay.STALL_SHARE * timeouts.ABANDON_S, timeouts.ABANDON_S
        )


class DisconnectTest(unittest.IsolatedAsyncioTestCase):
    async def test_target_stops_when_the_caller_disconnects(self):
        """Targets must not go on with work that nobody receives."""
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
        """Retries must not double the load on targets that are all full."""
        system = await fixtures.start_system(self, engines=1)
        for target in system.targets.values():
            target.always = Fault.REFUSE
        answers = await asyncio.gather(
            *(fixtures.call(system, "/read/x", method="GET") for _ in range(60))
        )
        arrivals = sum(len(t.seen) for t in system.targets.values())
        self.assertEqual({a.status for a in answers}, {503})
        self.assertLessEqual(arrivals, 60 + 0.2 * 60 + 0.7 * 20)
