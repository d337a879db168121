"""Differences of a table between versions."""

import unittest

from copperloom.decisions import rowlog


def _log(*rows, floor=0):
    log = rowlog.RowLog()
    rowlog.replace(log, [rowlog.Row(*row) for row in rows], floor)
    return log


class RowLogTest(unittest.TestCase):
    def test_difference_has_only_changed_rows(self):
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        rowlog.update(log, [rowlog.Row("b", 7, b"3")])
        difference = rowlog.since(log, 4)
        self.assertFalse(difference.whole)
        self.assertEqual(difference.rows, (rowlog.Row("b", 7, b"3"),))

    def test_difference_has_removed_rows(self):
        log = _log(("a", 3, b"1"), floor=3)
        rowlog.update(log, [rowlog.Row("a", 5, None)])
        self.assertEqual(rowlog.since(log, 3).rows, (rowlog.Row("a", 5, None),))

    def test_whole_table_is_returned_for_a_version_before_the_floor(self):
        log = _log(("a", 3, b"1"), ("b", 4, b"2"), floor=4)
        rowlog.update(log, [rowlog.Row("a", 5, None)])
        difference = rowlog.since(log, 2)
        self.assertTrue(difference.whole)
        self.assertEqual(difference.rows, (rowlog.Row("b", 4, b"2"),))

    def test_delayed_older_rows_are_ignored(self):
        log = _log(("a", 5, b"new"), floor=5)
        rowlog.update(log, [rowlog.Row("a", 4, b"old")])
        self.assertEqual(log.rows["a"].value, b"new")

    def test_removed_rows_are_bounded(self):
        """Removed rows must not accumulate while targets come and go.

        An instance that missed the oldest removals gets the whole table.
        """
        log = _log()
        count = rowlog.MAX_REMOVED + 5
        for number in range(count):
            row = rowlog.Row(f"t{number}", number + 1, None)
            rowlog.update(log, [row])
        self.assertEqual(len(log.rows), rowlog.MAX_REMOVED)
        self.assertTrue(rowlog.since(log, 4).whole)
        self.assertFalse(rowlog.since(log, 5).whole)
