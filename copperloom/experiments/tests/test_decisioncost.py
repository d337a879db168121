"""Tests that decisions do not scale with targets and organisations."""

import unittest

from copperloom.experiments import decisioncost


class DecisionCostTest(unittest.TestCase):
    def test_cost_of_a_request_does_not_grow_with_targets(self):
        """Guards against a scan of all targets for each request."""
        few = decisioncost.measure(14, 1_000, 1_000, 1)
        many = decisioncost.measure(1_400, 1_000, 1_000, 1)
        self.assertLess(many.dispatch_us, 5 * few.dispatch_us)
        self.assertLess(many.offer_us, 5 * few.offer_us)

    def test_cost_of_queueing_does_not_grow_with_organisations(self):
        """Guards against a scan of all waiting organisations on each push."""
        few = decisioncost.measure(10, 10, 500, 1, queued=1_500)
        many = decisioncost.measure(10, 25_000, 500, 1, queued=1_500)
        self.assertLess(many.offer_us, 5 * few.offer_us)
