"""A TCP proxy that injects faults, for tests and trials.

One process carries several pairs of a listening and an upstream address. The
control call takes `pair` (its name; none means all) and any field of
`PairFaults`.
"""

import asyncio
import dataclasses
import socket
import struct

import msgspec

from copperloom.standins import server, settings

__all__ = ["Pair", "PairFaults", "open_pair", "reset", "serve"]

_READ_BYTES = 65_536
_LOOK_S = 0.02
# On, no time to linger: the kernel sends a reset instead of an orderly end.
_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class PairFaults:
    """What a pair does to its connections, those open now included.

    Attributes:
        refuse: New connections are reset at once.
        drop_up: Bytes towards the upstream are swallowed, in silence.
        drop_down: Bytes towards the caller are swallowed, in silence.
        hold_up: Bytes towards the upstream wait until this is off.
        hold_down: Bytes towards the caller wait until this is off.
        delay_s: Time that all bytes take in each direction.
        cut_up_after: Bytes towards the upstream, from now on, after which
            the connection is reset; -1 never.
        cut_down_after: The same towards the caller.
        half_open: An end that closes is not told to the other.
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
    """One listening address and its upstream.

    Attributes:
        listen: IP:port; port 0 takes a free one.
        upstream: IP:port.
        faults: What it does.
        writers: Transports of its open connections, to reset them.
        tasks: Its connections' tasks.
        accepted: Connections accepted.
        bytes_up: Bytes passed on to the upstream.
        bytes_down: Bytes passed on to the callers.
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
    """Starts a proxy."""
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
        truth=lambda: {name: _tell(pair) for name, pair in pairs.items()},
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


def _tell(pair: Pair) -> dict:
    return {
        "accepted": pair.accepted,
        "open": len(pair.writers) // 2,
        "bytes_up": pair.bytes_up,
        "bytes_down": pair.bytes_down,
    }


def _control(pairs: dict[str, Pair], changes: dict) -> None:
    name = changes.pop("pair", None)
    chosen = list(pairs.values()) if name is None else [pairs[name]]
    wants_reset = changes.pop("reset", False)
    upstream = changes.pop("upstream", None)
    for pair in chosen:
        pair.faults = msgspec.convert(
            {**dataclasses.asdict(pair.faults), **changes}, PairFaults
        )
        if upstream is not None:
            pair.upstream = upstream
        if wants_reset:
            reset(pair)


def reset(pair: Pair) -> None:
    """Resets all open connections of a pair."""
    for writer in list(pair.writers):
        _abort(writer)


def _abort(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


async def open_pair(pair: Pair) -> asyncio.Server:
    """Listens; the pair then tells the address that it got."""

    async def accept(reader, writer) -> None:
        pair.accepted += 1
        task = asyncio.current_task()
        pair.tasks.add(task)
        try:
            await _carry(pair, reader, writer)
        except asyncio.CancelledError:
            # Only `close` cancels; asyncio would log it as an error.
            pass
        finally:
            pair.tasks.discard(task)

    host, _, port = pair.listen.rpartition(":")
    listener = await asyncio.start_server(accept, host, int(port))
    host, port = listener.sockets[0].getsockname()[:2]
    pair.listen = f"{host}:{port}"
    return listener


async def _carry(pair: Pair, reader, writer) -> None:
    """Carries one connection until both ends are done."""
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
    """Passes bytes one way; its faults are looked at for each read."""
    name = "up" if up else "down"
    while data := await reader.read(_READ_BYTES):
        if pair.faults.delay_s:
            await asyncio.sleep(pair.faults.delay_s)
        while getattr(pair.faults, f"hold_{name}"):
            await asyncio.sleep(_LOOK_S)
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
        await asyncio.sleep(_LOOK_S)
    writer.write_eof()


def _limit(faults: PairFaults, name: str, data: bytes) -> tuple[bytes, bool]:
    """Returns what may pass, and whether the connection is reset then."""
    left = getattr(faults, name)
    if left < 0:
        return data, False
    passed = data[:left]
    setattr(faults, name, left - len(passed))
    return passed, len(passed) == left
