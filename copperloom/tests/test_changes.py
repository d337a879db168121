"""Guards against lost or reverted changes, and work at retired targets."""

import asyncio
import time
import unittest

from copperloom.configuration import PresetInForce, TargetState
from copperloom.history import Leaving, Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

_ENTRIES = ("e0", "e1", "e2")
_CHANGE_LOST = 5004
_CONFIGURATION_STALE = 5006
_SPREAD_S = 5.0
_CONFIRM_S = 2.0
# Leaves time for a change to spread before it must be in force.
_STOP_ADMITTING_S = 9.0


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls,
            entries=3,
            engines=2,
            proxies=("platform",),
            entry={"membership": {"confirm_s": _CONFIRM_S}},
        )

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)

    def versions(self) -> set[int]:
        return {
            trials.read_configuration(self.trial, entry).version
            for entry in _ENTRIES
        }

    async def set_target(self, name: str, state: TargetState) -> int:
        """Sets a target's state through e0; returns the new version."""
        reply = await trials.change(
            self.trial, "e0", systems.target(self.system, name, state)
        )
        self.assertEqual(reply["status"], 200, reply)
        return reply["version"]

    async def retire(self, name: str) -> int:
        version = await self.set_target(name, TargetState.RETIRED)
        leaving = Leaving(name, time.monotonic())
        self.trial.history.leaving.append(leaving)
        self.addAsyncCleanup(self.set_target, name, TargetState.ADMITTED)
        return version

    async def send_short_requests(self, entry: str, count: int) -> None:
        """Sends short requests to an entry, enough for both engines."""
        for i in range(count):
            trials.begin(self.trial, entry, Ask(f"drive {i}", limit_s=15))
            await asyncio.sleep(0.02)

    def runs_at(self, engine: str) -> int:
        return len(self.system.engines[engine].truth()["runs"])

    async def test_operators_race(self):
        """Guards against a lost update by two operators at the same time.

        Both start from the same version; exactly one change is accepted.
        """
        base_version = trials.read_configuration(self.trial, "e0").version
        replies = await asyncio.gather(
            *(
                trials.change(
                    self.trial,
                    entry,
                    PresetInForce(preset),
                    operator=operator,
                    seen_version=base_version,
                )
                for entry, preset, operator in (
                    ("e0", "peak", "anna"),
                    ("e1", "ordinary", "jan"),
                )
            )
        )
        self.assertEqual(
            sorted(r["status"] for r in replies), [200, 409], replies
        )
        rejected = next(r for r in replies if r["status"] == 409)
        self.assertEqual(rejected["code"], _CHANGE_LOST)
        await trials.until(
            lambda: self.versions() == {base_version + 1}, _SPREAD_S, "in force"
        )
        await trials.settle(self, self.trial)

    async def test_confirmation_of_a_change_lost(self):
        """Guards against an error for a change whose confirmation is lost."""
        self.system.platform.control(lose_confirmations=1)
        reply = await trials.change(self.trial, "e0", PresetInForce("peak"))
        self.assertEqual(reply["status"], 200, reply)
        await trials.until(
            lambda: self.versions() == {reply["version"]}, _SPREAD_S, "in force"
        )
        await trials.settle(self, self.trial)

    async def test_retired_while_an_entry_is_cut_from_the_platform(self):
        """Guards against work at a retired target from a partitioned entry.

        The entry can't reach the platform and gets the change from its peers.
        """
        trials.fault(self, self.system, "platform-e2", refuse=True, reset=True)
        version = await self.retire("g1")
        await trials.until(
            lambda: (
                trials.read_configuration(self.trial, "e2").version >= version
            ),
            _SPREAD_S,
            "e2 received the change",
        )
        before = self.runs_at("g1")
        await self.send_short_requests("e2", 10)
        await trials.settle(self, self.trial)
        self.assertEqual(self.runs_at("g1"), before)

    async def test_retired_while_an_entry_is_paused(self):
        """Guards against work at a retired target from an entry after a pause.

        It resumes with a stale configuration and requests in its sockets.
        """
        with trials.frozen(self.trial, "e2"):
            await self.retire("g1")
            await self.send_short_requests("e2", 10)
            await asyncio.sleep(_CONFIRM_S + 0.5)
            before = self.runs_at("g1")
        await trials.settle(self, self.trial)
        self.assertEqual(self.runs_at("g1"), before)

    async def test_entry_cut_from_all(self):
        """Guards against admission by an isolated entry.

        It must stop before a change that it can't receive comes into force.
        """
        e2 = self.system.entries["e2"]
        await trials.until(
            lambda: trials.admin(e2, "GET", "status")["known_members"] >= 3,
            _SPREAD_S,
            "e2 knows the other entries",
        )
        trials.fault(self, self.system, "platform-e2", refuse=True, reset=True)
        with trials.frozen(self.trial, "e0"), trials.frozen(self.trial, "e1"):
            await trials.until(
                lambda: not trials.admits(e2),
                _STOP_ADMITTING_S,
                "e2 stops admitting",
            )
            call = await trials.ask(self.trial, "e2", Ask("cut off"))
            self.assertEqual(call.outcome, Outcome.NOT_RUN)
            self.assertEqual(call.code, _CONFIGURATION_STALE)
        trials.heal(self.system)
        await trials.until(
            lambda: trials.admits(e2), _SPREAD_S, "e2 admits again"
        )
        await trials.settle(self, self.trial)

    async def test_entry_that_knows_nobody(self):
        """Guards against a new entry that takes itself for the whole fleet.

        A stale instance list and an outage hide the other entries from it.
        """
        platform = self.system.platform
        platform.control(list_lag_s=60)
        self.addCleanup(platform.control, list_lag_s=0.3, outage=[])
        await trials.extra_entry(self, self.trial, "e8")
        platform.control(outage=["table", "instances", "objects"])
        e8 = self.system.entries["e8"]
        await trials.until(
            lambda: not trials.admits(e8), _STOP_ADMITTING_S, "e8 stops"
        )
        for entry in _ENTRIES:
            self.assertTrue(trials.admits(self.system.entries[entry]))
        platform.control(outage=[])
        await trials.until(lambda: trials.admits(e8), _SPREAD_S, "e8 admits")
        await trials.settle(self, self.trial)

    async def test_platform_lists_a_target_as_leaving(self):
        """Guards against work at a target that the platform is draining."""
        address = self.system.engines["g1"].address
        row = {
            "name": "g1",
            "kind": "engine",
            "address": address,
            "data_centre": "a",
            "leaving": True,
        }
        self.system.platform.control(list_targets=[row])
        self.addCleanup(self.system.platform.control, unlist_targets=["g1"])
        await trials.until(
            lambda: all(
                "g1"
                in trials.admin(self.system.entries[e], "GET", "status")[
                    "leaving_targets"
                ]
                for e in _ENTRIES
            ),
            _SPREAD_S,
            "all entries know that g1 is draining",
        )
        before = self.runs_at("g1")
        await self.send_short_requests("e0", 6)
        await trials.settle(self, self.trial)
        self.assertEqual(self.runs_at("g1"), before)

    async def test_target_says_that_it_leaves(self):
        """Guards against failed requests when a draining target refuses."""
        self.system.engines["g1"].control(leaving=True)
        self.addCleanup(self.system.engines["g1"].control, leaving=False)
        await self.send_short_requests("e0", 6)
        await trials.settle(self, self.trial)
        outcomes = {call.outcome for call in self.trial.history.calls}
        self.assertEqual(outcomes, {Outcome.ANSWERED})

    async def test_entry_restarted(self):
        """Guards against an older configuration after an entry's restart."""
        reply = await trials.change(self.trial, "e0", PresetInForce("peak"))
        await trials.extra_entry(self, self.trial, "e7")
        trials.read_configuration(self.trial, "e7")
        trials.kill(self.trial, "e7")
        await trials.extra_entry(self, self.trial, "e7")
        read = trials.read_configuration(self.trial, "e7")
        self.assertGreaterEqual(read.version, reply["version"])
        await trials.settle(self, self.trial)


if __name__ == "__main__":
    unittest.main()
