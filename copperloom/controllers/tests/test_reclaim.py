"""Tests that engine memory is freed, according to the engines themselves."""

import asyncio
import unittest

from copperloom import exception
from copperloom.controllers import orphans, reclaim
from copperloom.controllers.tests import engines
from copperloom.standins import control
from copperloom.standins.tests import fixtures
from copperloom.targets import interface

_TIMEOUT_S = 10.0
# No answer of this length ends during a test.
_LONG = {"max_tokens": 100_000, "prompt_tokens": 10}
_SLOW = {"time_scale": 1.0}


def _kv_used(server) -> int:
    return server.truth()["kv_used"]


async def _step_until(state, condition) -> None:
    """Runs steps of the controller until a condition holds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + _TIMEOUT_S
    while not condition():
        if loop.time() > end:
            raise AssertionError("condition did not hold within the timeout")
        await reclaim.step(state, loop.time())
        await asyncio.sleep(0.05)


class CancelTest(unittest.IsolatedAsyncioTestCase):
    """Cancels of the entry's own streams."""

    async def asyncSetUp(self):
        self.engine = await fixtures.start_engine(self, **_SLOW)
        self.proxy = await fixtures.start_proxy(
            self, self.engine.addresses["listen"]
        )
        self.address = self.proxy.addresses["p"]
        self.state = await engines.entry_state(self, {"g0": self.address})

    def _open(self, stream="s"):
        req = fixtures.ask(stream, **_LONG)
        return self.state.targets.open(self.address, req, timeout_s=_TIMEOUT_S)

    async def _fault(self, **changes):
        await control.control(self.proxy.addresses["listen"], **changes)

    async def test_stream_is_cancelled_after_a_lost_reply(self):
        # Guards against a leak when the engine has opened the stream but the
        # connection breaks before the first byte of its reply.
        await control.control(
            self.engine.addresses["listen"], drop_reply_next=1
        )
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(self._open())
        await fixtures.wait_until(lambda: _kv_used(self.engine))
        reclaim.cancel(self.state, self.address, "s")
        await fixtures.wait_until(lambda: not _kv_used(self.engine))

    async def test_cancel_is_tried_until_the_engine_confirms(self):
        # Guards against a leak when the engine is unreachable at first and its
        # replies are lost afterwards.
        pieces = self._open()
        await anext(pieces)
        await self._fault(refuse=True, reset=True)
        await pieces.aclose()
        reclaim.cancel(self.state, self.address, "s")
        await fixtures.wait_until(
            lambda: self.state.cancels.engines[self.address].failures
        )
        self.assertTrue(_kv_used(self.engine))
        await self._fault(refuse=False, cut_down_after=0)
        await _step_until(self.state, lambda: not _kv_used(self.engine))
        await self._fault(cut_down_after=-1)
        await _step_until(self.state, lambda: not self.state.cancels.engines)

    async def test_stream_does_not_start_after_its_cancel(self):
        # Guards against a leak when the cancel overtakes a delayed request on
        # another connection.
        await self._fault(hold_up=True)
        opening = asyncio.create_task(fixtures.read_all(self._open()))
        await fixtures.wait_until(
            lambda: self.proxy.truth()["p"]["accepted"] == 1
        )
        direct = self.engine.addresses["listen"]
        reclaim.cancel(self.state, direct, "s")
        await fixtures.wait_until(lambda: not self.state.cancels.engines)
        await self._fault(hold_up=False)
        with self.assertRaises(exception.TargetRefusedError):
            await opening
        self.assertEqual(self.engine.truth()["runs"], [])
        self.assertEqual(_kv_used(self.engine), 0)

    async def test_restarted_engine_confirms_cancels(self):
        # Guards against endless retries at a restarted engine, which does not
        # know the stream any more.
        pieces = self._open()
        await anext(pieces)
        await control.control(self.engine.addresses["listen"], die=0.3)
        await pieces.aclose()
        reclaim.cancel(self.state, self.address, "s")
        await _step_until(self.state, lambda: not self.state.cancels.engines)
        self.assertEqual(_kv_used(self.engine), 0)

    async def test_cancels_are_dropped_for_a_removed_engine(self):
        await self._fault(refuse=True, reset=True)
        reclaim.cancel(self.state, self.address, "s")
        pending = self.state.cancels.engines[self.address]
        await fixtures.wait_until(lambda: pending.failures)
        later = asyncio.get_running_loop().time() + 100
        await reclaim.step(self.state, later)
        self.assertTrue(self.state.cancels.engines)
        self.state.cfg.targets.clear()
        await reclaim.step(self.state, later)
        self.assertFalse(self.state.cancels.engines)


class OrphanTest(unittest.IsolatedAsyncioTestCase):
    """Streams of dead entries."""

    async def test_streams_of_a_dead_entry_are_cancelled(self):
        # Guards against a leak when an entry dies with open streams, and
        # against the cancel of a stream that still has a reader.
        engine = await fixtures.start_engine(self, **_SLOW)
        address = engine.addresses["listen"]
        state = await engines.entry_state(self, {"g0": address})
        left = fixtures.ask("left", owner="e9.b9", **_LONG)
        kept = fixtures.ask("kept", owner="e8.b8", **_LONG)
        sources = [
            state.targets.open(address, req, timeout_s=_TIMEOUT_S)
            for req in (left, kept)
        ]
        for source in sources:
            await anext(source)
        await reclaim.step(state, 0.0)
        await sources[0].aclose()
        self.assertEqual(engine.truth()["streams"]["left"], "decode")
        await _step_until(
            state, lambda: engine.truth()["streams"]["left"] == "cancelled"
        )
        self.assertEqual(engine.truth()["streams"]["kept"], "decode")
        await sources[1].aclose()
        await _step_until(state, lambda: not _kv_used(engine))

    async def test_stream_of_an_earlier_boot_is_cancelled(self):
        # Guards against a leak after a crash of the instance: the engine still
        # counts its old connection as a reader.
        engine = await fixtures.start_engine(self, **_SLOW)
        address = engine.addresses["listen"]
        state = await engines.entry_state(self, {"g0": address})
        req = fixtures.ask("s", owner="e0.old", **_LONG)
        source = state.targets.open(address, req, timeout_s=_TIMEOUT_S)
        await anext(source)
        await _step_until(state, lambda: not _kv_used(engine))
        await source.aclose()

    def test_conditions_of_an_orphan(self):
        # This entry has received messages since 0.
        def orphan(*, attached=False, idle_s=50.0, received=(), now=100.0):
            owners = orphans.OwnerBoots(0.0)
            for boot, at in received:
                orphans.record(owners, "e", boot, at)
            info = interface.StreamInfo("s", "e.old", 10, attached, idle_s)
            return orphans.is_orphan(owners, info, now, dead_s=15.0)

        self.assertTrue(orphan())
        self.assertFalse(orphan(idle_s=14.0))
        self.assertFalse(orphan(received=[("old", 90.0)]))
        self.assertTrue(orphan(received=[("old", 80.0)]))
        # This entry has started less than dead_s ago.
        self.assertFalse(orphan(now=14.0))
        # With a reader: only if another boot has replaced the owner.
        self.assertFalse(orphan(attached=True))
        self.assertFalse(orphan(attached=True, received=[("new", 99.0)]))
        replaced = [("old", 10.0), ("new", 80.0), ("new", 99.0)]
        self.assertTrue(orphan(attached=True, received=replaced))
        self.assertTrue(orphan(received=replaced))
        # The old boot was only paused, so both may be alive.
        resumed = [*replaced, ("old", 99.5)]
        self.assertFalse(orphan(attached=True, received=resumed))
        # The new boot is silent too, so it may not have replaced the old one.
        silent = [("old", 10.0), ("new", 40.0), ("new", 60.0)]
        self.assertFalse(orphan(attached=True, received=silent))
