"""Tests what an instance believes about evacuations, and what it passes on."""

import itertools
import unittest

from copperloom.decisions import evacuation
from copperloom.decisions.evacuation import Report
from copperloom.decisions.sharing import Occasion
from copperloom.versions import Version

_LAPSE_AT = 12.0


def _report(name: str, number: int, active: bool, era: int = 0) -> Report:
    return Report(name, Version(era, number), active)


def _record(known, *reports, now: float = 0.0, forwards: bool = True):
    return evacuation.record(known, reports, now, forwards=forwards)


def _shared(known, now: float, occasion=Occasion.BROADCAST) -> list[Report]:
    return evacuation.to_share(known, now, occasion)


class VersionTest(unittest.TestCase):
    def test_any_order_of_reports_gives_the_highest_version(self):
        """Guards against an end that arrives after the row issued again."""
        reports = [_report("a", v, v != 2) for v in (1, 2, 3)]
        for order in itertools.permutations(reports):
            known = evacuation.Evacuations()
            for report in order:
                _record(known, report)
            self.assertEqual(evacuation.active(known), {"a"})
            self.assertEqual(known.known["a"].report.version, Version(0, 3))

    def test_older_copy_of_the_table_changes_nothing(self):
        """Guards against an old copy that ends or revives an evacuation."""
        known = evacuation.Evacuations()
        _record(known, _report("a", 8, True), _report("b", 5, True))
        _record(known, _report("b", 9, False))
        old = [_report("b", 5, True)]
        self.assertEqual(
            evacuation.record_whole(known, old, Version(0, 7), 99.0), []
        )
        self.assertEqual(evacuation.active(known), {"a"})

    def test_whole_table_without_a_row_ends_an_evacuation(self):
        """Guards against an evacuation whose removal nobody saw."""
        known = evacuation.Evacuations()
        _record(known, _report("a", 3, True), _report("b", 4, True))
        rows = [_report("b", 4, True)]
        (change,) = evacuation.record_whole(known, rows, Version(0, 9), 0.0)
        self.assertTrue(change.has_ended)
        self.assertEqual(evacuation.active(known), {"b"})

    def test_reader_that_never_knew_the_row(self):
        """Guards against an evacuation that goes on as its readers restart."""
        reader = evacuation.Evacuations()
        rows = [_report("b", 4, True)]
        evacuation.record_whole(reader, rows, Version(0, 9), 0.0)
        told = [_report("a", 3, True), _report("b", 4, True)]
        (end,) = evacuation.missed_ends(reader, told)
        self.assertEqual(end, _report("a", 9, False))
        _record(reader, end, *told)
        self.assertEqual(evacuation.active(reader), {"b"})
        self.assertIn(end, _shared(reader, 0.1))
        later = [_report("c", 10, True), _report("d", 3, True, era=1)]
        self.assertEqual(evacuation.missed_ends(reader, later), [])

    def test_names_without_targets_are_bounded(self):
        """Guards against rows that fill memory and keep real ones out."""
        known = evacuation.Evacuations()
        for number in range(evacuation.MAX_KNOWN + 50):
            _record(known, _report(f"x{number}", 1, True))
        evacuation.record(
            known, [_report("a", 2, True)], 0.0, forwards=True, with_targets="a"
        )
        _record(known, _report("", 3, True), _report("y" * 999, 3, True))
        self.assertEqual(len(known.known), evacuation.MAX_KNOWN + 1)
        self.assertIn("a", evacuation.active(known))


class EraTest(unittest.TestCase):
    def test_later_era_counts_whatever_the_number(self):
        """Guards against a row that seems older than an end before a return."""
        known = evacuation.Evacuations()
        _record(known, _report("a", 9, True), _report("a", 10, False))
        _record(known, _report("a", 9, True, era=1))
        self.assertEqual(evacuation.active(known), {"a"})
        _record(known, _report("a", 99, False))
        self.assertEqual(evacuation.active(known), {"a"})

    def test_missing_row_lapses_unless_it_is_written_again(self):
        """Guards against requests while operators write their rows again."""
        known = evacuation.Evacuations()
        _record(known, _report("a", 9, True), _report("b", 10, True))
        version = Version(1, 3)
        changes = evacuation.record_whole(
            known, [], version, 10.0, lapse_at=_LAPSE_AT
        )
        self.assertEqual(changes, [])
        _record(known, _report("a", 4, True, era=1))
        self.assertEqual(evacuation.end_lapsed(known, _LAPSE_AT - 0.1), [])
        self.assertEqual(evacuation.active(known), {"a", "b"})
        (change,) = evacuation.end_lapsed(known, _LAPSE_AT)
        self.assertEqual(change.report.data_centre, "b")
        self.assertEqual(evacuation.active(known), {"a"})
        self.assertEqual(known.lapsing, {})

    def test_missing_row_ends_at_once_after_the_lapse(self):
        """Guards against an evacuation that a late reader keeps for ever."""
        known = evacuation.Evacuations()
        _record(known, _report("a", 9, True))
        (change,) = evacuation.record_whole(
            known, [], Version(1, 3), _LAPSE_AT, lapse_at=_LAPSE_AT
        )
        self.assertTrue(change.has_ended)


class SharingTest(unittest.TestCase):
    def test_every_message_names_what_is_in_force(self):
        """Guards against an instance that starts between two broadcasts."""
        known = evacuation.Evacuations()
        _record(known, _report("a", 1, True), forwards=False)
        for now in (0.0, 0.01, 500.0):
            for occasion in Occasion:
                self.assertEqual(len(_shared(known, now, occasion)), 1)

    def test_end_is_shared_for_a_time_only(self):
        """Guards against messages that grow with each evacuation for ever."""
        known = evacuation.Evacuations()
        _record(known, _report("a", 1, True))
        _record(known, _report("a", 2, False), now=10.0)
        self.assertEqual(len(_shared(known, 10.0)), 1)
        self.assertEqual(_shared(known, 10.05), [])
        self.assertEqual(len(_shared(known, 12.0)), 1)
        late = 10.0 + evacuation.TOMBSTONE_S + 1.0
        self.assertEqual(_shared(known, late), [])
        self.assertEqual(len(_shared(known, late, Occasion.START)), 1)
