"""The border between the long and the short part of a pool."""

import unittest

from copperloom.decisions import pool_split


def play(uses, *, targets=20, most=12, step_s=1.0):
    """Returns the border's sizes after each look."""
    state = pool_split.PoolSplit()
    sizes = []
    for number, use in enumerate(uses):
        pool_split.adjust(state, targets, most, use, number * step_s)
        sizes.append(state.size)
    return sizes


class BorderTest(unittest.TestCase):
    def test_floor_is_rounded_up_for_short_work(self):
        self.assertEqual(pool_split.max_long_targets(15, 0.4), 9)
        self.assertEqual(pool_split.max_long_targets(3, 0.4), 1)
        self.assertEqual(pool_split.max_long_targets(1, 0.4), 1)

    def test_shrinks_slowly_and_grows_faster(self):
        sizes = play([0.0] * 600 + [1.0] * 100)
        self.assertEqual(sizes[0], 12)
        self.assertEqual(sizes[599], 1)
        self.assertGreater(sizes[100], 8)
        self.assertEqual(sizes[699], 12)

    def test_stays_between_the_bounds(self):
        """Use that goes up and down between the bounds moves nothing."""
        sizes = play([0.3, 0.55] * 300)
        self.assertEqual(len(set(sizes[60:])), 1)

    def test_never_more_than_the_floor_leaves(self):
        state = pool_split.PoolSplit()
        for number in range(100):
            most = 12 if number < 50 else 4
            pool_split.adjust(state, 20, most, 1.0, number * 10.0)
            self.assertLessEqual(state.size, most)
