"""Results: percentiles, outcomes, fairness, comparison, report."""

import dataclasses
import pathlib
import tempfile
import unittest

from copperloom.experiments import compare, load, report, result
from copperloom.experiments.tests import samples


class ResultTest(unittest.TestCase):
    def test_percentiles(self):
        values = [i / 1000 for i in range(1, 1001)]
        self.assertAlmostEqual(
            result.percentile_s(values, 99), 0.99, delta=0.01
        )

    def test_outcomes(self):
        res = samples.run_of({0: 0.1, 1: 0.2, 2: 0.3, 3: 0.4})
        codes = (result.OK, 3001, result.LOST, result.WRONG)
        runs = ("", "not_run", "", "")
        values = [
            dataclasses.replace(s, code=c, run=r)
            for s, c, r in zip(res.samples, codes, runs, strict=True)
        ]
        summary = result.summarise(dataclasses.replace(res, samples=values))
        self.assertEqual(summary.lost, 2)
        self.assertEqual(summary.outcomes[3001], 1)
        self.assertAlmostEqual(summary.refusal_p99_s, 0.2, delta=0.01)
        self.assertAlmostEqual(summary.goodput_tokens_per_s, 203.2)

    def test_fairness(self):
        res = samples.run_of({0: 0.1, 1: 0.1})
        starved = dataclasses.replace(
            res.samples[1], organisation="org-01", code=3001
        )
        uneven = dataclasses.replace(res, samples=[res.samples[0], starved])
        self.assertAlmostEqual(result.summarise(res).fairness, 1.0)
        self.assertAlmostEqual(result.summarise(uneven).fairness, 0.5)

    def test_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = str(pathlib.Path(folder) / "a.json")
            res = samples.run_of({0: 0.1})
            result.write(res, path)
            self.assertEqual(result.read(path), res)

    def test_slowdown_pairs_the_same_prompts(self):
        mixed = samples.run_of({0: 0.2, 1: 0.4, 2: 9.0})
        alone = samples.run_of({0: 0.1, 1: 0.1}, long=False)
        got = compare.slowdown(mixed, alone)
        self.assertEqual(got.pairs, 2)
        self.assertAlmostEqual(got.paired_p99, 4.0, delta=0.05)

    def test_slowdown_of_unlike_runs(self):
        with self.assertRaises(ValueError):
            compare.slowdown(samples.run_of({}), samples.run_of({}, seed=2))

    def test_compare(self):
        a, b = samples.run_of({0: 0.1}), samples.run_of({0: 0.2})
        lines = compare.compare(a, b)
        (line,) = (x for x in lines if x.startswith("first token p99, short"))
        self.assertIn("2.00", line)

    def test_warm_up_is_left_out_but_lost_requests_are_not(self):
        mix = samples.mix(warm_up_s=5.0)
        requests = [
            dataclasses.replace(samples.REQUEST, index=i, at_s=at)
            for i, at in enumerate((1.0, 2.0, 6.0))
        ]
        seen = samples.run_of({0: 0.1, 1: 0.1, 2: 0.1}).samples
        seen[1] = dataclasses.replace(seen[1], code=result.LOST)
        kept = load.counted(mix, requests, seen)
        self.assertEqual([s.index for s in kept], [1, 2])

    def test_report(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "r.html"
            runs = [samples.run_of({0: 0.1}), samples.run_of({0: 0.2})]
            report.write(runs, str(path))
            self.assertIn("<svg", path.read_text())
