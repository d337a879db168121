"""Tests the bounds of answers, without network."""

import unittest

from copperloom.decisions import answer_limits, framing

_MEMORY_BYTES = 152_000_000.0
_MEGABYTE = 1_000_000


def _fill(memory, bodies, size: int, times: int) -> list[answer_limits.Body]:
    """Adds bytes to all bodies in turn; returns those that were ended."""
    ended = []
    for _ in range(times):
        for body in [b for b in bodies if not b.is_ended]:
            found = answer_limits.add_bytes(memory, body, size)
            if found is not None:
                ended.append(found)
    return ended


class BodyMemoryTest(unittest.TestCase):
    def test_endless_bodies_stay_within_the_memory(self):
        """Guards against many bodies that are each within their bound."""
        memory = answer_limits.BodyMemory(_MEMORY_BYTES)
        bodies = [answer_limits.Body(is_announced=False) for _ in range(40)]
        ended = _fill(memory, bodies, 65_536, 10)
        held = sum(b.size for b in bodies if not b.is_ended)
        self.assertTrue(ended)
        self.assertLess(held, 20 * _MEGABYTE)

    def test_announced_body_outlasts_endless_ones(self):
        """Guards against hostile targets that end the answers of others."""
        memory = answer_limits.BodyMemory(_MEMORY_BYTES)
        announced = answer_limits.Body(is_announced=True)
        _fill(memory, [announced], _MEGABYTE, 15)
        bodies = [answer_limits.Body(is_announced=False) for _ in range(8)]
        self.assertTrue(_fill(memory, bodies, _MEGABYTE, 20))
        self.assertFalse(announced.is_ended)

    def test_complete_body_is_not_ended(self):
        """Guards against the loss of an answer that is ready."""
        memory = answer_limits.BodyMemory(_MEMORY_BYTES)
        ready = answer_limits.Body(is_announced=False)
        _fill(memory, [ready], _MEGABYTE, 15)
        ready.is_complete = True
        growing = answer_limits.Body(is_announced=False)
        ended = _fill(memory, [growing], _MEGABYTE, 3)
        self.assertEqual(ended, [growing])

    def test_short_bodies_are_never_ended(self):
        """Guards against refusals of usual answers when there are many."""
        memory = answer_limits.BodyMemory(_MEMORY_BYTES)
        bodies = [answer_limits.Body(is_announced=False) for _ in range(2000)]
        self.assertEqual(_fill(memory, bodies, 60_000, 1), [])


def _is_framing_too_long(framing_bytes: int, body_bytes: int) -> bool:
    counted = framing.Framing()
    bound = answer_limits.FRAMING
    return framing.add(counted, bound, framing_bytes, body_bytes)


class BoundTest(unittest.TestCase):
    def test_bounds_follow_memory_and_tokens(self):
        """Guards against a bound that small instances cannot hold."""
        self.assertEqual(answer_limits.max_body_bytes(80e6), 10_000_000)
        self.assertEqual(answer_limits.max_body_bytes(1e9), 16_000_000)
        short = answer_limits.max_stream_bytes(200, 1e9)
        self.assertLess(short, 1_200_000)
        self.assertGreater(answer_limits.max_stream_bytes(0, 1e9), short)

    def test_small_chunks_are_bounded_before_the_body(self):
        """Guards against chunks of one byte that take the event loop."""
        self.assertTrue(_is_framing_too_long(600_000, 120_000))
        self.assertFalse(_is_framing_too_long(100_000, 16_000))
        self.assertFalse(_is_framing_too_long(1_500_000, 16 * _MEGABYTE))


class PaceTest(unittest.TestCase):
    def test_usual_stream_never_waits(self):
        """Guards against delays of streams of a fast engine."""
        pace = answer_limits.Pace()
        for number in range(5000):
            delay_s = answer_limits.pause_s(pace, 200, number * 0.00085)
            self.assertEqual(delay_s, 0.0)

    def test_fast_stream_gets_a_burst_and_then_its_rate(self):
        """Guards against one stream that takes the loop from others."""
        pace = answer_limits.Pace()
        now = 0.0
        read = 0
        while now < 10.0:
            read += 65_536
            now += answer_limits.pause_s(pace, 65_536, now)
        self.assertLess(read, 4_000_000)
        self.assertGreater(read, 3_500_000)
