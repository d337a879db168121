"""Tests that all instances together keep the limits that targets name."""

import asyncio
import unittest

from copperloom.cli import fronts
from copperloom.decisions import members, target_limits
from copperloom.ingress import limit_grants, views
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

_STABILITY_WINDOW_S = 3.0
_WINDOW_S = 4.0
_INTERVAL_S = 0.02
_LIMIT_PER_S = 1.1


def _allowed(limit_per_s: float) -> float:
    """Returns the requests that a target may get in any window."""
    return 1.5 * limit_per_s * _WINDOW_S + 5


def _most_in_window(target, after: float) -> int:
    """Returns the most requests that a target got in any window."""
    times = [r.at for r in target.seen if r.at >= after]
    return max(
        (sum(t <= x < t + _WINDOW_S for x in times) for t in times), default=0
    )


async def _call_for(
    system, seconds: float, path: str, **call
) -> list[fixtures.Answer]:
    return await fixtures.call_often(system, path, seconds, _INTERVAL_S, **call)


class LimitTest(unittest.IsolatedAsyncioTestCase):
    async def _call_past_window(self, system, path: str, **call):
        """Sends requests until a window after the limits count has passed."""
        now = asyncio.get_running_loop().time()
        seconds = _STABILITY_WINDOW_S + _WINDOW_S + 1.0
        answers = await _call_for(system, seconds, path, **call)
        return now + _STABILITY_WINDOW_S, answers

    async def test_one_limited_target_of_three(self):
        """Guards against instances that keep a limit each by itself."""
        system = await fixtures.start_system(self, engines=0, plain=3, fronts=4)
        limited = system.targets["plain-0"]
        limited.limit = str(_LIMIT_PER_S)
        after, answers = await self._call_past_window(system, "/write/x")
        most = _most_in_window(limited, after)
        self.assertLessEqual(most, _allowed(_LIMIT_PER_S))
        self.assertEqual({a.status for a in answers}, {200})

    async def test_limited_engine(self):
        """Guards against streams, which take another path than plain calls."""
        system = await fixtures.start_system(self, engines=3, plain=0, fronts=3)
        limited = system.targets["engine-0"]
        limited.limit = str(_LIMIT_PER_S)
        after, answers = await self._call_past_window(
            system, "/chat/x", prompt=4000
        )
        most = _most_in_window(limited, after)
        self.assertLessEqual(most, _allowed(_LIMIT_PER_S))
        self.assertEqual({a.status for a in answers}, {200})

    async def test_all_targets_limited(self):
        """Guards against requests that are held, or sent nevertheless."""
        system = await fixtures.start_system(self, engines=0, plain=3, fronts=4)
        for target in system.targets.values():
            target.limit = str(_LIMIT_PER_S)
        after, answers = await self._call_past_window(system, "/write/x")
        for target in system.targets.values():
            most = _most_in_window(target, after)
            self.assertLessEqual(most, _allowed(_LIMIT_PER_S))
            self.assertGreater(most, 1)
        refused = [a for a in answers if a.status == 503]
        self.assertGreater(len(refused), len(answers) / 2)
        for answer in refused:
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
        self.assertEqual({a.status for a in answers}, {200, 503})

    async def test_limits_are_lifted_and_service_is_whole_again(self):
        """Guards against a limit that outlives the target's need."""
        system = await fixtures.start_system(self, engines=0, plain=3, fronts=4)
        for target in system.targets.values():
            target.limit = str(_LIMIT_PER_S)
        await _call_for(system, 3.0, "/write/x")
        for target in system.targets.values():
            target.limit = None
        await _call_for(system, 2.5, "/write/x")
        answers = await _call_for(system, 1.0, "/write/x")
        self.assertEqual({a.status for a in answers}, {200})

    async def test_limit_ends_with_the_target(self):
        """Guards against a limit that a new start has not named."""
        system = await fixtures.start_system(self, engines=0, plain=1, fronts=2)
        target = system.targets["plain-0"]
        target.limit = "0"
        await _call_for(system, 0.5, "/write/x")
        target.limit = None
        await fixtures.restart_target(system, "plain-0")
        answers = await _call_for(system, 0.5, "/write/x")
        self.assertEqual({a.status for a in answers}, {200})

    async def test_malformed_limits_neither_fail_requests_nor_lift_a_limit(
        self,
    ):
        """Guards against a target that opens the gate by a bad value."""
        system = await fixtures.start_system(self, engines=0, plain=2, fronts=2)
        limited = system.targets["plain-0"]
        limited.limit = str(_LIMIT_PER_S)
        await _call_for(system, 1.0, "/write/x")
        for text in ("", "-1", "nan", "inf", "x", "1e9"):
            limited.limit = text
            answers = await _call_for(system, 1.2, "/write/x")
            self.assertEqual({a.status for a in answers}, {200})
            for service in system.fronts:
                known = target_limits.find(service.entry.limits, "plain-0@1")
                self.assertEqual(known, _LIMIT_PER_S)

    async def test_limit_in_the_answer_to_another_request(self):
        """Guards against a target that is lost by another one's answer."""
        system = await fixtures.start_system(self, engines=0, plain=1, fronts=1)
        target = system.targets["plain-0"]
        target.limit = "0"
        for fault in (Fault.OTHERS_ANSWER, Fault.ENCODED, Fault.MISDIRECTED):
            target.faults.append(fault)
            await fixtures.call(system, "/write/x")
        target.limit = None
        self.assertEqual(system.fronts[0].entry.limits.limits, {})
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 200)

    async def test_owner_that_dies_is_replaced(self):
        """Guards against a limited target that nobody may use any more."""
        system = await fixtures.start_system(self, engines=0, plain=1, fronts=3)
        target = system.targets["plain-0"]
        target.limit = "5"
        await _call_for(system, 1.0, "/write/x")
        state = system.fronts[0].entry
        entry = state.targets.entries["plain-0"]
        now = asyncio.get_running_loop().time()
        owner = limit_grants.owner_of(state, entry, now)
        index = next(
            i
            for i, f in enumerate(system.fronts)
            if f.entry.settings.instance == owner
        )
        lost = system.fronts.pop(index)
        self.addAsyncCleanup(lost.stop)
        lost.gossip.datagram_received = lambda data, addr: None
        lost.entry.send = lost.gossip.send = lambda data, address: None
        await _call_for(system, members.MEMBER_TIMEOUT_S + 1.0, "/write/x")
        after = asyncio.get_running_loop().time()
        await _call_for(system, 2.0, "/write/x")
        served = [r for r in target.seen if r.at > after]
        self.assertGreater(len(served), 4)

    async def test_instance_that_joins_keeps_the_limit(self):
        """Guards against sends of an instance that was not told yet."""
        system = await fixtures.start_system(self, engines=0, plain=2, fronts=2)
        limited = system.targets["plain-0"]
        limited.limit = str(_LIMIT_PER_S)
        await _call_for(system, 1.0, "/write/x")
        joined = await system.add_front()
        await fixtures.until(
            lambda: (
                target_limits.find(joined.entry.limits, "plain-0@1")
                == _LIMIT_PER_S
            )
        )

    async def test_status_shows_the_limit(self):
        system = await fixtures.start_system(self, engines=0, plain=1, fronts=1)
        system.targets["plain-0"].limit = "2.5"
        await fixtures.call(system, "/write/x")
        now = asyncio.get_running_loop().time()
        status = views.status(system.fronts[0].entry, now)
        self.assertEqual(status["limits"]["plain-0@1"]["per_s"], 2.5)
        self.assertIn("takes 2.5 requests a second", fronts.status(status))
