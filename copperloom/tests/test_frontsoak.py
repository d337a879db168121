"""Runs a short soak test of copperloom-front with fixed seeds."""

import asyncio
import tempfile
import unittest

from bench.frontsoak import main, world

# Seeds that once failed are kept, with the failure that they guard against.
# 4026: a request sent after the stop signal is cut when the grace period ends.
_SEEDS = (1, 2, 4026)
_SIZES = world.Sizes(seconds=4.0)


class FrontSoakTest(unittest.TestCase):
    def test_fixed_seeds(self):
        """Guards against repeated runs, wrong outcomes and cut answers.

        Faults hit processes, links, the table service, targets and routes.
        """
        for seed in _SEEDS:
            with self.subTest(seed), tempfile.TemporaryDirectory() as folder:
                findings = asyncio.run(main.play(seed, _SIZES, folder))
                self.assertEqual(findings, [])
