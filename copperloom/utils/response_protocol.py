"""Connections of HTTP clients, whose answers are checked as they arrive."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import client_proto, streams

from copperloom import exception
from copperloom.decisions import answer_heads, answer_limits, framing

__all__ = [
    "BoundedProtocol",
    "MalformedHeadError",
    "ResponseProtocol",
    "is_truncated",
    "make_connector",
]

_PART_BYTES = 16_384
_READ_BYTES = 65_536


class MalformedHeadError(aiohttp.ClientPayloadError):
    """The head of an answer is malformed."""


class ResponseProtocol(client_proto.ResponseHandler):
    """Checks heads, and records whether the connection was reset.

    An answer without a length ends with its connection. aiohttp accepts a
    reset as such an end, so that a truncated answer would appear complete.

    Attributes:
        head: What was received of the head of the current answer.
        reset: The error that ended the connection; None without one.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.head = answer_heads.Head()
        self.reset: BaseException | None = None

    def set_response_params(self, **params: Any) -> None:
        """Begins to receive the next answer."""
        self.begin_answer()
        super().set_response_params(**params)

    def begin_answer(self) -> None:
        """Resets what is known of an answer."""
        self.head = answer_heads.Head()

    def data_received(self, data: bytes) -> None:
        """Checks received bytes before they are parsed."""
        # Without a parser, aiohttp keeps them until there is one.
        if self._parser is not None:
            malformed = answer_heads.check(self.head, data)
            if malformed:
                self.fail(
                    MalformedHeadError(f"answer has a malformed {malformed}")
                )
                return
        super().data_received(data)

    def fail(self, error: BaseException) -> None:
        """Closes the connection, and ends the answer with an error."""
        payload = self._payload
        self.abort()
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records why the connection ended."""
        self.reset = exc
        super().connection_lost(exc)


class BoundedProtocol(ResponseProtocol):
    """Bounds heads and chunks as well.

    aiohttp bounds a line, but neither the informational answers before the
    head, nor chunk extensions or the size of chunk lines.

    Attributes:
        framing: Count of bytes beside the body of the current answer.
        framing_bytes: All of these bytes.
        body: Its body; None if it has not begun.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.framing = framing.Framing()
        self.framing_bytes = 0
        self.body: streams.StreamReader | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bounds what is read at once."""
        super().connection_made(transport)
        # The event loop reads up to this much at once, 256 KiB by default.
        transport.max_size = _READ_BYTES

    def begin_answer(self) -> None:
        """Resets what is known of an answer."""
        super().begin_answer()
        self.framing = framing.Framing()
        self.framing_bytes = 0
        self.body = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, and counts those beside the body."""
        # Until the body begins, a part at a time is parsed: each answer that is
        # found takes far more memory than its bytes.
        while self.body is None and len(data) > _PART_BYTES:
            self._parse(data[:_PART_BYTES])
            data = data[_PART_BYTES:]
            if self.transport is None:
                return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        known_bytes = self._body_bytes()
        super().data_received(data)
        if self._payload not in (None, streams.EMPTY_PAYLOAD):
            self.body = self._payload
        body_bytes = self._body_bytes() - known_bytes
        framing_bytes = len(data) - body_bytes
        self.framing_bytes += framing_bytes
        if framing.add(
            self.framing, answer_limits.FRAMING, framing_bytes, body_bytes
        ):
            self._end_too_long()

    def _body_bytes(self) -> int:
        return self.body.total_bytes if self.body is not None else 0

    def _end_too_long(self) -> None:
        place = "head" if self.body is None else "chunks"
        error = exception.AnswerTooLongError(
            f"{place} of the answer have {self.framing_bytes} bytes",
            place=place,
            size=self.framing_bytes,
            bound=answer_limits.FRAMING.max_bytes,
        )
        self.fail(error)


def is_truncated(response: aiohttp.ClientResponse) -> bool:
    """Returns whether a reset ended a body that was read to its end.

    aiohttp itself reports a body that is shorter than its length or lacks its
    last chunk.
    """
    headers = response.headers
    framed = "Content-Length" in headers or "Transfer-Encoding" in headers
    # aiohttp clears the public `connection` once a short answer is complete.
    return not framed and response._protocol.reset is not None


def make_connector(
    protocol: Callable[..., ResponseProtocol], **options: Any
) -> aiohttp.TCPConnector:
    """Returns a connector whose connections have a protocol.

    Args:
        protocol: Makes the protocol of a connection.
        **options: Options of the connector.
    """
    connector = aiohttp.TCPConnector(**options)
    # aiohttp has no public way to set the protocol class.
    connector._factory = functools.partial(protocol, loop=connector._loop)
    return connector
