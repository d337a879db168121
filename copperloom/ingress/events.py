"""Splits a byte stream at the ends of server-sent events, and checks them.

A stream that another target may resume consists of events with increasing ids.
The checks keep other bytes out of it: what was sent to the caller can't be
taken back, and a resumed stream would go on behind it. The grammar is that of
the HTML standard, section "Server-sent events".
"""

import dataclasses
import operator
import re

from copperloom import exception
from copperloom.platform import headers

__all__ = ["Checker", "Events", "Splitter", "check", "feed", "split"]

# Two line ends in a row. A CR that ends the bytes received may belong to a CRLF
# whose LF is still missing; the LF then is an empty line of the next event.
_ENDS = (b"\n\r\n", b"\n\n", b"\r\r")
_MAX_END_BYTES = 3
_ID = re.compile(rb"id: ?([^\r\n]*)")
_NAMES = b"|".join((b"event", b"retry", *headers.EVENT_FIELDS))
_VALUE = rb"[^\r\n\0]*"
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
# Fields beside id and data, and comments.
_OTHER = rb"(?:(?:%b)(?::%b)?|:%b)" % (_NAMES, _VALUE, _VALUE)
# What precedes an event. Its lines begin differently from those that begin an
# event, so that a mismatch is found in linear time.
_BEFORE = rb"(?:%b?%b)*" % (_OTHER, _LINE_END)
# The group is the id.
_LINE = rb"(?:id(?::(%b))?|data(?::%b)?|%b)" % (_VALUE, _VALUE, _OTHER)
_EVENT = re.compile(
    rb"%b(?=id|data)(?:%b%b)+%b" % (_BEFORE, _LINE, _LINE_END, _LINE_END)
)
_NO_EVENT = re.compile(_BEFORE)
# Longer numbers take more than linear time to convert.
_MAX_DIGITS = 18
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class Splitter:
    """Buffers the bytes of an incomplete event.

    Attributes:
        rest: The bytes after the last complete event.
    """

    def __init__(self):
        self.rest = bytearray()


class Checker:
    """The events of a stream that may be resumed.

    Attributes:
        last_id: Id of the latest event that has one; "" without any.
        is_resumable: Whether all events have an id.
        is_resumed: Whether the caller has the begin of the stream already.
        is_begun: Whether anything was checked.
        held: Comments and empty lines after the latest event.
        count: Number of events.
    """

    def __init__(self, last_id: str, *, is_resumed: bool):
        self.last_id = last_id
        self.is_resumable = True
        self.is_resumed = is_resumed
        self.is_begun = False
        self.held = bytearray()
        self.count = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """One or more complete events.

    Attributes:
        data: The bytes of the events, unchanged.
        last_id: The last id among the events, "" if none has one.
        is_resumable: Whether the stream can be resumed after them.
    """

    data: bytes
    last_id: str
    is_resumable: bool = True


def feed(splitter: Splitter, chunk: bytes) -> Events | None:
    """Adds bytes; returns the events that they complete, or None."""
    complete = split(splitter, chunk)
    return None if complete is None else Events(complete, _last_id(complete))


def split(splitter: Splitter, chunk: bytes) -> bytes | None:
    """Adds bytes; returns those up to the last empty line, or None."""
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
    return complete


def _end_of_last(data: bytearray, separator: bytes, begin: int) -> int:
    """Returns the end of the last separator, or -1."""
    found = data.rfind(separator, begin)
    return found + len(separator) if found >= 0 else -1


def _last_id(complete: bytes) -> str:
    # Finding all ids would take most of the time of a stream of many events.
    found = max(complete.rfind(b"\nid:"), complete.rfind(b"\rid:"))
    match = _ID.match(complete, found + 1)
    return match[1].decode("latin-1") if match else ""


def check(checker: Checker, data: bytes) -> Events | None:
    """Checks complete events of a stream that may be resumed.

    Comments and empty lines are held until the next event, so that no bytes
    follow the event after which a stream is resumed.

    Args:
        checker: What was checked before.
        data: Bytes that end with an empty line.

    Returns:
        The events with all that precedes them; None if there are none.

    Raises:
        copperloom.exception.StreamBrokenError: The bytes are no events, or
            their ids don't increase.
    """
    if not _is_utf8(data):
        raise exception.StreamBrokenError(
            "target sent an event that is not encoded in UTF-8"
        )
    if not checker.is_begun:
        checker.is_begun = True
        data = _take_mark(checker, data)
    end = _read_events(checker, data)
    if not end:
        checker.held += data
        return None
    complete = bytes(checker.held) + data[:end]
    checker.held[:] = data[end:]
    return Events(complete, checker.last_id, checker.is_resumable)


def _is_utf8(data: bytes) -> bool:
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def _take_mark(checker: Checker, data: bytes) -> bytes:
    """Returns the begin of a stream without a byte-order mark."""
    if not data.startswith(_BYTE_ORDER_MARK):
        return data
    if not checker.is_resumed:
        checker.held += _BYTE_ORDER_MARK
    return data.removeprefix(_BYTE_ORDER_MARK)


def _read_events(checker: Checker, data: bytes) -> int:
    """Reads the ids of events; returns where the last event ends, or 0.

    Fields without data or an id are no event; like comments, they belong to
    the next one.
    """
    ids = []
    end = 0
    while found := _EVENT.match(data, end):
        end = found.end()
        checker.count += 1
        if found[1]:
            ids.append(found[1].removeprefix(b" "))
        else:
            checker.is_resumable = False
    if end < len(data) and not _NO_EVENT.fullmatch(data, end):
        raise exception.StreamBrokenError("target sent bytes that are no event")
    if ids:
        _record_ids(checker, ids)
    return end


def _record_ids(checker: Checker, ids: list[bytes]) -> None:
    if checker.last_id:
        ids = [checker.last_id.encode(), *ids]
    if not _are_increasing(ids):
        raise exception.StreamBrokenError(
            "target sent an event whose id is not above that of the last one"
        )
    checker.last_id = ids[-1].decode()


def _are_increasing(ids: list[bytes]) -> bool:
    # Comparing all pairs as texts would take most of the time of a stream of
    # many events.
    if b"".join(ids).isdigit() and len(max(ids, key=len)) <= _MAX_DIGITS:
        numbers = list(map(int, ids))
        return all(map(operator.lt, numbers, numbers[1:]))
    texts = [event_id.decode() for event_id in ids]
    return all(map(_is_increasing, texts, texts[1:]))


def _is_increasing(last_id: str, event_id: str) -> bool:
    """Returns whether an id may follow; only numbers are compared."""
    if not _is_number(last_id):
        return event_id != last_id
    return _is_number(event_id) and _magnitude(last_id) < _magnitude(event_id)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _magnitude(number: str) -> tuple[int, str]:
    """Returns a key by which numbers of any length are compared."""
    digits = number.lstrip("0")
    return len(digits), digits
