"""Tests that the C library returns memory."""

import subprocess
import sys
import unittest

# Blocks of rising size, as bodies have; prints what stays resident, in bytes.
_PROGRAM = """
import resource
from copperloom.utils import heap
heap.return_large_blocks()
blocks = [b"x" * size for size in range(100_000, 2_000_000, 10_000)]
keep = [b"y" * 500 for _ in range(1000)]
del blocks
heap.trim()
with open("/proc/self/statm") as statm:
    print(int(statm.read().split()[1]) * resource.getpagesize())
"""
_MAX_BYTES = 60_000_000


class HeapTest(unittest.TestCase):
    def test_released_blocks_are_returned(self):
        """Guards against memory that stays resident after a burst."""
        run = subprocess.run(
            [sys.executable, "-c", _PROGRAM],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertLess(int(run.stdout), _MAX_BYTES)
