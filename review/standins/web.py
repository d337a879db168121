"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import dataclasses
import time

MAX_LINE = 65_536


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
        first: The words of its first line.
        headers: Headers by lower-case name.
        body: The whole body.
        whole: Whether it was received to its end.
        head_at: Monotonic time at which the head was complete.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = False
    head_at: float = 0.0

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; None at the end of the connection."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (text := (await reader.readline()).decode("latin-1")).strip():
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    first = line.decode("latin-1").split(maxsplit=2)
    return Message(first, headers, head_at=time.monotonic())


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body by its length, its chunks or the connection's end."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            message.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                message.whole = True
                return
    elif "content-length" in message.headers:
        length = int(message.headers["content-length"])
        message.body = await reader.readexactly(length)
        message.whole = True
    elif message.first[0].startswith("HTTP/"):
        message.body = await reader.read()
        message.whole = True
    else:
        message.whole = True


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes an answer that ends its connection."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def serve(handle, host: str, port: int = 0) -> asyncio.Server:
    """Serves one request a connection; `handle(message, writer)` answers."""

    async def on_connection(reader, writer):
        try:
            message = await read_head(reader)
            if message is not None:
                await read_body(reader, message)
                await handle(message, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The end of the case; the server would report it as an error.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, host, port, limit=MAX_LINE, backlog=256
    )


def address_of(server: asyncio.Server) -> str:
    """Returns the IP:port that a server listens on."""
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 12.0,
) -> Message | None:
    """Sends a request on a new connection; returns its answer.

    Returns:
        The answer, which isn't whole if the connection ended early; None if
        there is no head of an answer.
    """
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    message = None
    writer = None
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError, ValueError
    ):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_LINE
            )
            writer.write("\r\n".join(lines).encode("latin-1") + body)
            message = await read_head(reader)
            if message is not None:
                await read_body(reader, message)
    if writer is not None:
        writer.close()
    return message
