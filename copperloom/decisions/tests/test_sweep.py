"""Comparison of variants with the same seeds, each in its own process."""

import math
import unittest

from copperloom.decisions import planner
from copperloom.decisions.tests import sweep


class SweepTest(unittest.TestCase):
    def test_unchanged_constant_makes_no_difference(self):
        unchanged = f"planner.PACK_COST={planner.PACK_COST}"
        found = sweep.differences([unchanged], ["short-only"], 2, 0.2, 2)
        self.assertEqual(found, {(unchanged, "short-only"): [0.0, 0.0]})

    def test_mean_and_standard_error(self):
        mean, error = sweep.mean_and_error([0.1, 0.3])
        self.assertAlmostEqual(mean, 0.2)
        self.assertAlmostEqual(error, 0.1)
        self.assertEqual(sweep.mean_and_error([0.5]), (0.5, math.inf))
