"""Plays the heaviest loads against placement, and looks at what callers get."""

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
    """Returns the share of each kind of prompt that was served in time."""
    shares = {}
    for name, prompt in (("short", SHORT), ("middle", MIDDLE), ("long", LONG)):
        kind = [s for s in served if s.arrival.prompt == prompt]
        if kind:
            shares[name] = sum(s.in_time() for s in kind) / len(kind)
    return shares


def _play(rates, place, seed: int = 1, **options):
    rng = random.Random(seed)
    load = emulator.mixed_load(rng, _SECONDS, rates)
    return emulator.play(ENGINE, _ENGINES, load, place(ENGINE), **options)


class PeakTest(unittest.TestCase):
    """Shares in time by kind; before (least requests) and after (harm).

    | load | least requests | by harm |
    | --- | --- | --- |
    | short at the peak, few long | short 0.96, long 0.00 | 1.00, 1.00 |
    | long at the peak, few short | short 0.80, long 0.00 | 0.90, 1.00 |
    """

    def test_short_prompts_at_the_peak(self):
        """Load: 34 short prompts a second, some middle and few long ones."""
        rates = {SHORT: 34.0, MIDDLE: 0.4, LONG: 0.2}
        before = _shares(_play(rates, emulator.least_requests))
        after = _shares(_play(rates, emulator.spread_by_harm))
        self.assertGreater(after["short"], 0.95)
        self.assertGreater(after["short"], before["short"])
        self.assertGreater(after["long"], before["long"])

    def test_long_prompts_at_the_peak(self):
        """Load: 1.2 long prompts a second among five short ones."""
        rates = {SHORT: 5.0, MIDDLE: 0.9, LONG: 1.2}
        before = _shares(_play(rates, emulator.least_requests))
        after = _shares(_play(rates, emulator.spread_by_harm))
        self.assertGreater(after["long"], 0.75)
        self.assertGreater(after["middle"], before["middle"])
        self.assertGreater(after["short"], before["short"])

    def test_answers_are_gathered(self):
        """Load: 20 short prompts a second, one middle and 0.8 long ones.

        Answers that stand at every engine are in the way of every long part.
        Short prompts in time without and with gathering: 0.93 and 0.99.
        """
        rates = {SHORT: 20.0, MIDDLE: 1.0, LONG: 0.8}
        with mock.patch.object(planner, "PACK_COST", 0.0):
            before = _shares(_play(rates, emulator.spread_by_harm, 2))
        after = _shares(_play(rates, emulator.spread_by_harm, 2))
        self.assertGreater(after["short"], 0.98)
        self.assertGreater(after["short"] - before["short"], 0.05)
        self.assertGreater(after["long"], 0.9)

    def test_placements_are_told_at_once(self):
        """Load: 40 short prompts a second at eight instances, few long ones.

        Answers are gathered, so instances that have not heard of each other's
        last placements choose the same engine, and whoever comes to a full one
        waits for an answer there to end.
        """
        rates = {SHORT: 40.0, MIDDLE: 0.8, LONG: 0.1}
        late = [0, 0]
        for seed in (1, 2, 3):
            for number, told_after_s in enumerate((0.005, 0.001)):
                served = _play(
                    rates,
                    emulator.spread_by_harm,
                    seed,
                    instances=8,
                    told_after_s=told_after_s,
                )
                short = [s for s in served if s.arrival.prompt == SHORT]
                late[number] += sum(not s.in_time() for s in short)
        self.assertLess(late[1], 0.6 * late[0])

    def test_short_prompts_are_hardly_slowed_by_long_ones(self):
        """Load: the same short prompts with and without long ones beside."""
        alone = _play({SHORT: 14.0}, emulator.spread_by_harm)
        mixed = _play({SHORT: 14.0, LONG: 0.4}, emulator.spread_by_harm)
        slow = _quantile(mixed, 0.99) / _quantile(alone, 0.99)
        self.assertLess(slow, 1.2)

    def test_over_capacity_nothing_is_placed_for_ever(self):
        """Load: four long prompts a second, twice what the engines can read.

        All that are served come to an end, and short ones still get through.
        """
        rates = {SHORT: 5.0, LONG: 4.0}
        served = _play(rates, emulator.spread_by_harm)
        shares = _shares(served)
        self.assertGreater(shares["short"], 0.3)

    def test_one_slow_engine_gets_less(self):
        """Load: one of the engines failed of late and may fail again."""
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
