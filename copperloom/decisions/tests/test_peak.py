"""Placement at peak loads, on emulated engines."""

import dataclasses
import random
import unittest
from unittest import mock

from copperloom.decisions import inflight, planner, plans
from copperloom.decisions.tests import emulator
from copperloom.decisions.tests.test_planner import ENGINE, LONG, SHORT

MIDDLE = plans.Prompt(
    tokens=45_000,
    answer_tokens=1000,
    first_token_aim_s=1.5,
    pause_aim_s=0.6,
)
_ENGINES = 14
_SECONDS = 20.0


def _shares(served) -> dict[str, float]:
    """Returns the share of each kind of prompt that met its objectives."""
    shares = {}
    for name, prompt in (("short", SHORT), ("middle", MIDDLE), ("long", LONG)):
        of_kind = [s for s in served if s.arrival.prompt == prompt]
        if of_kind:
            shares[name] = sum(s.meets_objectives() for s in of_kind) / len(
                of_kind
            )
    return shares


def _play(rates, place, seed: int = 1, **options):
    rng = random.Random(seed)
    load = emulator.mixed_load(rng, _SECONDS, rates)
    return emulator.play(ENGINE, _ENGINES, load, place(ENGINE), **options)


class PeakTest(unittest.TestCase):
    def test_few_long_prompts_at_a_peak_of_short_ones(self):
        """Long prompts must not delay short ones, nor miss their objectives."""
        rates = {SHORT: 34.0, MIDDLE: 0.4, LONG: 0.2}
        before = _shares(_play(rates, emulator.least_requests))
        after = _shares(_play(rates, emulator.place_by_cost))
        self.assertGreater(after["short"], 0.95)
        self.assertGreater(after["short"], before["short"])
        self.assertGreater(after["long"], before["long"])

    def test_few_short_prompts_at_a_peak_of_long_ones(self):
        """Short prompts must not be blocked behind long prefills."""
        rates = {SHORT: 5.0, MIDDLE: 0.9, LONG: 1.2}
        before = _shares(_play(rates, emulator.least_requests))
        after = _shares(_play(rates, emulator.place_by_cost))
        self.assertGreater(after["long"], 0.75)
        self.assertGreater(after["middle"], before["middle"])
        self.assertGreater(after["short"], before["short"])

    def test_packed_decodes_leave_engines_free_for_long_prompts(self):
        """Decodes at every engine would be interrupted by every long part."""
        rates = {SHORT: 20.0, MIDDLE: 1.0, LONG: 0.8}
        with mock.patch.object(planner, "PACK_COST", 0.0):
            before = _shares(_play(rates, emulator.place_by_cost, 2))
        after = _shares(_play(rates, emulator.place_by_cost, 2))
        self.assertGreater(after["short"], 0.98)
        self.assertGreater(after["short"] - before["short"], 0.05)
        self.assertGreater(after["long"], 0.9)

    def test_quick_reports_of_placements_avoid_full_engines(self):
        """Instances without recent reports choose the same engine.

        Requests beyond its slots would have to wait there.
        """
        rates = {SHORT: 40.0, MIDDLE: 0.8, LONG: 0.1}
        late = [0, 0]
        for seed in (1, 2, 3):
            for number, report_delay_s in enumerate((0.005, 0.001)):
                served = _play(
                    rates,
                    emulator.place_by_cost,
                    seed,
                    instances=8,
                    report_delay_s=report_delay_s,
                )
                short = [s for s in served if s.arrival.prompt == SHORT]
                late[number] += sum(not s.meets_objectives() for s in short)
        self.assertLess(late[1], 0.6 * late[0])

    def test_long_prompts_hardly_delay_short_ones(self):
        """The tail latency of short prompts must not depend on long ones."""
        alone = _play({SHORT: 14.0}, emulator.place_by_cost)
        mixed = _play({SHORT: 14.0, LONG: 0.4}, emulator.place_by_cost)
        slowdown = _quantile(mixed, 0.99) / _quantile(alone, 0.99)
        self.assertLess(slowdown, 1.2)

    def test_short_prompts_are_served_during_an_overload_of_long_ones(self):
        """Prefills beyond the capacity must not starve short prompts."""
        rates = {SHORT: 5.0, LONG: 4.0}
        served = _play(rates, emulator.place_by_cost)
        shares = _shares(served)
        self.assertGreater(shares["short"], 0.3)

    def test_recently_failed_engine_is_avoided(self):
        engines = [
            plans.Candidate(f"e{n}", inflight.TargetLoad(), 0.0, 8)
            for n in range(4)
        ]
        engines[0] = dataclasses.replace(engines[0], penalty=1.0)
        plan = planner.plan_prompt(ENGINE, SHORT, engines)
        self.assertNotEqual(plan.lead, "e0")


def _quantile(served, share: float) -> float:
    times = sorted(
        s.first_s for s in served if s.arrival.prompt == SHORT and s.first_s
    )
    return times[int(len(times) * share)]
