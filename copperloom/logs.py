"""Structured logging: one line of key=value pairs per event."""

import collections
import os
import sys
import time

import logbook

__all__ = ["BoundedWriter", "dropped", "event", "setup", "setup_bounded"]

_LOG = logbook.Logger("copperloom")
_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
    "{record.message}"
)


def setup(level: str = "INFO", **common) -> None:
    """Configures logging to standard error.

    Args:
        level: Minimum level of the lines that are written.
        **common: Pairs to append to every line, such as instance=NAME.
    """
    tail = "".join(f" {key}={_quote(value)}" for key, value in common.items())
    handler = logbook.StreamHandler(
        sys.stderr, level=level, format_string=_FORMAT + tail
    )
    handler.push_application()


class BoundedWriter:
    """Writes lines to a file descriptor without ever blocking.

    Otherwise a log reader that stalls would stall the process in the middle of
    a request. Lines are buffered in memory up to a bound, and their rate is
    limited, so that a flood of failures does not use up the processor. Lines
    beyond the bounds are dropped; their count is reported ahead of the next
    line that is accepted.

    Attributes:
        fd: The file descriptor, set to non-blocking mode.
        waiting: Buffered lines that could not be written yet.
        waiting_bytes: Size of the buffered lines.
        dropped: Number of lines dropped so far.
        told: Number of dropped lines already reported.
        left: Number of lines that may be accepted now, as of `at`.
        at: Monotonic time at which `left` was updated.
    """

    MOST_BYTES = 262_144
    # Well above the rate of a busy instance; the burst covers a start or an
    # outage.
    LINES_PER_S = 200.0
    BURST = 1000.0

    def __init__(self, fd: int):
        self.fd = fd
        os.set_blocking(fd, False)
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped = 0
        self.told = 0
        self.left = self.BURST
        self.at = 0.0

    def write(self, line: str, now: float) -> None:
        """Buffers a line, and writes as much as does not block."""
        grown = self.left + (now - self.at) * self.LINES_PER_S
        self.left = min(self.BURST, grown)
        self.at = now
        if self.left < 1.0 or self.waiting_bytes > self.MOST_BYTES:
            self.dropped += 1
            return
        self.left -= 1.0
        if self.dropped > self.told:
            line = f"event=log_lines_dropped count={self.dropped}\n{line}"
            self.told = self.dropped
        self._keep(line.encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as does not block."""
        while self.waiting:
            data = self.waiting[0]
            try:
                written = os.write(self.fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; that must not stop the process.
                self.dropped += len(self.waiting)
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting.popleft()
            self.waiting_bytes -= written
            if written < len(data):
                self.waiting.appendleft(data[written:])

    def _keep(self, data: bytes) -> None:
        self.waiting.append(data)
        self.waiting_bytes += len(data)


class _BoundedHandler(logbook.Handler):
    def __init__(self, writer: BoundedWriter, level: str, format_string: str):
        super().__init__(level=level)
        self.formatter = logbook.StringFormatter(format_string)
        self.writer = writer

    def emit(self, record) -> None:
        self.writer.write(self.format(record), time.monotonic())


_writers: list[BoundedWriter] = []


def setup_bounded(level: str = "INFO", **common) -> BoundedWriter:
    """Configures logging to standard output, bounded and without blocking.

    Args:
        level: Minimum level of the lines that are written.
        **common: Pairs to append to every line.
    """
    tail = "".join(f" {key}={_quote(value)}" for key, value in common.items())
    writer = BoundedWriter(sys.stdout.fileno())
    _writers.append(writer)
    _BoundedHandler(writer, level, _FORMAT + tail).push_application()
    return writer


def dropped() -> int:
    """Returns the number of lines dropped so far."""
    return sum(writer.dropped for writer in _writers)


def event(name: str, *, level: str = "INFO", **pairs) -> None:
    """Logs a line with event=NAME and the pairs, in the order given."""
    text = f"event={name}" + "".join(
        f" {key}={_quote(value)}" for key, value in pairs.items()
    )
    _LOG.log(level, text)


def _quote(value) -> str:
    """Formats a value, quoted if it would break the key=value syntax."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in ' "=\n\r\t' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
