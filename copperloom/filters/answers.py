"""Writes answers to callers piece by piece.

A streaming caller gets server-sent events. One who did not ask for a stream
gets one JSON body; it is held until it is whole or `_HOLD_BYTES` long, so that
an answer that breaks early still gets its error with a status of its own, and
from there on it goes out piece by piece too, so that memory stays bounded.
"""

import asyncio
import time

import msgspec
from aiohttp import web

from copperloom.filters import exchange
from copperloom.targets.interface import Piece

__all__ = ["JsonAnswer", "SseAnswer", "break_off", "make"]

_HOLD_BYTES = 65_536
_DONE = b"data: [DONE]\n\n"
_encode = msgspec.json.encode


def make(ex: exchange.Exchange, stream: str) -> "SseAnswer | JsonAnswer":
    """Returns the answer in the form that the caller asked for."""
    if ex.chat is None or ex.chat.stream:
        return SseAnswer(ex, stream)
    return JsonAnswer(ex, stream)


async def break_off(ex: exchange.Exchange, body: bytes) -> None:
    """Ends a begun answer so that it can't be taken for a whole one.

    A server-sent stream gets an error event and no [DONE]. A JSON body is cut
    without its last chunk, which every HTTP client reports as an error.
    """
    response = ex.response
    if response.content_type == "text/event-stream":
        try:
            await response.write(b"data: " + body + b"\n\n")
            await response.write_eof()
        except ConnectionError:
            return
        return
    if ex.http.transport is not None:
        ex.http.transport.abort()


class SseAnswer:
    """An answer as server-sent events of chat.completion.chunk objects."""

    def __init__(self, ex: exchange.Exchange, stream: str):
        self.ex = ex
        head = {
            "id": stream,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": ex.deployment.name if ex.deployment else "",
        }
        # All events of a stream share their start and end: encoding them once
        # saves most of the processor time of a token.
        self.head = b"data: " + _encode(head)[:-1] + b',"choices":['
        self.delta = self.head + b'{"index":0,"delta":{"content":'
        self.tail = b'},"finish_reason":null}]}\n\n'

    async def write(self, pieces: list[Piece]) -> None:
        """Sends pieces on at once; waits while the caller's buffer is full."""
        parts = []
        if self.ex.response is None:
            await self._begin()
            parts.append(
                self.head
                + b'{"index":0,"delta":{"role":"assistant","content":""},'
                + b'"finish_reason":null}]}\n\n'
            )
        for piece in pieces:
            if piece.text:
                parts.append(self.delta + _encode(piece.text) + self.tail)
            if piece.final:
                parts.append(self._final(piece))
        if parts:
            await self.ex.response.write(b"".join(parts))

    async def end(self) -> None:
        """Ends a whole answer."""
        await self.ex.response.write(_DONE)
        await self.ex.response.write_eof()

    async def _begin(self) -> None:
        headers = stream_headers(self.ex)
        headers["Cache-Control"] = "no-cache"
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        self.ex.response = response
        await response.prepare(self.ex.http)

    def _final(self, piece: Piece) -> bytes:
        usage = b""
        if self.ex.request is not None:
            usage = b',"usage":' + _encode(_usage(self.ex))
        return (
            self.head
            + b'{"index":0,"delta":{},"finish_reason":'
            + _encode(piece.final)
            + b"}]"
            + usage
            + b"}\n\n"
        )


class JsonAnswer:
    """An answer as one chat.completion object."""

    def __init__(self, ex: exchange.Exchange, stream: str):
        self.ex = ex
        head = {
            "id": stream,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": ex.deployment.name,
        }
        self.held = [
            _encode(head)[:-1]
            + b',"choices":[{"index":0,"message":'
            + b'{"role":"assistant","content":"'
        ]
        self.held_bytes = 0

    async def write(self, pieces: list[Piece]) -> None:
        """Holds a short answer, passes a long one on."""
        for piece in pieces:
            self.held.append(_encode(piece.text)[1:-1])
            self.held_bytes += len(self.held[-1])
            if piece.final:
                self.held.append(self._final(piece))
        if self.held_bytes > _HOLD_BYTES:
            await self._flush()

    async def end(self) -> None:
        """Ends a whole answer."""
        if self.ex.response is None:
            headers = stream_headers(self.ex)
            self.ex.response = web.Response(
                body=b"".join(self.held),
                headers=headers,
                content_type="application/json",
            )
            return
        await self._flush()
        await self.ex.response.write_eof()

    async def _flush(self) -> None:
        if self.ex.response is None:
            response = web.StreamResponse(headers=stream_headers(self.ex))
            response.content_type = "application/json"
            self.ex.response = response
            await response.prepare(self.ex.http)
        held, self.held = self.held, []
        if held:
            await self.ex.response.write(b"".join(held))

    def _final(self, piece: Piece) -> bytes:
        return (
            b'"},"finish_reason":'
            + _encode(piece.final)
            + b'}],"usage":'
            + _encode(_usage(self.ex))
            + b"}"
        )


def stream_headers(ex: exchange.Exchange) -> dict[str, str]:
    """Returns the headers that every answer carries."""
    headers = {"X-Copperloom-Request": ex.id}
    if ex.stream_path:
        headers["X-Copperloom-Stream"] = ex.stream_path
    if ex.state.draining:
        # Tells a keep-alive caller to open its next connection elsewhere, so
        # that closing this instance's connections cuts nobody.
        headers["Connection"] = "close"
    return headers


def note_first_token(ex: exchange.Exchange) -> None:
    """Notes when the first token came."""
    if ex.first_token_at is None:
        ex.first_token_at = asyncio.get_running_loop().time()


def _usage(ex: exchange.Exchange) -> dict[str, int]:
    prompt = ex.request.prompt_tokens
    return {
        "prompt_tokens": prompt,
        "completion_tokens": ex.tokens,
        "total_tokens": prompt + ex.tokens,
    }
