"""Slow engines are distinguished from busy ones."""

import unittest

from copperloom.decisions import decode_rate, iterations
from copperloom.decisions.tests.test_planner import ENGINE

_IDLE_S = iterations.iteration_s(ENGINE, 1, 5000)
_PREFILL_S = 0.14


def _detections(gaps) -> list[bool]:
    recent = decode_rate.RecentGaps()
    found = []
    for gap_s in gaps:
        decode_rate.record_gap(recent, gap_s)
        found.append(decode_rate.is_slow(recent, ENGINE, 5000))
    return found


class DecodeRateTest(unittest.TestCase):
    def test_engine_at_a_quarter_of_its_speed_is_slow(self):
        """A detection must be repeated while the engine stays slow."""
        detected = _detections([4 * _IDLE_S] * 6)
        self.assertEqual(detected, [False, False, True, False, False, True])

    def test_prefills_beside_an_answer_are_not_slow(self):
        gaps = [_IDLE_S + _PREFILL_S, _IDLE_S, _IDLE_S + _PREFILL_S]
        self.assertNotIn(True, _detections(gaps * 4))

    def test_full_engine_is_not_slow(self):
        full_s = iterations.iteration_s(
            ENGINE, ENGINE.slots, ENGINE.kv_tokens // 4
        )
        self.assertNotIn(True, _detections([full_s] * 10))
