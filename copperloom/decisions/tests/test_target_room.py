"""Tests what the targets of a service leave to a request."""

import unittest

from copperloom.decisions import (
    backoff,
    limit_schedule,
    target_limits,
    target_room,
)
from copperloom.decisions.tests.fixtures import NOW, TARGET, limited


class MaxWaitTest(unittest.TestCase):
    def _wait_s(self, **changes) -> float:
        request = {"aim_s": 1.0, "waited_s": 0.0, "left_s": 10.0}
        return target_room.max_wait_s(
            **request | {"all_constrained": False} | changes
        )

    def test_other_targets_are_tried_first(self):
        """Guards against requests that queue while other targets are free."""
        self.assertLess(self._wait_s(), self._wait_s(all_constrained=True))

    def test_time_is_left_for_the_answer(self):
        """Guards against requests that are held until their deadline."""
        self.assertEqual(self._wait_s(waited_s=2.0, all_constrained=True), 0.0)
        wait_s = self._wait_s(left_s=0.5, all_constrained=True)
        self.assertLess(wait_s, 0.25)
        self.assertEqual(self._wait_s(left_s=-1.0), 0.0)


class RoomTest(unittest.TestCase):
    def setUp(self):
        self.holds = backoff.Backoff()

    def _room(self, known, *targets: str) -> target_room.Room:
        return target_room.find_room(
            known,
            self.holds,
            {t: t for t in targets},
            NOW,
            aim_s=1.0,
            waited_s=0.0,
            left_s=10.0,
        )

    def test_exhausted_target_is_left_to_others(self):
        """Guards against requests that queue while a target is free."""
        known = limited(1.0)
        limit_schedule.record_wait(known, TARGET, 0.9, NOW)
        room = self._room(known, TARGET, "free")
        self.assertEqual(room.exhausted, (TARGET,))
        self.assertFalse(room.all_limited)

    def test_request_waits_longer_if_all_are_limited(self):
        known = limited(1.0)
        limit_schedule.record_wait(known, TARGET, 0.9, NOW)
        room = self._room(known, TARGET)
        self.assertTrue(room.all_limited)
        self.assertEqual(room.exhausted, ())

    def test_held_target_is_left_to_others(self):
        """Guards against requests that wait while a target is free."""
        backoff.hold(self.holds, TARGET, 0.1, NOW)
        room = self._room(target_limits.TargetLimits(), TARGET, "free")
        self.assertEqual(room.held, {TARGET})
        self.assertEqual(room.hold_s, 0.0)
        self.assertFalse(room.none_in_time)

    def test_short_hold_is_waited_for_if_all_are_held(self):
        backoff.hold(self.holds, TARGET, 0.5, NOW)
        backoff.hold(self.holds, "other", 9.0, NOW)
        room = self._room(target_limits.TargetLimits(), TARGET, "other")
        self.assertEqual(room.hold_s, 0.5)
        self.assertFalse(room.none_in_time)

    def test_long_hold_is_not_waited_for(self):
        """Guards against requests that queue for a time known to be long."""
        backoff.hold(self.holds, TARGET, 9.0, NOW)
        room = self._room(target_limits.TargetLimits(), TARGET)
        self.assertTrue(room.none_in_time)
        self.assertEqual(room.first_s, 9.0)

    def test_targets_that_are_held_or_limited_together_leave_no_room(self):
        """Guards against requests that wait since neither reason is common."""
        known = limited(1.0)
        limit_schedule.record_wait(known, TARGET, 5.0, NOW)
        backoff.hold(self.holds, "other", 9.0, NOW)
        room = self._room(known, TARGET, "other")
        self.assertTrue(room.none_in_time)
        self.assertEqual(room.first_s, 5.0)

    def test_limited_target_has_room_while_the_other_is_held(self):
        backoff.hold(self.holds, "other", 0.2, NOW)
        room = self._room(limited(1.0), TARGET, "other")
        self.assertEqual(room.hold_s, 0.0)
