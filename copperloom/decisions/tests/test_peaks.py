"""Loads are drawn and rated as specified by their data sheets."""

import random
import unittest

from copperloom.decisions import plans
from copperloom.decisions.tests import emulator, peaks, sheets

_SHEET = sheets.SHEETS["wroclaw"]


def _served(kind: sheets.Kind, first_s, gap_s=0.0) -> emulator.Served:
    prompt = plans.Prompt(
        kind.tokens, 100, kind.objective_s, kind.gap_objective_s
    )
    return emulator.Served(emulator.Arrival(0.0, prompt), first_s, gap_s)


class SheetTest(unittest.TestCase):
    def test_lengths_and_rates(self):
        load = sheets.arrivals(_SHEET, random.Random(1), 400.0, 1.0)
        short = [a for a in load if a.prompt.first_token_aim_s == 0.3]
        self.assertAlmostEqual(len(short) / 400, 14.3, delta=1.0)
        mean = sum(a.prompt.tokens for a in short) / len(short)
        self.assertAlmostEqual(mean, 4960, delta=400)

    def test_worth_share(self):
        """Covers met and missed objectives, refusals and abandoned streams."""
        kind = _SHEET.kinds[0]
        late_share = kind.late_worth / kind.worth
        for first_s, gap_s, share in (
            (0.2, 0.1, 1.0),
            (0.9, 0.1, late_share),
            (0.2, 0.4, late_share),
            (None, 0.0, 0.0),
            (2.5, 0.1, 0.0),
            (0.2, 2.2, 0.0),
        ):
            shares = sheets.worth_share(_SHEET, [_served(kind, first_s, gap_s)])
            self.assertAlmostEqual(shares["all"], share)


class PeaksTest(unittest.TestCase):
    def test_more_worth_is_served_than_by_least_requests(self):
        before = peaks.play(_SHEET, "least_requests", 3, 20.0, 2.4)
        after = peaks.play(_SHEET, "copperloom", 3, 20.0, 2.4)
        self.assertLess(before["all"], 0.75)
        self.assertGreater(after["all"], 0.9)
        self.assertGreater(after["short"], 0.92)
