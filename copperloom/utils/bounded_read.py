"""Reads the body of an HTTP answer up to a bound."""

import aiohttp

__all__ = ["BodyTooLongError", "read"]


class BodyTooLongError(aiohttp.ClientPayloadError):
    """The body is longer than its bound."""


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the body of an answer.

    Args:
        response: The answer, with its body unread.
        max_bytes: Bound of the body in bytes.

    Raises:
        BodyTooLongError: The body is longer. Its connection is closed.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLongError(f"answer has more than {max_bytes} bytes")
    return bytes(body)
