"""Engines get their memory back, by their own count."""

import asyncio
import unittest

from copperloom import exception
from copperloom.controllers import orphans, reclaim
from copperloom.controllers.tests import engines
from copperloom.standins import control
from copperloom.standins.tests import fixtures
from copperloom.targets import interface

_LIMIT_S = 10.0
# Long enough that no answer ends by itself within a test.
_LONG = {"max_tokens": 100_000, "prompt_tokens": 10}
_SLOW = {"time_scale": 1.0}


def _used(server) -> int:
    return server.truth()["kv_used"]


async def _steps(state, until) -> None:
    """Runs the controller as the entry does, until a condition holds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + _LIMIT_S
    while not until():
        if loop.time() > end:
            raise AssertionError("did not come true in time")
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
        return self.state.targets.open(self.address, req, timeout_s=_LIMIT_S)

    async def _fault(self, **changes):
        await control.control(self.proxy.addresses["listen"], **changes)

    async def test_lost_reply(self):
        # The engine takes the stream and the connection breaks before a byte
        # of the reply. The caller gets "may have run", and the stream, whose
        # name the entry chose, is cancelled all the same.
        await control.control(
            self.engine.addresses["listen"], drop_reply_next=1
        )
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(self._open())
        await fixtures.wait_until(lambda: _used(self.engine))
        reclaim.cancel(self.state, self.address, "s")
        await fixtures.wait_until(lambda: not _used(self.engine))

    async def test_cancel_is_tried_until_the_engine_confirms(self):
        # The engine cannot be reached when the caller goes away, then only
        # its replies are lost. One try would leave the memory taken.
        pieces = self._open()
        await anext(pieces)
        await self._fault(refuse=True, reset=True)
        await pieces.aclose()
        reclaim.cancel(self.state, self.address, "s")
        await fixtures.wait_until(
            lambda: self.state.cancels.engines[self.address].failures
        )
        self.assertTrue(_used(self.engine))
        await self._fault(refuse=False, cut_down_after=0)
        await _steps(self.state, lambda: not _used(self.engine))
        await self._fault(cut_down_after=-1)
        await _steps(self.state, lambda: not self.state.cancels.engines)

    async def test_cancel_that_overtakes_its_start(self):
        # The request hangs in the network when its time limit passes. Its
        # cancel comes first by another connection; the start comes after it.
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
        self.assertEqual(_used(self.engine), 0)

    async def test_engine_that_restarted_confirms(self):
        # The engine loses everything and comes back under its address. The
        # cancel of a stream that it does not know must not be tried for ever.
        pieces = self._open()
        await anext(pieces)
        await control.control(self.engine.addresses["listen"], die=0.3)
        await pieces.aclose()
        reclaim.cancel(self.state, self.address, "s")
        await _steps(self.state, lambda: not self.state.cancels.engines)
        self.assertEqual(_used(self.engine), 0)

    async def test_engine_that_is_gone_is_given_up(self):
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
    """Streams of entries that are gone."""

    async def test_streams_left_behind(self):
        # An entry dies with streams open. The engine goes on with them; what
        # is read by another entry by now, or was a moment ago, stays.
        engine = await fixtures.start_engine(self, **_SLOW)
        address = engine.addresses["listen"]
        state = await engines.entry_state(self, {"g0": address})
        left = fixtures.ask("left", owner="e9.b9", **_LONG)
        kept = fixtures.ask("kept", owner="e8.b8", **_LONG)
        sources = [
            state.targets.open(address, req, timeout_s=_LIMIT_S)
            for req in (left, kept)
        ]
        for source in sources:
            await anext(source)
        await reclaim.step(state, 0.0)
        await sources[0].aclose()
        self.assertEqual(engine.truth()["streams"]["left"], "decode")
        await _steps(
            state, lambda: engine.truth()["streams"]["left"] == "cancelled"
        )
        self.assertEqual(engine.truth()["streams"]["kept"], "decode")
        await sources[1].aclose()
        await _steps(state, lambda: not _used(engine))

    async def test_connection_left_by_an_earlier_boot(self):
        # The machine of this instance vanished without a word and came back.
        # The engine still counts the old connection as a reader.
        engine = await fixtures.start_engine(self, **_SLOW)
        address = engine.addresses["listen"]
        state = await engines.entry_state(self, {"g0": address})
        req = fixtures.ask("s", owner="e0.old", **_LONG)
        source = state.targets.open(address, req, timeout_s=_LIMIT_S)
        await anext(source)
        await _steps(state, lambda: not _used(engine))
        await source.aclose()

    def test_conditions(self):
        # Times: this entry listens since 0; it is 100 now; gone after 15 s.
        def orphan(*, attached=False, idle_s=50.0, heard=(), now=100.0):
            owners = orphans.Owners(0.0)
            for boot, at in heard:
                orphans.note(owners, "e", boot, at)
            info = interface.StreamInfo("s", "e.old", 10, attached, idle_s)
            return orphans.is_orphan(owners, info, now, dead_s=15.0)

        self.assertTrue(orphan())
        self.assertFalse(orphan(idle_s=14.0))
        self.assertFalse(orphan(heard=[("old", 90.0)]))
        self.assertTrue(orphan(heard=[("old", 80.0)]))
        # This entry has only just begun to listen.
        self.assertFalse(orphan(now=14.0))
        # Read by somebody: only if another boot took its place for good.
        self.assertFalse(orphan(attached=True))
        self.assertFalse(orphan(attached=True, heard=[("new", 99.0)]))
        replaced = [("old", 10.0), ("new", 80.0), ("new", 99.0)]
        self.assertTrue(orphan(attached=True, heard=replaced))
        self.assertTrue(orphan(heard=replaced))
        # A paused process woke up under its old boot: both may be alive.
        woken = [*replaced, ("old", 99.5)]
        self.assertFalse(orphan(attached=True, heard=woken))
        # The new boot is silent too, so it proves nothing any more.
        silent = [("old", 10.0), ("new", 40.0), ("new", 60.0)]
        self.assertFalse(orphan(attached=True, heard=silent))
