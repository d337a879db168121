"""Tests that all instances together keep the bound on cold targets."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import cold_start, members, planner
from copperloom.ingress import cold_grants, cold_targets, views
from copperloom.ingress.tests import fixtures, fleets
from copperloom.platform.standins import crashes, wire
from copperloom.platform.standins.target import Fault

_BOUND = cold_start.Bound(over=1.5, slack=5.0)
_PER_S = 2.0
_ALLOWED = _PER_S * _BOUND.over + _BOUND.slack
_COLD_S = 4.0
_DOWN_S = 0.6
_INTERVAL_S = 0.01
# All instances of a large fleet share one event loop here.
_LARGE_INTERVAL_S = 0.03
_SERVICES = [
    {"name": "engines", "health_path": "/h", "engine": fixtures.ENGINE},
    {"name": "plain", "health_path": "/h"},
]


async def _start(case, system: fixtures.System, *, warm: int = 3) -> None:
    """Adds cold starts to a system, and targets in data centre "b"."""
    for number in range(3):
        await system.add_target(f"cold-{number}", "plain", zone="b")
    for number in range(warm):
        target = await system.add_target(f"warm-{number}", "plain", slots=1)
        target.pause_s = 0.03
    cold = {"cold_start_s": _COLD_S, "cold_per_s": _PER_S}
    document = fixtures.routes(2, services=[s | cold for s in _SERVICES])
    system.store.put("op", "config", document)
    for front in system.fronts:
        front.entry.limits.cold.bound = _BOUND
    wanted = len(system.targets)
    await fixtures.until(
        lambda: all(
            f.entry.table.version == 2
            and len(f.entry.targets.entries) == wanted
            for f in system.fronts
        )
    )


def _cold_targets(system: fixtures.System) -> list:
    return [t for n, t in system.targets.items() if n.startswith("cold")]


def _crash(
    system: fixtures.System, *, registers: bool = True, cold_s: float = _COLD_S
) -> None:
    """Ends the targets of a data centre, which return cold together."""
    for target in _cold_targets(system):
        target.cold_start_s = cold_s
        target.restart_after_s = _DOWN_S
        if not registers:
            target.on_restart = lambda target: None
        crashes.crash(target)


def _kill_owner(case, system: fixtures.System, name: str) -> None:
    """Cuts off the instance that schedules a target's sends.

    It gets no more messages of its peers, and another one gets its requests.
    """
    state = system.fronts[0].entry
    now = asyncio.get_running_loop().time()
    owner = cold_grants.owner_of(state, state.targets.entries[name], now)
    names = [f.entry.settings.instance for f in system.fronts]
    if owner not in names:
        return
    number = names.index(owner)
    lost = system.fronts[number]
    fleets.silence(system, owner)
    system.fronts[number] = system.fronts[number - 1]
    case.addAsyncCleanup(lost.stop)


def _most_in_second(target) -> int:
    """Returns the most requests that a cold target got in any second."""
    times = [r.at for r in target.seen if r.cold]
    return max((sum(t <= x < t + 1.0 for x in times) for t in times), default=0)


def _served(answers) -> float:
    return sum(a.status == 200 for a in answers) / len(answers)


async def _call_for(
    system,
    seconds: float,
    path: str = "/read/x",
    interval_s: float = _INTERVAL_S,
) -> list[fixtures.Answer]:
    return await fixtures.call_often(system, path, seconds, interval_s)


class ColdTargetTest(unittest.IsolatedAsyncioTestCase):
    def _check_bound(self, system, least: int = 1) -> None:
        for target in _cold_targets(system):
            self.assertLessEqual(_most_in_second(target), _ALLOWED)
            count = sum(r.cold for r in target.seen)
            self.assertGreaterEqual(count, least)

    async def _begin(self, fronts: int = 9, **options) -> fixtures.System:
        system = await fixtures.start_system(
            self, engines=1, plain=0, fronts=fronts
        )
        await _start(self, system, **options)
        return system

    async def test_data_centre_returns_while_owners_are_killed(self):
        """Guards against instances that each send what a cold target bears."""
        system = await self._begin(warm=2)
        await _call_for(system, 1.0)
        _crash(system)
        calls = asyncio.ensure_future(_call_for(system, 6.0))
        for number in range(2):
            await asyncio.sleep(1.0)
            _kill_owner(self, system, f"cold-{number}")
        answers = await calls
        self._check_bound(system)
        self.assertGreater(_served(answers), 0.97)

    async def test_only_targets_of_a_service_return(self):
        """Guards against cold targets that get all requests, or none."""
        system = await self._begin(warm=0)
        _crash(system)
        await asyncio.sleep(_DOWN_S)
        answers = await _call_for(system, _COLD_S - 1.0)
        self._check_bound(system, least=3)
        refused = [a for a in answers if a.status != 200]
        self.assertEqual({a.status for a in refused}, {503})
        await asyncio.sleep(1.0)
        self.assertEqual(_served(await _call_for(system, 0.5)), 1.0)

    async def test_restart_that_no_registration_tells_of(self):
        """Guards against a late row of a target that has started again."""
        system = await self._begin(warm=1)
        await _call_for(system, 1.0)
        _crash(system, registers=False)
        answers = await _call_for(system, 4.0)
        self._check_bound(system)
        self.assertGreater(_served(answers), 0.97)

    async def test_instances_that_hear_nobody(self):
        """Guards against cut-off instances that each grant the whole rate."""
        system = await self._begin(warm=0)
        for front in system.fronts:
            fleets.silence(system, front.entry.settings.instance)
        await asyncio.sleep(members.MEMBER_TIMEOUT_S)
        _crash(system, cold_s=30.0)
        answers = await _call_for(system, 6.0, "/write/x")
        self._check_bound(system, least=0)
        self.assertGreater(sum(a.status == 200 for a in answers), 2)

    async def test_all_instances_start_while_targets_are_cold(self):
        """Guards against starts without state that all send at once."""
        system = await self._begin(warm=0)
        for target in _cold_targets(system):
            target.cold_start_s = 30.0
            target.begin_cold()
            system.register(target, "plain", zone="b")
        await system.restart_fronts()
        for front in system.fronts:
            front.entry.limits.cold.bound = _BOUND
        await _call_for(system, 5.0)
        self._check_bound(system)

    async def test_end_of_an_evacuation(self):
        """Guards against a burst on targets that had nothing for a while."""
        system = await self._begin(fronts=3, warm=0)
        now = asyncio.get_running_loop().time()
        for front in system.fronts:
            cold_targets.presume_cold(front.entry, "b", now)
        for target in _cold_targets(system):
            target.cold_until = now + _COLD_S
        await _call_for(system, 2.0)
        self._check_bound(system)

    async def _evacuate(self, system, data_centres: set[str]) -> None:
        """Evacuates data centre "b", or ends its evacuation."""
        if data_centres:
            system.store.put("op", "evacuate/b", {})
        else:
            system.store.remove("op", "evacuate/b")
        await fixtures.until(
            lambda: all(
                f.entry.targets.evacuated == data_centres for f in system.fronts
            )
        )

    async def test_evacuated_data_centre_comes_back(self):
        """Guards against a burst as soon as an evacuation is taken back."""
        system = await self._begin(fronts=3, warm=0)
        await self._evacuate(system, {"b"})
        now = asyncio.get_running_loop().time()
        for target in _cold_targets(system):
            target.cold_until = now + 2 * _COLD_S
        await self._evacuate(system, set())
        await _call_for(system, 2.0)
        self._check_bound(system)

    async def test_evacuated_targets_that_failed_are_not_checked(self):
        """Guards against checks that reach a data centre that gets nothing."""
        system = await self._begin(fronts=2, warm=1)
        await self._evacuate(system, {"b"})
        now = asyncio.get_running_loop().time()
        start = cold_start.Start(_PER_S, _COLD_S)
        for front in system.fronts:
            for target in _cold_targets(system):
                name = f"{target.name}@{target.born}"
                cold = front.entry.limits.cold
                cold_start.record_failure(cold, name, start, now)
        await asyncio.sleep(1.5)
        late = [a for t in _cold_targets(system) for a in t.arrivals]
        self.assertEqual([a for a in late if a[0] > now], [])

    async def test_resets_by_warm_targets_are_forgotten(self):
        """Guards against a lost connection that slows a warm target."""
        system = await self._begin(fronts=2, warm=0)
        colds = [f.entry.limits.cold for f in system.fronts]
        loop = asyncio.get_running_loop()
        for name, path in (("cold-0", "/read/x"), ("engine-0", "/chat/x")):
            system.targets[name].faults.append(Fault.RESET)
            while system.targets[name].faults:
                await fixtures.call(system, path, prompt=4000)
            start = f"{name}@1"
            await fixtures.until(
                lambda s=start: all(s in c.colds for c in colds)
            )
            await fixtures.until(
                lambda s=start: (
                    not any(
                        cold_start.is_cold(c, s, loop.time()) for c in colds
                    )
                ),
                limit_s=_COLD_S / 2,
            )

    async def test_answers_tell_of_a_cold_target(self):
        """Guards against a target that becomes cold without a new start."""
        system = await self._begin(fronts=4, warm=2)
        for target in _cold_targets(system):
            target.tells_cold = True
            target.cold_start_s = _COLD_S
            target.begin_cold()
        await _call_for(system, 0.3)
        after = asyncio.get_running_loop().time()
        await _call_for(system, 2.0)
        for target in _cold_targets(system):
            target.seen[:] = [r for r in target.seen if r.at > after]
        self._check_bound(system, least=0)
        status = views.status(system.fronts[0].entry, after)
        self.assertIn("cold-0@1", status["cold"])


class ColdEngineTest(unittest.IsolatedAsyncioTestCase):
    async def _call_beside_cold_engine(self, mocked: str, result: bool) -> None:
        """Checks the engines of long prompts beside a cold one.

        Args:
            mocked: Name of a function that is replaced.
            result: What it returns instead.
        """
        system = await fixtures.start_system(self, engines=4, plain=0)
        # The warm engines alone are late, so all are considered.
        route = fixtures.engine_route("/long/", target_latency_ms=5000)
        system.store.put("op", "config", fixtures.routes(2, [route]))
        state = system.fronts[0].entry
        await fixtures.until(lambda: state.table.version == 2)
        now = asyncio.get_running_loop().time()
        start = cold_start.Start(_PER_S, _COLD_S)
        cold_start.extend(state.limits.cold, "engine-3@1", start, 30.0, now)
        cold = system.targets["engine-3"]
        with (
            mock.patch(f"copperloom.ingress.{mocked}", return_value=result),
            mock.patch.object(planner, "is_refused", return_value=False),
        ):
            for _ in range(4):
                answer = await fixtures.call(system, "/long/x", prompt=400_000)
                self.assertEqual(answer.status, 200)
        self.assertEqual(cold.orders, [])
        requests = [r for t in system.targets.values() for r in t.seen]
        helpers = [r.headers.get(wire.HELPERS, "") for r in requests]
        self.assertTrue(all(helpers))
        self.assertNotIn(cold.address, ",".join(helpers))

    async def test_gets_no_parts_and_holds_nothing(self):
        """Guards against parts and reservations that a cold engine delays."""
        await self._call_beside_cold_engine("cold_grants.is_granted", True)

    async def test_plan_of_an_owner_that_does_not_know(self):
        """Guards against the plan of an owner that lost the digests."""
        await self._call_beside_cold_engine("local_placement._is_cold", False)


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_data_centre_returns(self):
        """Guards against bounds that hold only where all hear all."""
        system = await fleets.start_fleet(self, ("a", "b"), engines=1, plain=0)
        await _start(self, system, warm=2)
        await _call_for(system, 1.0, interval_s=_LARGE_INTERVAL_S)
        _crash(system)
        calls = asyncio.ensure_future(
            _call_for(system, 6.0, interval_s=_LARGE_INTERVAL_S)
        )
        for number in range(2):
            await asyncio.sleep(1.0)
            _kill_owner(self, system, f"cold-{number}")
        answers = await calls
        for target in _cold_targets(system):
            self.assertLessEqual(_most_in_second(target), _ALLOWED)
        self.assertGreater(_served(answers), 0.97)
