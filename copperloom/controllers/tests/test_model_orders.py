"""Orders to engines: one entry at a time, under a fencing number."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from copperloom import exception
from copperloom.controllers import leases, load_polling, model_orders
from copperloom.controllers.tests import engines
from copperloom.standins import control
from copperloom.standins.tests import fixtures
from copperloom.targets import interface
from copperloom.tests import fakes

_LEASE_S = 0.8


def _now() -> float:
    return asyncio.get_running_loop().time()


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Two entries that both take themselves for the engine's owner."""

    async def asyncSetUp(self):
        patch = mock.patch.multiple(
            leases, LEASE_S=_LEASE_S, _RENEW_LEFT_S=_LEASE_S / 4
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.table = fakes.FakeTable()

    async def _start(self, **changes):
        (self.engine,) = (
            await engines.start_engines(self, 1, models=("a",), **changes)
        ).values()
        addresses = {"g0": self.engine.addresses["listen"]}
        self.states = [
            await engines.entry_state(
                self, addresses, instance=name, platform=self.table
            )
            for name in ("e0", "e1")
        ]
        self.target = self.states[0].cfg.targets["g0"]

    async def _give(self, index: int, value: str) -> bool:
        return await model_orders.send_order(
            self.states[index], self.target, "set_role", value
        )

    async def _give_in_the_end(self, index: int, value: str) -> None:
        while not await self._give(index, value):
            await asyncio.sleep(0.05)

    def _role(self) -> str:
        return self.engine.truth()["roles"]["set_role"]

    async def test_one_holder_at_a_time(self):
        await self._start()
        self.assertTrue(await self._give(0, "long"))
        self.assertFalse(await self._give(1, "short"))
        began = _now()
        await self._give_in_the_end(1, "short")
        self.assertGreaterEqual(_now() - began, _LEASE_S * 0.9)
        numbers = [o["fencing"] for o in self.engine.truth()["orders"]]
        self.assertEqual(numbers, [1, 2])

    async def test_renewed_lease_is_not_taken_over(self):
        await self._start()
        end = _now() + 3 * _LEASE_S
        while _now() < end:
            self.assertTrue(await self._give(0, "long"))
            held = self.states[0].orders.leases.held["g0"]
            renewed_at = held.good_until - _LEASE_S / 2
            if await self._give(1, "short"):
                # Only if the machine stood still for a whole lease.
                self.assertGreaterEqual(_now() - renewed_at, _LEASE_S)
                break
            await asyncio.sleep(0.05)

    async def test_holder_stops_by_its_own_clock(self):
        # The holder cannot reach the table any more, so it cannot renew. It
        # must stop before another may take over.
        await self._start()
        self.assertTrue(await self._give(0, "long"))
        down = mock.AsyncMock(side_effect=exception.PlatformDownError)
        self.states[0].platform = mock.Mock(
            read=down, acquire_weights=mock.AsyncMock()
        )
        await asyncio.sleep(_LEASE_S * 0.75)
        self.assertFalse(await self._give(0, "short"))
        self.assertEqual(self._role(), "long")

    async def test_slow_write_shortens_the_lease(self):
        # The confirmation comes when half of the lease has passed: the time
        # counts from before the write was sent.
        await self._start()
        transact = self.table.transact

        async def slow(*args, **kwargs):
            result = await transact(*args, **kwargs)
            await asyncio.sleep(_LEASE_S / 2)
            return result

        self.table.transact = slow
        self.assertFalse(await self._give(0, "long"))
        self.assertEqual(self.engine.truth()["orders"], [])

    async def test_lost_confirmation_is_found_again(self):
        await self._start()
        self.table.faults = ["lost"]
        self.assertFalse(await self._give(0, "long"))
        self.assertTrue(await self._give(0, "long"))
        self.assertEqual(self.table.rows["lease/g0"].value["fencing"], 1)

    async def test_write_that_lands_late(self):
        # The first entry's write hangs in the network, and a second entry
        # takes the lease meanwhile. The late write must not take it back.
        await self._start()
        self.table.faults = ["late"]
        self.assertFalse(await self._give(0, "long"))
        self.assertTrue(await self._give(1, "short"))
        self.table.land()
        self.assertFalse(await self._give(0, "long"))
        self.assertEqual(self._role(), "short")

    async def test_two_that_write_at_once(self):
        # Both read the free row before either writes.
        await self._start()
        read = self.table.read
        both = asyncio.Barrier(2)

        async def together(*args, **kwargs):
            row = await read(*args, **kwargs)
            await both.wait()
            return row

        for state in self.states:
            state.platform = mock.Mock(
                read=together, transact=self.table.transact
            )
        given = await asyncio.gather(
            self._give(0, "long"), self._give(1, "short")
        )
        self.assertEqual(sorted(given), [False, True])
        self.assertEqual(len(self.engine.truth()["orders"]), 1)

    async def test_lease_that_lapses_at_the_weight_store(self):
        # The weight store answers after the lease has lapsed; the order must
        # not go out any more.
        await self._start()

        async def slow(count, *, timeout_s):
            await asyncio.sleep(_LEASE_S * 0.75)

        self.table.acquire_weights = slow
        given = await model_orders.send_order(
            self.states[0], self.target, "load_model", "m"
        )
        self.assertFalse(given)
        self.assertEqual(self.engine.truth()["orders"], [])

    async def test_late_order_of_a_paused_holder(self):
        # The first holder is paused between its last look at the clock and
        # the sending. A second takes over and orders. Then the first wakes up
        # and its order goes out. An engine that checks refuses it; one that
        # does not obeys it, until the second compares again.
        for checks in (True, False):
            with self.subTest(checks=checks):
                self.table.rows.clear()
                await self._start(checks_fencing=checks)
                await self._late_order()
                self.assertEqual(self._role(), "short" if checks else "long")

    async def _late_order(self):
        paused = asyncio.Event()
        state = self.states[0]
        order = state.targets.order

        async def late(*args, **kwargs):
            await paused.wait()
            await order(*args, **kwargs)

        state.targets = dataclasses.replace(state.targets, order=late)
        first = asyncio.create_task(self._give(0, "long"))
        await fixtures.wait_until(lambda: "lease/g0" in self.table.rows)
        await self._give_in_the_end(1, "short")
        paused.set()
        await asyncio.gather(first, return_exceptions=True)

    async def test_missing_models_are_loaded(self):
        # The configuration wants m, the engine has a. Both entries look; one
        # order is given, also after the engine restarted and lost it.
        await self._start()
        await self._load_until(lambda: "m" in self.engine.truth()["models"])
        await fixtures.wait_until(
            lambda: not any(s.orders.busy for s in self.states)
        )
        given = self.engine.truth()["orders"]
        self.assertEqual([o["value"] for o in given], ["m"])
        self.assertGreaterEqual(self.table.weights, 1)

    async def test_weight_store_over_its_rate(self):
        await self._start()
        limited = exception.RateLimitedError(retry_after_s=30.0)
        self.table.acquire_weights = mock.AsyncMock(side_effect=limited)
        state = self.states[0]
        await self._load_until(lambda: "g0" in state.orders.not_before)
        wait_s = state.orders.not_before["g0"] - _now()
        self.assertTrue(20.0 < wait_s < 46.0, wait_s)
        self.assertEqual(self.engine.truth()["orders"], [])

    async def _load_until(self, condition):
        end = _now() + 10.0
        while not condition():
            self.assertLess(_now(), end)
            for state in self.states:
                await load_polling.step(state, _now())
                await model_orders.step(state, _now())
            await asyncio.sleep(0.05)

    def test_what_is_missing(self):
        target = engines.target("g0", "127.0.0.1:9", serves=("m", "n"))
        report = interface.LoadReport("b", 0, 1, 0, 0, 0, 0.0, models=("n",))
        given = model_orders.CompletedOrders("b", frozenset(["m"]), 10.0)
        self.assertEqual(
            model_orders.missing_models(target, report, None, 10.0), ["m"]
        )
        self.assertEqual(
            model_orders.missing_models(target, report, given, 11.0), []
        )
        self.assertEqual(
            model_orders.missing_models(target, report, given, 30.0), ["m"]
        )
        other = dataclasses.replace(report, boot="c")
        self.assertEqual(
            model_orders.missing_models(target, other, given, 11.0), ["m"]
        )


class LoadsTest(unittest.IsolatedAsyncioTestCase):
    """Load reports and what targets say of themselves."""

    async def test_frozen_engine_holds_up_no_other(self):
        started = await engines.start_engines(self, 2)
        addresses = {n: s.addresses["listen"] for n, s in started.items()}
        state = await engines.entry_state(self, addresses)
        load = state.targets.load

        async def frozen(address, *, timeout_s):
            if address == addresses["g0"]:
                await asyncio.Event().wait()
            return await load(address, timeout_s=timeout_s)

        state.targets = dataclasses.replace(state.targets, load=frozen)
        await control.control(addresses["g1"], leaving=True)
        async with asyncio.timeout(10.0):
            while "g1" not in state.sched.leaving:
                await load_polling.step(state, _now())
                await asyncio.sleep(0.02)
        self.assertNotIn("g0", state.reports)

    async def test_polls_stay_within_their_rate(self):
        # 19 engines, all watched, of which one never answers, and room for 3
        # polls a step.
        state = await engines.entry_state(self, {}, polls_per_s=60.0)
        state.cfg = engines.configuration_of(19)
        asked = []

        async def load(address, *, timeout_s):
            raise exception.StreamBrokenError

        state.targets = dataclasses.replace(state.targets, load=load)
        state.polling.add("g7")
        for number in range(20):
            before = dict(state.polled_at)
            await load_polling.step(state, float(number + 1))
            changed = [
                n for n, at in state.polled_at.items() if before.get(n) != at
            ]
            self.assertEqual(len(changed), 3)
            asked += changed
            await asyncio.gather(*state.background)
        counts = [asked.count(name) for name in state.cfg.targets]
        self.assertEqual(counts.pop(7), 0)
        self.assertEqual((min(counts), max(counts)), (3, 4))

    async def test_watches_its_share_of_many(self):
        state = await engines.entry_state(self, {})
        cfg = engines.configuration_of(300)
        seen = [
            {t.name for t in load_polling.watched(cfg, f"e{i}", most=30)}
            for i in range(40)
        ]
        self.assertEqual({len(names) for names in seen}, {30})
        self.assertGreater(len(set.union(*seen)), 290)
        # One engine less changes one place of what an entry watches.
        cfg.targets.pop(min(seen[0]))
        left = {t.name for t in load_polling.watched(cfg, "e0", most=30)}
        self.assertEqual(len(left & seen[0]), 29)
        self.assertEqual(len(load_polling.watched(state.cfg, "e0")), 0)
