"""Differences of a table between versions."""

import unittest

from copperloom.decisions import rowlog
from copperloom.versions import Version


def _row(key, number, value):
    return rowlog.Row(key, Version(0, number), value)


def _log(*rows, floor=0):
    log = rowlog.RowLog()
    rowlog.replace(log, [_row(*row) for row in rows], Version(0, floor))
    return log


class RowLogTest(unittest.TestCase):
    def test_rows_that_a_whole_table_lacks_count_as_removed(self):
        """Guards against differences without removals that no row tells of."""
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        rowlog.replace(log, [_row("b", 4, b"2")], Version(0, 9))
        self.assertEqual(
            rowlog.since(log, Version(0, 4)),
            rowlog.Difference(False, (_row("a", 9, None),)),
        )
        self.assertTrue(rowlog.since(log, Version(0, 3)).whole)

    def test_fingerprint_tells_rows_and_not_removals(self):
        """Guards against fetches between instances with the same rows."""
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        other = _log(("b", 4, b"2"), floor=9)
        self.assertNotEqual(rowlog.fingerprint(log), rowlog.fingerprint(other))
        rowlog.update(log, [_row("a", 7, None)])
        self.assertEqual(rowlog.fingerprint(log), rowlog.fingerprint(other))
        rowlog.update(log, [_row("b", 8, b"2")])
        self.assertNotEqual(rowlog.fingerprint(log), rowlog.fingerprint(other))

    def test_difference_has_only_changed_rows(self):
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        rowlog.update(log, [rowlog.Row("b", Version(0, 7), b"3")])
        difference = rowlog.since(log, Version(0, 4))
        self.assertFalse(difference.whole)
        self.assertEqual(
            difference.rows, (rowlog.Row("b", Version(0, 7), b"3"),)
        )

    def test_difference_has_removed_rows(self):
        log = _log(("a", 3, b"1"), floor=3)
        rowlog.update(log, [rowlog.Row("a", Version(0, 5), None)])
        self.assertEqual(
            rowlog.since(log, Version(0, 3)).rows,
            (rowlog.Row("a", Version(0, 5), None),),
        )

    def test_whole_table_is_returned_for_a_version_before_the_floor(self):
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        rowlog.update(log, [rowlog.Row("a", Version(0, 5), None)])
        difference = rowlog.since(log, Version(0, 2))
        self.assertTrue(difference.whole)
        self.assertEqual(
            difference.rows, (rowlog.Row("b", Version(0, 4), b"2"),)
        )

    def test_delayed_older_rows_are_ignored(self):
        log = _log(("a", 5, b"new"), floor=5)
        rowlog.update(log, [rowlog.Row("a", Version(0, 4), b"old")])
        self.assertEqual(log.rows["a"].value, b"new")

    def test_whole_table_is_returned_for_a_version_of_another_era(self):
        """Guards against a difference between two eras."""
        log = rowlog.RowLog()
        row = rowlog.Row("a", Version(2, 3), b"1")
        rowlog.replace(log, [row], Version(2, 3))
        difference = rowlog.since(log, Version(1, 90))
        self.assertEqual(difference, rowlog.Difference(True, (row,)))

    def test_removed_rows_are_bounded(self):
        """Removed rows must not accumulate while targets come and go.

        An instance that missed the oldest removals gets the whole table.
        """
        log = _log()
        count = rowlog.MAX_REMOVED + 5
        for number in range(count):
            row = rowlog.Row(f"t{number}", Version(0, number + 1), None)
            rowlog.update(log, [row])
        self.assertEqual(len(log.rows), rowlog.MAX_REMOVED)
        self.assertTrue(rowlog.since(log, Version(0, 4)).whole)
        self.assertFalse(rowlog.since(log, Version(0, 5)).whole)
