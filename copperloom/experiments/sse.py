"""Reading of streamed answers and of coded errors."""

import dataclasses
import time

import aiohttp
import msgspec

__all__ = ["Answer", "Error", "decode_error", "read"]

_DATA = b"data: "
_DONE = b"[DONE]"


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer as it comes in.

    Attributes:
        text: Pieces of text.
        ids: The ids that its chunks named.
        finish: Why it ended; "" until then.
        done: Whether the closing event came.
        error: A coded error that came within the stream.
        first: Monotonic time of the first piece; 0 until then.
        last: Monotonic time of the last piece.
        gap_s: Longest time between two pieces.
    """

    text: list[str] = dataclasses.field(default_factory=list)
    ids: set[str] = dataclasses.field(default_factory=set)
    finish: str = ""
    done: bool = False
    error: "Error | None" = None
    first: float = 0.0
    last: float = 0.0
    gap_s: float = 0.0


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    finish_reason: str | None = None


class Error(msgspec.Struct):
    """An error that an entry gave; code 0 if it gave none."""

    code: int = 0
    message: str = ""
    run: str = ""


class _Chunk(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    error: Error | None = None


class _ErrorBody(msgspec.Struct):
    error: Error


_CHUNKS = msgspec.json.Decoder(_Chunk)
_ERRORS = msgspec.json.Decoder(_ErrorBody)


def decode_error(data: bytes) -> Error:
    """Reads the body of an error.

    Raises:
        msgspec.MsgspecError: It is not an error of the callers' interface.
    """
    return _ERRORS.decode(data).error


async def read(response: aiohttp.ClientResponse, answer: Answer) -> None:
    """Reads server-sent events into an answer until the connection ends."""
    rest = b""
    async for data in response.content.iter_any():
        now = time.monotonic()
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            _take_line(answer, line, now)


def _take_line(answer: Answer, line: bytes, now: float) -> None:
    if not line.startswith(_DATA):
        return
    value = line[len(_DATA) :].strip()
    if value == _DONE:
        answer.done = True
        return
    chunk = _CHUNKS.decode(value)
    answer.error = chunk.error or answer.error
    if chunk.id:
        answer.ids.add(chunk.id)
    for choice in chunk.choices:
        _take_choice(answer, choice, now)


def _take_choice(answer: Answer, choice: _Choice, now: float) -> None:
    answer.finish = choice.finish_reason or answer.finish
    if choice.delta is None or not choice.delta.content:
        return
    answer.text.append(choice.delta.content)
    if not answer.first:
        answer.first = now
    else:
        answer.gap_s = max(answer.gap_s, now - answer.last)
    answer.last = now
