"""A link to the store whose open connections can go silent.

On a real link nothing comes through any more, also no answer to a keep-alive
probe. The loopback device can't lose packets, so this proxy resets a silent
connection when the daemon's own probes would have ended it.
"""

import asyncio
import contextlib
import math
import socket
import struct
import time

_LINGER = struct.pack("ii", 1, 0)


class Link:
    """A proxy in front of one address.

    Attributes:
        target: IP:port that it leads to.
        probes: Seconds without traffic before a probe, between two probes,
            and from the last sign of life to the end of the connection.
        connections: Open connections.
        server: Its listener.
    """

    def __init__(self, target: str, probes: tuple[float, float, float]):
        self.target = target
        self.probes = probes
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> str:
        """Starts to listen; returns the IP:port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def silence(self) -> list[float]:
        """Makes the open connections silent; returns when each will end."""
        now = time.monotonic()
        loop = asyncio.get_running_loop()
        ends = []
        for connection in self.connections:
            connection.is_silent = True
            end = _probed_end(connection.used_at, now, self.probes)
            loop.call_later(end - now, connection.reset)
            ends.append(end)
        return ends

    async def _serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        connection = _Connection(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        self.connections.add(connection)
        tasks = [
            asyncio.ensure_future(connection.pump(reader, far_writer)),
            asyncio.ensure_future(connection.pump(far_reader, writer)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            # The end of the case; the server would report it as an error.
            pass
        finally:
            self.connections.discard(connection)
            for task in tasks:
                task.cancel()
            far_writer.close()
            writer.close()


class _Connection:
    def __init__(self, writer: asyncio.StreamWriter):
        self.writer = writer
        self.used_at = time.monotonic()
        self.is_silent = False

    async def pump(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                while self.is_silent:
                    await asyncio.sleep(3600)
                self.used_at = time.monotonic()
                writer.write(data)
                await writer.drain()
        while self.is_silent:
            await asyncio.sleep(3600)

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        if sock is not None and not self.writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
            self.writer.transport.abort()


def _probed_end(
    used_at: float, now: float, probes: tuple[float, float, float]
) -> float:
    """Returns when keep-alive probes end a connection that is silent now."""
    idle_s, interval_s, most_s = probes
    alive_at = used_at
    if now - used_at >= idle_s:
        answered = math.floor((now - used_at - idle_s) / interval_s)
        alive_at = used_at + idle_s + answered * interval_s
    return alive_at + most_s
