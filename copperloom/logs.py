"""One line of key=value pairs for each event, through logbook."""

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
    """Sends log lines to standard error.

    Args:
        level: The least level to write.
        **common: Pairs that every line carries, such as instance=NAME.
    """
    tail = "".join(f" {key}={_quote(value)}" for key, value in common.items())
    handler = logbook.StreamHandler(
        sys.stderr, level=level, format_string=_FORMAT + tail
    )
    handler.push_application()


class BoundedWriter:
    """Writes lines to a file descriptor without ever blocking.

    A reader that stops reading would otherwise stop the process in the middle
    of a request. Lines wait in memory up to a bound and are dropped beyond it,
    and no more than a number a second are taken, so that a flood of failures
    costs no more processor time than they do. What is dropped is counted and
    said in the next line that goes out.

    Attributes:
        fd: The descriptor, set to not block.
        waiting: Lines that could not be written yet.
        waiting_bytes: Their size.
        dropped: Lines dropped so far.
        told: Dropped lines that were said.
        left: Lines that may be taken now.
        at: Monotonic time of `left`.
    """

    MOST_BYTES = 262_144
    # A busy instance handles some ten requests a second, with two or three
    # lines each; the burst covers a start or an outage.
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
        """Takes a line, and writes what the reader takes."""
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
        """Writes as much as goes without waiting."""
        while self.waiting:
            data = self.waiting[0]
            try:
                written = os.write(self.fd, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; serving goes on.
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
    """Sends log lines to standard output, bounded and without blocking.

    Args:
        level: The least level to write.
        **common: Pairs that every line carries.
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
    """Writes one line: event=NAME and the pairs, in the order given."""
    text = f"event={name}" + "".join(
        f" {key}={_quote(value)}" for key, value in pairs.items()
    )
    _LOG.log(level, text)


def _quote(value) -> str:
    """Quotes a value that would break the line into wrong pairs."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in ' "=\n\r\t' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
