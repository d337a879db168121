"""The pieces that clients of a crowd send."""

import dataclasses
import enum
from collections.abc import Iterator

__all__ = [
    "Pieces",
    "Step",
    "Template",
    "fields",
    "head",
    "open_head",
    "repeat",
    "slowly",
]

_BLOCK_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Template:
    """A proper request, which the clients distort.

    Attributes:
        lines: Request line of a POST and its fields, without those that frame
            the body.
        max_header_bytes: Maximum size of a head.
        max_body_bytes: Maximum size of a body.
    """

    lines: tuple[str, ...]
    max_header_bytes: int
    max_body_bytes: int


class Step(enum.Enum):
    """What a client does between two pieces, beside sending."""

    STOP_READING = "stop_reading"
    END_SENDING = "end_sending"
    ABORT = "abort"


Pieces = Iterator[bytes | Step]


def head(template: Template, *fields: str) -> bytes:
    """Returns the head of a request with further fields."""
    return "\r\n".join([*template.lines, *fields, "", ""]).encode()


def open_head(template: Template) -> bytes:
    """Returns a head without its end."""
    return head(template)[:-2]


def slowly(data: bytes) -> Pieces:
    """Yields a byte at a time; an empty piece is a pause."""
    for number in range(len(data)):
        yield data[number : number + 1]
        yield b""


def repeat(data: bytes) -> Pieces:
    """Yields the same bytes without end, in blocks."""
    block = data * max(1, _BLOCK_BYTES // len(data))
    while True:
        yield block


def fields(size: int, count: int | None = None) -> Pieces:
    """Yields fields whose values have a size; without end without a count."""
    number = 0
    while count is None or number < count:
        number += 1
        yield f"X-{number}: ".encode() + b"v" * size + b"\r\n"
