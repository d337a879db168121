"""Tests that all instances learn of removals which no row tells of."""

import asyncio
import unittest
from unittest import mock

import msgspec

from copperloom.decisions import evacuation, rowlog
from copperloom.ingress import (
    datagrams,
    digests,
    evacuations,
    gossip,
    peer_fetch,
    table_watch,
    updates,
)
from copperloom.ingress.state import IngressState
from copperloom.ingress.tests import fixtures, fleets, test_watchers
from copperloom.peers import catalog, client
from copperloom.platform import catalog as tables
from copperloom.platform import store
from copperloom.platform.standins.target import TargetStandin
from copperloom.versions import Version

# A target that is gone must get nothing later than this after an instance has
# learnt of it.
_DRAIN_S = 2.0
_ROWS = {"plain-0": 3, "plain-1": 5}


def _row(name: str, number: int) -> store.StoredRow:
    target = TargetStandin(name)
    target.address = "127.0.0.1:9"
    value = msgspec.json.encode(target.registration("plain"))
    return store.StoredRow(name, value, Version(1, number), False)


def _read_all(state: IngressState, rows: dict[str, int], version: int) -> None:
    """Applies a read of the whole table."""
    stored = tuple(_row(name, number) for name, number in rows.items())
    feed = store.Feed(stored, Version(1, version))
    table_watch._apply_targets(state, feed, whole=True)


def _tell(sender: IngressState, receiver: IngressState):
    """Passes on a digest; returns what the receiver knows of the sender."""
    protocol = gossip.Gossip(receiver, "127.0.0.1:9")
    protocol.transport = mock.Mock()
    now = asyncio.get_running_loop().time()
    data = digests.encode(sender, now, [])
    with mock.patch.object(peer_fetch, "_fetch_newer", mock.AsyncMock()):
        gossip._apply_digest(protocol, datagrams.decode(data))
    return receiver.members[sender.settings.instance]


async def _fetch(receiver: IngressState, sender: IngressState) -> None:
    async def call(channels, address, method, request, **options):
        return catalog._reply(sender, request)

    with mock.patch.object(client, "call", call):
        await catalog.fetch(receiver, "127.0.0.1:9")


def _make_states() -> list[IngressState]:
    states = [
        IngressState(fixtures.own_settings(f"127.0.0.{n}", "127.0.0.1:9"))
        for n in (2, 3)
    ]
    for state in states:
        state.datagrams = "127.0.0.1:9"
    return states


class DigestTest(unittest.IsolatedAsyncioTestCase):
    async def test_reader_that_never_knew_the_row(self):
        """Guards against a removal while all readers restart."""
        for rows, removed in (
            ({"plain-1": 5}, "plain-0"),
            ({"plain-0": 3}, "plain-1"),
        ):
            with self.subTest(removed=removed):
                reader, follower = _make_states()
                _read_all(follower, _ROWS, 5)
                _read_all(reader, rows, 9)
                self.assertFalse(
                    peer_fetch._is_ahead(reader, _tell(follower, reader))
                )
                member = _tell(reader, follower)
                self.assertTrue(peer_fetch._is_ahead(follower, member))
                await _fetch(follower, reader)
                self.assertNotIn(removed, follower.targets.entries)
                self.assertFalse(peer_fetch._is_ahead(follower, member))

    async def test_reader_that_finds_the_row_missing(self):
        """Guards against a removal that is seen only as an absence."""
        reader, follower = _make_states()
        _read_all(follower, _ROWS, 5)
        _read_all(reader, _ROWS, 5)
        _read_all(reader, {"plain-0": 3}, 9)
        member = _tell(reader, follower)
        self.assertTrue(peer_fetch._is_ahead(follower, member))
        await _fetch(follower, reader)
        self.assertEqual(list(follower.targets.entries), ["plain-0"])
        removed = rowlog.Row("plain-1", Version(1, 9), None)
        self.assertEqual(follower.target_rows.rows["plain-1"], removed)

    async def test_removal_comes_with_later_changes(self):
        """Guards against a later registration that arrives without it."""
        reader, follower = _make_states()
        _read_all(follower, _ROWS, 5)
        _read_all(reader, _ROWS, 5)
        _read_all(reader, {"plain-0": 3}, 9)
        feed = store.Feed((_row("plain-2", 11),), Version(1, 11))
        table_watch._apply_targets(reader, feed, whole=False)
        await _fetch(follower, reader)
        self.assertEqual(set(follower.targets.entries), {"plain-0", "plain-2"})

    async def test_same_rows_read_at_other_moments(self):
        """Guards against fetches between instances with the same rows."""
        first, second = _make_states()
        _read_all(first, _ROWS, 5)
        _read_all(second, _ROWS, 90)
        for sender, receiver in ((first, second), (second, first)):
            member = _tell(sender, receiver)
            self.assertFalse(peer_fetch._is_ahead(receiver, member))
        # The next change comes as a difference.
        _read_all(second, _ROWS | {"plain-2": 92}, 92)
        packed = catalog._packed_targets(second, Version(1, 90))
        with mock.patch.object(updates, "apply_targets") as applied:
            catalog._apply_targets(first, packed, Version(1, 92), "a")
        self.assertFalse(applied.call_args.kwargs["whole"])

    async def test_peer_of_the_last_release(self):
        """Guards against versions that an earlier release means otherwise."""
        reader, follower = _make_states()
        _read_all(reader, {"plain-1": 5}, 9)
        _read_all(follower, _ROWS, 5)
        member = _tell(follower, reader)
        member.targets_fingerprint = None
        self.assertFalse(peer_fetch._is_ahead(reader, member))
        member.targets_version = Version(1, 10)
        self.assertTrue(peer_fetch._is_ahead(reader, member))


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def test_end_that_no_reader_saw(self):
        """Guards against followers that bring an ended evacuation back."""
        reader, follower = _make_states()
        evacuated = tables.EvacuationRow("a", Version(1, 3), True)
        evacuations.apply_rows(follower, [evacuated], None)
        evacuations.apply_rows(reader, [], Version(1, 9))
        _tell(follower, reader)
        self.assertEqual(evacuation.active(reader.evacuations), frozenset())
        _tell(reader, follower)
        self.assertEqual(evacuation.active(follower.evacuations), frozenset())


class FleetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        test_watchers.shorten_feeds(self)

    async def test_removal_after_all_watchers_were_lost(self):
        """Guards against instances that keep a target until their own read."""
        system = await fixtures.start_system(self, engines=0, fronts=9)
        await asyncio.sleep(test_watchers.SETTLED_S)
        await self.check_removal(system)

    async def test_removal_in_a_large_fleet(self):
        """Guards against the same in a fleet whose owners read."""
        system = await fleets.start_fleet(self, engines=0, plain=2)
        await asyncio.sleep(test_watchers.SETTLED_S)
        await self.check_removal(system)

    async def check_removal(self, system: fixtures.System) -> None:
        """Checks that the others drop a target soon after the first one."""
        others = test_watchers.lose(system, test_watchers.watching(system))
        system.store.remove(tables.TARGETS_TABLE, "plain-1")
        system.store.forget_history()

        def left() -> int:
            return sum("plain-1" in e.targets.entries for e in others)

        await fixtures.until(lambda: left() < len(others))
        pages = system.store.pages[tables.TARGETS_TABLE]
        await fixtures.until(lambda: not left(), limit_s=_DRAIN_S)
        pages = system.store.pages[tables.TARGETS_TABLE] - pages
        self.assertLessEqual(pages, len(others) / 2)
