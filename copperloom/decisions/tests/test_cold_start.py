"""Tests what is known of cold targets, and the schedule of sends to them."""

import random
import unittest

from copperloom.decisions import cold_start, limit_schedule, target_limits
from copperloom.decisions.sharing import Occasion
from copperloom.decisions.tests.fixtures import NOW, TARGET

_START = cold_start.Start(per_s=4.0, duration_s=5.0)
_BOUND = cold_start.Bound(over=1.5, slack=5.0)


def _cold(
    per_s: float = 4.0, bound: cold_start.Bound = _BOUND, left_s: float = 60.0
) -> target_limits.TargetLimits:
    """Returns limits of which TARGET is cold."""
    known = target_limits.TargetLimits(bound)
    start = cold_start.Start(per_s, 5.0)
    cold_start.extend(known.cold, TARGET, start, left_s, NOW)
    return known


def _arrivals(
    known, rng: random.Random, seconds: float, **owner
) -> list[float]:
    """Returns when sends that an owner grants arrive, bunched on the way."""
    arrivals = []
    now = NOW
    while now < NOW + seconds:
        now += rng.expovariate(300.0)
        grant = limit_schedule.schedule(
            known, TARGET, now, rng.random(), **owner
        )
        if grant.delay_s is not None:
            late_s = rng.choice((0.0, 0.0, 0.35 + cold_start.GRANT_LIFE_S))
            arrivals.append(now + grant.delay_s + late_s)
    return arrivals


def most_in_second(times: list[float]) -> int:
    """Returns the most events in any one second."""
    return max((sum(t <= x < t + 1.0 for x in times) for t in times), default=0)


class ScheduleTest(unittest.TestCase):
    def test_two_owners_stay_below_the_bound(self):
        """Guards against two owners and late sends that break the bound."""
        rng = random.Random(1)
        for per_s, over, slack in (
            (1.0, 1.5, 5.0),
            (4.0, 1.5, 5.0),
            (26.0, 1.5, 5.0),
            (26.0, 1.0, 0.0),
        ):
            with self.subTest((per_s, over, slack)):
                bound = cold_start.Bound(over, slack)
                times = _arrivals(_cold(per_s, bound), rng, 30.0)
                times += _arrivals(_cold(per_s, bound), rng, 30.0)
                allowed = per_s * over + slack
                self.assertLessEqual(most_in_second(times), allowed)
                self.assertGreater(len(times), 0.3 * per_s * 30.0)

    def test_bound_without_slack_leaves_a_trickle(self):
        """Guards against cold targets that no request ever warms."""
        known = _cold(1.0, cold_start.Bound())
        times = _arrivals(known, random.Random(2), 30.0)
        self.assertGreaterEqual(len(times), 6)
        self.assertLessEqual(most_in_second(times), 1)

    def test_many_instances_that_hear_nobody(self):
        """Guards against cut-off instances that each grant the whole rate."""
        rng = random.Random(3)
        times = []
        for _ in range(73):
            times += _arrivals(
                _cold(),
                rng,
                40.0,
                share=cold_start.granted_share(1, 73),
                first_turn=rng.random(),
            )
        self.assertLessEqual(most_in_second(times), 4.0 * 1.5 + 5.0)
        self.assertGreater(len(times), 20)

    def test_lower_rate_of_a_limit_counts(self):
        """Guards against a cold target whose own limit is ignored."""
        known = _cold()
        target_limits.record_named(known, TARGET, 0.0, NOW)
        limit_schedule.schedule(known, TARGET, NOW, 0.0)
        grant = limit_schedule.schedule(known, TARGET, NOW, 0.0)
        self.assertGreaterEqual(grant.next_s, 4.0)

    def test_lifted_limit_leaves_the_schedule(self):
        """Guards against a burst when a cold target no longer names a limit."""
        known = _cold()
        target_limits.record_named(known, TARGET, 1.0, NOW)
        limit_schedule.schedule(known, TARGET, NOW, 0.0)
        target_limits.record_not_named(known, TARGET, NOW + 0.1, NOW + 0.2)
        grant = limit_schedule.schedule(known, TARGET, NOW + 0.2, 0.0)
        self.assertIsNone(grant.delay_s)

    def test_cold_period_ends(self):
        """Guards against a target that stays limited once it is warm."""
        known = _cold(left_s=5.0)
        limit_schedule.schedule(known, TARGET, NOW + 4.99, 0.0)
        for at, is_free in ((NOW + 4.999, False), (NOW + 5.0, True)):
            grant = limit_schedule.schedule(known, TARGET, at, 0.0)
            self.assertEqual(grant.delay_s == 0.0, is_free)


class KnowledgeTest(unittest.TestCase):
    def setUp(self):
        self.known = cold_start.ColdTargets(_BOUND)

    def _is_cold(self, at: float) -> bool:
        return cold_start.is_cold(self.known, TARGET, at)

    def test_service_without_cold_start(self):
        """Guards against limits that no operator has asked for."""
        none = cold_start.Start(0.0, 0.0)
        cold_start.extend(self.known, TARGET, none, 5.0, NOW)
        cold_start.record_first_read(self.known, TARGET, none, 5.0, NOW)
        cold_start.record_failure(self.known, TARGET, none, NOW)
        self.assertEqual(self.known.colds, {})

    def test_latest_end_counts(self):
        """Guards against a stale source that ends the cold period early."""
        for left_s in (5.0, 2.0):
            cold_start.extend(self.known, TARGET, _START, left_s, NOW)
        self.assertTrue(self._is_cold(NOW + 4.9))

    def test_failed_target_is_cold_from_its_first_contact(self):
        """Guards against a restart that no registration tells of."""
        cold_start.record_failure(self.known, TARGET, _START, NOW)
        self.assertTrue(self._is_cold(NOW + 100.0))
        for begun_at, is_contact in ((NOW - 1.0, False), (NOW + 99.0, True)):
            changed = cold_start.record_contact(
                self.known, TARGET, None, begun_at, NOW + 100.0
            )
            self.assertEqual(changed, is_contact)
        self.assertTrue(self._is_cold(NOW + 104.9))
        self.assertFalse(self._is_cold(NOW + 105.0))

    def test_target_that_says_it_is_warm(self):
        """Guards against a lost connection that slows a warm target."""
        cold_start.record_failure(self.known, TARGET, _START, NOW)
        cold_start.record_contact(self.known, TARGET, 0.0, NOW + 0.1, NOW + 0.2)
        self.assertFalse(self._is_cold(NOW + 0.2))

    def test_answer_to_an_earlier_request_ends_nothing(self):
        """Guards against a late answer of the target's earlier state."""
        cold_start.extend(self.known, TARGET, _START, 5.0, NOW)
        self.assertFalse(cold_start.end(self.known, TARGET, NOW - 1, NOW + 1))
        self.assertTrue(cold_start.end(self.known, TARGET, NOW + 1, NOW + 2))

    def test_peers_agree_whatever_the_order_of_messages(self):
        """Guards against an old report that ends or revives a cold period."""
        reports = []
        for step in (
            lambda: cold_start.record_failure(self.known, TARGET, _START, NOW),
            lambda: cold_start.record_contact(
                self.known, TARGET, 3.0, NOW + 1, NOW + 1
            ),
            lambda: cold_start.end(self.known, TARGET, NOW + 2, NOW + 2),
        ):
            self.assertTrue(step())
            cold = self.known.colds[TARGET]
            reports.append(cold_start.report_of(cold, NOW + 2))
        for seed in range(6):
            peer = cold_start.ColdTargets(_BOUND)
            for report in random.Random(seed).sample(reports, 3):
                cold_start.merge(peer, TARGET, report, NOW + 2, forwards=False)
            self.assertFalse(cold_start.is_cold(peer, TARGET, NOW + 2.1))

    def test_registration_from_before_the_start_changes_no_peer(self):
        """Guards against starts that make warm targets cold everywhere."""
        cold_start.record_first_read(self.known, TARGET, _START, 5.0, NOW)
        self.assertTrue(self._is_cold(NOW))
        shared = cold_start.to_share(self.known, NOW, 9, Occasion.START)
        self.assertEqual(shared, {})
        ended = cold_start.Report(0.0, _START, 1)
        cold_start.merge(self.known, TARGET, ended, NOW, forwards=False)
        self.assertFalse(self._is_cold(NOW))

    def test_records_are_dropped(self):
        """Guards against memory that grows with each start of a target."""
        cold_start.record_failure(self.known, TARGET, _START, NOW)
        cold_start.extend(self.known, "u@1", _START, 5.0, NOW)
        registered = frozenset({"u@1"})
        later = NOW + cold_start.ENDED_KEPT_S
        self.assertEqual(
            cold_start.drop_gone(self.known, registered, later + 1), [TARGET]
        )
        cold_start.drop_gone(self.known, registered, later + 6)
        self.assertEqual(self.known.colds, {})


if __name__ == "__main__":
    unittest.main()
