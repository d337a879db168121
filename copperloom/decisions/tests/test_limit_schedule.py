"""Tests the schedule of sends to targets that name a rate limit."""

import random
import unittest

from copperloom.decisions import limit_schedule, target_limits
from copperloom.decisions.tests.fixtures import NOW, TARGET, limited

_WINDOW_S = 4.0


def _sends(known, rng, seconds: float, demand_per_s: float) -> list[float]:
    """Returns when requests with random waits are sent under great demand."""
    sends = []
    now = NOW
    while now < NOW + seconds:
        now += rng.expovariate(demand_per_s)
        grant = limit_schedule.schedule(known, TARGET, now, rng.random())
        if grant.delay_s is not None:
            sends.append(now + grant.delay_s)
    return sorted(sends)


def _most_in_window(times: list[float]) -> int:
    return max(sum(t <= x < t + _WINDOW_S for x in times) for t in times)


class ScheduleTest(unittest.TestCase):
    def test_two_owners_together_stay_below_the_bound(self):
        """Guards against two owners while members join, die or are cut off."""
        rng = random.Random(1)
        for per_s in (0.0, 0.1, 0.5, 1.0, 1.1, 2.5, 7.0, 40.0):
            with self.subTest(per_s):
                sends = [
                    *_sends(limited(per_s), rng, 20.0, 300.0),
                    *_sends(limited(per_s), rng, 20.0, 300.0),
                ]
                allowed = 1.5 * per_s * _WINDOW_S + 5
                self.assertLessEqual(_most_in_window(sorted(sends)), allowed)

    def test_limit_is_used(self):
        """Guards against a bound that is kept by sending next to nothing."""
        rng = random.Random(2)
        for per_s in (1.0, 7.0):
            sends = _sends(limited(per_s), rng, 40.0, 300.0)
            self.assertGreater(len(sends), 0.75 * per_s * 40.0)

    def test_target_that_takes_nothing_is_still_asked(self):
        """Guards against a limit of zero that can never be lifted."""
        known = limited(0.0)
        first = limit_schedule.schedule(known, TARGET, NOW, 0.0)
        self.assertEqual(first.delay_s, 0.0)
        second = limit_schedule.schedule(known, TARGET, NOW, 0.0)
        self.assertIsNone(second.delay_s)
        self.assertGreaterEqual(second.next_s, 4.0)

    def test_request_that_cannot_wait_takes_no_turn(self):
        known = limited(1.0)
        limit_schedule.schedule(known, TARGET, NOW, 0.0)
        for _ in range(5):
            denied = limit_schedule.schedule(known, TARGET, NOW, 0.5)
            self.assertIsNone(denied.delay_s)
            self.assertAlmostEqual(denied.next_s, 1.0)
        waits = limit_schedule.schedule(known, TARGET, NOW, 1.5)
        self.assertAlmostEqual(waits.delay_s, 1.0)

    def test_unlimited_target_needs_no_turn(self):
        known = target_limits.TargetLimits()
        grant = limit_schedule.schedule(known, TARGET, NOW, 0.0)
        self.assertEqual(grant.delay_s, 0.0)
        self.assertEqual(known.schedules, {})
        early = limit_schedule.earliest_send(known, TARGET, NOW)
        self.assertEqual(early, NOW)
