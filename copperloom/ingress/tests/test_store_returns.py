"""Tests that instances follow a table service that returns from an old copy."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import registry
from copperloom.ingress import registration, server, table_watch, watchers
from copperloom.ingress.tests import fixtures, fleets
from copperloom.platform import catalog

# The platform allows 2 s from the confirmation.
_BOUND_S = 1.9
# Above the largest delay between two tries.
_AWAY_S = 0.6
_REWRITE_LIMIT_S = 5.0
_STARTED_S = 4.0


def put_routes(system: fixtures.System, version: int) -> None:
    """Writes the operators' document."""
    system.store.put("op", "config", fixtures.routes(version))


def put_target(system: fixtures.System, name: str, **changes) -> None:
    """Writes the row of a target of a plain service."""
    row = system.targets["plain-0"].registration("plain", **changes)
    system.store.put(catalog.TARGETS_TABLE, name, row)


async def lose_writes(
    system: fixtures.System, backup, *, away_s: float = _AWAY_S
) -> None:
    """Takes the table service away; it returns from a copy."""
    system.store.leave()
    await asyncio.sleep(away_s)
    system.store.return_from(backup)


def have_routes(system: fixtures.System, version: int) -> bool:
    """Returns whether all instances apply a version of the routes."""
    return all(f.entry.table.version == version for f in system.fronts)


async def remove_target(system: fixtures.System, name: str) -> None:
    """Removes the row of a target; returns once all instances know."""
    system.store.remove(catalog.TARGETS_TABLE, name)
    await fixtures.until(
        lambda: not any(name in f.entry.targets.entries for f in system.fronts)
    )


def all_hold(system: fixtures.System, name: str) -> bool:
    """Returns whether all instances hold the row of a removed target."""
    return all(name in f.entry.removed_targets.held for f in system.fronts)


def followers(system: fixtures.System) -> list:
    """Returns the instances that don't watch the tables."""
    now = asyncio.get_running_loop().time()
    entries = [f.entry for f in system.fronts]
    return [e for e in entries if not watchers.is_watcher(e, now)]


class RoutesTest(unittest.IsolatedAsyncioTestCase):
    async def test_document_written_under_a_number_given_out_again(self):
        """Guards against a feed that goes on behind the lost rows."""
        system = await fixtures.start_system(self, plain=1, fronts=3)
        await self.check_change_after_return(system)

    async def test_number_given_out_again_equals_the_known_one(self):
        """Guards against a feed that waits behind a cursor of an earlier era.

        It is answered, and names the era, only when it ends.
        """
        system = await fixtures.start_system(self, plain=1, fronts=3)
        # The calls of a start would show the era.
        await asyncio.sleep(_STARTED_S)
        await self.check_change_after_return(system)

    async def check_change_after_return(self, system: fixtures.System) -> None:
        """Checks that a change just after a return is applied in time."""
        backup = system.store.copy()
        for version in (2, 3):
            put_routes(system, version)
            await fixtures.until(lambda v=version: have_routes(system, v))
        await lose_writes(system, backup)
        put_routes(system, 3)
        put_routes(system, 4)
        await fixtures.until(lambda: have_routes(system, 4), limit_s=_BOUND_S)

    async def test_feed_that_stays_open_across_two_returns(self):
        """Guards against a feed that doesn't see the copy under it."""
        system = await fixtures.start_system(self, plain=1, fronts=2)
        for version in (2, 4):
            backup = system.store.copy()
            put_routes(system, version)
            put_routes(system, version)
            await fixtures.until(lambda v=version: have_routes(system, v))
            system.store.return_from(backup, ends_feeds=False)
            put_routes(system, version)
            put_routes(system, version + 1)
            await fixtures.until(
                lambda v=version + 1: have_routes(system, v), limit_s=_BOUND_S
            )

    async def test_older_document_in_the_copy_reverts_nothing(self):
        """Guards against an instance that goes back to older routes."""
        system = await fixtures.start_system(self, plain=1, fronts=2)
        backup = system.store.copy()
        put_routes(system, 2)
        await fixtures.until(lambda: have_routes(system, 2))
        await lose_writes(system, backup)
        put_target(system, "plain-1")
        await fixtures.until(
            lambda: all(
                "plain-1" in f.entry.targets.entries for f in system.fronts
            )
        )
        self.assertTrue(have_routes(system, 2))


class TargetsTest(unittest.IsolatedAsyncioTestCase):
    async def test_followers_hear_of_changes_below_the_known_version(self):
        """Guards against requests to a draining target after a return.

        Its version is below the one that instances have which don't watch.
        """
        system = await fixtures.start_system(self, plain=2, fronts=9)
        await fixtures.until(lambda: len(followers(system)) == 4)
        backup = system.store.copy()
        for number in range(20):
            put_target(system, "plain-9", cold_remaining_ms=number)
        put_target(system, "plain-8")
        await fixtures.until(
            lambda: all(
                "plain-8" in f.entry.targets.entries for f in system.fronts
            )
        )
        await lose_writes(system, backup)
        put_target(system, "plain-0", state="draining")
        put_target(system, "plain-7")
        await fixtures.until(
            lambda: all(
                f.entry.targets.entries["plain-0"].draining
                and "plain-7" in f.entry.targets.entries
                for f in system.fronts
            ),
            limit_s=_BOUND_S,
        )
        # Neither has been written again.
        names = {n for f in system.fronts for n in f.entry.targets.entries}
        self.assertTrue(names.isdisjoint({"plain-8", "plain-9"}))

    async def test_target_in_force_stays_until_its_time_to_return_is_over(self):
        """Guards against a refusal while a target's row is written again."""
        system = await fixtures.start_system(self, plain=0, fronts=2)
        backup = system.store.copy()
        await system.add_target("plain-0", "plain")
        await fixtures.until(
            lambda: all(
                "plain-0" in f.entry.targets.entries for f in system.fronts
            )
        )
        system.store.return_from(backup)
        await fixtures.until(
            lambda: all(
                "plain-0" in f.entry.targets.missing for f in system.fronts
            ),
            limit_s=1.0,
        )
        for number in range(2):
            answer = await fixtures.call(system, "/write/x", number=number)
            self.assertEqual(answer.status, 200)
        await asyncio.sleep(registry.LAPSE_S)
        answer = await fixtures.call(system, "/write/x", wait_ms=500)
        self.assertEqual(answer.status, 503)

    async def test_target_that_drains_is_not_ready_by_an_older_copy(self):
        """Guards against requests to a target whose row in the copy is old."""
        system = await fixtures.start_system(self, plain=2, fronts=3)
        backup = system.store.copy()
        put_target(system, "plain-0", state="draining")
        await fixtures.until(
            lambda: all(
                f.entry.targets.entries["plain-0"].draining
                for f in system.fronts
            )
        )
        since = asyncio.get_running_loop().time()
        system.store.return_from(backup)
        answers = await fixtures.call_often(system, "/write/x", 1.0, 0.05)
        self.assertEqual({a.status for a in answers}, {200})
        eras = {f.entry.targets.version.era for f in system.fronts}
        self.assertEqual(eras, {2})
        runs = [t for t, _ in system.targets["plain-0"].arrivals if t > since]
        self.assertEqual(runs, [])


class RemovedTargetTest(unittest.IsolatedAsyncioTestCase):
    async def test_removed_target_stays_out_of_use_after_returns(self):
        """Guards against requests to targets that an older copy brings back."""
        system = await fixtures.start_system(self, plain=2, fronts=3)
        backup = system.store.copy()
        gone = system.targets["plain-0"]
        gone.leaves = True
        await remove_target(system, "plain-0")
        since = asyncio.get_running_loop().time()
        for _ in range(2):
            await lose_writes(system, backup)
            answers = await fixtures.call_often(system, "/write/x", 1.0, 0.05)
            self.assertEqual({a.status for a in answers}, {200})
        # The removal is on its way while the table returns once more.
        await remove_target(system, "plain-0")
        await lose_writes(system, backup)
        await system.add_front()
        await fixtures.until(lambda: server.is_ready(system.fronts[3].entry))
        await asyncio.sleep(1.0)
        await fixtures.call_often(system, "/write/x", 1.0, 0.05)
        late = [t for t, kind in gone.arrivals if t > since and kind != "check"]
        self.assertEqual(late, [])

    async def test_target_that_lives_is_used_again(self):
        """Guards against a sound target that is held back after a return."""
        for how in ("registers", "restarts", "answers"):
            with self.subTest(how):
                system = await fixtures.start_system(self, plain=2, fronts=3)
                backup = system.store.copy()
                target = system.targets["plain-0"]
                target.leaves = how != "answers"
                # Its row lapses, as after a silence.
                await remove_target(system, "plain-0")
                await lose_writes(system, backup)
                if how != "answers":
                    await fixtures.until(
                        lambda s=system: all_hold(s, "plain-0")
                    )
                    changes = {"born": 2} if how == "restarts" else {}
                    put_target(system, "plain-0", **changes)
                await fixtures.until(
                    lambda s=system: all(
                        "plain-0" in f.entry.targets.entries for f in s.fronts
                    ),
                    limit_s=_BOUND_S,
                )
                # It stays in use after another return.
                if how == "answers":
                    await lose_writes(system, backup)
                    await asyncio.sleep(0.5)
                    self.assertFalse(all_hold(system, "plain-0"))
                await system.stop_fronts()


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_tables_are_read_once_a_peer_names_the_era(self):
        """Guards against watchers that wait for their own feed's answer."""
        system = await fixtures.start_system(self, plain=1, fronts=2)
        backup = system.store.copy()
        put_routes(system, 2)
        await fixtures.until(lambda: have_routes(system, 2))
        system.store.return_from(backup, ends_feeds=False)
        put_routes(system, 3)
        del system.store.rows[catalog.TARGETS_TABLE]["plain-0"]
        await fixtures.until(
            lambda: all(
                f.entry.table.version == 3
                and f.entry.targets.version.era == 2
                and "plain-0" not in f.entry.targets.entries
                for f in system.fronts
            ),
            limit_s=1.0,
        )

    async def test_few_instances_read_the_copy_in_a_large_fleet(self):
        """Guards against a read by each of hundreds after a return."""
        system = await fleets.start_fleet(
            self, fleets.DATA_CENTRES, engines=2, plain=1
        )
        await asyncio.sleep(1.0)
        backup = system.store.copy()
        put_target(system, "plain-9")
        await fixtures.until(
            lambda: all(
                "plain-9" in f.entry.targets.entries for f in system.fronts
            )
        )
        pages = system.store.pages[catalog.TARGETS_TABLE]
        system.store.return_from(backup)
        put_target(system, "plain-8")
        await fixtures.until(
            lambda: all(
                "plain-8" in f.entry.targets.entries for f in system.fronts
            ),
            limit_s=4.0,
        )
        await asyncio.sleep(1.0)
        pages = system.store.pages[catalog.TARGETS_TABLE] - pages
        self.assertLessEqual(pages, 9)
        names = {n for f in system.fronts for n in f.entry.targets.entries}
        self.assertNotIn("plain-9", names)


class OwnRowsTest(unittest.IsolatedAsyncioTestCase):
    async def test_members_are_registered_again_once(self):
        """Guards against instances that start later and find nobody."""
        short = mock.patch.object(registration, "_OWNERSHIP_CHECK_S", 0.5)
        short.start()
        self.addCleanup(short.stop)
        system = await fixtures.start_system(self, plain=1, fronts=0)
        backup = system.store.copy()
        for _ in range(4):
            await system.add_front()
        rows = system.store.rows
        await fixtures.until(
            lambda: len(rows.get(catalog.MEMBERS_TABLE, {})) == 4
        )
        system.store.return_from(backup)
        writes = system.store.writes
        await fixtures.until(
            lambda: len(system.store.rows.get(catalog.MEMBERS_TABLE, {})) == 4,
            limit_s=_REWRITE_LIMIT_S,
        )
        await asyncio.sleep(1.5)
        self.assertEqual(system.store.writes - writes, 4)


class BackoffTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_that_stay_outdated_are_not_asked_for_at_once(self):
        """Guards against a loop of reads without a pause."""
        system = await fixtures.start_system(self, plain=1, fronts=1)
        state = system.fronts[0].entry
        reads = system.store.reads
        table_watch.store.note_era(state.store, 7)
        await asyncio.sleep(1.0)
        self.assertLess(system.store.reads - reads, 20)
