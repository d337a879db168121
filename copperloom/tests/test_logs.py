"""Guards against logging that blocks the process or fills its memory."""

import os
import unittest

from copperloom import logs


class BoundedWriterTest(unittest.TestCase):
    def setUp(self):
        self.read, self.write = os.pipe()
        self.addCleanup(os.close, self.read)
        self.addCleanup(os.close, self.write)
        self.writer = logs.BoundedWriter(self.write)

    def test_line_is_written(self):
        self.writer.write("event=a", 0.0)
        self.assertEqual(os.read(self.read, 100), b"event=a\n")

    def test_stalled_reader_does_not_block_the_writer(self):
        """Guards against a blocked process when its output is not read.

        Lines beyond the buffer are dropped, and their number is logged.
        """
        line = "x" * 1000
        for step in range(3000):
            self.writer.write(line, step * 0.01)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLess(self.writer.waiting_bytes, 300_000)
        os.set_blocking(self.read, False)
        output = b""
        for _ in range(200):
            try:
                output += os.read(self.read, 1 << 16)
            except BlockingIOError:
                self.writer.flush()
        self.writer.write("event=last", 1e6)
        output += os.read(self.read, 1 << 16)
        self.assertIn(b"event=log_lines_dropped count=", output)

    def test_burst_of_lines_is_rate_limited(self):
        for _ in range(5000):
            self.writer.write("e", 0.0)
        self.assertEqual(
            self.writer.dropped, 5000 - int(logs.BoundedWriter.BURST)
        )
