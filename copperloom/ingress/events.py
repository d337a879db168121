"""Splits a byte stream at the ends of server-sent events."""

import dataclasses
import re

__all__ = ["Events", "Splitter", "feed"]

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class Splitter:
    """Buffers the bytes of an incomplete event.

    Attributes:
        rest: The bytes after the last complete event.
    """

    def __init__(self):
        self.rest = bytearray()


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """One or more complete events.

    Attributes:
        data: The bytes of the events, unchanged.
        count: The number of events.
        last_id: The last id among the events, "" if none has one.
    """

    data: bytes
    count: int
    last_id: str


def feed(splitter: Splitter, chunk: bytes) -> Events | None:
    """Adds bytes; returns the events that they complete, or None."""
    data = splitter.rest
    # The bytes before were searched as they came. A long event that comes in
    # small parts would otherwise take quadratic time.
    begin = max(0, len(data) - _MAX_END_BYTES + 1)
    data += chunk
    ends = [m.end() for m in _END.finditer(data, begin)]
    if not ends:
        return None
    complete = bytes(data[: ends[-1]])
    splitter.rest = data[ends[-1] :]
    ids = _ID.findall(complete)
    last = ids[-1].decode("latin-1") if ids else ""
    return Events(complete, len(ends), last)
