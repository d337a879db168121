"""Splits a body into server-sent events without changing a byte."""

import dataclasses
import re

__all__ = ["Events", "Splitter", "feed"]

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class Splitter:
    """Keeps the start of an event whose end has not come.

    Attributes:
        rest: Bytes after the last whole event.
    """

    def __init__(self):
        self.rest = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """One or more whole events.

    Attributes:
        data: Their bytes.
        count: How many.
        last_id: Id of the last one that has one, "" if none has.
    """

    data: bytes
    count: int
    last_id: str


def feed(splitter: Splitter, chunk: bytes) -> Events | None:
    """Takes bytes in; returns the events that are whole now, if any."""
    data = splitter.rest + chunk
    ends = [m.end() for m in _END.finditer(data)]
    if not ends:
        splitter.rest = data
        return None
    splitter.rest = data[ends[-1] :]
    whole = data[: ends[-1]]
    ids = _ID.findall(whole)
    last = ids[-1].decode("latin-1") if ids else ""
    return Events(whole, len(ends), last)
