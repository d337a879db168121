"""Tests of results, their summary, comparison and report."""

import dataclasses
import pathlib
import tempfile
import unittest

from copperloom.experiments import compare, load, report, result
from copperloom.experiments.tests import samples


class ResultTest(unittest.TestCase):
    def test_percentile_is_accurate_to_two_digits(self):
        values = [i / 1000 for i in range(1, 1001)]
        self.assertAlmostEqual(
            result.percentile_s(values, 99), 0.99, delta=0.01
        )

    def test_summary_counts_outcomes(self):
        res = samples.run_of({0: 0.1, 1: 0.2, 2: 0.3, 3: 0.4})
        codes = (result.OK, 3001, result.LOST, result.WRONG)
        runs = ("", "not_run", "", "")
        run_samples = [
            dataclasses.replace(s, code=c, run=r)
            for s, c, r in zip(res.samples, codes, runs, strict=True)
        ]
        summary = result.summarise(
            dataclasses.replace(res, samples=run_samples)
        )
        self.assertEqual(summary.lost, 2)
        self.assertEqual(summary.outcomes[3001], 1)
        self.assertAlmostEqual(summary.refusal_p99_s, 0.2, delta=0.01)
        self.assertAlmostEqual(summary.goodput_tokens_per_s, 203.2)

    def test_fairness_falls_when_an_organisation_is_not_served(self):
        res = samples.run_of({0: 0.1, 1: 0.1})
        starved = dataclasses.replace(
            res.samples[1], organisation="org-01", code=3001
        )
        uneven = dataclasses.replace(res, samples=[res.samples[0], starved])
        self.assertAlmostEqual(result.summarise(res).fairness, 1.0)
        self.assertAlmostEqual(result.summarise(uneven).fairness, 0.5)

    def test_result_survives_writing_and_reading(self):
        with tempfile.TemporaryDirectory() as folder:
            path = str(pathlib.Path(folder) / "a.json")
            res = samples.run_of({0: 0.1})
            result.write(res, path)
            self.assertEqual(result.read(path), res)

    def test_slowdown_pairs_prompts_answered_in_both_runs(self):
        mixed = samples.run_of({0: 0.2, 1: 0.4, 2: 9.0})
        alone = samples.run_of({0: 0.1, 1: 0.1}, long=False)
        slowdown = compare.slowdown(mixed, alone)
        self.assertEqual(slowdown.pairs, 2)
        self.assertAlmostEqual(slowdown.paired_p99, 4.0, delta=0.05)

    def test_slowdown_of_runs_with_other_seeds_is_an_error(self):
        with self.assertRaises(ValueError):
            compare.slowdown(samples.run_of({}), samples.run_of({}, seed=2))

    def test_comparison_shows_the_ratio_of_two_runs(self):
        a, b = samples.run_of({0: 0.1}), samples.run_of({0: 0.2})
        lines = compare.compare(a, b)
        (line,) = (x for x in lines if x.startswith("first token p99, short"))
        self.assertIn("2.00", line)

    def test_warm_up_is_excluded_except_for_lost_requests(self):
        """Guards against hiding requests that were lost during the warm-up."""
        mix = samples.mix(warm_up_s=5.0)
        requests = [
            dataclasses.replace(samples.REQUEST, index=i, at_s=at)
            for i, at in enumerate((1.0, 2.0, 6.0))
        ]
        run_samples = samples.run_of({0: 0.1, 1: 0.1, 2: 0.1}).samples
        run_samples[1] = dataclasses.replace(run_samples[1], code=result.LOST)
        kept = load.exclude_warm_up(mix, requests, run_samples)
        self.assertEqual([s.index for s in kept], [1, 2])

    def test_report_contains_a_curve(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "r.html"
            runs = [samples.run_of({0: 0.1}), samples.run_of({0: 0.2})]
            report.write(runs, str(path))
            self.assertIn("<svg", path.read_text())
