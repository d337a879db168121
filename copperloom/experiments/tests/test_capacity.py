"""Capacity: the slopes are of the right kind; no figure is judged here."""

import dataclasses
import unittest

from copperloom.controllers import reservation_owners
from copperloom.experiments import control, sizes, slopes, worked

_SMALL = dataclasses.replace(sizes.DESIGN, organisations=200, runners=500)


def by_name(figures) -> dict[str, slopes.Figure]:
    return {f.name: f for f in figures}


class SlopesTest(unittest.TestCase):
    def test_configuration_of_a_size(self):
        cfg = slopes.configuration_of(_SMALL)
        self.assertEqual(len(cfg.organisations), 200)
        self.assertEqual(len(cfg.targets), 500)

    def test_memory_adds_up(self):
        got = by_name(slopes.memory_figures(_SMALL))
        parts = (
            200 * got["an organisation, memory"].value
            + 500 * got["a target, memory"].value
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


class ControlTest(unittest.TestCase):
    def test_controllers_of_a_size(self):
        state = control.state_of(_SMALL, 1.0)
        self.assertEqual(len(state.members), _SMALL.daemons - 1)
        for figure in control.controller_figures(_SMALL):
            self.assertGreater(figure.value, 0, figure.name)

    def test_owned_engines_are_those_whose_owner_this_is(self):
        state = control.state_of(_SMALL, 1.0)
        own = state.settings.entry.instance
        wanted = {
            name
            for name in state.cfg.targets
            if reservation_owners.owner_of(state, name, 1.0) == own
        }
        self.assertTrue(wanted)
        self.assertEqual(reservation_owners.owned(state, 1.0).keys(), wanted)


class WorkedTest(unittest.TestCase):
    """The arithmetic, on slopes that make it easy to follow."""

    ONES = worked.Measured(*[1.0] * len(dataclasses.fields(worked.Measured)))

    def row(self, what: str, size=sizes.DESIGN) -> worked.Row:
        found = worked.rows(self.ONES, size)
        return next(r for r in found if r.what == what)

    def test_head_reads_grow_with_the_daemons(self):
        self.assertEqual(self.row("reads of the head").reads_per_s, 370)
        self.assertEqual(self.row("reads of the head").bytes_per_s, 1)

    def test_watched_engines_do_not_grow_with_the_runners(self):
        twice = dataclasses.replace(sizes.DESIGN, runners=2800)
        name = "load reports"
        self.assertEqual(self.row(name), self.row(name, twice))

    def test_keyed_requests_write_two_rows_each(self):
        rows = self.row("idempotency records").writes_per_s
        self.assertAlmostEqual(rows, 2 * 0.03 * 5400)

    def test_totals(self):
        found = worked.rows(self.ONES, sizes.DESIGN)
        total = worked.totals(found)
        self.assertAlmostEqual(
            total.bytes_per_s, sum(r.bytes_per_s for r in found)
        )
