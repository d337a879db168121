"""Detects answers that stall although their connection stays open.

A half-open connection delivers neither data nor an error. Without a timeout the
caller would wait until its time limit, although the engine still holds the
answer and it could be resumed over another connection.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

__all__ = ["detect_stalls"]

_CHECKS_PER_LIMIT = 4


class _ReadState:
    """The state of the current read.

    Attributes:
        waiting_since: Monotonic time at which the current read started, in
            seconds; infinite between reads.
        started: Whether the answer has started.
        timer: Timer of the next check.
    """

    def __init__(self, started: bool):
        self.waiting_since = float("inf")
        self.started = started
        self.timer: asyncio.TimerHandle | None = None


@contextlib.contextmanager
def detect_stalls(
    read: Callable[[], Awaitable[bytes]],
    stop: Callable[[], None],
    *,
    limit_s: float,
    started: bool,
) -> Iterator[Callable[[], Awaitable[bytes]]]:
    """Yields a read function that replaces `read` and detects stalls.

    A periodic check costs less than a timer for each read. The time between
    two reads does not count.

    Args:
        read: Returns bytes as soon as there are any.
        stop: Called when a read has stalled; must make that read return or
            raise.
        limit_s: Maximum duration of a read, in seconds.
        started: Whether the answer has already started. If not, the first read
            has no limit, since queueing and prefill may take minutes.
    """
    loop = asyncio.get_running_loop()
    state = _ReadState(started)

    async def timed_read() -> bytes:
        state.waiting_since = loop.time()
        data = await read()
        state.waiting_since = float("inf")
        state.started = True
        return data

    def check() -> None:
        if state.started and loop.time() - state.waiting_since >= limit_s:
            stop()
            return
        state.timer = loop.call_later(limit_s / _CHECKS_PER_LIMIT, check)

    check()
    try:
        yield timed_read
    finally:
        state.timer.cancel()
