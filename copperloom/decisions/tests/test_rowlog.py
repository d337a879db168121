"""Differences of a table that instances tell each other."""

import unittest

from copperloom.decisions import rowlog


def _log(*rows, floor=0):
    log = rowlog.RowLog()
    rowlog.replace(log, [rowlog.Row(*row) for row in rows], floor)
    return log


class RowLogTest(unittest.TestCase):
    def test_only_what_changed_is_told(self):
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        rowlog.update(log, [rowlog.Row("b", 7, b"3")])
        told = rowlog.since(log, 4)
        self.assertFalse(told.whole)
        self.assertEqual(told.rows, (rowlog.Row("b", 7, b"3"),))

    def test_removed_rows_are_told(self):
        log = _log(("a", 3, b"1"), floor=3)
        rowlog.update(log, [rowlog.Row("a", 5, None)])
        self.assertEqual(rowlog.since(log, 3).rows, (rowlog.Row("a", 5, None),))

    def test_who_is_too_far_behind_gets_all_that_is_left(self):
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        rowlog.update(log, [rowlog.Row("a", 5, None)])
        told = rowlog.since(log, 2)
        self.assertTrue(told.whole)
        self.assertEqual(told.rows, (rowlog.Row("b", 4, b"2"),))

    def test_late_rows_change_nothing(self):
        log = _log(("a", 5, b"new"), floor=5)
        rowlog.update(log, [rowlog.Row("a", 4, b"old")])
        self.assertEqual(log.rows["a"].value, b"new")

    def test_removed_rows_are_bounded(self):
        """Targets come and go for days.

        What is kept of those that are gone stays small; who missed the oldest
        of them gets the whole table.
        """
        log = _log()
        gone = rowlog.MAX_REMOVED + 5
        for number in range(gone):
            row = rowlog.Row(f"t{number}", number + 1, None)
            rowlog.update(log, [row])
        self.assertEqual(len(log.rows), rowlog.MAX_REMOVED)
        self.assertTrue(rowlog.since(log, 4).whole)
        self.assertFalse(rowlog.since(log, 5).whole)
