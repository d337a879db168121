"""Tests how often a part that crashes targets is sent, on emulated targets."""

import unittest

from copperloom.decisions.tests import part_emulator

_STABILITY_WINDOW_S = 3.0
_CRASHES = 5
_MAX_LATE = 3
_SEEDS = 5


class LateSendsTest(unittest.TestCase):
    def test_repeated_victims_do_not_hide_a_crashing_part(self):
        """Guards against sound repeats that explain crashes of their own."""
        for targets in (6, 14):
            for sound_per_s, guilty_per_s in ((3, 0.5), (10, 2), (30, 2)):
                for parts in (2, 30):
                    load = part_emulator.Load(
                        sound_per_s, guilty_per_s, parts, targets
                    )
                    for seed in range(_SEEDS):
                        with self.subTest(f"{load} {seed}"):
                            self._check(part_emulator.play(load, seed))

    def _check(self, result: part_emulator.Result) -> None:
        self.assertEqual(result.refused, 0)
        if len(result.crashed_at) < _CRASHES:
            return
        since = result.crashed_at[_CRASHES - 1] + _STABILITY_WINDOW_S
        late = [at for at in result.sent_at if at > since]
        self.assertLessEqual(len(late), _MAX_LATE)
