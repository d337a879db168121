"""Tests that targets which reject requests for a time get none meanwhile."""

import asyncio
import unittest

from copperloom.cli import fronts
from copperloom.ingress import views
from copperloom.ingress.tests import fixtures

# Of each instance, a target gets at most _ALLOWED requests from _GRACE_S after
# an answer with Retry-After until that time has passed.
_ALLOWED = 2
_GRACE_S = 0.5
_INTERVAL_S = 0.02


def _most_in_hold(system, answers) -> int:
    """Returns the most requests of one instance in one target's time."""
    count = len(system.fronts)
    fronts = {a.id: number % count for number, a in enumerate(answers)}
    return max(
        (
            _count_in_hold(target.seen, refused, fronts)
            for target in system.targets.values()
            for refused in target.seen
            if refused.retry_after is not None
        ),
        default=0,
    )


def _count_in_hold(seen, refused, fronts: dict[str, int]) -> int:
    until = refused.at + float(refused.retry_after)
    return sum(
        fronts[r.id] == fronts[refused.id]
        and refused.at + _GRACE_S <= r.at < until
        for r in seen
    )


async def _call_for(system, seconds: float, path: str = "/read/x", **call):
    return await fixtures.call_often(system, path, seconds, _INTERVAL_S, **call)


class BackoffTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, **changes) -> fixtures.System:
        sizes = {"engines": 0, "plain": 3, "fronts": 2}
        system = await fixtures.start_system(self, **sizes | changes)
        for target in system.targets.values():
            # With work in progress the others are not always preferred.
            target.pause_s = 0.5
        return system

    async def test_one_of_three_targets_rejects_requests(self):
        """Guards against requests as soon as the penalty has faded."""
        system = await self._start()
        system.targets["plain-0"].retry_after = "6"
        answers = await _call_for(system, 6.5)
        self.assertLessEqual(_most_in_hold(system, answers), _ALLOWED)
        self.assertEqual({a.status for a in answers}, {200})

    async def test_one_of_three_engines_rejects_requests(self):
        """Guards against streams, which take another path than plain calls."""
        system = await self._start(engines=3, plain=0)
        for target in system.targets.values():
            target.pause_s = 0.5 / target.events
        system.targets["engine-0"].retry_after = "6"
        answers = await _call_for(system, 6.5, "/chat/x", prompt=4000)
        self.assertLessEqual(_most_in_hold(system, answers), _ALLOWED)
        # More than two engines have slots for.
        self.assertLessEqual({a.status for a in answers}, {200, 503})
        served = sum(a.status == 200 for a in answers)
        self.assertGreater(served, len(answers) / 2)

    async def test_all_targets_reject_requests(self):
        """Guards against requests since nothing else is there."""
        await self._check_all_reject("/read/x")

    async def test_all_targets_reject_requests_that_run_once(self):
        """Guards against an exception for requests without a retry."""
        await self._check_all_reject("/write/x")

    async def _check_all_reject(self, path: str) -> None:
        system = await self._start(plain=2)
        for target in system.targets.values():
            target.retry_after = "3"
        answers = await _call_for(system, 3.5, path)
        self.assertLessEqual(_most_in_hold(system, answers), _ALLOWED)

    async def test_caller_is_told_when_the_first_target_is_back(self):
        """Guards against callers that come back in vain, again and again."""
        system = await self._start(plain=2, fronts=1)
        system.targets["plain-0"].retry_after = "4"
        system.targets["plain-1"].retry_after = "9"
        await _call_for(system, 0.5)
        started_at = asyncio.get_running_loop().time()
        answer = await fixtures.call(system, "/read/x")
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.5)
        self.assertEqual(answer.status, 503)
        told_s = float(answer.headers["Retry-After"])
        back_s = system.targets["plain-0"].seen[0].at + 4 - started_at
        self.assertGreaterEqual(told_s, back_s)
        self.assertLess(told_s, back_s + 1)

    async def test_sealed_answers_that_reject(self):
        """Guards against a failed answer where the target gave a clear one."""
        system = await self._start(plain=2)
        for target in system.targets.values():
            target.retry_after = "3"
            target.seals_refusals = True
        answers = await _call_for(system, 3.5)
        self.assertLessEqual(_most_in_hold(system, answers), _ALLOWED)
        self.assertEqual({a.status for a in answers}, {503})

    async def test_sealed_rejection_is_no_completed_run(self):
        """Guards against requests that crash targets and are trusted again."""
        system = await self._start(plain=2, fronts=1)
        for target in system.targets.values():
            target.crashes_on = lambda request: request.body == b"crash"
            target.restart_after_s = None
        await fixtures.call(system, "/write/x", body=b"crash")
        requests = system.fronts[0].entry.crashes.requests
        await fixtures.until(lambda: any(e.crashes for e in requests.values()))
        for target in system.targets.values():
            target.retry_after = "0.1"
            target.seals_refusals = True
        answer = await fixtures.call(system, "/write/x", body=b"crash")
        self.assertEqual(answer.status, 503)
        self.assertEqual([len(e.crashes) for e in requests.values()], [1])

    async def test_short_time_is_waited_for(self):
        """Guards against refusals of requests that have time to wait."""
        system = await self._start(plain=1, fronts=1)
        target = system.targets["plain-0"]
        target.retry_after = "0.2"
        await fixtures.call(system, "/read/x")
        target.retry_after = None
        before = len(target.seen)
        answer = await fixtures.call(system, "/read/x")
        self.assertEqual(answer.status, 200)
        waited_s = target.seen[before].at - target.seen[before - 1].at
        self.assertGreaterEqual(waited_s, 0.2)

    async def test_target_is_whole_again_after_its_time(self):
        """Guards against a penalty that outlasts the time asked for."""
        system = await self._start(plain=2)
        for name, target in system.targets.items():
            target.retry_after = "1" if name == "plain-0" else None
        await _call_for(system, 0.5)
        system.targets["plain-0"].retry_after = None
        for service in system.fronts:
            self.assertNotIn("plain-0", service.entry.health)
        await asyncio.sleep(1.0)
        before = len(system.targets["plain-0"].seen)
        await _call_for(system, 0.5)
        self.assertGreater(len(system.targets["plain-0"].seen) - before, 5)

    async def test_status_shows_the_time(self):
        system = await self._start(plain=1, fronts=1)
        system.targets["plain-0"].retry_after = "60"
        await fixtures.call(system, "/read/x")
        now = asyncio.get_running_loop().time()
        status = views.status(system.fronts[0].entry, now)
        self.assertGreater(status["held"]["plain-0@1"], 59)
        self.assertIn("plain-0@1 gets no requests", fronts.status(status))

    async def test_new_start_ends_the_time(self):
        """Guards against a hold that the new start has not asked for."""
        system = await self._start(plain=1)
        target = system.targets["plain-0"]
        target.retry_after = "60"
        await _call_for(system, 0.3)
        await fixtures.restart_target(system, "plain-0")
        target.pause_s = 0.01
        answers = await _call_for(system, 0.5)
        self.assertEqual({a.status for a in answers}, {200})

    async def test_malformed_times_do_not_take_a_target_out(self):
        """Guards against a target that is lost by a malformed header."""
        system = await self._start(plain=1, fronts=1)
        target = system.targets["plain-0"]
        target.pause_s = 0.01
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in ("", "-1", "nan", "inf", "9" * 30, date):
            target.retry_after = text
            await _call_for(system, 0.2)
        target.retry_after = None
        answers = await _call_for(system, 0.5)
        self.assertEqual({a.status for a in answers}, {200})
