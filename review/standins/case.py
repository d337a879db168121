"""Runs a case: its record, its verdict and the end of its processes."""

import asyncio
import pathlib
import signal
import sys
import time
import traceback

HELD = 0
BROKEN = 1
NOT_RUN = 2
_LIMIT_S = 110.0


class Record:
    """The lines of `record.txt`.

    Attributes:
        path: The file.
        has_trouble: Whether the disruption is to be made.
        lines: Their times and texts.
        begun_at: Monotonic time of the first line.
        broken: What broke the rule.
    """

    def __init__(self, path: str, *, has_trouble: bool):
        self.path = pathlib.Path(path)
        self.has_trouble = has_trouble
        self.begun_at = time.monotonic()
        self.broken: list[str] = []
        self.lines: list[tuple[float, str]] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Adds a line."""
        at = time.monotonic() if at is None else at
        self.lines.append((at - self.begun_at, text))

    def breach(self, text: str, at: float | None = None) -> None:
        """Adds a line on what breaks the rule."""
        self.broken.append(text)
        self.note(f"BROKEN {text}", at)

    def note_arrivals(self, runners) -> None:
        """Adds what the runners got and whether they ran it."""
        found = [arrival for one in runners for arrival in one.arrivals]
        for got in sorted(found, key=lambda arrival: arrival.at):
            self.note(
                f"{got.runner} got {got.id} {got.path} tenant={got.tenant} "
                f"ran={got.ran}",
                got.at,
            )

    def save(self) -> None:
        """Writes the file."""
        lines = sorted(self.lines, key=lambda line: line[0])
        text = "\n".join(f"{at:8.3f} {line}" for at, line in lines)
        self.path.write_text(text + "\n")


async def _play(play, record: Record) -> None:
    """Plays a case; a SIGTERM ends it with all that it started."""
    task = asyncio.ensure_future(asyncio.wait_for(play(record), _LIMIT_S))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    await task


def main(play, path: str, trouble: str) -> None:
    """Plays a case and exits with its verdict.

    Args:
        play: Coroutine function of the record.
        path: Path of the record.
        trouble: "0" leaves out the disruption.
    """
    record = Record(path, has_trouble=trouble != "0")
    record.note(f"trouble={record.has_trouble}")
    try:
        asyncio.run(_play(play, record))
        code = BROKEN if record.broken else HELD
    except (Exception, asyncio.CancelledError):
        record.note("the case could not run\n" + traceback.format_exc())
        code = NOT_RUN
    record.note(f"verdict={code} breaches={len(record.broken)}")
    record.save()
    for _, line in record.lines[-12:]:
        print(line)
    sys.exit(code)
