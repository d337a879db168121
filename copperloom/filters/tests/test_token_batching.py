"""Tests of when tokens are gathered."""

import unittest

from copperloom.filters import token_batching

_GATHER_S = 0.025


def delays(spacing_s: float, tokens: int, reads: int) -> list[float]:
    """Returns the waits after reads that each bring some tokens."""
    state = token_batching.TokenRate(_GATHER_S)
    return [
        token_batching.delay_s(state, tokens, 1.0 + i * spacing_s * tokens)
        for i in range(reads)
    ]


class PaceTest(unittest.TestCase):
    def test_first_token_is_never_held(self):
        self.assertEqual(delays(0.001, 1, 1), [0.0])

    def test_fast_stream_is_gathered(self):
        self.assertEqual(delays(0.005, 1, 5)[1:], [_GATHER_S] * 4)

    def test_stream_of_the_promised_pace_is_not_held(self):
        """At 72 ms between tokens a wait would add a wake and gather none."""
        self.assertEqual(delays(0.072, 1, 20), [0.0] * 20)

    def test_stream_that_slows_down_is_held_no_more(self):
        state = token_batching.TokenRate(_GATHER_S)
        now = 0.0
        for _ in range(10):
            now += 0.005
            token_batching.delay_s(state, 1, now)
        waits = []
        for _ in range(6):
            now += 0.072
            waits.append(token_batching.delay_s(state, 1, now))
        self.assertEqual(waits[-1], 0.0)

    def test_zero_turns_it_off(self):
        state = token_batching.TokenRate(0.0)
        self.assertEqual(token_batching.delay_s(state, 5, 1.0), 0.0)
        self.assertEqual(token_batching.delay_s(state, 5, 1.001), 0.0)
