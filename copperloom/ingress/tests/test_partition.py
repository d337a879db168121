"""Tests that instances partitioned from all targets serve their callers."""

import asyncio
import dataclasses
import unittest

from copperloom.ingress.tests import fixtures, fleets
from copperloom.platform.standins import links

_STABILITY_WINDOW_S = 3.0
_INTERVAL_S = 0.1
_MEASURED_S = 2.0
# A partitioned instance serves first attempts at least so often, relative to
# the others.
_MIN_SERVED_SHARE = 2 / 3
# Of all first attempts, so many may fail beside one in five.
_FAILED_SLACK = 1
_MAX_FAILED_SHARE = 10 / 50


@dataclasses.dataclass(frozen=True)
class _Kind:
    """A kind of request."""

    path: str
    method: str = "POST"
    prompt: int = 0


_READ = _Kind("/read/x", "GET")
_WRITE = _Kind("/write/x")
_STREAM = _Kind("/chat/x", prompt=4000)
_ONCE = _Kind("/once/x", prompt=4000)
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


async def _call(system, kind: _Kind, number: int, **request):
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


class PartitionedInstanceTest(unittest.IsolatedAsyncioTestCase):
    async def _check_served(self, system, cut, others) -> None:
        early = await call_kinds(system, cut, _STABILITY_WINDOW_S)
        at_cut, at_others = await asyncio.gather(
            call_kinds(system, cut, _MEASURED_S),
            call_kinds(system, others, _MEASURED_S),
        )
        self.assertGreaterEqual(
            served(at_cut), _MIN_SERVED_SHARE * served(at_others)
        )
        answers = at_cut + at_others
        failed = len(answers) * (1.0 - served(answers))
        self.assertLessEqual(
            failed, _FAILED_SLACK + _MAX_FAILED_SHARE * len(answers)
        )
        for answer in early + answers:
            if answer.status == 503:
                self.assertEqual(runs(system, answer), 0)

    async def _check_partition(self, how: links.Partition) -> None:
        system = await start_partitioned(self, how)
        await self._check_served(system, (0,), (1, 2))

    async def test_connections_get_no_reply(self):
        """Guards against 503 while other instances reach the targets."""
        await self._check_partition(links.Partition.DROP)

    async def test_connections_hang(self):
        """Guards against waiting for targets that never reply."""
        await self._check_partition(links.Partition.HANG)

    async def test_connections_are_reset(self):
        """Guards against 503 for requests that reach no target from here."""
        await self._check_partition(links.Partition.RESET)

    async def test_new_connections_are_refused(self):
        """Guards against refusals while open connections live on."""
        await self._check_partition(links.Partition.REFUSE)

    async def test_most_instances_are_partitioned(self):
        """Guards against forwarding to instances that are partitioned too."""
        system = await start_partitioned(
            self, links.Partition.REFUSE, cut=(0, 1, 2), fronts=4
        )
        await self._check_served(system, (0, 1, 2), (3,))


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_whole_data_centre_is_partitioned(self):
        """Guards against instances that know only peers that are cut as well.

        In a large fleet they hear from the owners of their data centre only.
        """
        system = await fleets.start_fleet(
            self, fleets.DATA_CENTRES, engines=3, plain=3
        )
        await system.add_links()
        await serve_all(self, system)
        cut = [
            number
            for number, service in enumerate(system.fronts)
            if service.entry.settings.data_centre == fleets.DATA_CENTRES[0]
        ]
        for number in cut:
            await system.links[number].cut(links.Partition.REFUSE)
        await call_kinds(system, cut, 1.0)
        await asyncio.sleep(_STABILITY_WINDOW_S)
        answers = await call_kinds(system, cut, 1.0)
        self.assertGreaterEqual(served(answers), _MIN_SERVED_SHARE)
