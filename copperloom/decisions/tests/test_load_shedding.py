"""Tests which new connections are closed unread."""

import unittest

from copperloom.decisions import load_shedding

_CALM = load_shedding.Load(
    pending=0,
    standing_s=0.0,
    is_shedding=False,
    pace_s=0.0,
    has_descriptor=True,
    bytes_left=100,
)


def _accepts(**changes) -> bool:
    facts = {name: getattr(_CALM, name) for name in _CALM.__dataclass_fields__}
    return load_shedding.accepts(load_shedding.Load(**(facts | changes)))


class SheddingTest(unittest.TestCase):
    def test_burst_at_a_fast_instance_is_accepted(self):
        """Guards against refusing callers that all reconnect at once."""
        self.assertTrue(_accepts(pending=200, pace_s=0.0003))

    def test_burst_at_a_slow_instance_is_accepted(self):
        """Guards against refusing a few callers after a slow iteration."""
        self.assertTrue(_accepts(pending=20, pace_s=0.02, standing_s=0.1))

    def test_queue_that_stands_is_not_joined(self):
        """Guards against requests that wait for longer than their callers."""
        self.assertTrue(_accepts(pending=5, pace_s=0.01, standing_s=1.0))
        self.assertFalse(_accepts(pending=20, pace_s=0.01, standing_s=1.0))
        self.assertFalse(_accepts(pending=200, pace_s=0.01))

    def test_slow_instance_without_a_queue_accepts(self):
        """Guards against an instance that serves nobody."""
        self.assertTrue(_accepts(pending=0, pace_s=5.0, is_shedding=True))

    def test_shedding_has_hysteresis(self):
        queue = {"pending": 8, "pace_s": 0.01, "standing_s": 1.0}
        self.assertTrue(_accepts(**queue))
        self.assertFalse(_accepts(**queue, is_shedding=True))
        self.assertTrue(load_shedding.is_shedding(10.0, 10.5))
        self.assertFalse(load_shedding.is_shedding(10.0, 11.5))

    def test_descriptors_and_memory_are_kept_for_requests_in_progress(self):
        """Guards against accepting until nothing more can be opened."""
        self.assertFalse(_accepts(has_descriptor=False))
        self.assertFalse(_accepts(bytes_left=-1))

    def test_pace_follows_the_latest_samples(self):
        pace_s = 0.0
        for _ in range(10):
            pace_s = load_shedding.smooth(pace_s, 0.02)
        self.assertAlmostEqual(pace_s, 0.02, delta=0.002)

    def test_waiting_connections_expire(self):
        self.assertFalse(load_shedding.is_expired(0.3))
        self.assertTrue(load_shedding.is_expired(0.6))
