"""Requests that leave a data centre whose targets are busy."""

import random
import unittest

from copperloom.decisions import choice, inflight, plans, spillover
from copperloom.decisions.tests import emulator, sheets

_PROMPT = plans.Prompt(5000, 800, 0.3, 0.25)
_IN_TIME = plans.Plan("e0", (), 0.03, 0.1, 0.1)
_LATE = plans.Plan("e0", (), 0.03, 0.5, 0.9)


def _places(*busy: float) -> list[spillover.RemoteShard]:
    return [
        spillover.RemoteShard(f"dc-{n}", f"i{n}", f"10.0.0.{n}:1", b)
        for n, b in enumerate(busy)
    ]


def _elsewhere(chosen, busy, *others):
    rng = random.Random(1)
    return spillover.choose_remote(chosen, _PROMPT, busy, _places(*others), rng)


class ElsewhereTest(unittest.TestCase):
    def test_stays_while_there_is_room(self):
        self.assertIsNone(_elsewhere(_IN_TIME, 0.5, 0.0, 0.0))

    def test_leaves_before_it_is_full(self):
        self.assertIsNotNone(_elsewhere(_IN_TIME, 0.9, 0.1, 0.1))

    def test_leaves_if_it_would_be_late_or_finds_no_room(self):
        self.assertIsNotNone(_elsewhere(_LATE, 0.7, 0.1))
        self.assertIsNotNone(_elsewhere(None, 1.0, 0.7))
        self.assertIsNotNone(_elsewhere(plans.Refusal(_LATE), 0.7, 0.1))

    def test_stays_where_all_are_as_busy(self):
        """Sent on and on, requests would only lose time."""
        self.assertIsNone(_elsewhere(None, 1.0, 0.95, 0.9))
        self.assertIsNone(_elsewhere(None, 1.0))

    def test_busyness_counts_slots_and_reading(self):
        reader = inflight.Prefill(0.0, 0.5, 1.0, 1.0, False, None)
        load = inflight.TargetLoad(requests=2, prefills=(reader,))
        idle = plans.Candidate("a", inflight.TargetLoad(), 0.0, 4)
        busy = plans.Candidate("b", load, 0.0, 4)
        self.assertAlmostEqual(spillover.utilisation([idle, busy]), 0.5)
        self.assertEqual(spillover.utilisation([]), 1.0)


_ENGINES = 10
_SHARDS = 3
# Share of the callers that one of three data centres has.
_CROWD = 0.6
# Share of the load of 112 engines that these few get.
_OF_THE_LOAD = 0.24


class _Placer:
    """Places in the caller's data centre, or where its owner sends it."""

    def __init__(self, sheet, *, may_leave: bool):
        self.sheet = sheet
        self.rng = random.Random(7)
        self.may_leave = may_leave
        self.placed = 0
        self.busy = [0.0] * _SHARDS

    def __call__(self, prompt, candidates):
        parts = [
            candidates[n * _ENGINES : (n + 1) * _ENGINES]
            for n in range(_SHARDS)
        ]
        if self.placed % 20 == 0:
            # What others know is old by some tens of placements.
            self.busy = [spillover.utilisation(p) for p in parts]
        self.placed += 1
        crowd = self.rng.random() < _CROWD
        home = 0 if crowd else self.rng.randrange(1, _SHARDS)
        here = choice.choose(self.sheet.spec, prompt, parts[home])
        if not self.may_leave:
            return here
        others = [
            spillover.RemoteShard(str(n), "", "", self.busy[n])
            for n in range(_SHARDS)
            if n != home
        ]
        now = spillover.utilisation(parts[home])
        away = spillover.choose_remote(here, prompt, now, others, self.rng)
        if away is None:
            return here
        there = choice.choose(
            self.sheet.spec, prompt, parts[int(away.data_centre)]
        )
        return there if isinstance(there, plans.Plan) else here


def _short_share(sheet, load, place) -> float:
    served = emulator.play(sheet.spec, _ENGINES * _SHARDS, load, place)
    return sheets.worth_share(sheet, served)["short"]


class CrowdTest(unittest.TestCase):
    def test_one_data_centre_has_most_of_the_callers(self):
        """Three of five callers stand in one of three data centres.

        Its engines have no slots left for seconds; the others are half idle.
        Short prompts that stay wait for an answer to end. Sent on, at
        least half of them are served as if all engines stood together.
        """
        sheet = sheets.SHEETS["wroclaw-large"]
        stay = leave = best = 0.0
        for seed in range(1, 5):
            rng = random.Random(seed)
            load = sheets.arrivals(sheet, rng, 12.0, 2.0)
            load = [a for a in load if rng.random() < _OF_THE_LOAD]
            stay += _short_share(sheet, load, _Placer(sheet, may_leave=False))
            leave += _short_share(sheet, load, _Placer(sheet, may_leave=True))
            together = emulator.spread_by_harm(sheet.spec)
            best += _short_share(sheet, load, together)
        self.assertLess(stay, best)
        self.assertGreater(leave - stay, (best - stay) / 2)
