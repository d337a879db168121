"""Split of a pool between long-prompt and short-prompt targets."""

import unittest

from copperloom.decisions import pool_split


def split_sizes(utilisations, *, targets=20, max_size=12, step_s=1.0):
    """Returns the sizes of the split after each update."""
    split = pool_split.PoolSplit()
    sizes = []
    for step, utilisation in enumerate(utilisations):
        pool_split.adjust(split, targets, max_size, utilisation, step * step_s)
        sizes.append(split.size)
    return sizes


class PoolSplitTest(unittest.TestCase):
    def test_short_floor_is_rounded_up(self):
        self.assertEqual(pool_split.max_long_targets(15, 0.4), 9)
        self.assertEqual(pool_split.max_long_targets(3, 0.4), 1)
        self.assertEqual(pool_split.max_long_targets(1, 0.4), 1)

    def test_split_shrinks_slowly_and_grows_faster(self):
        sizes = split_sizes([0.0] * 600 + [1.0] * 100)
        self.assertEqual(sizes[0], 12)
        self.assertEqual(sizes[599], 1)
        self.assertGreater(sizes[100], 8)
        self.assertEqual(sizes[699], 12)

    def test_split_is_stable_between_the_thresholds(self):
        """Guards against oscillation at a moderate utilisation."""
        sizes = split_sizes([0.3, 0.55] * 300)
        self.assertEqual(len(set(sizes[60:])), 1)

    def test_split_never_exceeds_its_maximum(self):
        """Guards against too many long targets after the pool has shrunk."""
        split = pool_split.PoolSplit()
        for step in range(100):
            max_size = 12 if step < 50 else 4
            pool_split.adjust(split, 20, max_size, 1.0, step * 10.0)
            self.assertLessEqual(split.size, max_size)
