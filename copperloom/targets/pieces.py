"""Checks that the pieces of an answer follow each other."""

from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec

from copperloom import exception
from copperloom.targets import interface

__all__ = ["follow"]

_PIECES = msgspec.json.Decoder(interface.Piece)


async def follow(
    read: Callable[[], Awaitable[bytes]], stream: str, offset: int
) -> AsyncIterator[list[interface.Piece]]:
    """Yields what each read brought, all lines of it decoded in one call.

    A list of pieces costs one wake and one decoding, however many tokens came
    together; at thousands of tokens a second these are most of an entry's
    processor time.

    Args:
        read: Returns bytes as soon as there are any; none at the end.
        stream: The stream that all pieces must name.
        offset: Tokens that the reader has.

    Raises:
        copperloom.exception.StreamBrokenError: A piece does not follow, or
            the answer ends without a final piece.
    """
    rest = b""
    final = ""
    while not final:
        data = await read()
        if not data:
            raise exception.StreamBrokenError("no final piece")
        data = rest + data
        end = data.rfind(b"\n") + 1
        rest = data[end:]
        if not end:
            continue
        pieces = _decode_lines(data[:end])
        for piece in pieces:
            offset = _follow(piece, stream, offset, final)
            final = piece.final
        yield pieces


def _decode_lines(data: bytes) -> list[interface.Piece]:
    try:
        return _PIECES.decode_lines(data)
    except msgspec.DecodeError as error:
        raise exception.StreamBrokenError(str(error)) from error


def _follow(
    piece: interface.Piece, stream: str, offset: int, final: str
) -> int:
    """Returns the offset after a piece, or raises if it does not follow.

    Late pieces of an earlier attempt, or of another stream on a connection
    that was used again after a cut, would otherwise give a caller a mixed
    answer that looks whole.
    """
    if piece.stream != stream or piece.offset != offset or final:
        raise exception.StreamBrokenError(
            f"piece {piece.stream} {piece.offset} does not follow"
            f" {stream} {offset}"
        )
    return offset + piece.tokens
