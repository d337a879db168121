"""How long a target's silence is borne."""

import unittest

from copperloom.decisions import timeouts


class FirstEventTest(unittest.TestCase):
    def test_repeat_of_a_lost_answer_is_in_time(self):
        """Engines that read a prompt in a second lose its answer.

        It waited nearly four seconds, its whole objective, and was read again
        in vain.
        """
        aim_s = 4.0
        for predicted_s in (0.5, 0.9, 1.0):
            waited_s = timeouts.first_event_timeout_s(predicted_s, aim_s)
            self.assertLess(waited_s + predicted_s, aim_s)
            self.assertGreater(waited_s, 1.5 * predicted_s)

    def test_slow_target_is_not_given_up_for_a_late_repeat(self):
        """A prompt takes most of its objective: a repeat would be late.

        Given up early, its reading would be done twice for nothing.
        """
        for predicted_s in (0.3, 2.5, 8.0):
            left_s = 1.2 * predicted_s
            waited_s = timeouts.first_event_timeout_s(predicted_s, left_s)
            self.assertGreaterEqual(waited_s, 3.0 * predicted_s)
