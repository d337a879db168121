"""Tests what the targets of a service leave to a request."""

import unittest

from copperloom.decisions import limit_schedule, target_room
from copperloom.decisions.tests.fixtures import NOW, TARGET, limited


class MaxWaitTest(unittest.TestCase):
    def _wait_s(self, **changes) -> float:
        request = {"aim_s": 1.0, "waited_s": 0.0, "left_s": 10.0}
        return target_room.max_wait_s(
            **request | {"all_limited": False} | changes
        )

    def test_other_targets_are_tried_first(self):
        """Guards against requests that queue while other targets are free."""
        self.assertLess(self._wait_s(), self._wait_s(all_limited=True))

    def test_time_is_left_for_the_answer(self):
        """Guards against requests that are held until their deadline."""
        self.assertEqual(self._wait_s(waited_s=2.0, all_limited=True), 0.0)
        wait_s = self._wait_s(left_s=0.5, all_limited=True)
        self.assertLess(wait_s, 0.25)
        self.assertEqual(self._wait_s(left_s=-1.0), 0.0)


class RoomTest(unittest.TestCase):
    def _room(self, known, *targets: str) -> target_room.Room:
        return target_room.find_room(
            known,
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
