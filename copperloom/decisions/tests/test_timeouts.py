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
