"""Tests changes of the configuration against a platform process."""

import asyncio
import time
import unittest

from copperloom import configuration, exception
from copperloom.controllers import changes, config
from copperloom.controllers.tests import fixtures


async def commit(entry, *puts, deletes=(), operator="olga", **keys):
    values = {
        "seen_version": entry.cfg.version,
        "nonce": f"{operator}-{time.monotonic_ns()}",
        "timeout_s": 5.0,
        **keys,
    }
    return await changes.make_change(
        entry.platform,
        entry.cfg,
        puts,
        deletes,
        operator=operator,
        note="test",
        wall_time_s=0.0,
        **values,
    )


async def poll(entry) -> None:
    await config.step(entry, time.monotonic())


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.standin = fixtures.start_platform(self)

    async def asyncSetUp(self):
        self.entry = fixtures.entry_state(self, self.standin.address)
        await poll(self.entry)

    def make_other(self, instance="b"):
        return fixtures.entry_state(self, self.standin.address, instance)

    async def test_other_entry_adopts_change_and_audit_row_is_written(self):
        self.assertEqual(await commit(self.entry, fixtures.target("t")), 1)
        other = self.make_other()
        await poll(other)
        self.assertEqual(list(other.cfg.targets), ["t"])
        rows = {
            r["key"]: r for r in (await fixtures.truth(self.standin))["rows"]
        }
        audit = rows["audit/000000000001"]["value"]
        self.assertEqual(
            (audit["operator"], audit["from_version"]), ("olga", 0)
        )

    async def test_concurrent_changes_commit_only_one(self):
        """Two concurrent changes of one version must not both take effect.

        The error of the refused one names the operator of the committed one.
        """
        other = self.make_other()
        await poll(other)
        results = await asyncio.gather(
            commit(self.entry, fixtures.target("x"), operator="olga"),
            commit(other, fixtures.target("y"), operator="piotr"),
            return_exceptions=True,
        )
        lost = [r for r in results if isinstance(r, Exception)]
        self.assertEqual(len(lost), 1, results)
        self.assertIsInstance(lost[0], exception.ChangeLostError)
        await poll(self.entry)
        winner = {"x": "olga", "y": "piotr"}[next(iter(self.entry.cfg.targets))]
        self.assertIn(f"version 1 by {winner}", str(lost[0]))
        self.assertEqual(len(self.entry.cfg.targets), 1)

    async def test_lost_confirmation_is_resolved(self):
        """A committed change must not be reported as lost.

        The repeated transaction conflicts with its own unconfirmed first copy.
        """
        await fixtures.control(self.standin, lose_confirmations=1)
        self.assertEqual(await commit(self.entry, fixtures.target("t")), 1)
        await poll(self.entry)
        self.assertEqual(self.entry.cfg.version, 1)

    async def test_lost_transaction_is_repeated(self):
        await fixtures.control(self.standin, drop_writes=1)
        self.assertEqual(await commit(self.entry, fixtures.target("t")), 1)

    async def test_repeated_nonce_does_not_create_second_change(self):
        put = fixtures.target("t")
        first = await commit(self.entry, put, nonce="n", seen_version=0)
        await poll(self.entry)
        again = await commit(self.entry, put, nonce="n", seen_version=0)
        self.assertEqual((first, again), (1, 1))

    async def test_unresolved_outcome_is_reported_as_unknown(self):
        await fixtures.control(self.standin, black_hole=["table"])
        with self.assertRaises(exception.ChangeUnknownError):
            await commit(self.entry, fixtures.target("t"), timeout_s=0.5)

    async def test_outage_changes_nothing(self):
        await fixtures.control(self.standin, outage=["table"])
        with self.assertRaises(exception.PlatformDownError):
            await commit(self.entry, fixtures.target("t"))

    async def test_older_head_is_not_adopted(self):
        """A platform that lost writes must not bring back an old version.

        Its reply does not confirm the version held either.
        """
        await commit(self.entry, fixtures.target("t"))
        await poll(self.entry)
        confirmed = self.entry.confirmed_at
        empty = fixtures.start_platform(self)
        self.entry.platform = fixtures.entry_state(self, empty.address).platform
        await poll(self.entry)
        self.assertEqual(self.entry.cfg.version, 1)
        self.assertEqual(self.entry.confirmed_at, confirmed)
        older = configuration.Configuration(version=0)
        self.assertFalse(config.adopt(self.entry, older, 0.0))

    async def test_delayed_reply_confirms_as_of_request_time(self):
        await fixtures.control(self.standin, slow_s=0.3)
        sent_at = time.monotonic()
        await config.step(self.entry, sent_at)
        self.assertEqual(self.entry.confirmed_at, sent_at)

    async def test_entry_far_behind_loads_snapshot(self):
        for number in range(52):
            await commit(self.entry, fixtures.target(f"t{number}"))
            await poll(self.entry)
        before = (await fixtures.truth(self.standin))["calls"]
        other = self.make_other()
        await poll(other)
        after = (await fixtures.truth(self.standin))["calls"]
        self.assertEqual(other.cfg, self.entry.cfg)
        self.assertEqual(after["get_object"], before.get("get_object", 0) + 1)
        self.assertEqual(after["scan"], before["scan"] + 1)

    async def test_stale_entry_refuses_work(self):
        now = time.monotonic()
        config.check_admission(self.entry, now)
        late = now + self.entry.settings.membership.confirm_s + 1
        with self.assertRaises(exception.StaleConfigurationError):
            config.check_admission(self.entry, late)  # Peers may exist.
        self.entry.membership.listed_self = True
        config.check_admission(self.entry, late)  # It has none.
        self.entry.members["b"] = _SilentMember()
        with self.assertRaises(exception.StaleConfigurationError) as caught:
            config.check_admission(self.entry, late)
        self.assertGreater(caught.exception.retry_after_s, 0)


class _SilentMember:
    last_reply_at = float("-inf")
    known_members = 2
    version = 0
