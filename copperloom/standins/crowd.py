"""Clients that don't keep to any limit: heads, bodies and silence of any form.

Usage:
  crowd PLAN

PLAN is a `Plan` as JSON. The process runs until it is terminated, or for the
plan's time. Each client sends the pieces of its kind, then keeps its connection
open; it opens another one when the connection is closed.
"""

import asyncio
import contextlib
import dataclasses
import random
import signal
import socket
import sys

import docopt
import msgspec

from copperloom.standins import crowd_frames, crowd_pieces, crowd_requests

__all__ = ["KINDS", "Plan", "run"]

_BLOCK_BYTES = 65_536
_RECONNECT_S = 0.02
_CONNECT_S = 2.0
# Pause of a client that sends a byte at a time.
_SLOW_S = 0.5
_DATAGRAM_BYTES = 40_000
_DATAGRAM_PAUSE_S = 0.01
KINDS = crowd_requests.KINDS | crowd_frames.KINDS
_ALL_KINDS = KINDS | crowd_frames.CALL_KINDS | crowd_requests.OTHER_KINDS
# Sends datagrams that are no messages.
_DATAGRAMS = "datagrams"


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a crowd does.

    Attributes:
        address: IP:port that it connects to.
        kinds: Names of the kinds of its clients, which take turns.
        clients: Number of clients.
        seconds: Time after which it stops, in seconds.
        seed: Seed of what is random.
        template: The request that is distorted.
    """

    address: str
    kinds: tuple[str, ...]
    clients: int
    seconds: float
    seed: int
    template: crowd_pieces.Template


async def run(plan: Plan) -> None:
    """Runs the clients for the plan's time."""
    tasks = [
        asyncio.ensure_future(_stay(plan, number))
        for number in range(plan.clients)
    ]
    try:
        await asyncio.sleep(plan.seconds)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _stay(plan: Plan, number: int) -> None:
    rng = random.Random(f"{plan.seed}.{number}")
    kind = plan.kinds[number % len(plan.kinds)]
    if kind == _DATAGRAMS:
        await _send_datagrams(plan.address, rng)
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            await _connect_once(plan, _ALL_KINDS[kind], rng)
        await asyncio.sleep(_RECONNECT_S)


async def _connect_once(plan: Plan, kind, rng: random.Random) -> None:
    host, _, port = plan.address.rpartition(":")
    async with asyncio.timeout(_CONNECT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    reading = asyncio.ensure_future(_discard(reader))
    sending = asyncio.ensure_future(
        _send(writer, reader, kind(plan.template, rng))
    )
    try:
        await asyncio.wait(
            (reading, sending), return_when=asyncio.FIRST_EXCEPTION
        )
    finally:
        for task in (reading, sending):
            task.cancel()
        await asyncio.gather(reading, sending, return_exceptions=True)
        writer.transport.abort()


async def _discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(_BLOCK_BYTES):
        pass
    raise ConnectionResetError("the connection was closed")


async def _send(writer, reader, pieces: crowd_pieces.Pieces) -> None:
    for piece in pieces:
        if piece is crowd_pieces.Step.STOP_READING:
            writer.transport.pause_reading()
        elif piece is crowd_pieces.Step.END_SENDING:
            writer.write_eof()
        elif piece is crowd_pieces.Step.ABORT:
            raise ConnectionAbortedError
        elif piece:
            writer.write(piece)
            await writer.drain()
        else:
            await asyncio.sleep(_SLOW_S)


async def _send_datagrams(address: str, rng: random.Random) -> None:
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        while True:
            with contextlib.suppress(OSError):
                sock.sendto(rng.randbytes(_DATAGRAM_BYTES), (host, int(port)))
            await asyncio.sleep(_DATAGRAM_PAUSE_S)


async def _run_until_terminated(plan: Plan) -> None:
    task = asyncio.ensure_future(run(plan))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with contextlib.suppress(asyncio.CancelledError):
        await task


def main(argv: list[str] | None = None) -> int:
    """Runs a crowd."""
    args = docopt.docopt(__doc__, argv)
    plan = msgspec.json.decode(args["PLAN"], type=Plan)
    asyncio.run(_run_until_terminated(plan))
    return 0


if __name__ == "__main__":
    sys.exit(main())
