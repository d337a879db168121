"""Splits a byte stream at the ends of server-sent events."""

import dataclasses
import re

__all__ = ["Events", "Splitter", "feed"]

_ENDS = (b"\r\n\r\n", b"\n\n", b"\r\r")
_MAX_END_BYTES = 4
_ID = re.compile(rb"id: ?([^\r\n]*)")


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
        last_id: The last id among the events, "" if none has one.
    """

    data: bytes
    last_id: str


def feed(splitter: Splitter, chunk: bytes) -> Events | None:
    """Adds bytes; returns the events that they complete, or None."""
    data = splitter.rest
    # The bytes before were searched as they came. A long event that comes in
    # small parts would otherwise take quadratic time.
    begin = max(0, len(data) - _MAX_END_BYTES + 1)
    data += chunk
    end = max(_end_of_last(data, separator, begin) for separator in _ENDS)
    if end < 0:
        return None
    complete = bytes(data[:end])
    splitter.rest = data[end:]
    return Events(complete, _last_id(complete))


def _end_of_last(data: bytearray, separator: bytes, begin: int) -> int:
    """Returns the end of the last separator, or -1."""
    found = data.rfind(separator, begin)
    return found + len(separator) if found >= 0 else -1


def _last_id(complete: bytes) -> str:
    # Finding all ids would take most of the time of a stream of many events.
    found = max(complete.rfind(b"\nid:"), complete.rfind(b"\rid:"))
    match = _ID.match(complete, found + 1)
    return match[1].decode("latin-1") if match else ""
