"""Changes of the configuration against a platform process."""

import asyncio
import time
import unittest

from copperloom import configuration, exception
from copperloom.controllers import changes, config
from copperloom.controllers.tests import fixtures


async def make(entry, *puts, deletes=(), operator="olga", **keys):
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


async def look(entry) -> None:
    await config.step(entry, time.monotonic())


class ConfigTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.standin = fixtures.start_platform(self)

    async def asyncSetUp(self):
        self.entry = fixtures.entry_state(self, self.standin.address)
        await look(self.entry)

    def other(self, instance="b"):
        return fixtures.entry_state(self, self.standin.address, instance)

    async def test_change_is_adopted_elsewhere_with_its_audit_row(self):
        self.assertEqual(await make(self.entry, fixtures.target("t")), 1)
        other = self.other()
        await look(other)
        self.assertEqual(list(other.cfg.targets), ["t"])
        rows = {
            r["key"]: r for r in (await fixtures.truth(self.standin))["rows"]
        }
        audit = rows["audit/000000000001"]["value"]
        self.assertEqual(
            (audit["operator"], audit["from_version"]), ("olga", 0)
        )

    async def test_two_operators_race(self):
        """Two operators change the same version at the same moment.

        Both saw version 0. One transaction commits; the other's condition on
        the head fails. The loser must hear whose change came first, and
        nothing of the loser's may be in force.
        """
        other = self.other()
        await look(other)
        results = await asyncio.gather(
            make(self.entry, fixtures.target("x"), operator="olga"),
            make(other, fixtures.target("y"), operator="piotr"),
            return_exceptions=True,
        )
        lost = [r for r in results if isinstance(r, Exception)]
        self.assertEqual(len(lost), 1, results)
        self.assertIsInstance(lost[0], exception.ChangeLostError)
        await look(self.entry)
        winner = {"x": "olga", "y": "piotr"}[next(iter(self.entry.cfg.targets))]
        self.assertIn(f"version 1 by {winner}", str(lost[0]))
        self.assertEqual(len(self.entry.cfg.targets), 1)

    async def test_lost_confirmation_is_resolved(self):
        """The write takes effect, its confirmation is lost.

        The writer sends it again, the head's condition fails, and the change
        row's nonce shows that the change in force is its own.
        """
        await fixtures.control(self.standin, lose_confirmations=1)
        self.assertEqual(await make(self.entry, fixtures.target("t")), 1)
        await look(self.entry)
        self.assertEqual(self.entry.cfg.version, 1)

    async def test_lost_write_is_made_once(self):
        await fixtures.control(self.standin, drop_writes=1)
        self.assertEqual(await make(self.entry, fixtures.target("t")), 1)

    async def test_same_nonce_again_is_the_same_change(self):
        put = fixtures.target("t")
        first = await make(self.entry, put, nonce="n", seen_version=0)
        await look(self.entry)
        again = await make(self.entry, put, nonce="n", seen_version=0)
        self.assertEqual((first, again), (1, 1))

    async def test_outcome_that_stays_uncertain_is_said_so(self):
        await fixtures.control(self.standin, black_hole=["table"])
        with self.assertRaises(exception.ChangeUnknownError):
            await make(self.entry, fixtures.target("t"), timeout_s=0.5)

    async def test_outage_changes_nothing(self):
        await fixtures.control(self.standin, outage=["table"])
        with self.assertRaises(exception.PlatformDownError):
            await make(self.entry, fixtures.target("t"))

    async def test_never_falls_back(self):
        """The platform answers with an older head, as after lost writes.

        An entry that followed it would put a replaced preset in force again.
        It keeps what it has, and does not count the answer as a proof.
        """
        await make(self.entry, fixtures.target("t"))
        await look(self.entry)
        proved = self.entry.confirmed_at
        empty = fixtures.start_platform(self)
        self.entry.platform = fixtures.entry_state(self, empty.address).platform
        await look(self.entry)
        self.assertEqual(self.entry.cfg.version, 1)
        self.assertEqual(self.entry.confirmed_at, proved)
        older = configuration.Configuration(version=0)
        self.assertFalse(config.adopt(self.entry, older, 0.0))

    async def test_late_answer_proves_only_the_time_it_was_asked(self):
        await fixtures.control(self.standin, slow_s=0.3)
        asked = time.monotonic()
        await config.step(self.entry, asked)
        self.assertEqual(self.entry.confirmed_at, asked)

    async def test_far_behind_starts_from_the_snapshot(self):
        for number in range(52):
            await make(self.entry, fixtures.target(f"t{number}"))
            await look(self.entry)
        before = (await fixtures.truth(self.standin))["calls"]
        other = self.other()
        await look(other)
        after = (await fixtures.truth(self.standin))["calls"]
        self.assertEqual(other.cfg, self.entry.cfg)
        self.assertEqual(after["get_object"], before.get("get_object", 0) + 1)
        self.assertEqual(after["scan"], before["scan"] + 1)

    async def test_stale_entry_refuses_at_once(self):
        now = time.monotonic()
        config.may_admit(self.entry, now)
        late = now + self.entry.settings.membership.confirm_s + 1
        with self.assertRaises(exception.StaleConfigurationError):
            config.may_admit(self.entry, late)  # Not known to be the only one.
        self.entry.membership.listed_self = True
        config.may_admit(self.entry, late)  # Alone is more than half of one.
        self.entry.members["b"] = _Silent()
        with self.assertRaises(exception.StaleConfigurationError) as caught:
            config.may_admit(self.entry, late)
        self.assertGreater(caught.exception.retry_after_s, 0)


class _Silent:
    heard_at = float("-inf")
    known_members = 2
    version = 0
