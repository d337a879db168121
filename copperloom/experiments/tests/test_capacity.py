"""Capacity: the slopes are of the right kind; no figure is judged here."""

import dataclasses
import unittest

from copperloom.experiments import sizes, slopes

_SMALL = dataclasses.replace(sizes.DESIGN, organisations=200, runners=50)


def by_name(figures) -> dict[str, slopes.Figure]:
    return {f.name: f for f in figures}


class SlopesTest(unittest.TestCase):
    def test_configuration_of_a_size(self):
        cfg = slopes.configuration_of(_SMALL)
        self.assertEqual(len(cfg.organisations), 200)
        self.assertEqual(len(cfg.targets), 50)

    def test_memory_adds_up(self):
        got = by_name(slopes.memory_figures(_SMALL))
        parts = (
            200 * got["an organisation, memory"].value
            + 50 * got["a target, memory"].value
        )
        whole = got["configuration, memory"].value
        self.assertLess(parts, whole)
        self.assertGreater(parts, whole / 2)

    def test_figures_are_positive(self):
        for figure in (
            *slopes.change_figures(_SMALL),
            *slopes.snapshot_figures(_SMALL),
            *slopes.digest_figures(),
        ):
            self.assertGreater(figure.value, 0, figure.name)
