"""Tests what an instance believes about evacuations, and what it passes on."""

import itertools
import unittest

from copperloom.decisions import evacuation
from copperloom.decisions.evacuation import Report
from copperloom.decisions.sharing import Occasion


def _record(known, *reports, now: float = 0.0, forwards: bool = True):
    return evacuation.record(known, reports, now, forwards=forwards)


def _shared(known, now: float, occasion=Occasion.BROADCAST) -> list[Report]:
    return evacuation.to_share(known, now, occasion)


class VersionTest(unittest.TestCase):
    def test_any_order_of_reports_gives_the_highest_version(self):
        """Guards against an end that arrives after the row issued again."""
        reports = [Report("a", v, v != 2) for v in (1, 2, 3)]
        for order in itertools.permutations(reports):
            known = evacuation.Evacuations()
            for report in order:
                _record(known, report)
            self.assertEqual(evacuation.active(known), {"a"})
            self.assertEqual(known.known["a"].report.version, 3)

    def test_older_copy_of_the_table_changes_nothing(self):
        """Guards against an old copy that ends or revives an evacuation."""
        known = evacuation.Evacuations()
        _record(known, Report("a", 8, True), Report("b", 5, True))
        _record(known, Report("b", 9, False))
        old = [Report("b", 5, True)]
        self.assertEqual(evacuation.record_whole(known, old, 7, 99.0), [])
        self.assertEqual(evacuation.active(known), {"a"})

    def test_whole_table_without_a_row_ends_an_evacuation(self):
        """Guards against an evacuation whose removal nobody saw."""
        known = evacuation.Evacuations()
        _record(known, Report("a", 3, True), Report("b", 4, True))
        rows = [Report("b", 4, True)]
        (change,) = evacuation.record_whole(known, rows, 9, 0.0)
        self.assertTrue(change.has_ended)
        self.assertEqual(evacuation.active(known), {"b"})

    def test_names_without_targets_are_bounded(self):
        """Guards against rows that fill memory and keep real ones out."""
        known = evacuation.Evacuations()
        for number in range(evacuation.MAX_KNOWN + 50):
            _record(known, Report(f"x{number}", 1, True))
        evacuation.record(
            known, [Report("a", 2, True)], 0.0, forwards=True, with_targets="a"
        )
        _record(known, Report("", 3, True), Report("y" * 999, 3, True))
        self.assertEqual(len(known.known), evacuation.MAX_KNOWN + 1)
        self.assertIn("a", evacuation.active(known))


class SharingTest(unittest.TestCase):
    def test_every_message_names_what_is_in_force(self):
        """Guards against an instance that starts between two broadcasts."""
        known = evacuation.Evacuations()
        _record(known, Report("a", 1, True), forwards=False)
        for now in (0.0, 0.01, 500.0):
            for occasion in Occasion:
                self.assertEqual(len(_shared(known, now, occasion)), 1)

    def test_end_is_shared_for_a_time_only(self):
        """Guards against messages that grow with each evacuation for ever."""
        known = evacuation.Evacuations()
        _record(known, Report("a", 1, True))
        _record(known, Report("a", 2, False), now=10.0)
        self.assertEqual(len(_shared(known, 10.0)), 1)
        self.assertEqual(_shared(known, 10.05), [])
        self.assertEqual(len(_shared(known, 12.0)), 1)
        late = 10.0 + evacuation.TOMBSTONE_S + 1.0
        self.assertEqual(_shared(known, late), [])
        self.assertEqual(len(_shared(known, late, Occasion.START)), 1)
