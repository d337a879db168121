"""Tests the speeds of targets and what placement makes of them."""

import random
import statistics
import unittest

from copperloom.decisions import inflight, planner, plans, target_speed
from copperloom.decisions.tests import peaks, plain_emulator, sheets

_UNEVEN = (1.0, 1.0, 1.5, 1.5, 2.0, 2.0, 2.5, 2.5, 3.0, 3.0, 4.0, 4.0)
_SEEDS = (1, 2)
_SECONDS = 30.0
# Mean answer time of an even target in `plain_emulator`, with its spread.
_MEAN_S = 0.084


def _observe(known, target: str, factor: float, count: int, now: float) -> None:
    value = target_speed.log_ratio(0.1 * factor)
    observation = target_speed.Observation(target, "k", value)
    for _ in range(count):
        target_speed.record(known, observation, now)


def _fleet(**factors: float) -> target_speed.TargetSpeeds:
    known = target_speed.TargetSpeeds()
    for target, factor in factors.items():
        _observe(known, target, factor, target_speed.MIN_SAMPLES, 0.0)
    return known


def _plain_times(load: float, *, uses_speed: bool, **changes) -> list[float]:
    """Returns the sorted answer times of all seeds."""
    speeds = changes.pop("speeds", _UNEVEN)
    fleet = plain_emulator.Fleet(speeds, uses_speed=uses_speed, **changes)
    per_s = load * sum(fleet.slots / (_MEAN_S * s) for s in speeds)
    times = []
    for seed in _SEEDS:
        arrivals = plain_emulator.bursts(random.Random(seed), _SECONDS, per_s)
        played = plain_emulator.answer_times(fleet, arrivals, seed)
        times += [time_s for time_s, _ in played]
    return sorted(times)


def _late(times: list[float]) -> float:
    return times[int(0.95 * len(times))]


class TargetSpeedTest(unittest.TestCase):
    def test_slow_target_is_found(self):
        known = _fleet(a=1, b=1, c=1, d=3)
        self.assertGreater(target_speed.ratio(known, "d", 0.0), 2.0)
        self.assertEqual(target_speed.ratio(known, "a", 0.0), 1.0)

    def test_general_misprediction_counts_for_nobody(self):
        """Guards against a loaded service whose targets all count as slow."""
        known = _fleet(a=3, b=3.2, c=2.9, d=3)
        self.assertEqual(target_speed.outliers(known, 0.0), {})

    def test_one_late_answer_counts_for_nothing(self):
        """Guards against work of others that is taken for slowness."""
        known = _fleet(a=1, b=1, c=1)
        _observe(known, "a", 9, 1, 0.1)
        _observe(known, "new", 9, target_speed.MIN_SAMPLES - 1, 0.1)
        self.assertEqual(target_speed.outliers(known, 0.5), {})

    def test_few_samples_of_others_do_not_shift_the_median(self):
        """Guards against fast targets being found while slow ones are few."""
        known = _fleet(slow=3)
        for target in "abcd":
            _observe(known, target, 1, 1, 0.0)
        ratios = target_speed.outliers(known, 0.0)
        self.assertEqual(list(ratios), ["slow"])

    def test_ratio_decays_without_observations(self):
        """Guards against a target that is avoided after it has recovered."""
        known = _fleet(a=1, b=1, c=3)
        before = target_speed.ratio(known, "c", 0.0)
        halfway = target_speed.ratio(known, "c", target_speed.HALF_LIFE_S)
        self.assertLess(halfway, before)
        self.assertGreater(halfway, 1.0)
        later = 3 * target_speed.HALF_LIFE_S
        self.assertEqual(target_speed.ratio(known, "c", later), 1.0)

    def test_recovery_is_found_by_a_few_observations(self):
        known = _fleet(a=1, b=1, c=3)
        target_speed.ratio(known, "c", 0.0)
        _observe(known, "c", 1, target_speed.MAX_SAMPLES // 2 + 1, 5.0)
        self.assertEqual(target_speed.ratio(known, "c", 5.0), 1.0)

    def test_memory_is_bounded(self):
        """Guards against memory that each start of a target takes."""
        known = target_speed.TargetSpeeds()
        for number in range(3 * target_speed.MAX_TARGETS):
            observation = target_speed.Observation(f"t@{number}", "k", 0.0)
            target_speed.record(known, observation, 0.0)
        for number in range(3 * target_speed.MAX_KINDS):
            observation = target_speed.Observation("t", f"k{number}", 0.0)
            target_speed.record(known, observation, 0.0)
        self.assertEqual(len(known.samples), target_speed.MAX_TARGETS)
        self.assertEqual(len(known.samples["t"]), target_speed.MAX_KINDS)
        shared = target_speed.take_unshared(known)
        self.assertEqual(len(shared), target_speed.MAX_UNSHARED)
        self.assertEqual(target_speed.take_unshared(known), [])

    def test_values_that_are_no_numbers_are_dropped(self):
        """Guards against a peer's message that spoils the median."""
        known = target_speed.TargetSpeeds()
        for value in (float("nan"), float("inf")):
            observation = target_speed.Observation("t", "k", value)
            target_speed.record(known, observation, 0.0, is_own=False)
        self.assertEqual(known.samples, {})

    def test_extreme_values_are_bounded(self):
        """Guards against an overflow in the middle of a placement."""
        known = _fleet(a=1, b=1, c=1e300)
        ratio = target_speed.ratio(known, "c", 0.0)
        self.assertEqual(ratio, target_speed.MAX_RATIO)


class PlainPlacementTest(unittest.TestCase):
    def test_uneven_targets_answer_sooner(self):
        """Guards against slow targets that get as many requests as others."""
        before = _plain_times(0.2, uses_speed=False)
        after = _plain_times(0.2, uses_speed=True)
        self.assertLess(
            statistics.fmean(after), 0.95 * statistics.fmean(before)
        )
        self.assertLess(_late(after), 0.9 * _late(before))

    def test_many_instances_do_not_all_choose_the_fastest(self):
        """Guards against instances that choose at the same time."""
        fleet = {"instances": 16, "delay_s": 0.04}
        before = _plain_times(0.28, uses_speed=False, **fleet)
        after = _plain_times(0.28, uses_speed=True, **fleet)
        self.assertLess(_late(after), 0.85 * _late(before))

    def test_even_targets_are_placed_as_before(self):
        """Guards against a change where targets do not differ."""
        even = {"speeds": (1.0,) * 8}
        before = _plain_times(0.25, uses_speed=False, **even)
        after = _plain_times(0.25, uses_speed=True, **even)
        self.assertLess(_late(after), 1.05 * _late(before))

    def test_slow_target_is_used_when_others_are_full(self):
        """Guards against capacity that is left unused."""
        full = inflight.TargetLoad(requests=12)
        candidates = [
            plans.Candidate("fast", full, 0.0, 6),
            plans.Candidate("slow", inflight.TargetLoad(), 0.0, 6, speed=2.0),
        ]
        plan = planner.plan_service(candidates, random.Random(1))
        self.assertEqual(plan.lead, "slow")


class EnginePlacementTest(unittest.TestCase):
    def _served(self, speeds, *, uses_speed: bool) -> float:
        sheet = sheets.SHEETS["wroclaw"]
        rows = [
            peaks.play_seed(
                sheet,
                "copperloom",
                seed,
                _SECONDS,
                2.0,
                speeds=speeds,
                uses_speed=uses_speed,
            )
            for seed in _SEEDS
        ]
        return statistics.fmean(row["all"] for row in rows)

    def test_more_is_served_by_engines_of_which_some_are_slow(self):
        """Guards against plans that rest on engines of equal speed."""
        slow = (3.0,) * 3
        before = self._served(slow, uses_speed=False)
        after = self._served(slow, uses_speed=True)
        self.assertGreater(after, before + 0.02)

    def test_even_engines_are_served_as_before(self):
        """Guards against noise that is taken for a difference in speed."""
        even = (1.0,) * sheets.SHEETS["wroclaw"].engines
        before = self._served(even, uses_speed=False)
        after = self._served(even, uses_speed=True)
        self.assertGreater(after, before - 0.01)
