"""The time limit holds also where a cancellation is lost on the way."""

import asyncio
import time
import unittest

from copperloom import exception
from copperloom.filters import deadline


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    async def test_cancellation_taken_by_another(self):
        """A library takes the cancellation for that of its own time limit.

        The work then waits for something that never comes. The caller still
        gets its outcome, and the task can send it.
        """

        async def work() -> None:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                asyncio.current_task().uncancel()
            await asyncio.sleep(60)

        begun = time.monotonic()
        limit = deadline.Deadline(begun + 0.05)
        with self.assertRaises(exception.TimeLimitPassedError):
            await deadline.within(limit, work())
        self.assertLess(time.monotonic() - begun, 10)
        await asyncio.sleep(0.15)

    async def test_caller_gone(self):
        """A cancellation that is not the limit's own goes through."""
        reached = asyncio.Event()

        async def request() -> None:
            limit = deadline.Deadline(time.monotonic() + 60)
            reached.set()
            await deadline.within(limit, asyncio.sleep(60))

        task = asyncio.create_task(request())
        await reached.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_rescheduled(self):
        limit = deadline.Deadline(time.monotonic() + 60)
        limit.reschedule(time.monotonic() - 1)
        with self.assertRaises(exception.TimeLimitPassedError):
            await deadline.within(limit, asyncio.sleep(60))


if __name__ == "__main__":
    unittest.main()
