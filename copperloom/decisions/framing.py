"""Bounds on bytes that belong to no body.

Answers the load of peers that send heads, empty lines, chunk sizes, chunk
extensions or trailers without end: a parser that bounds only a single line
stores or parses them for as long as they come. One count for each message
covers them all, whichever side it comes from.
"""

import dataclasses
import math

__all__ = ["Bound", "Framing", "add"]


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """How many bytes beside its body a message may have.

    Attributes:
        max_bytes: Bytes that it may have without a body.
        per_body_byte: Further bytes for each byte of its body, as each chunk
            needs some.
        max_credit_bytes: Most bytes that earlier parts of a body allow to
            later parts.
    """

    max_bytes: int
    per_body_byte: float
    max_credit_bytes: float = math.inf


@dataclasses.dataclass(slots=True)
class Framing:
    """The count of one message.

    Attributes:
        excess_bytes: Bytes beside the body that the body doesn't account for;
            negative if it accounts for more than there were.
    """

    excess_bytes: float = 0.0


def add(
    counted: Framing, bound: Bound, framing_bytes: int, body_bytes: int
) -> bool:
    """Counts received bytes; returns whether there are too many.

    Args:
        counted: The count of the message.
        bound: What it may have.
        framing_bytes: Bytes received that belong to no body.
        body_bytes: Bytes of its body received.
    """
    earned = body_bytes * bound.per_body_byte
    excess = counted.excess_bytes + framing_bytes - earned
    counted.excess_bytes = max(-bound.max_credit_bytes, excess)
    return counted.excess_bytes > bound.max_bytes
