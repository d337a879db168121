"""Encodes what instances exchange about a relayed request."""

from collections.abc import Iterable, Mapping

import multidict

from copperloom import exception
from copperloom.ingress import responses
from copperloom.peers import peers_pb2

__all__ = [
    "decode_headers",
    "decode_text",
    "encode_end",
    "encode_head",
    "encode_headers",
    "encode_text",
    "read_error",
    "read_head",
]

_MS = 1000.0


def encode_text(text: str) -> bytes:
    """Encodes text of a request, which need not be valid UTF-8."""
    return text.encode(errors="surrogateescape")


def decode_text(raw: bytes) -> str:
    """Decodes text of a request."""
    return raw.decode(errors="surrogateescape")


def encode_headers(headers: Mapping[str, str]) -> list[peers_pb2.Header]:
    """Encodes all headers in their order."""
    return [
        peers_pb2.Header(name=encode_text(name), value=encode_text(value))
        for name, value in headers.items()
    ]


def decode_headers(
    encoded: Iterable[peers_pb2.Header],
) -> multidict.CIMultiDict[str]:
    """Decodes headers."""
    return multidict.CIMultiDict(
        (decode_text(h.name), decode_text(h.value)) for h in encoded
    )


def encode_end(error: exception.CopperloomError | None, run: exception.Run):
    """Encodes the end of an answer, complete or with an error."""
    if error is None:
        return peers_pb2.RelayEnd()
    end = peers_pb2.RelayEnd(code=error.code, message=str(error), run=run)
    if error.retry_after_s is not None:
        end.retry_after_ms = int(error.retry_after_s * _MS)
    return end


def encode_head(head: responses.Head) -> peers_pb2.RelayHead:
    """Encodes the head of an answer."""
    return peers_pb2.RelayHead(
        status=head.status,
        reason=encode_text(head.reason or ""),
        headers=encode_headers(head.headers),
    )


def read_head(encoded: peers_pb2.RelayHead) -> responses.Head:
    """Returns the head of an answer."""
    return responses.Head(
        encoded.status,
        decode_text(encoded.reason),
        decode_headers(encoded.headers),
    )


def read_error(end: peers_pb2.RelayEnd) -> exception.CopperloomError:
    """Returns the error that ended an answer, as the peer raised it."""
    retry_after_s = None
    if end.HasField("retry_after_ms"):
        retry_after_s = end.retry_after_ms / _MS
    return _type_of(end.code)(
        end.message, run=exception.Run(end.run), retry_after_s=retry_after_s
    )


def _type_of(code: int) -> type[exception.CopperloomError]:
    """Returns the error type of a result code; the base type if unknown."""
    pending = [exception.CopperloomError]
    while pending:
        error_type = pending.pop()
        if error_type.code == code:
            return error_type
        pending += error_type.__subclasses__()
    return exception.CopperloomError
