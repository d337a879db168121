"""Cost of the decisions does not grow with targets and organisations."""

import unittest

from copperloom.experiments import decisioncost


class DecisionCostTest(unittest.TestCase):
    def test_a_request_does_not_look_at_all_targets(self):
        """A hundred times the targets must not cost five times as much.

        A scan of all targets for each request would cost some hundred times.
        """
        few = decisioncost.measure(14, 1_000, 1_000, 1)
        many = decisioncost.measure(1_400, 1_000, 1_000, 1)
        self.assertLess(many.dispatch_us, 5 * few.dispatch_us)
        self.assertLess(many.offer_us, 5 * few.offer_us)

    def test_a_push_does_not_look_at_all_organisations(self):
        """A thousand organisations wait; each push walked all their tags."""
        few = decisioncost.measure(10, 10, 500, 1, queued=1_500)
        many = decisioncost.measure(10, 25_000, 500, 1, queued=1_500)
        self.assertLess(many.offer_us, 5 * few.offer_us)
