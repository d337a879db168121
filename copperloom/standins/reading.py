"""How an engine stand-in reads a request and writes an answer."""

from collections.abc import Callable

import msgspec
from aiohttp import web

from copperloom.standins import answers, batch, server
from copperloom.targets import interface

__all__ = ["decode_open", "relay"]

_PIECE_TOKENS = 64
_HELD = "held"
_LENGTH = "length"


class _Open(msgspec.Struct):
    """StreamOpen as it is sent, with the messages in place."""

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


_OPEN = msgspec.json.Decoder(_Open)
_ENCODER = msgspec.json.Encoder()


def decode_open(body: bytes) -> interface.StreamOpen:
    """Decodes the body of a call that opens a stream."""
    fields = msgspec.structs.asdict(_OPEN.decode(body))
    fields["messages"] = bytes(fields["messages"])
    return interface.StreamOpen(**fields)


async def relay(
    request: web.Request,
    stream: batch.Stream,
    offset: int,
    now: Callable[[], float],
) -> web.StreamResponse:
    """Writes an answer from an offset on, as it is generated.

    One wake and one write carry all that a step made. A newer reader cuts
    this one off, without a final piece.

    Args:
        request: Whose response is written.
        stream: What to write.
        offset: Tokens that the reader has.
        now: Gives the monotonic time.
    """
    resp = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await resp.prepare(request)
    stream.reader += 1
    stream.readers += 1
    stream.changed.set()
    try:
        return await _write(request, resp, stream, offset)
    except ConnectionError:
        return resp
    finally:
        stream.readers -= 1
        stream.read_at = now()


async def _write(
    request: web.Request,
    resp: web.StreamResponse,
    stream: batch.Stream,
    offset: int,
) -> web.StreamResponse:
    reader = stream.reader
    while reader == stream.reader and stream.state not in _BROKEN:
        lines = _lines(stream, offset)
        offset = max(offset, stream.generated)
        if stream.state in _WHOLE:
            await resp.write_eof(lines)
            return resp
        stream.changed.clear()
        if lines:
            await resp.write(lines)
        else:
            await stream.changed.wait()
    server.abort(request)
    return resp


_BROKEN = (batch.StreamState.CANCELLED, batch.StreamState.FAILED)
_WHOLE = (batch.StreamState.FINISHED, batch.StreamState.HELD)


def _lines(stream: batch.Stream, offset: int) -> bytes:
    """Returns the pieces from an offset on, a line each."""
    if stream.state is batch.StreamState.HELD:
        piece = interface.Piece(stream.name, 0, "", 0, _HELD)
        return _ENCODER.encode(piece) + b"\n"
    end = stream.generated
    whole = stream.state is batch.StreamState.FINISHED
    lines = []
    for start in range(offset, end, _PIECE_TOKENS):
        stop = min(start + _PIECE_TOKENS, end)
        text = "".join(
            answers.text(stream.mark, index) for index in range(start, stop)
        )
        final = _LENGTH if whole and stop == end else ""
        piece = interface.Piece(stream.name, start, text, stop - start, final)
        lines.append(_ENCODER.encode(piece) + b"\n")
    if whole and not lines:
        piece = interface.Piece(stream.name, end, "", 0, _LENGTH)
        lines.append(_ENCODER.encode(piece) + b"\n")
    return b"".join(lines)
