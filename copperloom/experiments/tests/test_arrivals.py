"""Tests of the reproducibility and the shares of arrivals."""

import collections
import dataclasses
import pathlib
import unittest

from copperloom import settings
from copperloom.experiments import arrivals, mixes
from copperloom.experiments.tests import samples

_MIXES = pathlib.Path(__file__).resolve().parents[3] / "experiments"


class ArrivalsTest(unittest.TestCase):
    def test_same_seed_gives_the_same_requests(self):
        first = arrivals.arrivals(samples.mix(), seed=3)
        self.assertEqual(first, arrivals.arrivals(samples.mix(), seed=3))
        self.assertNotEqual(first, arrivals.arrivals(samples.mix(), seed=4))

    def test_requests_have_the_shares_of_the_mix(self):
        mix = samples.mix(rate_per_s=1000, duration_s=20)
        requests = arrivals.arrivals(mix, seed=1)
        self.assertAlmostEqual(len(requests) / 20_000, 1, delta=0.05)
        groups = collections.Counter(a.group for a in requests)
        prompts = len(requests) - groups["service"]
        self.assertAlmostEqual(groups["long"] / prompts, 0.02, delta=0.005)
        self.assertAlmostEqual(groups["service"] / 20_000, 0.1, delta=0.01)
        large = sum(a.organisation < "org-03" for a in requests)
        self.assertAlmostEqual(large / len(requests), 0.7, delta=0.02)

    def test_prompt_lengths_span_the_range_of_their_group(self):
        mix = samples.mix(rate_per_s=1000, duration_s=20)
        requests = arrivals.arrivals(mix, seed=1)
        long = [a.prompt_tokens for a in requests if a.group == "long"]
        self.assertLess(min(long), 120_000)
        self.assertGreater(max(long), 900_000)

    def test_removing_long_prompts_keeps_the_others(self):
        requests = arrivals.arrivals(samples.mix(duration_s=60), seed=1)
        rest = arrivals.without_long(requests)
        self.assertLess(len(rest), len(requests))
        self.assertEqual(rest, [a for a in requests if a.group != "long"])

    def test_share_of_services_does_not_change_the_prompts(self):
        """Guards against random draws that depend on the kind of request."""
        without_services = dataclasses.replace(
            samples.mix(), services=mixes.ServicesSection(share=0.0)
        )
        with_calls = arrivals.arrivals(samples.mix(), seed=1)
        without_calls = arrivals.arrivals(without_services, seed=1)
        for a, b in zip(with_calls, without_calls, strict=True):
            if a.group != arrivals.SERVICE:
                self.assertEqual(a, b)

    def test_mixes_of_both_deployments_are_valid_settings(self):
        for name in ("wroclaw", "oslo"):
            got = settings.load(str(_MIXES / f"{name}.ini"), mixes.LoadSettings)
            self.assertEqual(got.load.name, name)
            self.assertEqual(len(got.cluster.data_centres), 3)
