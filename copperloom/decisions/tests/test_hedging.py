"""Tests when second copies of slow requests are sent."""

import random
import unittest

from copperloom.decisions import hedging

_POLICY = hedging.Policy(max_share=0.05, quantile=0.95)
_FREE = {"waited_s": 0.2, "left_s": 3.0, "busy": 0.2, "budget_left": 10.0}


def _with_samples(policy=_POLICY, count=100) -> hedging.Hedging:
    known = hedging.Hedging(policy)
    for number in range(count):
        hedging.record_latency(known, "k", 0.1 + number / 1000, 0.0)
    return known


class DelayTest(unittest.TestCase):
    def test_delay_is_the_quantile(self):
        self.assertAlmostEqual(
            hedging.delay_s(_with_samples(), "k", 1.0), 0.195, places=3
        )

    def test_no_delay_when_switched_off(self):
        """Guards against copies that operators did not ask for."""
        known = _with_samples(hedging.Policy())
        self.assertIsNone(hedging.delay_s(known, "k", 1.0))

    def test_no_delay_without_enough_recent_samples(self):
        """Guards against copies by a quantile of few or outdated samples."""
        known = _with_samples(count=hedging.MIN_SAMPLES - 1)
        self.assertIsNone(hedging.delay_s(known, "k", 1.0))
        known = _with_samples()
        late = hedging.SAMPLE_AGE_S + 1.0
        self.assertIsNone(hedging.delay_s(known, "k", late))

    def test_kinds_are_bounded(self):
        """Guards against memory that grows with the number of routes."""
        known = hedging.Hedging(_POLICY)
        for number in range(10 * hedging.MAX_KINDS):
            hedging.record_latency(known, str(number), 0.1, 0.0)
        self.assertEqual(len(known.samples), hedging.MAX_KINDS)


class JudgeTest(unittest.TestCase):
    def test_share_bounds_copies_in_any_load(self):
        """Guards against copies that multiply when all answers are slow."""
        known = hedging.Hedging(_POLICY)
        sent = 0
        for number in range(1000):
            now = number / 100
            hedging.record_request(known, now)
            if hedging.judge(known, now, **_FREE) is None:
                hedging.record_copy(known, now)
                sent += 1
        self.assertLessEqual(sent, 50)
        self.assertGreater(sent, 40)

    def test_no_copy_under_these_conditions(self):
        known = hedging.Hedging(_POLICY)
        for _ in range(100):
            hedging.record_request(known, 0.0)
        cases = (
            ({"busy": 0.9}, hedging.Reason.BUSY),
            ({"budget_left": 0.5}, hedging.Reason.BUDGET),
            ({"waited_s": 2.5, "left_s": 0.5}, hedging.Reason.LATE),
        )
        self.assertIsNone(hedging.judge(known, 0.0, **_FREE))
        for changed, reason in cases:
            found = hedging.judge(known, 0.0, **_FREE | changed)
            self.assertEqual(found, reason)


def _play(policy: hedging.Policy) -> tuple[list[float], int]:
    """Plays 20,000 requests, 2 in 100 at a target that is silent for 2 s."""
    rng = random.Random(7)
    known = hedging.Hedging(policy)
    latencies = []
    copies = 0
    for number in range(20_000):
        now = number / 100
        hedging.record_request(known, now)
        first_s, second_s = (_latency(rng) for _ in range(2))
        delay_s = hedging.delay_s(known, "k", now)
        answered_s = first_s
        if delay_s is not None and first_s > delay_s:
            case = _FREE | {"waited_s": delay_s}
            if hedging.judge(known, now, **case) is None:
                hedging.record_copy(known, now)
                copies += 1
                answered_s = min(first_s, delay_s + second_s)
        hedging.record_latency(known, "k", answered_s, now)
        latencies.append(answered_s)
    return sorted(latencies), copies


def _latency(rng: random.Random) -> float:
    return 2.0 if rng.random() < 0.02 else rng.uniform(0.05, 0.15)


class LoadTest(unittest.TestCase):
    def test_slowest_answers_are_faster_within_the_share(self):
        """Without copies, 2 in 100 answers wait for a silent target."""
        before, none = _play(hedging.Policy())
        after, copies = _play(hedging.Policy(max_share=0.1))
        self.assertEqual(none, 0)
        self.assertEqual(before[-len(before) // 100], 2.0)
        self.assertLess(after[-len(after) // 100], 0.4)
        self.assertLessEqual(copies, 0.1 * len(after))


if __name__ == "__main__":
    unittest.main()
