"""Tests that targets which say in their answers that they drain get no work."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import registry
from copperloom.ingress import limited_targets
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import target as target_standin

# The time limit for the last request after an answer that says so.
_DRAIN_S = 2.0
_INTERVAL_S = 0.02
_CALL_S = 3.5
_NOT_FROM_TARGET = (
    target_standin.Fault.OTHERS_ANSWER,
    target_standin.Fault.MISDIRECTED,
    target_standin.Fault.UNSEALED,
    target_standin.Fault.ENCODED,
)


async def _late_requests(
    system, path: str, names: list[str], interval_s: float = _INTERVAL_S, **call
):
    """Calls while targets drain; returns the late requests and all answers."""
    for name in names:
        system.targets[name].draining = "1"
    drains_at = asyncio.get_running_loop().time()
    answers = await fixtures.call_often(
        system, path, _CALL_S, interval_s, **call
    )
    late = [
        r.id
        for name in names
        for r in system.targets[name].seen
        if r.at > drains_at + _DRAIN_S
    ]
    return late, answers


class DrainNoticeTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_counts_while_the_table_is_away(self):
        """Guards against requests to a target until its row says it drains."""
        system = await fixtures.start_system(self, engines=0, plain=3, fronts=3)
        system.store.down = 503
        late, answers = await _late_requests(system, "/read/x", ["plain-0"])
        self.assertEqual(late, [])
        self.assertEqual({a.status for a in answers}, {200})

    async def test_answer_to_a_stream_counts(self):
        """Guards against streams, which take another path than plain calls."""
        system = await fixtures.start_system(self, engines=3, plain=0, fronts=3)
        system.store.down = 503
        late, answers = await _late_requests(
            system, "/chat/x", ["engine-0"], prompt=4000
        )
        self.assertEqual(late, [])
        self.assertEqual({a.status for a in answers}, {200})

    async def test_answer_outlasts_rows_that_say_ready(self):
        """Guards against a row or table that is read later and is older."""
        system = await fixtures.start_system(self, engines=0, plain=3, fronts=2)

        async def rewrite():
            for number in range(30):
                system.register(system.targets["plain-0"], "plain", seq=number)
                if number % 10 == 5:
                    system.store.forget_history()
                await asyncio.sleep(0.1)

        rewriting = asyncio.ensure_future(rewrite())
        late, answers = await _late_requests(system, "/read/x", ["plain-0"])
        await rewriting
        self.assertEqual(late, [])
        self.assertEqual({a.status for a in answers}, {200})

    async def test_refusal_counts(self):
        """Guards against a target that says so only where it refuses."""
        system = await fixtures.start_system(self, engines=0, plain=2, fronts=2)
        system.targets["plain-0"].always = target_standin.Fault.REFUSE
        system.targets["plain-1"].pause_s = 1.0
        late, answers = await _late_requests(
            system, "/read/x", ["plain-0"], interval_s=0.1
        )
        self.assertEqual(late, [])
        self.assertEqual({a.status for a in answers}, {200})

    async def test_all_targets_drain(self):
        """Guards against late requests since nothing else is there."""
        system = await fixtures.start_system(self, engines=0, plain=2, fronts=2)
        system.store.down = 503
        late, _ = await _late_requests(
            system, "/read/x", ["plain-0", "plain-1"]
        )
        self.assertEqual(late, [])
        started_at = asyncio.get_running_loop().time()
        answer = await fixtures.call(system, "/read/x")
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.5)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)

    async def test_new_start_gets_work(self):
        """Guards against a mark that outlasts the start it was made for."""
        system = await fixtures.start_system(self, engines=0, plain=1, fronts=2)
        await _late_requests(system, "/read/x", ["plain-0"])
        await fixtures.restart_target(system, "plain-0")
        answers = await fixtures.call_often(system, "/read/x", 0.5, _INTERVAL_S)
        self.assertEqual({a.status for a in answers}, {200})

    async def test_answers_that_do_not_say_so(self):
        """Guards against a target that is lost by another one's answer."""
        system = await fixtures.start_system(self, engines=0, plain=1, fronts=1)
        target = system.targets["plain-0"]
        for text in ("", "0", "true"):
            target.draining = text
            await fixtures.call_often(system, "/read/x", 0.3, _INTERVAL_S)
        target.draining = "1"
        for fault in _NOT_FROM_TARGET:
            target.always = fault
            await fixtures.call_often(system, "/read/x", 0.3, _INTERVAL_S)
        target.always = None
        target.draining = None
        await asyncio.sleep(_DRAIN_S)
        answers = await fixtures.call_often(system, "/read/x", 0.5, _INTERVAL_S)
        self.assertEqual({a.status for a in answers}, {200})

    async def test_other_instances_learn_it(self):
        """Guards against requests of those that got no such answer."""
        system = await fixtures.start_system(self, engines=0, plain=2, fronts=3)
        system.store.down = 503
        system.targets["plain-0"].draining = "1"
        while not _knows(system.fronts[0]):
            await fixtures.call(system, "/read/x")
        await fixtures.until(lambda: all(_knows(f) for f in system.fronts))
        joined = await system.add_front(
            seeds=(system.fronts[0].entry.settings.peers_listen,)
        )
        await fixtures.until(lambda: _knows(joined))

    async def test_waiting_request_is_placed_again(self):
        """Guards against requests that were placed before the answer."""
        system = await fixtures.start_system(self, engines=0, plain=2, fronts=1)
        target = system.targets["plain-0"]
        state = system.fronts[0].entry
        entry = state.targets.entries["plain-0"]
        taken = asyncio.Event()

        async def wait_for_grant(ex):
            if ex.plan.lead == "plain-0":
                taken.set()
                await asyncio.sleep(0.2)
            return True

        with mock.patch.object(limited_targets, "await_grant", wait_for_grant):
            calls = [
                asyncio.ensure_future(fixtures.call(system, "/read/x"))
                for _ in range(4)
            ]
            await taken.wait()
            now = asyncio.get_running_loop().time()
            registry.note_draining(
                state.targets, registry.incarnation(entry), now, forwards=True
            )
            answers = await asyncio.gather(*calls)
        self.assertEqual({a.status for a in answers}, {200})
        self.assertEqual(target.seen, [])

    async def test_answer_to_an_order_counts(self):
        """Guards against prompts in parts for an engine that soon ends."""
        system = await fixtures.start_system(self, engines=4, plain=0, fronts=1)
        state = system.fronts[0].entry
        await fixtures.add_long_route(system, timeout_ms=9000)
        for target in system.targets.values():
            target.draining = "1"
        await fixtures.call(system, "/long/x", prompt=500_000, wait_ms=8000)
        ran = sum(bool(t.seen) for t in system.targets.values())
        self.assertGreater(len(state.targets.drain_notices.notices), ran)


def _knows(service) -> bool:
    return bool(service.entry.targets.drain_notices.notices)
