"""Tests of the delay that batches tokens."""

import unittest

from copperloom.filters import token_batching

_MAX_DELAY_S = 0.025


def delays(gap_s: float, tokens: int, reads: int) -> list[float]:
    """Returns the delays after reads that return some tokens each."""
    rate = token_batching.TokenRate(_MAX_DELAY_S)
    return [
        token_batching.delay_s(rate, tokens, 1.0 + i * gap_s * tokens)
        for i in range(reads)
    ]


class DelayTest(unittest.TestCase):
    def test_first_token_is_not_delayed(self):
        self.assertEqual(delays(0.001, 1, 1), [0.0])

    def test_fast_stream_is_delayed(self):
        self.assertEqual(delays(0.005, 1, 5)[1:], [_MAX_DELAY_S] * 4)

    def test_slow_stream_is_not_delayed(self):
        """A delay must not slow down a stream whose tokens it cannot batch."""
        self.assertEqual(delays(0.072, 1, 20), [0.0] * 20)

    def test_stream_that_slows_down_is_no_longer_delayed(self):
        rate = token_batching.TokenRate(_MAX_DELAY_S)
        now = 0.0
        for _ in range(10):
            now += 0.005
            token_batching.delay_s(rate, 1, now)
        found = []
        for _ in range(6):
            now += 0.072
            found.append(token_batching.delay_s(rate, 1, now))
        self.assertEqual(found[-1], 0.0)

    def test_zero_disables_delays(self):
        rate = token_batching.TokenRate(0.0)
        self.assertEqual(token_batching.delay_s(rate, 5, 1.0), 0.0)
        self.assertEqual(token_batching.delay_s(rate, 5, 1.001), 0.0)
