"""Tests of time limits, also when a cancellation is swallowed."""

import asyncio
import time
import unittest

from copperloom import exception
from copperloom.filters import deadline


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    async def test_swallowed_cancellation_is_repeated(self):
        """A request whose cancellation a library swallows must still end.

        The task must then be able to send the outcome.
        """

        async def work() -> None:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                asyncio.current_task().uncancel()
            await asyncio.sleep(60)

        started_at = time.monotonic()
        limit = deadline.Deadline(started_at + 0.05)
        with self.assertRaises(exception.TimeLimitPassedError):
            await deadline.within(limit, work())
        self.assertLess(time.monotonic() - started_at, 10)
        await asyncio.sleep(0.15)

    async def test_other_cancellation_is_passed_on(self):
        """A cancellation by others must not be reported as a timeout."""
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

    async def test_rescheduled_deadline_expires(self):
        limit = deadline.Deadline(time.monotonic() + 60)
        limit.reschedule(time.monotonic() - 1)
        with self.assertRaises(exception.TimeLimitPassedError):
            await deadline.within(limit, asyncio.sleep(60))


if __name__ == "__main__":
    unittest.main()
