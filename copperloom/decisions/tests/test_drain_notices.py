"""Tests the notices of draining targets without a network."""

import unittest

from copperloom.decisions import drain_notices, sharing
from copperloom.decisions.sharing import Occasion

_DRAIN_S = 2.0


def _noted(*incarnations: str, now: float = 0.0) -> drain_notices.DrainNotices:
    known = drain_notices.DrainNotices(_DRAIN_S)
    for incarnation in incarnations:
        drain_notices.note(known, incarnation, now, forwards=True)
    return known


def _share(known, ready, now, occasion=Occasion.BROADCAST, maximum=9):
    return drain_notices.to_share(known, ready, now, maximum, occasion)


class DrainNoticesTest(unittest.TestCase):
    def test_first_notice_counts(self):
        """Guards against a time that each answer moves on."""
        known = _noted("t@1")
        self.assertFalse(drain_notices.note(known, "t@1", 0.9, forwards=True))
        self.assertTrue(drain_notices.is_last_resort(known, "t@1", 0.9))
        self.assertFalse(drain_notices.is_last_resort(known, "t@1", 1.0))

    def test_last_resort_ends_before_the_drain_time(self):
        """Guards against late requests since nothing else is there."""
        known = _noted("t@1")
        self.assertFalse(drain_notices.is_last_resort(known, "t@1", _DRAIN_S))
        self.assertFalse(drain_notices.is_last_resort(known, "u@1", 0.0))

    def test_notice_belongs_to_one_start(self):
        known = _noted("t@1")
        self.assertTrue(drain_notices.is_noted(known, "t@1"))
        self.assertFalse(drain_notices.is_noted(known, "t@2"))

    def test_notices_of_registered_targets_are_never_dropped(self):
        """Guards against a notice that more recent ones push out."""
        names = [f"t{n}@1" for n in range(drain_notices.MAX_GONE + 9)]
        known = _noted("kept@1", *names)
        dropped = drain_notices.drop_oldest_gone(known, {"kept@1"})
        self.assertEqual(dropped, names[:9])
        self.assertTrue(drain_notices.is_noted(known, "kept@1"))
        self.assertEqual(len(known.notices), drain_notices.MAX_GONE + 1)

    def test_new_notice_is_shared_often_and_then_while_it_is_needed(self):
        known = _noted("t@1", "gone@1")
        self.assertEqual(_share(known, {"t@1"}, 0.0), ["t@1", "gone@1"])
        self.assertEqual(_share(known, {"t@1"}, 0.05), [])
        self.assertEqual(_share(known, {"t@1"}, 0.15), ["t@1", "gone@1"])
        later = sharing.FRESH_S + sharing.LASTING_INTERVAL_S
        self.assertEqual(_share(known, {"t@1"}, later), ["t@1"])
        self.assertEqual(_share(known, {"t@1"}, later + 0.1), [])

    def test_starting_member_gets_all_notices(self):
        """Guards against rows that are read before they say it."""
        known = _noted("t@1", "gone@1")
        shared = _share(known, {"t@1"}, 100.0, Occasion.START)
        self.assertEqual(shared, ["t@1", "gone@1"])

    def test_message_holds_needed_notices_first(self):
        known = _noted("gone@1", "t@1", "u@1")
        ready = {"t@1", "u@1"}
        first = _share(known, ready, 0.0, maximum=1)
        second = _share(known, ready, 0.01, maximum=1)
        self.assertEqual([*first, *second], ["t@1", "u@1"])
