"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

_LINGER_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Request:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass
class Answer:
    """What a client has seen of an answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    writer.transport.abort()


def head(status: int, headers: dict[str, str], reason: str = "OK") -> bytes:
    """Encodes the head of an answer."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Encodes a chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Reads a first line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def _read_chunks(reader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


async def read_request(reader, writer) -> Request | None:
    """Reads a request; None if the connection has ended."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ", 2)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body, reader, writer)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 15.0,
) -> Answer:
    """Sends a request on a new connection and reads its answer."""
    answer = Answer()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await _read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = answer.error or type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer: Answer) -> None:
    found = await read_head(reader)
    if found is None:
        answer.error = "closed without an answer"
        return
    first, answer.headers = found
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True
