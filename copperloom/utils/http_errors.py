"""Turns errors of the HTTP client into text and into errors of its users."""

import aiohttp

from copperloom import exception, logs
from copperloom.utils import response_protocol

__all__ = ["describe", "unforeseen"]

_MAX_CAUSES = 4
_MAX_TEXT = 200


def describe(error: BaseException) -> str:
    """Returns the text of an error, without what the other side has sent.

    The texts of the library's own errors may hold received bytes or whole
    heads, so that only their types are named.
    """
    texts = []
    cause: BaseException | None = error
    while cause is not None and len(texts) < _MAX_CAUSES:
        texts.append(_text(cause))
        cause = cause.__cause__
    return ", caused by ".join(texts)


def _text(error: BaseException) -> str:
    name = type(error).__name__
    if isinstance(error, response_protocol.MalformedHeadError):
        return f"{name}: {error}"
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return f"{name}: connection closed before the end of the head"
    if isinstance(error, OSError) and error.errno is not None:
        return f"{name}: [Errno {error.errno}] {error.strerror}"[:_MAX_TEXT]
    return name


def unforeseen(error: Exception) -> exception.StreamBrokenError:
    """Logs an error that no code expects; returns that of a broken answer.

    The request may have run. Whatever the fault is, another target may answer.
    """
    logs.event("fault", level="ERROR", error=repr(error)[:_MAX_TEXT])
    return exception.StreamBrokenError(
        f"unexpected {type(error).__name__} while an answer was received"
    )
