"""Tests of the engine stand-in: batching, streams, crashes and orders."""

import asyncio
import random
import unittest

from copperloom import exception
from copperloom.standins import batch, control, settings
from copperloom.standins.tests import fixtures
from copperloom.targets import interface

_TIMEOUT_S = 10.0


def _batch(**changes) -> batch.Batch:
    return batch.Batch(settings.EngineSection(**changes), random.Random(1))


def _run_until(state: batch.Batch, condition) -> float:
    """Runs iterations until a condition holds; returns simulated seconds."""
    now = 0.0
    while not condition():
        now += batch.begin_iteration(state, now)
        batch.finish_iteration(state, now)
    return now


class BatchTest(unittest.TestCase):
    """Tests of the batch without any I/O."""

    def test_long_prefill_slows_down_other_streams(self):
        """Guards against a simulation without interference by prefill."""

        def answer_s(long_tokens: int) -> float:
            state = _batch()
            short = batch.add(state, fixtures.ask("s", prompt_tokens=10), 0.0)
            _run_until(state, lambda: short.generated)
            if long_tokens:
                req = fixtures.ask("l", prompt_tokens=long_tokens)
                batch.add(state, req, 0.0)
            return _run_until(state, lambda: short.state in batch.ENDED_STATES)

        self.assertGreater(answer_s(100_000), 3 * answer_s(0))

    def test_cached_prefix_shortens_time_to_first_token(self):
        state = _batch(prefix_tokens=8000)

        def first_token_s(name: str) -> float:
            req = fixtures.ask(name, prompt_tokens=8100, prefix="p")
            stream = batch.add(state, req, 0.0)
            return _run_until(state, lambda: stream.generated)

        self.assertGreater(first_token_s("a"), 5 * first_token_s("b"))

    def test_stream_with_greater_priority_enters_first(self):
        state = _batch(kv_tokens=1100)
        running = batch.add(state, fixtures.ask("a"), 0.0)
        _run_until(state, lambda: running.generated)
        low = batch.add(state, fixtures.ask("low"), 0.0)
        high = batch.add(state, fixtures.ask("high", priority=1), 0.0)
        _run_until(state, lambda: high.generated)
        self.assertEqual(low.generated, 0)

    def test_kv_memory_is_released(self):
        """Guards against memory that leaks or is released twice.

        Streams are added, held and cancelled in random states.
        """
        state = _batch(kv_tokens=5000)
        rng = random.Random(2)
        stream_names = []
        for number in range(300):
            req = fixtures.ask(
                f"s{number}",
                prompt_tokens=rng.randint(1, 3000),
                max_tokens=rng.randint(1, 50),
                hold=rng.random() < 0.2,
            )
            if batch.add(state, req, 0.0) is not None:
                stream_names.append(req.stream)
            if rng.random() < 0.5:
                stream = state.streams[rng.choice(stream_names)]
                batch.remove(state, stream, batch.StreamState.CANCELLED, 0.0)
            batch.begin_iteration(state, 0.0)
            self.assertLessEqual(state.kv_used, 5000)
            batch.finish_iteration(state, 0.0)
        held = sum(s.kv_tokens for s in state.streams.values())
        self.assertEqual(state.kv_used, held)
        for stream in state.streams.values():
            batch.remove(state, stream, batch.StreamState.CANCELLED, 0.0)
        self.assertEqual(state.kv_used, 0)


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a running engine over HTTP."""

    async def asyncSetUp(self):
        self.targets = await fixtures.connect_targets(self)

    def _open(self, address, stream, **changes):
        return self.targets.open(
            address, fixtures.ask(stream, **changes), timeout_s=_TIMEOUT_S
        )

    async def test_stream_finishes_without_a_reader(self):
        """Guards against KV memory that stays in use after a disconnect."""
        engine = await fixtures.start_engine(self)
        pieces = self._open(engine.addresses["listen"], "s", max_tokens=50)
        await anext(pieces)
        await pieces.aclose()
        await fixtures.wait_until(
            lambda: engine.truth()["streams"]["s"] == "finished"
        )
        self.assertEqual(engine.truth()["kv_used"], 0)

    async def test_cancel_before_the_request_refuses_it(self):
        """Guards against a run of work whose cancel overtook its request."""
        engine = await fixtures.start_engine(self)
        address = engine.addresses["listen"]
        await self.targets.cancel(address, "s", timeout_s=_TIMEOUT_S)
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(self._open(address, "s"))
        self.assertEqual(engine.truth()["runs"], [])

    async def test_cancel_disconnects_the_reader(self):
        """Guards against readers that wait for a cancelled stream."""
        engine = await fixtures.start_engine(self, time_scale=1.0)
        address = engine.addresses["listen"]
        pieces = self._open(address, "s", max_tokens=1000)
        await anext(pieces)
        await self.targets.cancel(address, "s", timeout_s=_TIMEOUT_S)
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(pieces)
        self.assertEqual(engine.truth()["kv_used"], 0)

    async def test_new_reader_supersedes_the_old_one(self):
        """Guards against two readers that both receive the same answer."""
        engine = await fixtures.start_engine(self, time_scale=2.0)
        address = engine.addresses["listen"]
        old = self._open(address, "s", max_tokens=100)
        await anext(old)
        new = self.targets.resume(
            address, "s", 0, "e2.b", "org", timeout_s=_TIMEOUT_S
        )
        await anext(new)
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(old)
        (info,) = await self.targets.streams(address, timeout_s=_TIMEOUT_S)
        self.assertEqual((info.owner, info.attached), ("e2.b", True))
        await new.aclose()

    async def test_crash_drops_memory_and_changes_the_boot_id(self):
        """Guards against a crash that streams or memory counts survive."""
        engine = await fixtures.start_engine(self, time_scale=1.0)
        address = engine.addresses["listen"]
        before = await self.targets.load(address, timeout_s=_TIMEOUT_S)
        pieces = self._open(address, "s", max_tokens=1000)
        await anext(pieces)
        await control.control(address, die=0.1)
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(pieces)
        await asyncio.sleep(0.1)
        after = await self.targets.load(address, timeout_s=_TIMEOUT_S)
        self.assertNotEqual(before.boot, after.boot)
        self.assertEqual(after.kv_used, 0)
        self.assertEqual(len(engine.truth()["runs"]), 1)

    async def test_load_reports_lag_and_cache_events_are_lost(self):
        engine = await fixtures.start_engine(
            self, report_lag_s=0.2, event_lag_s=0.2, event_loss=0.5
        )
        address = engine.addresses["listen"]
        for number in range(20):
            await fixtures.read_all(
                self._open(address, f"s{number}", prefix=f"p{number}")
            )
        report = await self.targets.load(address, timeout_s=_TIMEOUT_S)
        self.assertGreaterEqual(report.age_s, 0.2)
        await asyncio.sleep(0.2)
        events = await self.targets.cache_events(
            address, 0, timeout_s=_TIMEOUT_S
        )
        sequences = [event.sequence for event in events]
        self.assertEqual(sequences, sorted(set(sequences)))
        self.assertTrue(0 < len(sequences) < 20)

    async def test_order_with_outdated_fencing_number(self):
        """Guards against a late order that undoes a newer one."""
        for checks_fencing in (True, False):
            with self.subTest(checks_fencing=checks_fencing):
                engine = await fixtures.start_engine(
                    self, checks_fencing=checks_fencing
                )
                address = engine.addresses["listen"]
                await self._order(address, "set_role", "long", 2)
                outdated = self._order(address, "set_role", "short", 1)
                if checks_fencing:
                    with self.assertRaises(exception.OrderRefusedError):
                        await outdated
                else:
                    await outdated
                role = engine.truth()["roles"]["set_role"]
                self.assertEqual(role, "long" if checks_fencing else "short")

    async def test_order_loads_a_model(self):
        engine = await fixtures.start_engine(self, models=("a",))
        address = engine.addresses["listen"]
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(self._open(address, "s1", model="b"))
        await self._order(address, "load_model", "b", 1)
        await fixtures.read_all(self._open(address, "s2", model="b"))

    async def _order(self, address, kind, value, fencing):
        order = interface.Order(kind, value, fencing)
        await self.targets.order(address, order, timeout_s=_TIMEOUT_S)
