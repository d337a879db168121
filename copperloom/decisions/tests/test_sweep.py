"""Variants are compared with the same seeds, each in a process of its own."""

import math
import unittest

from copperloom.decisions import planner
from copperloom.decisions.tests import sweep


class SweepTest(unittest.TestCase):
    def test_same_constant_makes_no_difference(self):
        same = f"planner.PACK_COST={planner.PACK_COST}"
        found = sweep.differences([same], ["short-only"], 2, 0.2, 2)
        self.assertEqual(found, {(same, "short-only"): [0.0, 0.0]})

    def test_mean_and_its_error(self):
        mean, error = sweep.spread_of([0.1, 0.3])
        self.assertAlmostEqual(mean, 0.2)
        self.assertAlmostEqual(error, 0.1)
        self.assertEqual(sweep.spread_of([0.5]), (0.5, math.inf))
