"""Tests configuration, membership and draining across several entries."""

import asyncio
import dataclasses
import time
import unittest

from copperloom import configuration, exception
from copperloom.controllers import (
    changes,
    config,
    digest_exchange,
    member,
    membership,
)
from copperloom.controllers.tests import fixtures, fleet
from copperloom.daemons import admin
from copperloom.decisions import limits, scheduler
from copperloom.peers import digest, peers_pb2
from copperloom.platform import interface

_ENTRIES = 5
_ALL_SERVICES = ["table", "objects", "instances", "weights"]
# Generous, since these tests also run on a busy machine.
_SPREAD_S = 6.0


async def commit(entry, *puts) -> int:
    version = await changes.make_change(
        entry.platform,
        entry.cfg,
        puts,
        (),
        operator="olga",
        note="",
        seen_version=entry.cfg.version,
        nonce=f"n{time.monotonic_ns()}",
        wall_time_s=0.0,
        timeout_s=5.0,
    )
    await config.step(entry, time.monotonic())
    return version


class FleetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.standin = fixtures.start_platform(self, **fleet.PLATFORM_KEYS)

    async def asyncSetUp(self):
        self.fleet = await fleet.start_fleet(self, self.standin, _ENTRIES)
        await commit(self.fleet[0], fixtures.target("t"))
        await self.wait_for_version(1)

    async def wait_for_version(self, version, entries=None):
        entries = entries or self.fleet
        await fixtures.until(
            lambda: all(e.cfg.version == version for e in entries), _SPREAD_S
        )

    async def check_keeps_admitting(self, entries):
        """Checks for longer than a confirmation lasts that all admit work."""
        end = time.monotonic() + 2 * entries[0].settings.membership.confirm_s
        while time.monotonic() < end:
            self.assertTrue(all(fleet.admits(e) for e in entries))
            await asyncio.sleep(0.05)

    async def test_preset_switch_is_in_force_at_all_entries(self):
        puts = (
            ("preset/peak", {"name": "peak"}),
            ("in_force/current", {"preset": "peak"}),
        )
        version = await commit(self.fleet[0], *puts)
        result = await admin.wait_in_force(self.fleet[0], version, 12.0)
        self.assertEqual(result.in_force, _ENTRIES)
        self.assertEqual({e.cfg.preset.name for e in self.fleet}, {"peak"})

    async def test_entries_keep_admitting_while_platform_is_down(self):
        """A long outage of the platform must not stop entries in a majority.

        No change can be committed, so the version held stays the newest.
        """
        await fixtures.control(self.standin, outage=_ALL_SERVICES)
        await self.check_keeps_admitting(self.fleet)
        with self.assertRaises(exception.PlatformDownError):
            await commit(self.fleet[0], fixtures.target("u"))

    async def test_isolated_entry_stops_admitting(self):
        """An isolated entry must not admit work under a replaced configuration.

        It reaches neither the platform nor the others, which adopt a change.
        """
        isolated = self.fleet[-1]
        fleet.disconnect_platform(self, isolated)
        fleet.partition([isolated], self.fleet[:-1])
        await commit(self.fleet[0], fixtures.target("u"))
        own = isolated.settings.membership
        bound_s = own.confirm_s + own.suspect_s + 2.0
        await fixtures.until(lambda: not fleet.admits(isolated), bound_s)
        self.assertTrue(fleet.admits(self.fleet[0]))

    async def test_minority_with_platform_accepts_no_change(self):
        """A change accepted by a minority would not reach the majority.

        The majority, cut off from the platform, keeps admitting work.
        """
        minority, majority = self.fleet[:2], self.fleet[2:]
        fleet.partition(minority, majority)
        for entry in majority:
            fleet.disconnect_platform(self, entry)
        await self.check_keeps_admitting(majority)
        self.assertTrue(all(fleet.admits(e) for e in minority))
        with self.assertRaises(exception.StaleConfigurationError):
            await admin.require_majority(minority[0])

    async def test_retired_target_is_learnt_without_platform(self):
        """An entry without the platform must fetch a change from a peer."""
        disconnected = self.fleet[-1]
        fleet.disconnect_platform(self, disconnected)
        await commit(self.fleet[0], fixtures.target("t", state="retired"))
        await fixtures.until(
            lambda: "t" in disconnected.sched.draining, _SPREAD_S
        )
        await self.check_keeps_admitting([disconnected])

    async def test_restart_during_outage_adopts_newest_version(self):
        """An entry restarted during an outage must recover through its peers.

        It knows no members, but the others still send digests to its address.
        """
        await commit(self.fleet[0], fixtures.target("u"))
        await self.wait_for_version(2)
        await fixtures.control(self.standin, outage=_ALL_SERVICES)
        old = self.fleet[-1]
        await fleet.stop(old)
        new = await fleet.start(
            self, self.standin.address, "e4", peers=old.peers_address
        )
        await self.wait_for_version(2, [new])
        self.assertEqual(new.cfg, self.fleet[0].cfg)
        await self.check_keeps_admitting([new])

    async def test_restart_adopts_nothing_from_minority(self):
        """A minority may hold a version that was replaced."""
        await fixtures.control(self.standin, outage=_ALL_SERVICES)
        old = self.fleet[-1]
        fleet.partition([old, self.fleet[0]], self.fleet[1:4])
        await fleet.stop(old)
        new = await fleet.start(
            self, self.standin.address, "e4", peers=old.peers_address
        )
        fleet.partition([new], self.fleet[1:4])
        await fixtures.until(lambda: "e0" in new.members)
        await asyncio.sleep(1.0)
        self.assertFalse(new.cfg_loaded)
        self.assertFalse(fleet.admits(new))

    async def test_draining_outlasts_lagging_list(self):
        """A lagging list that shows a draining target as healthy is ignored.

        Only an admission by a later version ends the draining.
        """
        row = interface.InstanceRow("t", "engine", "127.0.0.1:9", "dc", True)
        healthy = dataclasses.replace(row, leaving=False)
        await self.list_target(row)
        await fixtures.until(
            lambda: all("t" in e.sched.draining for e in self.fleet)
        )
        await self.list_target(healthy)
        listed = [e.membership.list_read_at for e in self.fleet]
        await fixtures.until(
            lambda: all(
                e.membership.list_read_at > at + 1.0
                for e, at in zip(self.fleet, listed, strict=True)
            )
        )
        self.assertTrue(all("t" in e.sched.draining for e in self.fleet))
        await commit(self.fleet[0], fixtures.target("t"))
        await fixtures.until(
            lambda: not any("t" in e.sched.draining for e in self.fleet)
        )

    async def list_target(self, row):
        values = {
            name: getattr(row, name)
            for name in ("name", "kind", "address", "data_centre", "leaving")
        }
        await fixtures.control(self.standin, list_targets=[values])

    async def test_draining_reaches_entry_without_platform(self):
        disconnected = self.fleet[-1]
        fleet.disconnect_platform(self, disconnected)
        self.fleet[0].draining_targets["t"] = time.monotonic()
        await fixtures.until(
            lambda: "t" in disconnected.sched.draining, _SPREAD_S
        )


class MessagesTest(unittest.IsolatedAsyncioTestCase):
    """Tests what delayed messages prove, and the choice of peers."""

    def setUp(self):
        self.entry = fixtures.entry_state(self, "127.0.0.1:1")
        self.entry.cfg = configuration.Configuration(version=5)
        self.entry.cfg_loaded = True

    def make_digest(self, **values):
        defaults = {
            "instance": "b",
            "boot": "1",
            "address": "127.0.0.1:2",
            "config_version": 5,
            "known_members": 2,
        }
        return peers_pb2.Digest(**{**defaults, **values})

    async def test_request_proves_neither_contact_nor_confirmation(self):
        """A process resumed after a pause reads requests sent long before."""
        digest_exchange.record_request(
            self.entry, self.make_digest(confirmed_age_ms=1), 100.0
        )
        self.assertEqual(self.entry.confirmed_at, float("-inf"))
        self.assertEqual(config.evidence(self.entry, 100.0).contacts, 1)

    async def test_reply_confirms_as_of_request_time(self):
        reply = self.make_digest(confirmed_age_ms=500)
        self.assertEqual(digest.confirmed_at(reply, 100.0), 99.5)

    async def test_own_instance_is_not_recorded_as_member(self):
        digest_exchange.record_request(
            self.entry, self.make_digest(instance="a"), 1.0
        )
        self.assertEqual(self.entry.members, {})

    async def test_member_count_is_greatest_known_to_contacts(self):
        """A restarted entry must not take the few it knows for the fleet."""
        self.entry.members["b"] = member.Member(
            "b", "127.0.0.1:2", last_reply_at=100.0, known_members=9
        )
        facts = config.evidence(self.entry, 100.0)
        self.assertEqual((facts.contacts, facts.members), (2, 9))

    async def test_all_members_are_contacted_only_while_unconfirmed(self):
        names = [f"e{i}" for i in range(8)]
        for name in names:
            self.entry.members[name] = member.Member(name, "127.0.0.1:1", "dc")
        self.addAsyncCleanup(membership.close, self.entry)
        now = time.monotonic()
        self.entry.confirmed_at = now
        self.assertEqual(await self.count_contacted(now), 3)
        self.entry.confirmed_at = now - 60.0
        self.assertEqual(await self.count_contacted(now + 2), 8)

    async def test_large_fleet_sends_fewer_digests(self):
        """The digest rate of a small fleet would overload a large one."""
        for i in range(369):
            name = f"e{i}"
            self.entry.members[name] = member.Member(
                name, "127.0.0.1:1", f"dc{i % 18}"
            )
        self.addAsyncCleanup(membership.close, self.entry)
        now = time.monotonic()
        self.entry.confirmed_at = now
        contacted = [
            await self.count_contacted(now + i / 1000) for i in range(20)
        ]
        self.assertEqual(sum(contacted), 10)

    async def count_contacted(self, now):
        await membership.step(self.entry, now)
        names = [n for n in self.entry.membership.tasks if n.startswith("ask")]
        await asyncio.gather(*self.entry.membership.tasks.values())
        return len(names)

    async def test_organisation_limit_is_shared_by_demand(self):
        """The entry's share of a limit follows its share of the demand."""
        entry = self.entry
        org = configuration.Organisation("org", "x", limit_tokens_per_s=100.0)
        cfg = configuration.Configuration(version=6, organisations={"org": org})
        config.adopt(entry, cfg, 0.0)
        limits.excess_wait_s(entry.sched.limits, org, 100, 0.0)
        own_demand = scheduler.demand(entry.sched, 0.0)["org"]
        demand = [
            peers_pb2.Demand(organisation="org", tokens_per_s=3 * own_demand)
        ]
        digest_exchange.record_request(
            entry, self.make_digest(demand=demand), 0.0
        )
        entry.membership.list_requested_at = 0.0
        self.addAsyncCleanup(membership.close, entry)
        await membership.step(entry, 0.0)
        self.assertAlmostEqual(entry.sched.limits.shares["org"], 0.25, 3)
