"""Sends answers to callers.

A caller that asks for a stream gets server-sent events. Other callers get one
JSON body. It is buffered until it is complete or `_MAX_BUFFERED_BYTES` long, so
that an early error can still be sent with its own HTTP status; the remainder of
a longer body is sent as it arrives, which bounds the memory.
"""

import asyncio
import time

import msgspec
from aiohttp import web

from copperloom.filters import exchange
from copperloom.targets.interface import Piece

__all__ = ["JsonAnswer", "SseAnswer", "abort_answer", "make_answer"]

_MAX_BUFFERED_BYTES = 65_536
_DONE = b"data: [DONE]\n\n"
_encode = msgspec.json.encode


def make_answer(ex: exchange.Exchange, stream: str) -> "SseAnswer | JsonAnswer":
    """Returns an answer in the format that the caller asked for."""
    if ex.chat is None or ex.chat.stream:
        return SseAnswer(ex, stream)
    return JsonAnswer(ex, stream)


async def abort_answer(ex: exchange.Exchange, body: bytes) -> None:
    """Ends a started answer so that it is recognisably incomplete.

    A stream of server-sent events gets an error event and no [DONE]. A JSON
    body is cut off before its last chunk, which HTTP clients report as an
    error.

    Args:
        ex: The request.
        body: JSON of the error.
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
        # All events of a stream share their start and end; encoding these once
        # saves most of the CPU time per token.
        self.prefix = b"data: " + _encode(head)[:-1] + b',"choices":['
        self.delta = self.prefix + b'{"index":0,"delta":{"content":'
        self.suffix = b'},"finish_reason":null}]}\n\n'

    async def write(self, pieces: list[Piece]) -> None:
        """Sends pieces, and waits while the connection's buffer is full."""
        events = []
        if self.ex.response is None:
            await self._start()
            events.append(
                self.prefix
                + b'{"index":0,"delta":{"role":"assistant","content":""},'
                + b'"finish_reason":null}]}\n\n'
            )
        for piece in pieces:
            if piece.text:
                events.append(self.delta + _encode(piece.text) + self.suffix)
            if piece.final:
                events.append(self._encode_final(piece))
        if events:
            await self.ex.response.write(b"".join(events))

    async def end(self) -> None:
        """Ends a complete answer."""
        await self.ex.response.write(_DONE)
        await self.ex.response.write_eof()

    async def _start(self) -> None:
        headers = stream_headers(self.ex)
        headers["Cache-Control"] = "no-cache"
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        self.ex.response = response
        await response.prepare(self.ex.http)

    def _encode_final(self, piece: Piece) -> bytes:
        usage = b""
        if self.ex.request is not None:
            usage = b',"usage":' + _encode(_usage(self.ex))
        return (
            self.prefix
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
        self.buffer = [
            _encode(head)[:-1]
            + b',"choices":[{"index":0,"message":'
            + b'{"role":"assistant","content":"'
        ]
        self.buffered_bytes = 0

    async def write(self, pieces: list[Piece]) -> None:
        """Buffers pieces, and sends them once the answer is long."""
        for piece in pieces:
            self.buffer.append(_encode(piece.text)[1:-1])
            self.buffered_bytes += len(self.buffer[-1])
            if piece.final:
                self.buffer.append(self._encode_final(piece))
        if self.buffered_bytes > _MAX_BUFFERED_BYTES:
            await self._flush()

    async def end(self) -> None:
        """Ends a complete answer."""
        if self.ex.response is None:
            headers = stream_headers(self.ex)
            self.ex.response = web.Response(
                body=b"".join(self.buffer),
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
        buffered, self.buffer = self.buffer, []
        if buffered:
            await self.ex.response.write(b"".join(buffered))

    def _encode_final(self, piece: Piece) -> bytes:
        return (
            b'"},"finish_reason":'
            + _encode(piece.final)
            + b'}],"usage":'
            + _encode(_usage(self.ex))
            + b"}"
        )


def stream_headers(ex: exchange.Exchange) -> dict[str, str]:
    """Returns the headers that all answers have in common."""
    headers = {"X-Copperloom-Request": ex.id}
    if ex.stream_path:
        headers["X-Copperloom-Stream"] = ex.stream_path
    if ex.state.draining:
        # The caller opens its next connection to another entry, so that this
        # one can stop without interrupting requests.
        headers["Connection"] = "close"
    return headers


def record_first_token(ex: exchange.Exchange) -> None:
    """Records the time of the first token."""
    if ex.first_token_at is None:
        ex.first_token_at = asyncio.get_running_loop().time()


def _usage(ex: exchange.Exchange) -> dict[str, int]:
    prompt = ex.request.prompt_tokens
    return {
        "prompt_tokens": prompt,
        "completion_tokens": ex.tokens,
        "total_tokens": prompt + ex.tokens,
    }
