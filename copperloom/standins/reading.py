"""Decoding of requests and streaming of answers at an engine stand-in."""

from collections.abc import Callable

import msgspec
from aiohttp import web

from copperloom.standins import answers, batch, server
from copperloom.targets import interface

__all__ = ["decode_open", "relay"]

_MAX_PIECE_TOKENS = 64
_FINAL_HELD = "held"
_FINAL_LENGTH = "length"


class _OpenBody(msgspec.Struct):
    """StreamOpen as it is sent: the messages are embedded as raw JSON."""

    stream: str
    owner: str
    organisation: str
    deployment: str
    model: str
    messages: msgspec.Raw
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    prefix: str = ""
    key: str = ""
    hold: bool = False
    imports: tuple[str, ...] = ()


_OPEN_DECODER = msgspec.json.Decoder(_OpenBody)
_ENCODER = msgspec.json.Encoder()


def decode_open(body: bytes) -> interface.StreamOpen:
    """Decodes the body of a request that opens a stream."""
    fields = msgspec.structs.asdict(_OPEN_DECODER.decode(body))
    fields["messages"] = bytes(fields["messages"])
    return interface.StreamOpen(**fields)


async def relay(
    request: web.Request,
    stream: batch.Stream,
    offset: int,
    now: Callable[[], float],
) -> web.StreamResponse:
    """Streams an answer from an offset on, as it is generated.

    All tokens of an iteration go out in one write. A later reader of the same
    stream supersedes this one, whose connection is reset without a final
    piece.

    Args:
        request: The request to respond to.
        stream: The stream to send.
        offset: Tokens of the answer that the reader already has.
        now: Returns the monotonic time in seconds.

    Returns:
        The response, which has been sent.
    """
    resp = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await resp.prepare(request)
    stream.latest_reader += 1
    stream.readers += 1
    stream.changed.set()
    try:
        return await _write(request, resp, stream, offset)
    except ConnectionError:
        return resp
    finally:
        stream.readers -= 1
        stream.last_read_at = now()


async def _write(
    request: web.Request,
    resp: web.StreamResponse,
    stream: batch.Stream,
    offset: int,
) -> web.StreamResponse:
    reader_number = stream.latest_reader
    while (
        reader_number == stream.latest_reader
        and stream.state not in _INTERRUPTED
    ):
        lines = _lines(stream, offset)
        offset = max(offset, stream.generated)
        if stream.state in _COMPLETE:
            await resp.write_eof(lines)
            return resp
        stream.changed.clear()
        if lines:
            await resp.write(lines)
        else:
            await stream.changed.wait()
    server.abort(request)
    return resp


_INTERRUPTED = (batch.StreamState.CANCELLED, batch.StreamState.FAILED)
_COMPLETE = (batch.StreamState.FINISHED, batch.StreamState.HELD)


def _lines(stream: batch.Stream, offset: int) -> bytes:
    """Returns the pieces from an offset on as lines of JSON."""
    if stream.state is batch.StreamState.HELD:
        piece = interface.Piece(stream.name, 0, "", 0, _FINAL_HELD)
        return _ENCODER.encode(piece) + b"\n"
    end = stream.generated
    complete = stream.state is batch.StreamState.FINISHED
    lines = []
    for start in range(offset, end, _MAX_PIECE_TOKENS):
        stop = min(start + _MAX_PIECE_TOKENS, end)
        text = "".join(
            answers.text(stream.mark, index) for index in range(start, stop)
        )
        final_reason = _FINAL_LENGTH if complete and stop == end else ""
        piece = interface.Piece(
            stream.name, start, text, stop - start, final_reason
        )
        lines.append(_ENCODER.encode(piece) + b"\n")
    if complete and not lines:
        piece = interface.Piece(stream.name, end, "", 0, _FINAL_LENGTH)
        lines.append(_ENCODER.encode(piece) + b"\n")
    return b"".join(lines)
