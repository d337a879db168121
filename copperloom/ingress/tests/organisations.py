"""Sends requests of several organisations, one of which sends most."""

import asyncio
import dataclasses

from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire

__all__ = ["BIG", "SMALL", "Sent", "add_organisations", "send", "served_share"]

BIG = "big"
SMALL = tuple(f"small-{n}" for n in range(7))
# The large organisation sends this many times what each other one sends.
_FACTOR = 20


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request of an organisation, and its answer.

    Attributes:
        organisation: The organisation.
        answer: What its caller got.
        seconds: Time to the end of the answer.
    """

    organisation: str
    answer: fixtures.Answer
    seconds: float


async def add_organisations(system: fixtures.System) -> None:
    """Adds the organisations; returns once all instances know them."""
    rows = [{"name": n, "api_keys": [f"key-{n}"]} for n in (BIG, *SMALL)]
    system.store.put("op", "config", fixtures.routes(5, tenants=rows))
    await fixtures.until(
        lambda: all(f.entry.table.version == 5 for f in system.fronts)
    )


async def send(
    system: fixtures.System,
    path: str,
    *,
    seconds: float,
    per_s: float,
    big_at: tuple[int, ...] = (),
    **request,
) -> list[Sent]:
    """Has all organisations send requests, and waits for the answers.

    Args:
        system: The system.
        path: Path of the requests.
        seconds: How long they send, in seconds.
        per_s: Requests per second of each but the large organisation.
        big_at: Numbers of the instances that the large one connects to, in
            turn; it sends nothing without any.
        **request: Further arguments of `fixtures.call`.
    """
    every = tuple(range(len(system.fronts)))
    streams = [
        _send_of(system, path, name, per_s, every, seconds, request)
        for name in SMALL
    ]
    if big_at:
        streams.append(
            _send_of(
                system, path, BIG, per_s * _FACTOR, big_at, seconds, request
            )
        )
    found = await asyncio.gather(*streams)
    return [sent for stream in found for sent in stream]


async def _send_of(
    system, path, organisation, per_s, numbers, seconds, request
) -> list[Sent]:
    loop = asyncio.get_running_loop()
    begin = loop.time()
    tasks = []
    while loop.time() < begin + seconds:
        number = numbers[len(tasks) % len(numbers)]
        tasks.append(
            asyncio.ensure_future(
                _call(system, path, organisation, number, request)
            )
        )
        due = begin + len(tasks) / per_s
        await asyncio.sleep(max(0.0, due - loop.time()))
    return await asyncio.gather(*tasks)


async def _call(system, path, organisation, number, request) -> Sent:
    loop = asyncio.get_running_loop()
    begin = loop.time()
    answer = await fixtures.call(
        system,
        path,
        number=number,
        headers={wire.KEY: f"key-{organisation}"},
        **request,
    )
    return Sent(organisation, answer, loop.time() - begin)


def served_share(sent: list[Sent]) -> float:
    """Returns the share of requests that were answered completely."""
    answers = [s.answer for s in sent]
    return sum(a.status == 200 and a.complete for a in answers) / len(answers)
