"""Tests what follows when some targets reject requests that others can take."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import choice, plans, registry
from copperloom.ingress import rejections
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import target as target_standin

_INTERVAL_S = 0.02
_TARGETS = 12
_REJECTING = 4
_REJECT_S = 3.0


def _further_sends(system, answers) -> int:
    """Returns the sends beyond the first one of each request."""
    sends = sum(len(t.seen) for t in system.targets.values())
    return sends - len(answers)


def _allowed(answers) -> float:
    """Returns the sends that the settings of `fixtures.own_settings` allow."""
    return 0.2 * len(answers) + 20


class RejectionsTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, **sizes) -> fixtures.System:
        return await fixtures.start_system(
            self, **{"engines": 0, "plain": _TARGETS, "fronts": 2} | sizes
        )

    def _rejecting(self, system) -> list:
        return list(system.targets.values())[:_REJECTING]

    async def _call_while_some_reject(self, system, path: str) -> list:
        call = asyncio.ensure_future(
            fixtures.call_often(system, path, _REJECT_S + 1.0, _INTERVAL_S)
        )
        await asyncio.sleep(_REJECT_S)
        for target in self._rejecting(system):
            target.always = None
            target.retry_after = None
        return await call

    async def _check_none_refused(self, system, path: str) -> None:
        answers = await self._call_while_some_reject(system, path)
        self.assertEqual({a.status for a in answers}, {200})
        self.assertLessEqual(_further_sends(system, answers), _allowed(answers))

    async def test_four_of_twelve_reject_without_a_time(self):
        """Guards against refusals of requests that other targets can take."""
        system = await self._start()
        for target in self._rejecting(system):
            target.always = target_standin.Fault.REFUSE
        await self._check_none_refused(system, "/read/x")

    async def test_four_of_twelve_reject_for_a_time(self):
        """Guards against requests that meet one held target after another."""
        system = await self._start()
        for target in self._rejecting(system):
            target.retry_after = "3"
        await self._check_none_refused(system, "/read/x")

    async def test_four_of_twelve_reject_requests_that_run_once(self):
        """Guards against the bound of runs being applied to rejections."""
        system = await self._start()
        for target in self._rejecting(system):
            target.always = target_standin.Fault.REFUSE
        await self._check_none_refused(system, "/write/x")
        ran = [r for t in system.targets.values() for r in t.runs]
        self.assertEqual(len(ran), len(set(ran)))

    async def test_rejections_of_one_request_are_bounded(self):
        """Guards against a request that takes the budget of many others."""
        system = await self._start(fronts=1)
        for target in system.targets.values():
            target.always = target_standin.Fault.REFUSE
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 503)
        sends = sum(len(t.seen) for t in system.targets.values())
        self.assertEqual(sends, rejections.MAX_REJECTIONS)

    async def test_budget_is_kept_while_all_reject(self):
        """Guards against rejections that are sent on without a budget."""
        system = await self._start(plain=6)
        for target in system.targets.values():
            target.always = target_standin.Fault.REFUSE
        answers = await fixtures.call_often(
            system, "/write/x", 2.0, _INTERVAL_S
        )
        self.assertEqual({a.status for a in answers}, {503})
        self.assertLessEqual(_further_sends(system, answers), _allowed(answers))

    async def test_holds_are_hints_for_other_instances(self):
        """Guards against each instance finding a held target by itself."""
        system = await self._start(plain=2)
        held = system.targets["plain-0"]
        held.retry_after = "4"
        for _ in range(4):
            await fixtures.call(system, "/read/x", number=0)
        before = len(held.seen)
        self.assertGreater(before, 0)
        other = system.fronts[1].entry
        await fixtures.until(lambda: other.backoff.hinted)
        for _ in range(6):
            answer = await fixtures.call(system, "/read/x", number=1)
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(held.seen), before)

    async def test_hint_does_not_bind(self):
        """Guards against refusals by an instance that nothing rejected."""
        system = await self._start(plain=1)
        target = system.targets["plain-0"]
        target.retry_after = "4"
        await fixtures.call(system, "/write/x", number=0)
        other = system.fronts[1].entry
        await fixtures.until(lambda: other.backoff.hinted)
        target.retry_after = None
        answer = await fixtures.call(system, "/write/x", number=1)
        self.assertEqual(answer.status, 200)

    async def test_prompt_is_not_refused_for_a_hint(self):
        """Guards against a refusal since hinted engines were left out."""
        system = await self._start(engines=2, plain=0, fronts=1)
        entry = system.fronts[0].entry
        name = registry.incarnation(entry.targets.entries["engine-0"])
        entry.backoff.hinted[name] = asyncio.get_running_loop().time() + 60
        plan = plans.Plan("engine-0", (), 0.1, 0.1, 0.0)

        def choose(engine, prompt, candidates, **options):
            return plan if len(candidates) == 2 else plans.Refusal(plan)

        with mock.patch.object(choice, "choose", choose):
            answer = await fixtures.call(system, "/chat/x", prompt=60_000)
        self.assertEqual(answer.status, 200)
