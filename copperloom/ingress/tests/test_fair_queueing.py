"""Tests that organisations keep their shares of a service under overload."""

import asyncio
import types
import unittest
from unittest import mock

from copperloom import exception
from copperloom.decisions import inflight_table, plans, shards
from copperloom.ingress import placement_rpc, turn_taking
from copperloom.ingress.tests import fixtures, fleets, organisations
from copperloom.ingress.tests.organisations import BIG, SMALL
from copperloom.platform.standins import wire

_SECONDS = 6.0
_SMALL_PER_S = 1.4


async def _start_plain(case) -> fixtures.System:
    """Starts 3 instances and targets for about 20 requests a second."""
    system = await fixtures.start_system(case, engines=0, plain=2, fronts=3)
    await _slow_down(system, "plain", slots=2, pause_s=0.4)
    return system


async def _start_engines(case) -> fixtures.System:
    """Starts 3 instances and engines for about 20 requests a second."""
    system = await fixtures.start_system(case, engines=2, plain=0, fronts=3)
    await _slow_down(system, "engines", slots=4, pause_s=0.08)
    return system


async def _slow_down(system, service: str, slots: int, pause_s: float) -> None:
    """Reduces the capacity of all targets, and adds the organisations."""
    for target in system.targets.values():
        target.pause_s = pause_s
        system.register(target, service, slots=slots)
    await organisations.add_organisations(system)
    await fixtures.until(
        lambda: all(
            entry.slots == slots
            for f in system.fronts
            for entry in f.entry.targets.entries.values()
        )
    )


class ShareTest(unittest.IsolatedAsyncioTestCase):
    async def _check(self, system, path: str, big_at, **request):
        sent = await organisations.send(
            system,
            path,
            seconds=_SECONDS,
            per_s=_SMALL_PER_S,
            big_at=big_at,
            **request,
        )
        by_small = [s for s in sent if s.organisation in SMALL]
        by_big = [s for s in sent if s.organisation == BIG]
        # Without the large organisation all of them are served.
        self.assertGreaterEqual(organisations.served_share(by_small), 0.95)
        # What the others leave is lent to it: an equal share would be 0.09 of
        # its requests, all that is left 0.36.
        self.assertGreater(organisations.served_share(by_big), 0.25)
        refused = [s for s in sent if s.answer.status != 200]
        self.assertTrue(refused)
        self.assertEqual({s.organisation for s in refused}, {BIG})
        self._check_refusals(system, refused)

    def _check_refusals(self, system, refused):
        run = {i for t in system.targets.values() for i in t.runs}
        for sent in refused:
            self.assertNotIn(sent.answer.id, run)
            self.assertIn(sent.answer.status, (429, 503))
            retry_s = float(sent.answer.headers["Retry-After"])
            self.assertLessEqual(retry_s, 4.0 / 3)

    async def test_plain_service_beside_a_large_organisation_at_one_instance(
        self,
    ):
        """Guards against a queue of one instance that takes all places."""
        system = await _start_plain(self)
        await self._check(system, "/write/x", (0,))

    async def test_plain_service_beside_a_large_organisation_at_all(self):
        """Guards against shares that each instance keeps by itself."""
        system = await _start_plain(self)
        await self._check(system, "/write/x", (0, 1, 2))

    async def test_engines_beside_a_large_organisation_at_one_instance(self):
        """Guards against slots of engines that one organisation takes."""
        system = await _start_engines(self)
        await self._check(system, "/once/x", (0,), prompt=4000)
        self._check_priorities(system)

    async def test_engines_beside_a_large_organisation_at_all(self):
        """Guards against the same with queries of all instances."""
        system = await _start_engines(self)
        await self._check(system, "/once/x", (0, 1, 2), prompt=4000)

    def _check_priorities(self, system):
        """Prompts over the share are later, but before all long ones."""
        priorities = {}
        for target in system.targets.values():
            for received in target.seen:
                name = received.headers[wire.ORGANISATION]
                sent = received.headers[wire.PRIORITY]
                priorities.setdefault(name, set()).add(sent)
        self.assertEqual(priorities.pop(BIG), {"1", "3"})
        self.assertEqual(set().union(*priorities.values()), {"1"})

    async def test_large_fleet(self):
        """Guards against an order that only small fleets keep."""
        system = await fleets.start_fleet(self, engines=0, plain=2)
        await _slow_down(system, "plain", slots=2, pause_s=0.4)
        # All instances share one event loop, which delays the owner's replies.
        with (
            mock.patch.object(placement_rpc, "QUERY_TIMEOUT_S", 2.0),
            mock.patch.object(inflight_table, "PENDING_S", 5.0),
        ):
            await self._check(system, "/write/x", tuple(range(fleets.SIZE)))


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_owner_that_is_lost(self):
        """Guards against shares, or requests, that end with the owner."""
        system = await _start_plain(self)
        sending = asyncio.ensure_future(
            organisations.send(
                system,
                "/write/x",
                seconds=_SECONDS,
                per_s=_SMALL_PER_S,
                big_at=(0, 1, 2),
            )
        )
        await asyncio.sleep(_SECONDS / 3)
        entry = system.fronts[0].entry
        order = placement_rpc.owner_order(entry, shards.Shard("plain"))
        fleets.silence(system, order[0])
        sent = await sending
        by_small = [s for s in sent if s.organisation in SMALL]
        self.assertGreaterEqual(organisations.served_share(by_small), 0.9)
        for answer in (s.answer for s in sent):
            self.assertIn(answer.status, (200, 429, 503))


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def _refuse(self, run: exception.Run, *, is_over: bool):
        """Returns the error by which a request is refused."""
        system = await fixtures.start_system(self, engines=0, plain=1)
        ex = types.SimpleNamespace(
            state=system.fronts[0].entry,
            id="q",
            service="plain",
            organisation="a",
            priority=0,
            deadline=6.0,
            run=run,
        )
        queued = plans.Queued(9.0, 0.1, 5, is_refused=True)
        if is_over:
            queued = plans.Queued(9.0, 0.1, 5, True, True, 3.0, 1.0)
        with self.assertRaises(exception.CopperloomError) as caught:
            await turn_taking.wait(ex, queued, 0.0)
        return caught.exception

    async def test_status_429_only_if_the_request_has_not_run(self):
        """Guards against a refusal that promises what is not known."""
        error = await self._refuse(exception.Run.NOT_RUN, is_over=True)
        self.assertEqual((error.code, error.status), (3013, 429))
        self.assertLessEqual(error.retry_after_s, 2.0)
        error = await self._refuse(exception.Run.MAY_HAVE_RUN, is_over=True)
        self.assertEqual(error.code, 3001)
        self.assertIs(error.run, exception.Run.MAY_HAVE_RUN)

    async def test_others_are_refused_for_the_time(self):
        """Guards against status 429 for organisations within their shares."""
        error = await self._refuse(exception.Run.NOT_RUN, is_over=False)
        self.assertEqual((error.code, error.status), (3001, 503))
