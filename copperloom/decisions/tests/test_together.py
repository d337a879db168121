"""Long prompts on the engines of one or of several data centres."""

import random
import statistics
import unittest

from copperloom.decisions.tests import emulator, sheets

_SEEDS = (1, 2)
_SECONDS = 12.0
_BURST = 2.6
_DATA_CENTRES = 3


def _play_separately(sheet: sheets.Sheet, load, rng: random.Random):
    """Plays the load with each data centre using its own engines only."""
    parts = [[] for _ in range(_DATA_CENTRES)]
    for arrival in load:
        rng.choice(parts).append(arrival)
    engines = sheet.engines // _DATA_CENTRES
    place = emulator.place_by_cost
    return [
        served
        for part in parts
        for served in emulator.play(
            sheet.spec, engines, part, place(sheet.spec)
        )
    ]


class LowLatencyDataCentresTest(unittest.TestCase):
    def test_one_pool_serves_a_burst_of_long_prompts_better(self):
        """Separately, long prompts queue while nearby engines are idle."""
        sheet = sheets.SHEETS["wroclaw-shifted"]
        gains = []
        for seed in _SEEDS:
            rng = random.Random(seed)
            load = sheets.arrivals(sheet, rng, _SECONDS, _BURST)
            place = emulator.place_by_cost(sheet.spec)
            served = emulator.play(sheet.spec, sheet.engines, load, place)
            pooled = sheets.worth_share(sheet, served)
            separate = sheets.worth_share(
                sheet, _play_separately(sheet, load, rng)
            )
            self.assertGreaterEqual(pooled["long"], separate["long"])
            gains.append(pooled["all"] - separate["all"])
        self.assertGreater(statistics.fmean(gains), 0.01)
