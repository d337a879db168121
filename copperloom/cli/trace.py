"""Collects the log lines of a request and explains its outcome.

The lines come from the logs of any number of instances, in any order. They are
sorted by the clocks of the instances, which may differ by some milliseconds.
"""

import dataclasses
import pathlib
import re
from collections.abc import Iterable

from copperloom import exception

__all__ = ["Line", "explain", "find", "parse", "read"]

_LINE = re.compile(r"(\d{4}-\d\d-\d\dT[\d:.]+) level=(\w+) event=(\w+)(.*)")
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_STARTED = "started"
# Events that may affect all requests of an instance; shown if they occur
# between the first and the last line of the request.
_CONTEXT_EVENTS = (
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
# Events that concern all requests with the same digest.
_DIGEST_EVENTS = (
    "crash_evidence",
    "quarantine_expired",
    "quarantine_trial",
    "target_ended",
)
_QUARANTINED = ("PartQuarantined", "RequestQuarantined")
# Events that tell what targets said, by the outcome that follows from it.
_ANSWER_EVENTS = {
    "TargetsBackingOff": "backoff_requested",
    "TargetsDraining": "drain_notice",
}
# Events that concern only the instance that logged them.
_LOCAL_EVENTS = ("backoff_requested",)
_ANSWERED = "answered"
_CALLER_GONE = "caller_gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A parsed line of a log.

    Attributes:
        time: Time of the line, as text that sorts in order of time.
        event: Name of the event.
        fields: Values of the event by field name.
        text: The unparsed line.
    """

    time: str
    event: str
    fields: dict[str, str]
    text: str


def parse(text: str) -> Line | None:
    """Parses a line; returns None if it has another format."""
    match = _LINE.search(text)
    if match is None:
        return None
    fields = {k: v.strip('"') for k, v in _FIELD.findall(match[4])}
    return Line(match[1], match[3], fields, text.strip())


def read(paths: Iterable[str]) -> list[Line]:
    """Returns the parsed lines of log files.

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
    """Returns the lines of a request and of its context, in order of time.

    The context consists of events of the instances that handled the request.
    If the request has no outcome, it includes the next start of one of them.
    """
    matching = [line for line in lines if line.fields.get("request") == request]
    if not matching:
        return []
    first = min(line.time for line in matching)
    last = max(line.time for line in matching)
    instances = {line.fields.get("instance") for line in matching}
    targets = {line.fields.get("target") for line in matching} - {None}
    context = [
        line
        for line in lines
        if line.event in _CONTEXT_EVENTS
        and first <= line.time <= last
        and line.fields.get("instance") in instances
        and line.fields.get("target", "") in targets | {""}
    ]
    context += _find_evidence(lines, matching, last)
    context += _find_answers(lines, matching, last)
    if not any(line.event == "outcome" for line in matching):
        context += _next_starts(lines, instances, last)
    return sorted([*matching, *context], key=lambda line: line.time)


def _find_evidence(
    lines: list[Line], matching: list[Line], until: str
) -> list[Line]:
    """Returns the evidence against a quarantined request, of all instances.

    The evidence comes from earlier requests with the same content.
    """
    digests = {
        line.fields.get("digest")
        for line in matching
        if line.fields.get("outcome") in _QUARANTINED
    }
    return [
        line
        for line in lines
        if line.event in _DIGEST_EVENTS
        and line.fields.get("digest") in digests
        and line.time <= until
        and line not in matching
    ]


def _find_answers(
    lines: list[Line], matching: list[Line], until: str
) -> list[Line]:
    """Returns what the targets of a refused request said in earlier answers.

    The latest line of each target counts.
    """
    said = [
        line
        for line in sorted(lines, key=lambda line: line.time)
        if line.time <= until and any(_explains(line, x) for x in matching)
    ]
    latest = {line.fields["target"]: line for line in said}
    return [line for line in latest.values() if line not in matching]


def _explains(line: Line, outcome: Line) -> bool:
    """Returns whether a line tells of an answer that led to a refusal."""
    if line.event != _ANSWER_EVENTS.get(outcome.fields.get("outcome")):
        return False
    shared = ["service"]
    if line.event in _LOCAL_EVENTS:
        shared.append("instance")
    return all(line.fields.get(f) == outcome.fields.get(f) for f in shared)


def _next_starts(lines, instances, after: str) -> list[Line]:
    """Returns the first start after a time, as a list of at most one line.

    It indicates that the process ended while it had the request.
    """
    starts = [
        line
        for line in lines
        if line.event == _STARTED
        and line.fields.get("instance") in instances
        and line.time > after
    ]
    return sorted(starts, key=lambda line: line.time)[:1]


def explain(lines: list[Line]) -> str:
    """Explains the outcome of a request, given its lines in order of time."""
    outcome = next((x for x in reversed(lines) if x.event == "outcome"), None)
    failed = [x for x in lines if x.event == "attempt_failed"]
    if outcome is None:
        return _explain_missing_outcome(lines)
    fields = outcome.fields
    if fields["outcome"] == _CALLER_GONE:
        text = f"the caller disconnected after {fields['seconds']} s"
    elif fields["outcome"] == _ANSWERED:
        text = f"answered with {fields['status']} after {fields['seconds']} s"
    else:
        reason = fields.get("reason") or fields["outcome"]
        text = f"{fields['status']} by code {fields['code']} after "
        text += f"{fields['seconds']} s: {reason}"
    parts = [text, _describe_sends(fields)]
    parts += [
        f"{x.fields['culprit']} failed it: {x.fields['error']}" for x in failed
    ]
    if any(x.event == "repeat_denied" for x in lines):
        parts.append("the retry budget was exhausted")
    if any(x.event == "drain_limit" for x in lines):
        parts.append("its instance stopped at the end of the grace period")
    return "; ".join(parts)


def _describe_sends(fields: dict[str, str]) -> str:
    sends = int(fields.get("sends", "0"))
    if not sends:
        return "not sent to any target"
    peer = fields.get("relayed_to")
    if peer:
        return f"sent {sends} times, last by {peer}, as no target was reached"
    first = fields.get("first_s")
    tail = f", first event after {first} s" if first else ""
    gap = fields.get("pause_s")
    tail += f", longest gap between events {gap} s" if gap else ""
    return f"sent {sends} times, last to {fields.get('target', '?')}{tail}"


def _explain_missing_outcome(lines: list[Line]) -> str:
    """Explains why a request may have no outcome line."""
    if any(x.event == "log_lines_dropped" for x in lines):
        return "no outcome: log lines were dropped at that time"
    last = lines[-1]
    name = last.fields.get("instance", "?")
    if last.event == _STARTED:
        return f"no outcome: {name} was killed, and started at {last.time}"
    return f"no outcome: the log of {name} ends before the request does"
