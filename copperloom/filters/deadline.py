"""Enforces the time limit of a request.

`asyncio.timeout` cancels its task once. A library with a timeout of its own may
swallow that cancellation: aiohttp's client does when both timeouts expire in
the same iteration of the event loop, which happens after the process was
suspended. The request would then run without any limit. A `Deadline` cancels
the task repeatedly until it ends.
"""

import asyncio
from collections.abc import Awaitable

from copperloom import exception

__all__ = ["Deadline", "within"]

# Short compared with the limits that callers set, long compared with the time
# that a cancelled task needs to end.
_CANCEL_INTERVAL_S = 0.05


class Deadline:
    """A timer that cancels the current task at its time limit.

    Attributes:
        task: The task that processes the request.
        timer: Handle of the next call of the event loop.
        fired: Whether the limit has passed.
    """

    def __init__(self, when: float):
        self.task = asyncio.current_task()
        self.fired = False
        self.timer = asyncio.get_running_loop().call_at(when, self._fire)

    def reschedule(self, when: float) -> None:
        """Moves the limit to another monotonic time in seconds."""
        self.stop()
        self.timer = asyncio.get_running_loop().call_at(when, self._fire)

    def expired(self) -> bool:
        """Returns whether the limit has passed."""
        return self.fired

    def stop(self) -> None:
        """Stops the timer."""
        self.timer.cancel()

    def _fire(self) -> None:
        self.fired = True
        self.task.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(_CANCEL_INTERVAL_S, self._fire)


async def within(limit: Deadline, work: Awaitable[None]) -> None:
    """Awaits work in the current task, up to its time limit.

    Raises:
        copperloom.exception.TimeLimitPassedError: The limit passed first.
    """
    try:
        await work
    except asyncio.CancelledError as error:
        if not limit.fired:
            raise
        raise exception.TimeLimitPassedError from error
    finally:
        limit.stop()
        if limit.fired:
            _clear_cancellations(limit.task)


def _clear_cancellations(task: asyncio.Task) -> None:
    """Clears the cancellations, so that the task can send its outcome."""
    while task.cancelling():
        task.uncancel()
