"""A runner sends bytes that are no answer into its streams, without end."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.harness2 import system as standins
from review.harness2 import web

_EVENTS = 16
_GOOD = 3
_TROUBLE_S = 3.0
# A second head, and then zero bytes.
_JUNK = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
_BLOCK_BYTES = 16_384


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


async def _send_junk(request: web.Request, headers: dict) -> None:
    """Streams some events, and then other bytes until the caller closes."""
    headers = headers | {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    request.writer.write(web.head(200, headers))
    for number in range(1, _GOOD + 1):
        await asyncio.sleep(0.03)
        request.writer.write(web.chunk(_event(number)))
    request.writer.write(web.chunk(_JUNK))
    while True:
        request.writer.write(web.chunk(bytes(_BLOCK_BYTES)))
        await request.writer.drain()
        await asyncio.sleep(0.005)


async def _traffic(system, counter) -> None:
    while True:
        for front in system.fronts:
            headers = {
                "Copperloom-Model": "m",
                "Copperloom-Token-Counts": "4960,800",
                "Copperloom-Prompt-Prefix": (
                    f"5c1e07a2:40,{next(counter):x}:4920"
                ),
            }
            system.begin(
                system.send(front, "POST", "/stream/x", headers=headers)
            )
        await asyncio.sleep(0.2)


async def case(system, is_troubled: bool) -> list[str]:
    """Plays the case; returns what broke the rule."""
    for number in range(4):
        made = await system.add_runner(f"i-m{number}", "huvo11a")
        made.events = _EVENTS
    system.write_routes()
    await system.start_fronts(3)
    await asyncio.sleep(1.0)
    traffic = system.begin(_traffic(system, itertools.count(0x100000)))
    await asyncio.sleep(2.0)
    broken = system.runners["i-m0"]
    if is_troubled:
        broken.answer_badly = _send_junk
        system.record(f"{broken.name} sends bytes that are no answer")
    await asyncio.sleep(_TROUBLE_S)
    broken.answer_badly = None
    system.record(f"{broken.name} is sound again")
    await asyncio.sleep(1.0)
    traffic.cancel()
    await asyncio.sleep(4.0)
    return _judge(system)


def _judge(system) -> list[str]:
    whole = b"".join(map(_event, range(1, _EVENTS + 1)))
    broken = []
    for result in system.results:
        answer = result.answer
        if answer.status != 200 or not answer.is_complete:
            continue
        if answer.body != whole:
            system.record(f"{result.id} got {answer.body[:400]!r}")
            runs = [
                f"{made.name} at {system.record.at(at)}"
                for made in system.runners.values()
                for name, _, _, at in made.arrived
                if name == result.id
            ]
            broken.append(
                f"MIXED {result.id} from {result.front}: status 200, complete,"
                f" {len(answer.body)} bytes instead of {len(whole)}; ran on"
                f" {runs}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(standins.run(case, pathlib.Path(__file__).with_name("record.txt")))
