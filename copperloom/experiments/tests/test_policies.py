"""Tests of the comparison of policies: its variants and key figures."""

import dataclasses
import unittest

from bench import policies
from copperloom.decisions import policies as decisions
from copperloom.experiments.tests import samples


class PoliciesTest(unittest.TestCase):
    def test_variants_cover_policies_and_disabled_mechanisms(self):
        variants = policies.variants()
        self.assertEqual(
            {v.policy for v in variants if not v.disable},
            set(decisions.POLICIES),
        )
        self.assertEqual(
            {name for v in variants for name in v.disable}, decisions.MECHANISMS
        )

    def test_figures_count_outcomes_and_show_the_slowdown(self):
        mixed = samples.run_of({0: 0.2, 1: 0.2, 2: 0.2})
        refused = dataclasses.replace(
            mixed.samples[2], code=3005, run="not_run"
        )
        failed = dataclasses.replace(refused, code=3006, run="may_have_run")
        mixed.samples[1:] = [refused, failed]
        outcome = policies.Outcome(mixed, samples.run_of({0: 0.1}, long=False))
        got = policies.figures(outcome)
        self.assertAlmostEqual(got["slow p99"], 2.0, delta=0.05)
        counts = (got["whole"], got["refused"], got["failed"], got["lost"])
        self.assertEqual(counts, (1, 1, 1, 0))

    def test_medians_are_taken_of_each_figure(self):
        run_figures = policies.figures(
            policies.Outcome(samples.run_of({0: 0.1}), samples.run_of({0: 0.1}))
        )
        rows = [run_figures | {"whole": n} for n in (1, 5, 3)]
        self.assertEqual(policies.medians(rows)["whole"], 3)
