"""Log lines on standard output are bounded and never block."""

import os
import unittest

from copperloom import logs


class BoundedWriterTest(unittest.TestCase):
    def setUp(self):
        self.read, self.write = os.pipe()
        self.addCleanup(os.close, self.read)
        self.addCleanup(os.close, self.write)
        self.writer = logs.BoundedWriter(self.write)

    def test_lines_go_out(self):
        self.writer.write("event=a", 0.0)
        self.assertEqual(os.read(self.read, 100), b"event=a\n")

    def test_reader_that_stops_blocks_nobody(self):
        """Nobody reads; the process goes on and says what it dropped."""
        line = "x" * 1000
        for step in range(3000):
            self.writer.write(line, step * 0.01)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLess(self.writer.waiting_bytes, 300_000)
        os.set_blocking(self.read, False)
        got = b""
        for _ in range(200):
            try:
                got += os.read(self.read, 1 << 16)
            except BlockingIOError:
                self.writer.flush()
        self.writer.write("event=last", 1e6)
        got += os.read(self.read, 1 << 16)
        self.assertIn(b"event=log_lines_dropped count=", got)

    def test_flood_is_cut_to_a_rate(self):
        for _ in range(5000):
            self.writer.write("e", 0.0)
        self.assertEqual(
            self.writer.dropped, 5000 - int(logs.BoundedWriter.BURST)
        )
