"""Deterministic answers of the engine stand-in, which tests can compute."""

import xxhash

__all__ = ["digest", "text", "whole"]


def digest(organisation: str, deployment: str, messages: bytes) -> str:
    """Returns eight hex digits that identify a prompt in its answer."""
    hasher = xxhash.xxh32()
    for part in (organisation.encode(), deployment.encode(), messages):
        hasher.update(part)
        hasher.update(b"\0")
    return hasher.hexdigest()


def text(mark: str, index: int) -> str:
    """Returns the text of one token.

    Args:
        mark: Digest of the prompt, as `digest` returns it.
        index: Number of tokens before it in the answer.
    """
    return f"tok{index}-{mark} "


def whole(
    organisation: str, deployment: str, messages: bytes, tokens: int
) -> str:
    """Returns the complete answer to a prompt.

    Args:
        organisation: Organisation that sends the prompt.
        deployment: Deployment name.
        messages: Chat messages, byte for byte as sent to the engine.
        tokens: Length of the answer, in tokens.
    """
    mark = digest(organisation, deployment, messages)
    return "".join(text(mark, index) for index in range(tokens))
