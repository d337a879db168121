"""Tests the bound of bytes that belong to no body."""

import unittest

from copperloom.decisions import framing

_BOUND = framing.Bound(1000, per_body_byte=16.0, max_credit_bytes=4096)


class FramingTest(unittest.TestCase):
    def test_endless_lines_exceed_the_bound(self):
        """Guards against lines that are counted one by one."""
        counted = framing.Framing()
        self.assertFalse(framing.add(counted, _BOUND, 1000, 0))
        self.assertTrue(framing.add(counted, _BOUND, 1, 0))

    def test_chunks_of_a_byte_are_within_it(self):
        """Guards against refusing a body that comes in small chunks."""
        counted = framing.Framing()
        for _ in range(100_000):
            # The size and the data may arrive separately.
            self.assertFalse(framing.add(counted, _BOUND, 3, 0))
            self.assertFalse(framing.add(counted, _BOUND, 2, 1))

    def test_body_gives_little_credit(self):
        """Guards against trailers that grow with the body before them."""
        counted = framing.Framing()
        self.assertFalse(framing.add(counted, _BOUND, 10, 1_000_000))
        self.assertFalse(framing.add(counted, _BOUND, 4096, 0))
        self.assertTrue(framing.add(counted, _BOUND, 1001, 0))

    def test_bound_without_limited_credit(self):
        counted = framing.Framing()
        bound = framing.Bound(1000, per_body_byte=0.5)
        self.assertFalse(framing.add(counted, bound, 0, 10_000))
        self.assertFalse(framing.add(counted, bound, 6000, 0))
        self.assertTrue(framing.add(counted, bound, 1, 0))
