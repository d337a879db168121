"""Tests when instances send digests of their work to each other."""

import asyncio
import unittest

from copperloom.decisions import inflight, inflight_table
from copperloom.ingress import gossip, state
from copperloom.ingress.tests import fixtures

_WORK = inflight.Work("engine-1", 0.1, True, 5000, 0.25, 0.0)
# Cycles of the event loop that a task takes to react to an event.
_LOOP_CYCLES = 5
_MARGIN_S = 0.05


class _Transport:
    """Records the datagrams sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((data, address))


class UnreadableTest(unittest.IsolatedAsyncioTestCase):
    async def test_deeply_nested_datagrams(self):
        """Guards against an error that no handler of the loop catches."""
        own = fixtures.own_settings("127.0.0.1", "127.0.0.1:1")
        protocol = gossip.Gossip(state.IngressState(own), "127.0.0.1:17340")
        for data in (
            b"\x91" * 50_000,
            b"\x81\xa1a" + b"\x91" * 50_000,
            b"\x81\xa1a" * 10_000,
        ):
            with self.subTest(data[:4]):
                protocol.datagram_received(data, ("127.0.0.1", 1))


class DigestScheduleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        own = fixtures.own_settings("127.0.0.1", "127.0.0.1:1")
        self.entry = state.IngressState(own)
        now = asyncio.get_running_loop().time()
        peer = state.Member("peer", "127.0.0.2:17340", "", now)
        self.entry.members["peer"] = peer
        protocol = gossip.Gossip(self.entry, "127.0.0.1:17340")
        protocol.transport = self.transport = _Transport()
        task = asyncio.ensure_future(gossip.run(protocol))
        self.addCleanup(task.cancel)
        await self._run_loop()

    async def _run_loop(self):
        for _ in range(_LOOP_CYCLES):
            await asyncio.sleep(0)

    async def test_added_work_is_sent_at_once(self):
        """Guards against two prompts for the last free slot of an engine.

        Two instances may place them within milliseconds of each other.
        """
        self.assertEqual(self.transport.sent, [])
        inflight_table.begin(self.entry.inflight, "q1", [_WORK])
        await self._run_loop()
        self.assertEqual(len(self.transport.sent), 1)

    async def test_changes_in_quick_succession_share_a_digest(self):
        """Guards against one datagram for each request of a burst."""
        inflight_table.begin(self.entry.inflight, "first", [_WORK])
        await self._run_loop()
        for number in range(10):
            inflight_table.begin(self.entry.inflight, f"q{number}", [_WORK])
        await asyncio.sleep(_MARGIN_S)
        self.assertEqual(len(self.transport.sent), 2)

    async def test_minor_changes_are_sent_after_a_delay(self):
        """Guards against a datagram at each first token and end of work."""
        inflight_table.begin(self.entry.inflight, "q1", [_WORK])
        await asyncio.sleep(_MARGIN_S)
        self.transport.sent.clear()
        inflight_table.mark_decoding(self.entry.inflight, "q1")
        inflight_table.end(self.entry.inflight, "q1")
        await self._run_loop()
        self.assertEqual(self.transport.sent, [])
        await asyncio.sleep(gossip.MINOR_CHANGE_DELAY_S + _MARGIN_S)
        self.assertEqual(len(self.transport.sent), 1)

    async def test_nothing_is_sent_without_a_change(self):
        await asyncio.sleep(_MARGIN_S)
        self.assertEqual(self.transport.sent, [])
