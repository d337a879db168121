"""Timeouts of silent streams."""

import unittest

from copperloom.decisions import timeouts


class FirstEventTest(unittest.TestCase):
    def test_timeout_leaves_time_for_a_repeat(self):
        """A repeat after the whole objective would be prefilled in vain."""
        objective_s = 4.0
        for predicted_s in (0.5, 0.9, 1.0):
            timeout_s = timeouts.first_event_timeout_s(predicted_s, objective_s)
            self.assertLess(timeout_s + predicted_s, objective_s)
            self.assertGreater(timeout_s, 1.5 * predicted_s)

    def test_slow_target_is_not_abandoned_for_a_repeat_that_would_be_late(self):
        """Its prompt would be prefilled twice in vain."""
        for predicted_s in (0.3, 2.5, 8.0):
            left_s = 1.2 * predicted_s
            timeout_s = timeouts.first_event_timeout_s(predicted_s, left_s)
            self.assertGreaterEqual(timeout_s, 3.0 * predicted_s)


class LoadTest(unittest.TestCase):
    def test_silence_of_full_engines_is_no_fault(self):
        """Guards against retries of long prompts that delay each other."""
        self.assertTrue(timeouts.is_explained_by_load(1.5))
        self.assertFalse(timeouts.is_explained_by_load(0.3))

    def test_retry_comes_before_the_caller_leaves(self):
        """Guards against waiting for a faulty engine as long as its caller."""
        for objective_s, pause_s in ((0.3, 0.25), (3.0, 1.0), (8.0, 0.8)):
            last_s = timeouts.last_resort_s(objective_s, pause_s, 15.0)
            leaves_s = timeouts.abandon_after_s(objective_s, pause_s)
            self.assertLess(last_s, leaves_s)
            self.assertGreater(last_s, objective_s)
