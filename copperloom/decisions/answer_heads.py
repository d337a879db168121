"""Which heads of HTTP answers are well-formed.

Answers the load of faulty targets: HTTP libraries accept some malformed heads
(a status outside of the defined classes, other protocols, blanks around the
name of a field, folded lines, control bytes), so that a caller would get them
as an answer, or a body that is delimited by a field that no other recipient
understands. The grammar is that of RFC 9112.
"""

import dataclasses
import re

__all__ = ["Head", "check"]

# Informational answers precede the final one. Nobody asks for an upgrade, and
# statuses below 100 and from 600 on have no meaning.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] (10[02-9]|1[1-9][0-9]|[2-5][0-9][0-9])"
    rb"(?: [\t -~\x80-\xff]*)?"
)
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)")
_CODING = b"transfer-encoding"
# Requests offer no other one.
_CHUNKED = b"chunked"


@dataclasses.dataclass(slots=True)
class Head:
    """What was received of the head of an answer.

    Attributes:
        rest: Bytes of a line that is not complete.
        is_begun: Whether its status line was received.
        is_interim: Whether it is that of an informational answer.
        is_complete: Whether the head of the final answer was received.
    """

    rest: bytes = b""
    is_begun: bool = False
    is_interim: bool = False
    is_complete: bool = False


def check(head: Head, data: bytes) -> str:
    """Checks received bytes, up to the end of the head.

    Args:
        head: What was received before.
        data: Further bytes.

    Returns:
        What is malformed; "" if nothing is.
    """
    if head.is_complete:
        return ""
    data = head.rest + data
    begin = 0
    while (end := data.find(b"\n", begin)) >= 0:
        malformed = _check_line(head, data[begin:end].removesuffix(b"\r"))
        if malformed or head.is_complete:
            head.rest = b""
            return malformed
        begin = end + 1
    head.rest = data[begin:]
    return ""


def _check_line(head: Head, line: bytes) -> str:
    if not head.is_begun:
        return _begin(head, line)
    if not line:
        head.is_begun = False
        head.is_complete = not head.is_interim
        return ""
    field = _FIELD.fullmatch(line)
    if field is None:
        return "field"
    name, value = field.groups()
    if name.lower() == _CODING and value.strip().lower() != _CHUNKED:
        return "transfer coding"
    return ""


def _begin(head: Head, line: bytes) -> str:
    if not line:
        return ""
    status_line = _STATUS_LINE.fullmatch(line)
    if status_line is None:
        return "status line"
    head.is_begun = True
    head.is_interim = status_line[1].startswith(b"1")
    return ""
