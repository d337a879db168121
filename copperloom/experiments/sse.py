"""Parsing of streamed answers and of error bodies."""

import dataclasses
import time

import aiohttp
import msgspec

__all__ = ["Answer", "Error", "decode_error", "read"]

_DATA = b"data: "
_DONE = b"[DONE]"


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer that is being received.

    Attributes:
        pieces: Pieces of text in order.
        ids: Distinct answer ids of its chunks.
        finish_reason: Why generation ended; "" until then.
        done: Whether the closing event was received.
        error: An error that was sent within the stream, if any.
        first_at: Monotonic time of the first piece; 0 until then.
        last_at: Monotonic time of the latest piece.
        gap_s: Longest gap between two pieces, in seconds.
    """

    pieces: list[str] = dataclasses.field(default_factory=list)
    ids: set[str] = dataclasses.field(default_factory=set)
    finish_reason: str = ""
    done: bool = False
    error: "Error | None" = None
    first_at: float = 0.0
    last_at: float = 0.0
    gap_s: float = 0.0


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    finish_reason: str | None = None


class Error(msgspec.Struct):
    """An error that an entry returned; code 0 stands for a missing code."""

    code: int = 0
    message: str = ""
    run: str = ""


class _Chunk(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    error: Error | None = None


class _ErrorBody(msgspec.Struct):
    error: Error


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)
_ERROR_DECODER = msgspec.json.Decoder(_ErrorBody)


def decode_error(data: bytes) -> Error:
    """Returns the error in a response body.

    Raises:
        msgspec.MsgspecError: The body is not an error of the callers'
            interface.
    """
    return _ERROR_DECODER.decode(data).error


async def read(response: aiohttp.ClientResponse, answer: Answer) -> None:
    """Adds server-sent events to an answer until the response ends."""
    rest = b""
    async for data in response.content.iter_any():
        now = time.monotonic()
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            _process_line(answer, line, now)


def _process_line(answer: Answer, line: bytes, now: float) -> None:
    if not line.startswith(_DATA):
        return
    value = line[len(_DATA) :].strip()
    if value == _DONE:
        answer.done = True
        return
    chunk = _CHUNK_DECODER.decode(value)
    answer.error = chunk.error or answer.error
    if chunk.id:
        answer.ids.add(chunk.id)
    for choice in chunk.choices:
        _process_choice(answer, choice, now)


def _process_choice(answer: Answer, choice: _Choice, now: float) -> None:
    answer.finish_reason = choice.finish_reason or answer.finish_reason
    if choice.delta is None or not choice.delta.content:
        return
    answer.pieces.append(choice.delta.content)
    if not answer.first_at:
        answer.first_at = now
    else:
        answer.gap_s = max(answer.gap_s, now - answer.last_at)
    answer.last_at = now
