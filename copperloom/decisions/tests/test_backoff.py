"""Tests the holds of targets that reject requests, without a network."""

import unittest

from copperloom.decisions import backoff
from copperloom.decisions.sharing import Occasion


class BackoffTest(unittest.TestCase):
    def test_latest_end_counts(self):
        """Guards against a later answer that shortens the time."""
        known = backoff.Backoff()
        backoff.hold(known, "t@1", 9.0, 0.0)
        backoff.hold(known, "t@1", 1.0, 0.5)
        self.assertEqual(backoff.wait_s(known, "t@1", 1.0), 8.0)
        backoff.hold(known, "t@1", 9.0, 1.0)
        self.assertEqual(backoff.wait_s(known, "t@1", 1.0), 9.0)

    def test_hold_ends_with_its_time_and_with_the_start(self):
        """Guards against a target that is out for good."""
        known = backoff.Backoff()
        backoff.hold(known, "t@1", 9.0, 0.0)
        self.assertTrue(backoff.is_held(known, "t@1", 8.9))
        self.assertFalse(backoff.is_held(known, "t@1", 9.0))
        self.assertFalse(backoff.is_held(known, "t@2", 1.0))

    def test_no_time_is_no_hold(self):
        known = backoff.Backoff()
        backoff.hold(known, "t@1", 0.0, 1.0)
        self.assertEqual(known.until, {})

    def test_ended_holds_are_dropped(self):
        """Guards against memory that each start of a target takes."""
        known = backoff.Backoff()
        for number in range(100):
            backoff.hold(known, f"t@{number}", 0.5, float(number))
        self.assertEqual(list(known.until), ["t@99"])

    def test_hint_is_no_hold(self):
        """Guards against a hold that the target did not ask this one for."""
        known = backoff.Backoff()
        self.assertTrue(backoff.hint(known, "t@1", 2.0, 0.0))
        self.assertFalse(backoff.hint(known, "t@1", 1.0, 0.0))
        self.assertTrue(backoff.is_hinted(known, "t@1", 1.9))
        self.assertFalse(backoff.is_held(known, "t@1", 1.9))
        self.assertFalse(backoff.is_hinted(known, "t@1", 2.0))

    def test_hint_ends_soon_without_messages(self):
        """Guards against a target that one cut-off instance takes out."""
        known = backoff.Backoff()
        backoff.hint(known, "t@1", 3600.0, 0.0)
        later = backoff.MAX_HINT_S
        self.assertFalse(backoff.is_hinted(known, "t@1", later))

    def test_hints_take_bounded_memory(self):
        known = backoff.Backoff()
        for number in range(2 * backoff.MAX_HINTS):
            backoff.hint(known, f"t@{number}", 1.0, 0.0)
        self.assertEqual(len(known.hinted), backoff.MAX_HINTS)

    def test_only_own_holds_are_shared(self):
        """Guards against hints that instances pass on again and again."""
        known = backoff.Backoff()
        backoff.hint(known, "t@1", 2.0, 0.0)
        backoff.hold(known, "t@2", 2.0, 0.0)
        shared = backoff.to_share(known, 0.5, 60, Occasion.BROADCAST)
        self.assertEqual(shared, {"t@2": 1500})
        again = backoff.to_share(known, 0.501, 60, Occasion.BROADCAST)
        self.assertEqual(again, {})
