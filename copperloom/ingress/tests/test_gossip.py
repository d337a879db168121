"""What instances tell each other of their work, and when."""

import asyncio
import unittest

from copperloom.decisions import inflight, inflight_table
from copperloom.ingress import gossip, state
from copperloom.ingress.tests import fixtures

_WORK = inflight.Work("engine-1", 0.1, True, 5000, 0.25, 0.0)
# Turns of the loop that a task takes to notice an event and act on it.
_TURNS = 5
_BESIDE_S = 0.05


class _Transport:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((data, address))


class TellTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        own = fixtures.own_settings("127.0.0.1", "127.0.0.1:1")
        self.entry = state.IngressState(own)
        now = asyncio.get_running_loop().time()
        peer = state.Member("peer", "127.0.0.2:17340", "", now)
        self.entry.members["peer"] = peer
        told = gossip.Gossip(self.entry, "127.0.0.1:17340")
        told.transport = self.transport = _Transport()
        task = asyncio.ensure_future(gossip.run(told))
        self.addCleanup(task.cancel)
        await self._turns()

    async def _turns(self):
        for _ in range(_TURNS):
            await asyncio.sleep(0)

    async def test_change_is_told_at_once(self):
        """Two instances place a prompt within some milliseconds.

        The second one must know of the first: else both take the last slot of
        one engine, and one caller waits there for seconds.
        """
        self.assertEqual(self.transport.sent, [])
        inflight_table.begin(self.entry.inflight, "q1", [_WORK])
        await self._turns()
        self.assertEqual(len(self.transport.sent), 1)

    async def test_changes_that_follow_go_out_together(self):
        """A crowd comes: a datagram for each request would cost too much."""
        inflight_table.begin(self.entry.inflight, "first", [_WORK])
        await self._turns()
        for number in range(10):
            inflight_table.begin(self.entry.inflight, f"q{number}", [_WORK])
        await asyncio.sleep(_BESIDE_S)
        self.assertEqual(len(self.transport.sent), 2)

    async def test_lesser_changes_go_out_soon(self):
        """An answer ends: others may place there, but not this instant."""
        inflight_table.begin(self.entry.inflight, "q1", [_WORK])
        await asyncio.sleep(_BESIDE_S)
        self.transport.sent.clear()
        inflight_table.mark_decoding(self.entry.inflight, "q1")
        inflight_table.end(self.entry.inflight, "q1")
        await self._turns()
        self.assertEqual(self.transport.sent, [])
        await asyncio.sleep(gossip.MINOR_CHANGE_DELAY_S + _BESIDE_S)
        self.assertEqual(len(self.transport.sent), 1)

    async def test_nothing_is_told_without_a_change(self):
        await asyncio.sleep(_BESIDE_S)
        self.assertEqual(self.transport.sent, [])
