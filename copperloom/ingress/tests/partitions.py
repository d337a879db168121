"""Partitions instances from all targets, and calls them, for tests."""

import asyncio

from copperloom.ingress.tests import fixtures
from copperloom.ingress.tests.kinds import Kind
from copperloom.platform.standins import links

__all__ = [
    "call_kinds",
    "relayed",
    "runs",
    "serve_all",
    "served",
    "start_partitioned",
]

_INTERVAL_S = 0.1
_READ = Kind("/read/x", "GET")
_WRITE = Kind("/write/x")
_STREAM = Kind("/chat/x", prompt=4000)
_ONCE = Kind("/once/x", prompt=4000)
_KINDS = (_READ, _WRITE, _STREAM, _ONCE)


async def start_partitioned(
    case, how: links.Partition, *, cut=(0,), fronts: int = 3, **sizes
) -> fixtures.System:
    """Starts a system and partitions some of its instances."""
    system = await fixtures.start_system(
        case, **({"engines": 3, "plain": 3} | sizes), fronts=fronts
    )
    await system.add_links()
    await serve_all(case, system)
    for number in cut:
        await system.links[number].cut(how)
    return system


async def serve_all(case, system) -> None:
    """Checks that each instance serves, before it is partitioned."""
    for number in range(len(system.fronts)):
        answer = await _call(system, _READ, number)
        case.assertEqual(answer.status, 200)


async def _call(system, kind: Kind, number: int, **request):
    return await fixtures.call(
        system,
        kind.path,
        method=kind.method,
        prompt=kind.prompt,
        number=number,
        **request,
    )


async def call_kinds(system, numbers, seconds: float) -> list[fixtures.Answer]:
    """Sends requests of all kinds to instances, without waiting for answers."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        for number in numbers:
            kind = _KINDS[len(tasks) // len(numbers) % len(_KINDS)]
            tasks.append(asyncio.ensure_future(_call(system, kind, number)))
        await asyncio.sleep(_INTERVAL_S)
    return await asyncio.gather(*tasks)


def served(answers: list[fixtures.Answer]) -> float:
    """Returns the share of the answers that are whole successes."""
    return sum(a.status == 200 and a.complete for a in answers) / len(answers)


def runs(system, answer: fixtures.Answer) -> int:
    """Returns how often targets ran a request."""
    return sum(t.runs.count(answer.id) for t in system.targets.values())


def relayed(system, number: int, direction: str, result: str) -> float:
    """Returns how many requests an instance relayed with a result.

    Args:
        system: The system.
        number: Number of the instance.
        direction: "sent" or "received".
        result: What came of the offer.
    """
    registry = system.fronts[number].entry.metrics.registry
    labels = {"direction": direction, "result": result}
    name = "copperloom_relayed_requests_total"
    return registry.get_sample_value(name, labels) or 0.0
