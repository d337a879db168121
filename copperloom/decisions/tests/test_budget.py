"""Tests the prediction of the next retry that the budget allows."""

import math
import unittest

from copperloom.decisions import budget

_POLICY = budget.BudgetPolicy(ratio=0.0, window_s=10.0, slack=4.0)


class NextRetryTest(unittest.TestCase):
    def test_next_retry_comes_as_the_oldest_leaves_the_window(self):
        """Guards against requests that wait for a retry in vain."""
        known = budget.Budget(_POLICY)
        self.assertEqual(budget.next_s(known, "s", 0.0, 1), 0.0)
        for at in (1.0, 2.0):
            self.assertTrue(budget.spend(known, "s", at, 1))
        wait_s = budget.next_s(known, "s", 3.0, 1)
        self.assertFalse(budget.spend(known, "s", 3.0 + wait_s - 0.1, 1))
        self.assertTrue(budget.spend(known, "s", 3.0 + wait_s + 0.01, 1))

    def test_budget_that_allows_none_has_no_next(self):
        known = budget.Budget(_POLICY)
        self.assertEqual(budget.next_s(known, "s", 0.0, 100), math.inf)
