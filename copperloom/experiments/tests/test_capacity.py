"""Tests of the capacity measurements; none bounds a measured cost."""

import dataclasses
import unittest

from copperloom.controllers import reservation_owners
from copperloom.experiments import control, sizes, slopes, worked

_SMALL = dataclasses.replace(sizes.DESIGN, organisations=200, runners=500)


def by_name(figures) -> dict[str, slopes.Figure]:
    return {f.name: f for f in figures}


class SlopesTest(unittest.TestCase):
    def test_configuration_has_the_entities_of_the_size(self):
        cfg = slopes.configuration_of(_SMALL)
        self.assertEqual(len(cfg.organisations), 200)
        self.assertEqual(len(cfg.targets), 500)

    def test_memory_of_entities_is_most_of_the_configuration(self):
        figures = by_name(slopes.memory_figures(_SMALL))
        entity_bytes = (
            200 * figures["an organisation, memory"].value
            + 500 * figures["a target, memory"].value
        )
        total_bytes = figures["configuration, memory"].value
        self.assertLess(entity_bytes, total_bytes)
        self.assertGreater(entity_bytes, total_bytes / 2)

    def test_measured_costs_are_positive(self):
        for figure in (
            *slopes.change_figures(_SMALL),
            *slopes.snapshot_figures(_SMALL),
            *slopes.digest_figures(),
        ):
            self.assertGreater(figure.value, 0, figure.name)


class ControlTest(unittest.TestCase):
    def test_state_has_the_members_of_the_size(self):
        state = control.state_of(_SMALL, 1.0)
        self.assertEqual(len(state.members), _SMALL.entries - 1)
        for figure in control.controller_figures(_SMALL):
            self.assertGreater(figure.value, 0, figure.name)

    def test_owned_targets_are_those_owned_by_this_instance(self):
        state = control.state_of(_SMALL, 1.0)
        own = state.settings.entry.instance
        expected = {
            name
            for name in state.cfg.targets
            if reservation_owners.owner_of(state, name, 1.0) == own
        }
        self.assertTrue(expected)
        self.assertEqual(
            reservation_owners.owned_engines(state, 1.0).keys(), expected
        )


class WorkedTest(unittest.TestCase):
    """The cost of an entry when every unit cost is one."""

    UNIT_COSTS = worked.UnitCosts(
        *[1.0] * len(dataclasses.fields(worked.UnitCosts))
    )

    def row(self, what: str, size=sizes.DESIGN) -> worked.Row:
        found = worked.rows(self.UNIT_COSTS, size)
        return next(r for r in found if r.what == what)

    def test_head_reads_grow_with_the_entries(self):
        self.assertEqual(self.row("reads of the head").reads_per_s, 370)
        self.assertEqual(self.row("reads of the head").bytes_per_s, 1)

    def test_load_reports_do_not_grow_with_the_targets(self):
        doubled = dataclasses.replace(sizes.DESIGN, runners=2800)
        name = "load reports"
        self.assertEqual(self.row(name), self.row(name, doubled))

    def test_request_with_a_key_writes_two_rows(self):
        rows = self.row("idempotency records").writes_per_s
        self.assertAlmostEqual(rows, 2 * 0.03 * 5400)

    def test_totals_are_the_sums_of_the_rows(self):
        found = worked.rows(self.UNIT_COSTS, sizes.DESIGN)
        total = worked.totals(found)
        self.assertAlmostEqual(
            total.bytes_per_s, sum(r.bytes_per_s for r in found)
        )
