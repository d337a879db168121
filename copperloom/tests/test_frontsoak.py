"""Runs a short soak test of copperloom-front with fixed seeds."""

import asyncio
import tempfile
import unittest

from bench.frontsoak import main, world

# Seeds that once failed are kept, with the failure that they guard against.
# 4026: a request sent after the stop signal is cut when the grace period ends.
_SEEDS = (1, 2, 4026)
_SIZES = world.Sizes(seconds=4.0)
# Long enough for instances that run undisturbed for the stability window after
# a request has crashed three targets.
_CRASH_SEEDS = (100, 101)
_CRASH_SIZES = world.Sizes(seconds=14.0)
_CROWD_SEED = 5400
_CROWD_SIZES = world.Sizes(seconds=6.0, crowds=3)
_RETURN_SEED = 9700
_RETURN_SIZES = world.Sizes(seconds=6.0, returns=2)


class FrontSoakTest(unittest.TestCase):
    def test_fixed_seeds(self):
        """Guards against repeated runs, wrong outcomes and cut answers.

        Faults hit processes, links, the table service, targets and routes.
        """
        for seed in _SEEDS:
            with self.subTest(seed), tempfile.TemporaryDirectory() as folder:
                findings = asyncio.run(main.play(seed, _SIZES, folder))
                self.assertEqual(findings, [])

    def test_table_service_returns_from_copies(self):
        """Guards against instances that go on with the lost rows."""
        with tempfile.TemporaryDirectory() as folder:
            findings = asyncio.run(
                main.play(_RETURN_SEED, _RETURN_SIZES, folder)
            )
            self.assertEqual(findings, [])

    def test_crowds(self):
        """Guards against clients without limits that break other requests."""
        with tempfile.TemporaryDirectory() as folder:
            findings = asyncio.run(main.play(_CROWD_SEED, _CROWD_SIZES, folder))
            self.assertEqual(findings, [])

    def test_requests_that_crash_targets(self):
        """Guards against repeats of such a request beyond the allowed ones."""
        for seed in _CRASH_SEEDS:
            with self.subTest(seed), tempfile.TemporaryDirectory() as folder:
                findings = asyncio.run(main.play(seed, _CRASH_SIZES, folder))
                self.assertEqual(findings, [])
