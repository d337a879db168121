"""Prompts over several engines: whole answers, and all memory back."""

import asyncio
import contextlib
import unittest

from copperloom import exception
from copperloom.controllers.tests import engines
from copperloom.standins import answers, control
from copperloom.standins.tests import fixtures
from copperloom.targets import groups

_LIMIT_S = 10.0
_TOKENS = [4000, 8000, 8000]


class GroupTest(unittest.IsolatedAsyncioTestCase):
    """A prompt of 20,000 tokens before engines of 10,000 each."""

    async def _start(self, **changes):
        self.engines = await engines.start_engines(
            self, 3, kv_tokens=10_000, **changes
        )
        self.addresses = {
            name: server.addresses["listen"]
            for name, server in self.engines.items()
        }
        self.state = await engines.entry_state(self, self.addresses)

    def _open(self, max_tokens=20):
        placed = engines.placement(list(self.engines), _TOKENS)
        req = fixtures.ask(
            "s", prompt_tokens=sum(_TOKENS), max_tokens=max_tokens
        )
        return groups.open_group(self.state, placed, req, timeout_s=_LIMIT_S)

    def _used(self) -> list[int]:
        return [e.truth()["kv_used"] for e in self.engines.values()]

    async def _all_comes_back(self):
        await fixtures.wait_until(lambda: not any(self._used()))

    async def test_whole_answer(self):
        await self._start()
        text = await fixtures.read_all(self._open())
        messages = fixtures.ask("s").messages
        self.assertEqual(text, answers.whole("org", "chat", messages, 20))
        await self._all_comes_back()

    async def test_all_parts_hold_while_it_runs(self):
        # Longer than the time after which a part that nobody reads counts as
        # left behind: the touches are what keep it.
        await self._start(time_scale=10.0)
        pieces = self._open(max_tokens=2000)
        await anext(pieces)
        await asyncio.sleep(engines.DEAD_S)
        infos = await self.state.targets.streams(
            self.addresses["g1"], timeout_s=_LIMIT_S
        )
        self.assertLess(infos[0].idle_s, engines.DEAD_S)
        self.assertEqual(self._used()[1:], [8000, 8000])
        await pieces.aclose()
        await self._all_comes_back()
        # The lead too by its name, not only since its engine missed a part.
        lead = self.engines["g0"]
        await fixtures.wait_until(lambda: "s" in lead.truth()["cancelled"])

    async def test_one_part_is_refused(self):
        # Two parts are being filled when the third engine refuses: not run,
        # and what was filled is given back.
        await self._start(time_scale=5.0)
        await control.control(self.addresses["g2"], refuse_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(self._open())
        self.assertEqual(self.engines["g0"].truth()["runs"], [])
        await self._all_comes_back()

    async def test_reply_of_a_part_is_lost(self):
        # The engine takes the part and breaks off before it answers. Without
        # a cancel by its name the part would hold its memory for ever.
        await self._start(time_scale=5.0)
        await control.control(self.addresses["g2"], drop_reply_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(self._open())
        await self._all_comes_back()

    async def test_part_is_lost_while_the_lead_runs(self):
        # An engine with a part restarts; the lead's engine notices and ends
        # the answer, which the caller must not take for whole.
        await self._start(time_scale=10.0)
        pieces = self._open(max_tokens=2000)
        await anext(pieces)
        await control.control(self.addresses["g1"], die=0.1)
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(pieces)
        await self._all_comes_back()

    async def test_cut_of_the_lead_is_resumed(self):
        await self._start(time_scale=10.0)
        proxy = await fixtures.start_proxy(self, self.addresses["g0"])
        target = self.state.cfg.targets["g0"]
        object.__setattr__(target, "address", proxy.addresses["p"])
        pieces = self._open(max_tokens=200)
        got = await anext(pieces)
        await control.control(proxy.addresses["listen"], reset=True)
        text = "".join(piece.text for piece in got)
        text += await fixtures.read_all(pieces)
        messages = fixtures.ask("s").messages
        self.assertEqual(text, answers.whole("org", "chat", messages, 200))
        await self._all_comes_back()

    async def test_caller_goes_away(self):
        await self._start(time_scale=5.0)
        task = asyncio.create_task(fixtures.read_all(self._open()))
        await fixtures.wait_until(lambda: any(self._used()))
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await self._all_comes_back()
