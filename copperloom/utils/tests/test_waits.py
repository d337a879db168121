"""Tests of waits that a slow event loop does not cut short."""

import asyncio
import time
import unittest

from copperloom.utils import waits

_TIMEOUT_S = 0.2
_BLOCKED_S = 0.3


class WaitTest(unittest.IsolatedAsyncioTestCase):
    async def test_blocked_loop_is_not_taken_for_silence(self):
        """Guards against calling peers silent whose replies were not read."""
        loop = asyncio.get_running_loop()
        reply = loop.create_future()
        loop.call_later(_TIMEOUT_S / 2, reply.set_result, None)
        loop.call_soon(time.sleep, _BLOCKED_S)
        task = asyncio.ensure_future(_receive(reply))
        self.assertTrue(await waits.wait(task, _TIMEOUT_S))

    async def test_silent_task_is_cancelled_after_the_timeout(self):
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(_receive(loop.create_future()))
        begun = loop.time()
        self.assertFalse(await waits.wait(task, _TIMEOUT_S))
        self.assertGreaterEqual(loop.time() - begun, _TIMEOUT_S)
        await asyncio.wait({task})
        self.assertTrue(task.cancelled())

    async def test_cancelled_wait_cancels_the_task(self):
        reply = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(_receive(reply))
        waiting = asyncio.ensure_future(waits.wait(task, _TIMEOUT_S))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.wait({task, waiting})
        self.assertTrue(task.cancelled())


async def _receive(reply: asyncio.Future) -> None:
    await reply
