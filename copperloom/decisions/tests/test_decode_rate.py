"""Slow engines are told from busy ones."""

import unittest

from copperloom.decisions import decode_rate, iterations
from copperloom.decisions.tests.test_planner import ENGINE

_IDLE_S = iterations.iteration_s(ENGINE, 1, 5000)
_READING_S = 0.14


def _seen(pauses) -> list[bool]:
    stream = decode_rate.RecentPauses()
    found = []
    for pause_s in pauses:
        decode_rate.record_pause(stream, pause_s)
        found.append(decode_rate.is_slow(stream, ENGINE, 5000))
    return found


class PaceTest(unittest.TestCase):
    def test_engine_that_works_four_times_as_long(self):
        """All pauses grow; the third one tells, and it is told on and on."""
        seen = _seen([4 * _IDLE_S] * 6)
        self.assertEqual(seen, [False, False, True, False, False, True])

    def test_readings_beside_an_answer(self):
        busy = [_IDLE_S + _READING_S, _IDLE_S, _IDLE_S + _READING_S]
        self.assertNotIn(True, _seen(busy * 4))

    def test_full_engine(self):
        full_s = iterations.iteration_s(
            ENGINE, ENGINE.slots, ENGINE.kv_tokens // 4
        )
        self.assertNotIn(True, _seen([full_s] * 10))
