"""Tests targets that send answers without end, at each place of an answer."""

import asyncio
import unittest

from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

_CODE = "4005"
# The places of a plain answer that are bounded, by the fault.
_PLACES = {
    Fault.ENDLESS_HEAD: "lines",
    Fault.ENDLESS_LINE: "line",
    Fault.ENDLESS_INTERIM: "head",
    Fault.ENDLESS_BODY: "body",
    Fault.ENDLESS_CHUNKS: "body",
    Fault.ENDLESS_SMALL_CHUNKS: "chunks",
    Fault.ENDLESS_CHUNK_SIZE: "chunks",
    Fault.ENDLESS_EXTENSION: "chunks",
    Fault.ENDLESS_TRAILERS: "lines",
    Fault.ANNOUNCED: "announced_length",
}
_CLOSE_S = 0.5
_MEMORY_BYTES = 80_000_000.0


def _count(system, place: str) -> float:
    counter = system.fronts[0].entry.metrics.long_answers
    return counter.labels(place)._value.get()


async def _until_closed(system) -> None:
    """Waits until no target works on a request any more."""
    await fixtures.until(
        lambda: not any(t.running for t in system.targets.values()), _CLOSE_S
    )


async def _start(case, **sizes) -> fixtures.System:
    """Starts a system whose only instance has little memory."""
    system = await fixtures.start_system(case, fronts=0, **sizes)
    await system.add_front(memory_bytes=_MEMORY_BYTES)
    entry = system.fronts[0].entry
    wanted = len(system.targets)
    await fixtures.until(lambda: len(entry.targets.entries) == wanted)
    return system


class PlainAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_place_is_bounded(self):
        """Guards against an answer that fills the memory until its deadline."""
        system = await _start(self, engines=0, plain=1)
        target = system.targets["plain-0"]
        for fault, place in _PLACES.items():
            with self.subTest(fault):
                target.always = fault
                async with asyncio.timeout(2.0):
                    answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.headers["Copperloom-Error"], _CODE)
                await _until_closed(system)
                self.assertGreater(_count(system, place), 0)
        self.assertFalse(system.fronts[0].entry.body_memory.bodies)

    async def test_body_of_a_refusal_is_not_read(self):
        """Guards against reading what no caller gets."""
        system = await _start(self, engines=0, plain=1)
        system.targets["plain-0"].always = Fault.ENDLESS_REFUSAL
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 503)
        await _until_closed(system)

    async def test_repeatable_request_is_served_by_another_target(self):
        """Guards against a failure that ends a request that may be repeated."""
        system = await _start(self, engines=0, plain=2)
        bad = system.targets["plain-0"]
        bad.always = Fault.ENDLESS_BODY
        while not bad.seen:
            answer = await fixtures.call(system, "/read/x")
            self.assertEqual(answer.status, 200)
        self.assertIn("plain-0", system.fronts[0].entry.health)

    async def test_caller_that_leaves_ends_it(self):
        """Guards against reading on for a caller that has left."""
        system = await _start(self, engines=1, plain=1)
        for name, path, fault in (
            ("plain-0", "/write/x", Fault.MUTE),
            ("engine-0", "/once/x", Fault.ENDLESS_EVENTS),
        ):
            target = system.targets[name]
            target.always = fault
            prompt = 4000 if name == "engine-0" else 0
            task = asyncio.ensure_future(
                fixtures.call(system, path, prompt=prompt)
            )
            await fixtures.until(lambda t=target: t.running)
            await asyncio.sleep(0.1)
            task.cancel()
            await _until_closed(system)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_that_never_ends_is_cut_visibly(self):
        """Guards against garbage that a caller takes for a whole stream."""
        system = await _start(self, engines=2, plain=0)
        for target in system.targets.values():
            target.always = Fault.ENDLESS_EVENTS
        answer = await fixtures.call(system, "/chat/x", prompt=4000)
        self.assertFalse(answer.complete)
        self.assertEqual(_count(system, "stream"), 1)
        self.assertEqual(sum(len(t.seen) for t in system.targets.values()), 1)
        await _until_closed(system)

    async def test_event_that_never_ends_is_served_by_another_target(self):
        """Guards against a buffer that grows until the event is complete."""
        system = await _start(self, engines=2, plain=0)
        bad = system.targets["engine-0"]
        bad.always = Fault.ENDLESS_EVENT
        while not bad.seen:
            answer = await fixtures.call(system, "/chat/x", prompt=4000)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.status, 200)
        self.assertEqual(_count(system, "event"), 1)
        await _until_closed(system)


class OtherAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_to_orders_are_bounded(self):
        """Guards against an answer to an order that is read without end."""
        system = await _start(self, engines=2, plain=0)
        await fixtures.add_long_route(system, timeout_ms=3000)
        for fault in (Fault.ENDLESS_BODY, Fault.ENDLESS_HEAD):
            with self.subTest(fault):
                for target in system.targets.values():
                    target.other_answers = fault
                await fixtures.call(
                    system, "/long/x", prompt=500_000, wait_ms=1500
                )
                await _until_closed(system)
        self.assertGreater(_count(system, "lines"), 0)
