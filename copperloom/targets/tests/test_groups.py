"""Tests of prompts that are run on a group of engines."""

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
    """A prompt of 20,000 tokens on engines with memory for 10,000 each."""

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
        placement = engines.placement(list(self.engines), _TOKENS)
        req = fixtures.ask(
            "s", prompt_tokens=sum(_TOKENS), max_tokens=max_tokens
        )
        return groups.open_group(self.state, placement, req, timeout_s=_LIMIT_S)

    def _used_tokens(self) -> list[int]:
        return [e.truth()["kv_used"] for e in self.engines.values()]

    async def _wait_until_memory_is_free(self):
        await fixtures.wait_until(lambda: not any(self._used_tokens()))

    async def test_answer_is_complete(self):
        await self._start()
        text = await fixtures.read_all(self._open())
        messages = fixtures.ask("s").messages
        self.assertEqual(text, answers.whole("org", "chat", messages, 20))
        await self._wait_until_memory_is_free()

    async def test_parts_are_held_while_the_lead_decodes(self):
        """Parts must not be cancelled as orphaned while the lead decodes."""
        await self._start(time_scale=10.0)
        pieces = self._open(max_tokens=2000)
        await anext(pieces)
        await asyncio.sleep(engines.DEAD_S)
        infos = await self.state.targets.streams(
            self.addresses["g1"], timeout_s=_LIMIT_S
        )
        self.assertLess(infos[0].idle_s, engines.DEAD_S)
        self.assertEqual(self._used_tokens()[1:], [8000, 8000])
        await pieces.aclose()
        await self._wait_until_memory_is_free()
        # The lead must also be cancelled by name, not only for lack of a part.
        lead = self.engines["g0"]
        await fixtures.wait_until(lambda: "s" in lead.truth()["cancelled"])

    async def test_refused_part_frees_the_others(self):
        """If one engine refuses its part, the other parts must be freed."""
        await self._start(time_scale=5.0)
        await control.control(self.addresses["g2"], refuse_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(self._open())
        self.assertEqual(self.engines["g0"].truth()["runs"], [])
        await self._wait_until_memory_is_free()

    async def test_part_with_a_lost_reply_is_cancelled(self):
        """A part whose reply is lost must be cancelled by its name.

        It would otherwise occupy memory permanently.
        """
        await self._start(time_scale=5.0)
        await control.control(self.addresses["g2"], drop_reply_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(self._open())
        await self._wait_until_memory_is_free()

    async def test_lost_part_breaks_the_answer(self):
        """An answer whose part is lost must not appear to be complete."""
        await self._start(time_scale=10.0)
        pieces = self._open(max_tokens=2000)
        await anext(pieces)
        await control.control(self.addresses["g1"], die=0.1)
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(pieces)
        await self._wait_until_memory_is_free()

    async def test_broken_lead_stream_is_resumed(self):
        await self._start(time_scale=10.0)
        proxy = await fixtures.start_proxy(self, self.addresses["g0"])
        target = self.state.cfg.targets["g0"]
        object.__setattr__(target, "address", proxy.addresses["p"])
        pieces = self._open(max_tokens=200)
        received = await anext(pieces)
        await control.control(proxy.addresses["listen"], reset=True)
        text = "".join(piece.text for piece in received)
        text += await fixtures.read_all(pieces)
        messages = fixtures.ask("s").messages
        self.assertEqual(text, answers.whole("org", "chat", messages, 200))
        await self._wait_until_memory_is_free()

    async def test_disconnect_of_the_caller_frees_the_memory(self):
        await self._start(time_scale=5.0)
        task = asyncio.create_task(fixtures.read_all(self._open()))
        await fixtures.wait_until(lambda: any(self._used_tokens()))
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await self._wait_until_memory_is_free()
