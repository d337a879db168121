"""Puts the log lines of one request in order and says what decided it.

Lines come from the logs of any number of instances, in any order. Times are of
the instances' own clocks, which may differ by some ms.
"""

import dataclasses
import pathlib
import re
from collections.abc import Iterable

from copperloom import exception

__all__ = ["Line", "find", "parse", "read", "verdict"]

_TIME = re.compile(r"(\d{4}-\d\d-\d\dT[\d:.]+) level=(\w+) event=(\w+)(.*)")
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_STARTED = "started"
# Lines about what an instance believed: shown if they came between the first
# and the last line of the request.
_AROUND = (
    "draining",
    "drain_limit",
    _STARTED,
    "reloaded",
    "routes_adopted",
    "store_lost",
    "store_regained",
    "target_changed",
    "log_lines_dropped",
)
_ANSWERED = "answered"
_GONE = "caller_gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A line of a log.

    Attributes:
        time: When it was written, as text that sorts.
        event: What happened.
        pairs: The pairs.
        text: The line itself.
    """

    time: str
    event: str
    pairs: dict[str, str]
    text: str


def parse(text: str) -> Line | None:
    """Reads a line; None if it is none of ours."""
    found = _TIME.search(text)
    if found is None:
        return None
    pairs = {k: v.strip('"') for k, v in _PAIR.findall(found[4])}
    return Line(found[1], found[3], pairs, text.strip())


def read(paths: Iterable[str]) -> list[Line]:
    """Reads logs.

    Raises:
        copperloom.exception.SettingsError: A file can't be read.
    """
    lines = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            raise exception.SettingsError(f"{path}: {error}") from error
        lines += [line for line in map(parse, text.splitlines()) if line]
    return lines


def find(lines: list[Line], request: str) -> list[Line]:
    """Returns a request's lines and those around it at its instances."""
    own = [line for line in lines if line.pairs.get("request") == request]
    if not own:
        return []
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    instances = {line.pairs.get("instance") for line in own}
    targets = {line.pairs.get("target") for line in own} - {None}
    around = [
        line
        for line in lines
        if line.event in _AROUND
        and first <= line.time <= last
        and line.pairs.get("instance") in instances
        and line.pairs.get("target", "") in targets | {""}
    ]
    if not any(line.event == "outcome" for line in own):
        around += _next_starts(lines, instances, last)
    return sorted([*own, *around], key=lambda line: line.time)


def _next_starts(lines, instances, after: str) -> list[Line]:
    """Finds the next start: what ended the process ended the request."""
    starts = [
        line
        for line in lines
        if line.event == _STARTED
        and line.pairs.get("instance") in instances
        and line.time > after
    ]
    return sorted(starts, key=lambda line: line.time)[:1]


def verdict(lines: list[Line]) -> str:
    """Says in words what decided a request, from its lines in order."""
    end = next((x for x in reversed(lines) if x.event == "outcome"), None)
    failed = [x for x in lines if x.event == "attempt_failed"]
    if end is None:
        return _without_end(lines)
    said = end.pairs
    if said["outcome"] == _GONE:
        text = f"the caller left after {said['seconds']} s"
    elif said["outcome"] == _ANSWERED:
        text = f"answered with {said['status']} after {said['seconds']} s"
    else:
        reason = said.get("reason") or said["outcome"]
        text = f"{said['status']} by code {said['code']} after "
        text += f"{said['seconds']} s: {reason}"
    parts = [text, _sent(said)]
    parts += [
        f"{x.pairs['culprit']} failed it: {x.pairs['error']}" for x in failed
    ]
    if any(x.event == "repeat_denied" for x in lines):
        parts.append("the budget of repeats had none left")
    if any(x.event == "drain_limit" for x in lines):
        parts.append("its instance stopped at the end of its grace")
    return "; ".join(parts)


def _sent(said: dict[str, str]) -> str:
    sends = int(said.get("sends", "0"))
    if not sends:
        return "it was sent to no target"
    first = said.get("first_s")
    tail = f", first event after {first} s" if first else ""
    pause = said.get("pause_s")
    tail += f", longest pause {pause} s" if pause else ""
    return f"sent {sends} times, last to {said.get('target', '?')}{tail}"


def _without_end(lines: list[Line]) -> str:
    """Says what is known of a request that has no outcome line."""
    if any(x.event == "log_lines_dropped" for x in lines):
        return "no outcome: lines were dropped at that time"
    last = lines[-1]
    name = last.pairs.get("instance", "?")
    if last.event == _STARTED:
        return f"no outcome: {name} was killed, and started at {last.time}"
    return f"no outcome: the log of {name} ends before the request does"
