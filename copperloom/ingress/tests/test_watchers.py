"""Tests which instances watch the tables."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import shards
from copperloom.ingress import table_watch, watchers
from copperloom.ingress.state import IngressState
from copperloom.ingress.tests import fixtures, fleets
from copperloom.platform import catalog

# Changes have to be in force within 2 s, in large fleets within 3 s.
_BOUND_S = 1.95
_LARGE_BOUND_S = 2.95
_LOST_BEFORE_S = (0.05, 0.6)
# A start decides for 3 s who watches, and feeds that were opened meanwhile end
# within this time thereafter.
_FEED_WAIT_S = 0.5
SETTLED_S = 4.0


class LastInstanceTest(unittest.TestCase):
    def test_last_instance_of_a_large_fleet_watches(self):
        """Guards against a last instance that never reads the tables.

        Only the reported fleet size shows that there were other members.
        """
        state = IngressState(fixtures.own_settings("127.0.0.1", "127.0.0.1:9"))
        state.reported_fleet_size = 100
        self.assertTrue(watchers.is_watcher(state, 0.0))


def watching(system: fixtures.System) -> list[str]:
    """Returns the names of the instances that watch the tables."""
    now = asyncio.get_running_loop().time()
    return [
        f.entry.settings.instance
        for f in system.fronts
        if watchers.is_watcher(f.entry, now)
    ]


def lose(system: fixtures.System, names: list[str]) -> list[IngressState]:
    """Makes instances fall silent; returns the others."""
    for name in names:
        fleets.silence(system, name)
        lost = system.fronts[fleets.index(system, name)]
        lost.calls.close()
        lost.entry.store.address = "127.0.0.1:9"
    return [
        f.entry for f in system.fronts if f.entry.settings.instance not in names
    ]


async def change(
    system: fixtures.System, others: list[IngressState], version: int
) -> float:
    """Changes the routes; returns the time until all others apply them."""
    loop = asyncio.get_running_loop()
    at = loop.time()
    system.store.put("op", "config", fixtures.routes(version))
    await fixtures.until(
        lambda: all(e.table.version == version for e in others)
    )
    return loop.time() - at


def shorten_feeds(case: unittest.TestCase) -> None:
    """Lets feeds end soon, so that only watchers have open ones."""
    patch = mock.patch.object(table_watch, "FEED_WAIT_S", _FEED_WAIT_S)
    patch.start()
    case.addCleanup(patch.stop)


class AllWatchersLostTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        shorten_feeds(self)

    async def test_change_after_all_watchers_were_lost_at_once(self):
        """Guards against survivors that wait until the watchers are gone."""
        for lost_before_s in _LOST_BEFORE_S:
            with self.subTest(lost_before_s=lost_before_s):
                system = await fixtures.start_system(self, plain=1, fronts=9)
                await asyncio.sleep(SETTLED_S)
                others = lose(system, watching(system))
                self.assertEqual(len(others), 4)
                await asyncio.sleep(lost_before_s)
                taken_s = await change(system, others, 6)
                self.assertLess(taken_s, _BOUND_S)

    async def test_change_in_fleets_of_other_sizes(self):
        """Guards against an order of taking over that fits one size only."""
        for size in (7, 12, 16):
            with self.subTest(size=size):
                system = await fixtures.start_system(self, plain=1, fronts=size)
                await asyncio.sleep(SETTLED_S)
                others = lose(system, watching(system))
                await asyncio.sleep(_LOST_BEFORE_S[0])
                taken_s = await change(system, others, 6)
                self.assertLess(taken_s, _BOUND_S)
                await system.stop_fronts()

    async def test_substitutes_are_lost_as_well(self):
        """Guards against a second loss that only a poll would make good."""
        system = await fixtures.start_system(self, plain=1, fronts=12)
        await asyncio.sleep(SETTLED_S)
        first = watching(system)
        lose(system, first)
        await asyncio.sleep(1.7)
        second = [n for n in watching(system) if n not in first]
        self.assertEqual(len(second), watchers.MIN_WATCHERS)
        others = lose(system, second)
        others = [e for e in others if e.settings.instance not in first]
        self.assertLess(await change(system, others, 6), _BOUND_S)

    async def test_instance_that_was_frozen_reads_nothing(self):
        """Guards against calls of an instance that finds all silent."""
        system = await fixtures.start_system(self, plain=1, fronts=9)
        await asyncio.sleep(SETTLED_S)
        names = watching(system)
        follower = next(
            f for f in system.fronts if f.entry.settings.instance not in names
        )
        loop = asyncio.get_running_loop()
        for member in follower.entry.members.values():
            member.last_received_at -= 30.0
        follower.entry.attention.ticked_at -= 30.0
        self.assertFalse(watchers.is_watcher(follower.entry, loop.time()))


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        shorten_feeds(self)

    async def test_change_after_the_watchers_of_all_data_centres_were_lost(
        self,
    ):
        """Guards against a late change, and against reads by all the others."""
        system = await fleets.start_fleet(
            self, fleets.DATA_CENTRES, engines=1, plain=1
        )
        await asyncio.sleep(SETTLED_S)
        await self.check_change(system, watching(system))

    async def test_change_after_all_owners_of_a_data_centre_were_lost(self):
        """Guards against a herd that knows nothing of most members."""
        system = await fleets.start_fleet(self, engines=1, plain=1)
        await asyncio.sleep(SETTLED_S)
        owners = fleets.ranked_owners(system)[: shards.OWNERS]
        await self.check_change(system, owners)

    async def check_change(
        self, system: fixtures.System, lost: list[str]
    ) -> None:
        """Checks that the others apply a change in time, by few reads."""
        others = lose(system, lost)
        await asyncio.sleep(_LOST_BEFORE_S[0])
        pages = system.store.pages[catalog.ROUTES_TABLE]
        self.assertLess(await change(system, others, 6), _LARGE_BOUND_S)
        await asyncio.sleep(2.0)
        pages = system.store.pages[catalog.ROUTES_TABLE] - pages
        self.assertLessEqual(pages, len(others) / 2)
