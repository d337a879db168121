"""The answers of the engine stand-in, which a test can work out by itself."""

import xxhash

__all__ = ["digest", "text", "whole"]


def digest(organisation: str, deployment: str, messages: bytes) -> str:
    """Returns the eight hex digits that mark all tokens of an answer."""
    hashed = xxhash.xxh32()
    for part in (organisation.encode(), deployment.encode(), messages):
        hashed.update(part)
        hashed.update(b"\0")
    return hashed.hexdigest()


def text(mark: str, index: int) -> str:
    """Returns the text of one token.

    Args:
        mark: What `digest` returned.
        index: Tokens before it.
    """
    return f"tok{index}-{mark} "


def whole(
    organisation: str, deployment: str, messages: bytes, tokens: int
) -> str:
    """Returns the whole answer to a prompt.

    Args:
        organisation: Whose prompt it is.
        deployment: Deployment name.
        messages: The chat messages, the same bytes that the engine got.
        tokens: Length of the answer.
    """
    mark = digest(organisation, deployment, messages)
    return "".join(text(mark, index) for index in range(tokens))
