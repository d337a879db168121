"""A TCP proxy that injects network faults.

One process serves several pairs of a listening and an upstream address. A
control request has `pair` (name of a pair; all pairs if absent), any fields of
`PairFaults`, `reset` (whether to reset the open connections) and `upstream`
(new upstream address).
"""

import asyncio
import dataclasses
import socket
import struct

import msgspec

from copperloom.standins import server, settings

__all__ = ["Pair", "PairFaults", "open_pair", "reset", "serve"]

_READ_BYTES = 65_536
_POLL_INTERVAL_S = 0.02
# SO_LINGER with a zero timeout: closing sends a RST instead of a FIN.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class PairFaults:
    """Faults of a pair, which apply to open and to new connections.

    Attributes:
        refuse: Whether new connections are reset at once.
        drop_up: Whether bytes to the upstream are silently discarded.
        drop_down: Whether bytes to the client are silently discarded.
        hold_up: Whether bytes to the upstream are held back.
        hold_down: Whether bytes to the client are held back.
        delay_s: Delay of each read in either direction, in seconds.
        cut_up_after: Number of further bytes to the upstream after which the
            connection is reset; -1 for never.
        cut_down_after: The same for bytes to the client.
        half_open: Whether the close of one end is hidden from the other.
    """

    refuse: bool = False
    drop_up: bool = False
    drop_down: bool = False
    hold_up: bool = False
    hold_down: bool = False
    delay_s: float = 0.0
    cut_up_after: int = -1
    cut_down_after: int = -1
    half_open: bool = False


class Pair:
    """A listening address and its upstream.

    Attributes:
        listen: IP:port to listen on; port 0 picks a free one.
        upstream: IP:port to connect to.
        faults: Faults that are injected at present.
        writers: Writers of both ends of the open connections.
        tasks: Tasks that serve the connections.
        accepted: Number of connections accepted.
        bytes_up: Bytes forwarded to the upstream.
        bytes_down: Bytes forwarded to the clients.
    """

    def __init__(self, listen: str, upstream: str):
        self.listen = listen
        self.upstream = upstream
        self.faults = PairFaults()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.accepted = 0
        self.bytes_up = 0
        self.bytes_down = 0


async def serve(program: settings.ProxySettings) -> server.Server:
    """Starts a proxy and returns its server."""
    pairs = dict(_parse(text) for text in program.proxy.pairs)
    listeners = []
    addresses = {}
    for name, pair in pairs.items():
        listeners.append(await open_pair(pair))
        addresses[name] = pair.listen

    async def close() -> None:
        for listener in listeners:
            listener.close()
        tasks = [task for pair in pairs.values() for task in pair.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    control = await server.start(
        program.proxy.listen,
        [],
        faults=server.Faults(),
        truth=lambda: {name: _snapshot(pair) for name, pair in pairs.items()},
        control=lambda changes: _control(pairs, changes),
        close=close,
    )
    return server.Server(
        {**control.addresses, **addresses}, control.truth, control.close
    )


def _parse(text: str) -> tuple[str, Pair]:
    name, _, addresses = text.partition("=")
    listen, _, upstream = addresses.partition(">")
    return name.strip(), Pair(listen.strip(), upstream.strip())


def _snapshot(pair: Pair) -> dict:
    return {
        "accepted": pair.accepted,
        "open": len(pair.writers) // 2,
        "bytes_up": pair.bytes_up,
        "bytes_down": pair.bytes_down,
    }


def _control(pairs: dict[str, Pair], changes: dict) -> None:
    name = changes.pop("pair", None)
    selected = list(pairs.values()) if name is None else [pairs[name]]
    must_reset = changes.pop("reset", False)
    upstream = changes.pop("upstream", None)
    for pair in selected:
        pair.faults = msgspec.convert(
            {**dataclasses.asdict(pair.faults), **changes}, PairFaults
        )
        if upstream is not None:
            pair.upstream = upstream
        if must_reset:
            reset(pair)


def reset(pair: Pair) -> None:
    """Resets all open connections of a pair."""
    for writer in list(pair.writers):
        _abort(writer)


def _abort(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


async def open_pair(pair: Pair) -> asyncio.Server:
    """Starts to listen and stores the actual address in `pair.listen`."""

    async def accept(reader, writer) -> None:
        pair.accepted += 1
        task = asyncio.current_task()
        pair.tasks.add(task)
        try:
            await _forward(pair, reader, writer)
        except asyncio.CancelledError:
            # Cancelled on close; asyncio would log this as an error.
            pass
        finally:
            pair.tasks.discard(task)

    host, _, port = pair.listen.rpartition(":")
    listener = await asyncio.start_server(accept, host, int(port))
    host, port = listener.sockets[0].getsockname()[:2]
    pair.listen = f"{host}:{port}"
    return listener


async def _forward(pair: Pair, reader, writer) -> None:
    """Forwards one connection in both directions until both ends close."""
    if pair.faults.refuse:
        _abort(writer)
        return
    host, _, port = pair.upstream.rpartition(":")
    try:
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
    except OSError:
        _abort(writer)
        return
    ends = {writer, up_writer}
    pair.writers |= ends
    try:
        await asyncio.gather(
            _pump(pair, reader, up_writer, up=True),
            _pump(pair, up_reader, writer, up=False),
        )
    except OSError:
        pass
    finally:
        for end in ends:
            _abort(end)
        pair.writers -= ends


async def _pump(pair: Pair, reader, writer, *, up: bool) -> None:
    """Forwards bytes in one direction and applies the faults to each read."""
    name = "up" if up else "down"
    while data := await reader.read(_READ_BYTES):
        if pair.faults.delay_s:
            await asyncio.sleep(pair.faults.delay_s)
        while getattr(pair.faults, f"hold_{name}"):
            await asyncio.sleep(_POLL_INTERVAL_S)
        if getattr(pair.faults, f"drop_{name}"):
            continue
        data, cut = _limit(pair.faults, f"cut_{name}_after", data)
        writer.write(data)
        await writer.drain()
        field = f"bytes_{name}"
        setattr(pair, field, getattr(pair, field) + len(data))
        if cut:
            raise ConnectionResetError
    while pair.faults.half_open and not writer.is_closing():
        await asyncio.sleep(_POLL_INTERVAL_S)
    writer.write_eof()


def _limit(faults: PairFaults, name: str, data: bytes) -> tuple[bytes, bool]:
    """Applies a limit on the bytes to forward.

    Args:
        faults: Faults, whose limit is reduced by the bytes to forward.
        name: Field of `faults` that has the limit.
        data: Bytes read.

    Returns:
        The bytes to forward and whether to reset the connection after them.
    """
    remaining = getattr(faults, name)
    if remaining < 0:
        return data, False
    forwarded = data[:remaining]
    setattr(faults, name, remaining - len(forwarded))
    return forwarded, len(forwarded) == remaining
