"""The time limit that a request runs under.

`asyncio.timeout` cancels its task once. A library below that has a time limit
of its own may take that one cancellation for its own: aiohttp's client does
when both end in the same turn of the loop, as they do after a pause of the
process. The request would then run on with no limit at all, and its caller
would wait for ever. Here the task is cancelled again until it ends.
"""

import asyncio
from collections.abc import Awaitable

from copperloom import exception

__all__ = ["Deadline", "within"]

# Far below the precision that callers set limits with, far above the time
# that a task needs to end after it is cancelled.
_AGAIN_S = 0.05


class Deadline:
    """The timer of one request.

    Attributes:
        task: The request's task.
        timer: What will fire next.
        fired: Whether the limit has passed.
    """

    def __init__(self, when: float):
        self.task = asyncio.current_task()
        self.fired = False
        self.timer = asyncio.get_running_loop().call_at(when, self._fire)

    def reschedule(self, when: float) -> None:
        """Moves the limit to another monotonic time, in seconds."""
        self.stop()
        self.timer = asyncio.get_running_loop().call_at(when, self._fire)

    def expired(self) -> bool:
        """Whether the limit has passed."""
        return self.fired

    def stop(self) -> None:
        """Stops the timer."""
        self.timer.cancel()

    def _fire(self) -> None:
        self.fired = True
        self.task.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(_AGAIN_S, self._fire)


async def within(limit: Deadline, work: Awaitable[None]) -> None:
    """Waits for some work of the current task, up to the limit.

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
            _uncancel(limit.task)


def _uncancel(task: asyncio.Task) -> None:
    """Makes the task fit to send its outcome."""
    while task.cancelling():
        task.uncancel()
