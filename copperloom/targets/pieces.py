"""Decodes the pieces of an answer and checks their order."""

from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec

from copperloom import exception
from copperloom.targets import interface
from copperloom.utils import malformed

__all__ = ["read_pieces"]

# A piece has the text of a few tokens.
_MAX_PIECE_BYTES = 1_000_000
_DECODER = msgspec.json.Decoder(interface.Piece)


async def read_pieces(
    read: Callable[[], Awaitable[bytes]], stream: str, offset: int
) -> AsyncIterator[list[interface.Piece]]:
    """Yields the pieces of each read.

    All pieces of a read are decoded in one call, since the cost of a call
    hardly depends on their number.

    Args:
        read: Returns bytes as soon as there are any, and b"" at the end.
        stream: Name of the stream that all pieces must belong to.
        offset: Tokens of the answer received before.

    Yields:
        Lists of pieces, up to the final piece.

    Raises:
        copperloom.exception.StreamBrokenError: A piece is missing, repeated or
            from another stream, or too long, or the answer ends without a
            final piece.
    """
    partial_line = b""
    final = ""
    while not final:
        data = await read()
        if not data:
            raise exception.StreamBrokenError(
                "the engine ended the answer without its final piece"
            )
        data = partial_line + data
        end = data.rfind(b"\n") + 1
        partial_line = data[end:]
        if len(partial_line) > _MAX_PIECE_BYTES:
            raise exception.StreamBrokenError(
                f"a piece has more than {_MAX_PIECE_BYTES} bytes"
            )
        if not end:
            continue
        pieces = _decode_lines(data[:end])
        for piece in pieces:
            offset = _check_piece(piece, stream, offset, final)
            final = piece.final
        yield pieces


def _decode_lines(data: bytes) -> list[interface.Piece]:
    try:
        return _DECODER.decode_lines(data)
    except malformed.ERRORS as error:
        raise exception.StreamBrokenError(str(error)) from error


def _check_piece(
    piece: interface.Piece, stream: str, offset: int, final: str
) -> int:
    """Returns the offset after a piece, or raises if the piece is unexpected.

    A late piece of an earlier attempt or of another stream could otherwise end
    up in an answer that appears to be complete.
    """
    if piece.stream != stream or piece.offset != offset or final:
        raise exception.StreamBrokenError(
            f"got a piece of stream {piece.stream} at token {piece.offset}"
            f" instead of stream {stream} at token {offset}"
        )
    return offset + piece.tokens
