"""Tests that instances partitioned from all targets serve their callers."""

import asyncio
import unittest

from copperloom.ingress.tests import fleets, partitions
from copperloom.platform.standins import links

_STABILITY_WINDOW_S = 3.0
_MEASURED_S = 2.0
# A partitioned instance serves first attempts at least so often, relative to
# the others.
_MIN_SERVED_SHARE = 2 / 3
# Of all first attempts, so many may fail beside one in five.
_FAILED_SLACK = 1
_MAX_FAILED_SHARE = 10 / 50


class PartitionedInstanceTest(unittest.IsolatedAsyncioTestCase):
    async def _check_served(self, system, cut, others) -> None:
        early = await partitions.call_kinds(system, cut, _STABILITY_WINDOW_S)
        at_cut, at_others = await asyncio.gather(
            partitions.call_kinds(system, cut, _MEASURED_S),
            partitions.call_kinds(system, others, _MEASURED_S),
        )
        self.assertGreaterEqual(
            partitions.served(at_cut),
            _MIN_SERVED_SHARE * partitions.served(at_others),
        )
        answers = at_cut + at_others
        failed = len(answers) * (1.0 - partitions.served(answers))
        self.assertLessEqual(
            failed, _FAILED_SLACK + _MAX_FAILED_SHARE * len(answers)
        )
        for answer in early + answers:
            if answer.status == 503:
                self.assertEqual(partitions.runs(system, answer), 0)

    async def _check_partition(self, how: links.Partition) -> None:
        system = await partitions.start_partitioned(self, how)
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
        system = await partitions.start_partitioned(
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
        await partitions.serve_all(self, system)
        cut = [
            number
            for number, service in enumerate(system.fronts)
            if service.entry.settings.data_centre == fleets.DATA_CENTRES[0]
        ]
        for number in cut:
            await system.links[number].cut(links.Partition.REFUSE)
        await partitions.call_kinds(system, cut, 1.0)
        await asyncio.sleep(_STABILITY_WINDOW_S)
        answers = await partitions.call_kinds(system, cut, 1.0)
        self.assertGreaterEqual(partitions.served(answers), _MIN_SERVED_SHARE)
