"""Changes come into force everywhere, never revert; targets leave in time."""

import asyncio
import time
import unittest

from copperloom.configuration import PresetInForce, TargetState
from copperloom.history import Leaving, Outcome
from copperloom.tests import systems, trials
from copperloom.tests.callers import Ask

_ENTRIES = ("e0", "e1", "e2")
_CHANGE_LOST = 5004
_STALE = 5006
_SPREAD_S = 5.0
_CONFIRM_S = 2.0
# The letter's 12 s, less what the spread of a change takes.
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
        """Retires or admits a target through e0; returns the version."""
        told = await trials.change(
            self.trial, "e0", systems.target(self.system, name, state)
        )
        self.assertEqual(told["status"], 200, told)
        return told["version"]

    async def retire(self, name: str) -> int:
        version = await self.set_target(name, TargetState.RETIRED)
        leaving = Leaving(name, time.monotonic())
        self.trial.history.leaving.append(leaving)
        self.addAsyncCleanup(self.set_target, name, TargetState.ADMITTED)
        return version

    async def drive(self, entry: str, count: int) -> None:
        """Sends short work to an entry, at both engines if both are open."""
        for i in range(count):
            trials.begin(self.trial, entry, Ask(f"drive {i}", limit_s=15))
            await asyncio.sleep(0.02)

    def runs_at(self, engine: str) -> int:
        return len(self.system.engines[engine].truth()["runs"])

    async def test_operators_race(self):
        """Two operators switch the preset at the same moment.

        Both saw the same version. One wins, the other is told so; all
        entries have the winner's preset at the same version.
        """
        seen = trials.read_configuration(self.trial, "e0").version
        told = await asyncio.gather(
            *(
                trials.change(
                    self.trial,
                    entry,
                    PresetInForce(preset),
                    operator=operator,
                    seen_version=seen,
                )
                for entry, preset, operator in (
                    ("e0", "peak", "anna"),
                    ("e1", "ordinary", "jan"),
                )
            )
        )
        self.assertEqual(sorted(t["status"] for t in told), [200, 409], told)
        lost = next(t for t in told if t["status"] == 409)
        self.assertEqual(lost["code"], _CHANGE_LOST)
        await trials.until(
            lambda: self.versions() == {seen + 1}, _SPREAD_S, "in force"
        )
        await trials.settle(self, self.trial)

    async def test_confirmation_of_a_change_lost(self):
        """The change is made and its confirmation is lost.

        The operator is told the truth: it is accepted, by reading back.
        """
        self.system.platform.control(lose_confirmations=1)
        told = await trials.change(self.trial, "e0", PresetInForce("peak"))
        self.assertEqual(told["status"], 200, told)
        await trials.until(
            lambda: self.versions() == {told["version"]}, _SPREAD_S, "in force"
        )
        await trials.settle(self, self.trial)

    async def test_retired_while_an_entry_is_cut_from_the_platform(self):
        """An entry no longer reaches the platform, but goes on serving.

        A target is retired elsewhere. Its peers pass the change on: a few
        seconds later the entry sends the target nothing more.
        """
        trials.fault(self, self.system, "platform-e2", refuse=True, reset=True)
        version = await self.retire("g1")
        await trials.until(
            lambda: (
                trials.read_configuration(self.trial, "e2").version >= version
            ),
            _SPREAD_S,
            "e2 heard of the change",
        )
        before = self.runs_at("g1")
        await self.drive("e2", 10)
        await trials.settle(self, self.trial)
        self.assertEqual(self.runs_at("g1"), before)

    async def test_retired_while_an_entry_is_paused(self):
        """An entry is paused, and a target is retired meanwhile.

        Requests wait in the entry's sockets. When it runs again it has the
        old configuration, and no proof that it is still in force: what it
        admits before it has looked must not reach the target.
        """
        with trials.frozen(self.trial, "e2"):
            await self.retire("g1")
            await self.drive("e2", 10)
            await asyncio.sleep(_CONFIRM_S + 0.5)
            before = self.runs_at("g1")
        await trials.settle(self, self.trial)
        self.assertEqual(self.runs_at("g1"), before)

    async def test_entry_cut_from_all(self):
        """An entry reaches neither the platform nor the other entries.

        Operators may change anything without it. It stops admitting before
        a change could be promised to be in force, and says "not run".
        """
        e2 = self.system.entries["e2"]
        await trials.until(
            lambda: trials.admin(e2, "GET", "status")["known_members"] >= 3,
            _SPREAD_S,
            "e2 knows the others",
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
            self.assertEqual(call.code, _STALE)
        trials.heal(self.system)
        await trials.until(
            lambda: trials.admits(e2), _SPREAD_S, "e2 admits again"
        )
        await trials.settle(self, self.trial)

    async def test_entry_that_knows_nobody(self):
        """An entry has just started when the platform goes down.

        The list of instances was too old to name anybody, so it is alone to
        its knowledge. It must not take itself for the whole fleet: the others
        may accept a change once the platform is back for them.
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
        """The platform takes a target away that no operator retired."""
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
            "all know that g1 leaves",
        )
        before = self.runs_at("g1")
        await self.drive("e0", 6)
        await trials.settle(self, self.trial)
        self.assertEqual(self.runs_at("g1"), before)

    async def test_target_says_that_it_leaves(self):
        """A target refuses with its own word; its work runs elsewhere."""
        self.system.engines["g1"].control(leaving=True)
        self.addCleanup(self.system.engines["g1"].control, leaving=False)
        await self.drive("e0", 6)
        await trials.settle(self, self.trial)
        outcomes = {call.outcome for call in self.trial.history.calls}
        self.assertEqual(outcomes, {Outcome.ANSWERED})

    async def test_entry_restarted(self):
        """An entry is killed and comes back empty: it serves nothing older."""
        told = await trials.change(self.trial, "e0", PresetInForce("peak"))
        await trials.extra_entry(self, self.trial, "e7")
        trials.read_configuration(self.trial, "e7")
        trials.kill(self.trial, "e7")
        await trials.extra_entry(self, self.trial, "e7")
        read = trials.read_configuration(self.trial, "e7")
        self.assertGreaterEqual(read.version, told["version"])
        await trials.settle(self, self.trial)


if __name__ == "__main__":
    unittest.main()
