"""Tests of leases, fencing and model orders, and of load polling."""

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
    """Orders of two entries that both act as the engine's owner."""

    async def asyncSetUp(self):
        patch = mock.patch.multiple(
            leases, LEASE_S=_LEASE_S, _RENEWAL_MARGIN_S=_LEASE_S / 4
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

    async def _send(self, index: int, value: str) -> bool:
        return await model_orders.send_order(
            self.states[index], self.target, "set_role", value
        )

    async def _send_until_accepted(self, index: int, value: str) -> None:
        while not await self._send(index, value):
            await asyncio.sleep(0.05)

    def _role(self) -> str:
        return self.engine.truth()["roles"]["set_role"]

    async def test_lease_has_one_holder_at_a_time(self):
        await self._start()
        self.assertTrue(await self._send(0, "long"))
        self.assertFalse(await self._send(1, "short"))
        started_at = _now()
        await self._send_until_accepted(1, "short")
        self.assertGreaterEqual(_now() - started_at, _LEASE_S * 0.9)
        numbers = [o["fencing"] for o in self.engine.truth()["orders"]]
        self.assertEqual(numbers, [1, 2])

    async def test_renewed_lease_is_not_taken_over(self):
        await self._start()
        end = _now() + 3 * _LEASE_S
        while _now() < end:
            self.assertTrue(await self._send(0, "long"))
            held = self.states[0].orders.leases.held["g0"]
            renewed_at = held.valid_until - _LEASE_S / 2
            if await self._send(1, "short"):
                # Allowed only if this process was paused for a whole lease.
                self.assertGreaterEqual(_now() - renewed_at, _LEASE_S)
                break
            await asyncio.sleep(0.05)

    async def test_holder_stops_when_it_cannot_renew(self):
        # Guards against two holders: a holder without access to the table must
        # stop before another entry may take over.
        await self._start()
        self.assertTrue(await self._send(0, "long"))
        down = mock.AsyncMock(side_effect=exception.PlatformDownError)
        self.states[0].platform = mock.Mock(
            read=down, acquire_weights=mock.AsyncMock()
        )
        await asyncio.sleep(_LEASE_S * 0.75)
        self.assertFalse(await self._send(0, "short"))
        self.assertEqual(self._role(), "long")

    async def test_lease_counts_from_before_its_write(self):
        # Guards against a lease that is used too long after a slow write.
        await self._start()
        transact = self.table.transact

        async def slow(*args, **kwargs):
            result = await transact(*args, **kwargs)
            await asyncio.sleep(_LEASE_S / 2)
            return result

        self.table.transact = slow
        self.assertFalse(await self._send(0, "long"))
        self.assertEqual(self.engine.truth()["orders"], [])

    async def test_lease_with_lost_confirmation_is_recovered(self):
        await self._start()
        self.table.faults = ["lost"]
        self.assertFalse(await self._send(0, "long"))
        self.assertTrue(await self._send(0, "long"))
        self.assertEqual(self.table.rows["lease/g0"].value["fencing"], 1)

    async def test_late_write_does_not_take_the_lease_back(self):
        # Guards against a delayed write that takes effect after another entry
        # has acquired the lease.
        await self._start()
        self.table.faults = ["late"]
        self.assertFalse(await self._send(0, "long"))
        self.assertTrue(await self._send(1, "short"))
        self.table.land()
        self.assertFalse(await self._send(0, "long"))
        self.assertEqual(self._role(), "short")

    async def test_concurrent_writes_have_one_winner(self):
        # Guards against two holders when both read the free row before either
        # writes.
        await self._start()
        read = self.table.read
        barrier = asyncio.Barrier(2)

        async def read_together(*args, **kwargs):
            row = await read(*args, **kwargs)
            await barrier.wait()
            return row

        for state in self.states:
            state.platform = mock.Mock(
                read=read_together, transact=self.table.transact
            )
        sent = await asyncio.gather(
            self._send(0, "long"), self._send(1, "short")
        )
        self.assertEqual(sorted(sent), [False, True])
        self.assertEqual(len(self.engine.truth()["orders"]), 1)

    async def test_order_is_not_sent_after_a_slow_weight_store(self):
        # Guards against an order under a lease that expired while the entry
        # waited for the weight store.
        await self._start()

        async def slow(count, *, timeout_s):
            await asyncio.sleep(_LEASE_S * 0.75)

        self.table.acquire_weights = slow
        sent = await model_orders.send_order(
            self.states[0], self.target, "load_model", "m"
        )
        self.assertFalse(sent)
        self.assertEqual(self.engine.truth()["orders"], [])

    async def test_late_order_of_a_paused_holder_is_fenced(self):
        # Guards against the order of a holder that was paused after its last
        # check of the clock: only an engine that ignores fencing obeys it.
        for checks in (True, False):
            with self.subTest(checks=checks):
                self.table.rows.clear()
                await self._start(checks_fencing=checks)
                await self._send_late_order()
                self.assertEqual(self._role(), "short" if checks else "long")

    async def _send_late_order(self):
        resumed = asyncio.Event()
        state = self.states[0]
        order = state.targets.order

        async def order_late(*args, **kwargs):
            await resumed.wait()
            await order(*args, **kwargs)

        state.targets = dataclasses.replace(state.targets, order=order_late)
        first = asyncio.create_task(self._send(0, "long"))
        await fixtures.wait_until(lambda: "lease/g0" in self.table.rows)
        await self._send_until_accepted(1, "short")
        resumed.set()
        await asyncio.gather(first, return_exceptions=True)

    async def test_missing_model_is_ordered_once(self):
        # Guards against repeated orders when both entries see that the engine
        # lacks a configured model.
        await self._start()
        await self._load_until(lambda: "m" in self.engine.truth()["models"])
        await fixtures.wait_until(
            lambda: not any(s.orders.busy for s in self.states)
        )
        orders = self.engine.truth()["orders"]
        self.assertEqual([o["value"] for o in orders], ["m"])
        self.assertGreaterEqual(self.table.weights, 1)

    async def test_orders_wait_for_the_weight_store_rate(self):
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

    def test_missing_models_consider_recent_orders(self):
        target = engines.target("g0", "127.0.0.1:9", serves=("m", "n"))
        report = interface.LoadReport("b", 0, 1, 0, 0, 0, 0.0, models=("n",))
        completed = model_orders.CompletedOrders("b", frozenset(["m"]), 10.0)
        self.assertEqual(
            model_orders.missing_models(target, report, None, 10.0), ["m"]
        )
        self.assertEqual(
            model_orders.missing_models(target, report, completed, 11.0), []
        )
        self.assertEqual(
            model_orders.missing_models(target, report, completed, 30.0), ["m"]
        )
        restarted = dataclasses.replace(report, boot="c")
        self.assertEqual(
            model_orders.missing_models(target, restarted, completed, 11.0),
            ["m"],
        )


class LoadsTest(unittest.IsolatedAsyncioTestCase):
    """Polling of load reports."""

    async def test_unresponsive_engine_does_not_delay_other_polls(self):
        started = await engines.start_engines(self, 2)
        addresses = {n: s.addresses["listen"] for n, s in started.items()}
        state = await engines.entry_state(self, addresses)
        load = state.targets.load

        async def load_unless_frozen(address, *, timeout_s):
            if address == addresses["g0"]:
                await asyncio.Event().wait()
            return await load(address, timeout_s=timeout_s)

        state.targets = dataclasses.replace(
            state.targets, load=load_unless_frozen
        )
        await control.control(addresses["g1"], leaving=True)
        async with asyncio.timeout(10.0):
            while "g1" not in state.sched.draining:
                await load_polling.step(state, _now())
                await asyncio.sleep(0.02)
        self.assertNotIn("g0", state.reports)

    async def test_polls_stay_within_their_rate(self):
        # All engines are polled in turn, except one whose poll never ends.
        state = await engines.entry_state(self, {}, polls_per_s=60.0)
        state.cfg = engines.configuration_of(19)
        polled = []

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
            polled += changed
            await asyncio.gather(*state.background)
        counts = [polled.count(name) for name in state.cfg.targets]
        self.assertEqual(counts.pop(7), 0)
        self.assertEqual((min(counts), max(counts)), (3, 4))

    async def test_entry_watches_a_share_of_many_engines(self):
        state = await engines.entry_state(self, {})
        cfg = engines.configuration_of(300)
        shares = [
            {t.name for t in load_polling.watched(cfg, f"e{i}", most=30)}
            for i in range(40)
        ]
        self.assertEqual({len(names) for names in shares}, {30})
        self.assertGreater(len(set.union(*shares)), 290)
        # The removal of one engine replaces only that engine in a share.
        cfg.targets.pop(min(shares[0]))
        share = {t.name for t in load_polling.watched(cfg, "e0", most=30)}
        self.assertEqual(len(share & shares[0]), 29)
        self.assertEqual(len(load_polling.watched(state.cfg, "e0")), 0)
