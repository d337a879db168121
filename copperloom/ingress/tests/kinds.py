"""Kinds of requests that tests send."""

import dataclasses

__all__ = ["Kind"]


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        path: Path and query.
        method: HTTP method.
        prompt: Tokens of its prompt; 0 without one.
    """

    path: str
    method: str = "POST"
    prompt: int = 0
