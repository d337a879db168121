"""Tests fetches from peers, and digests that arrive out of order."""

import asyncio
import dataclasses
import unittest
from unittest import mock

import msgspec

from copperloom.decisions import health
from copperloom.ingress import datagrams, gossip, peer_fetch
from copperloom.ingress.state import IngressState, Member
from copperloom.ingress.tests import fixtures
from copperloom.peers import catalog
from copperloom.platform import store
from copperloom.versions import Version


def _state() -> IngressState:
    return IngressState(fixtures.own_settings("127.0.0.1", "127.0.0.1:9"))


def _member(state: IngressState, routes_version: int) -> Member:
    now = asyncio.get_running_loop().time()
    member = Member("front-2", "127.0.0.1:9", "127.0.0.1:9", now, now)
    member.routes_version = routes_version
    state.members["front-2"] = member
    return member


class PeerFetchTest(unittest.IsolatedAsyncioTestCase):
    async def test_member_is_asked_again_for_the_next_version(self):
        """Guards against a table read while a member still makes progress.

        The only member ahead gets a new version during each fetch.
        """
        state = _state()
        member = _member(state, 2)

        async def fetch(state, address):
            version = member.routes_version
            state.table = dataclasses.replace(state.table, version=version)
            member.routes_version = min(4, version + 1)
            return catalog.Fetched(had_room=True)

        with mock.patch.object(catalog, "fetch", fetch):
            await peer_fetch._fetch_newer(state)
        self.assertEqual(state.table.version, 4)
        self.assertFalse(state.read_tables_now.is_set())

    async def test_member_without_progress_is_asked_once(self):
        state = _state()
        _member(state, 2)
        fetch = mock.AsyncMock(return_value=catalog.Fetched(had_room=True))
        with mock.patch.object(catalog, "fetch", fetch):
            await peer_fetch._fetch_newer(state)
        self.assertEqual(fetch.await_count, 1)
        self.assertTrue(state.read_tables_now.is_set())


class LateDatagramTest(unittest.IsolatedAsyncioTestCase):
    async def test_penalty_of_a_late_digest_is_ignored(self):
        """Guards against an old penalty from a digest that was overtaken."""
        state = _state()
        protocol = gossip.Gossip(state, "127.0.0.1:9")
        protocol.transport = mock.Mock()
        newer = _digest(sequence=2, penalties={})
        older = _digest(sequence=1, penalties={"t": 5.0})
        gossip._apply_digest(protocol, newer)
        gossip._apply_digest(protocol, older)
        now = asyncio.get_running_loop().time()
        reported = state.peer_health.get("t")
        self.assertEqual(health.penalty(reported, now), 0.0)


class EraTest(unittest.IsolatedAsyncioTestCase):
    async def test_peer_that_knows_no_eras_is_followed(self):
        """Guards against followers of an earlier release's watchers."""
        state = _state()
        state.targets.version = Version(3, 7)
        protocol = gossip.Gossip(state, "127.0.0.1:9")
        protocol.transport = mock.Mock()
        digest = _digest(sequence=1, penalties={})
        digest.targets_version = 8
        fields = msgspec.msgpack.decode(datagrams.encode(digest))
        earlier = datagrams.decode(msgspec.msgpack.encode(fields[:24]))
        gossip._apply_digest(protocol, earlier)
        member = state.members["front-2"]
        self.assertEqual(member.targets_version, Version(3, 8))
        self.assertTrue(peer_fetch._is_ahead(state, member))
        self.assertIsNone(state.store.era)

    async def test_peer_of_an_earlier_era_is_not_ahead(self):
        """Guards against old registrations that a peer brings back."""
        state = _state()
        state.targets.version = Version(2, 7)
        member = _member(state, 0)
        member.targets_version = Version(1, 90)
        self.assertFalse(peer_fetch._is_ahead(state, member))
        member.targets_version = Version(3, 1)
        self.assertTrue(peer_fetch._is_ahead(state, member))

    async def test_digest_names_the_era_to_peers(self):
        """Guards against a return that only some instances hear of."""
        state = _state()
        returns = []
        state.store.on_return = returns.append
        store.note_era(state.store, 1)
        protocol = gossip.Gossip(state, "127.0.0.1:9")
        protocol.transport = mock.Mock()
        digest = _digest(sequence=1, penalties={})
        digest.store_era = 2
        gossip._apply_digest(protocol, digest)
        self.assertEqual((state.store.era, returns), (2, [1]))


def _digest(sequence: int, penalties: dict[str, float]) -> datagrams.Digest:
    return datagrams.Digest(
        sender=datagrams.Announcement("front-2", "127.0.0.1:9", "", "a", 1.0),
        boot="b",
        sequence=sequence,
        routes_version=0,
        targets_version=0,
        draining=False,
        table_unreachable=False,
        work=[],
        penalties=penalties,
        announced=[],
    )
