"""Ends an answer that stands still although its connection does not break.

A connection whose other end is gone without a word (half-open) brings neither
bytes nor an end. Without this the caller would wait until its time limit,
while the engine still has the answer and another connection would bring it.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

__all__ = ["watch"]

_LOOKS = 4


class _Wait:
    """Since when a read waits, and whether the answer has begun."""

    def __init__(self, begun: bool):
        self.since = float("inf")
        self.begun = begun
        self.timer: asyncio.TimerHandle | None = None


@contextlib.contextmanager
def watch(
    read: Callable[[], Awaitable[bytes]],
    stop: Callable[[], None],
    *,
    limit_s: float,
    begun: bool,
) -> Iterator[Callable[[], Awaitable[bytes]]]:
    """Gives a read function in place of `read`.

    One timer looks a few times within the limit, instead of one that is set
    and cleared at each of thousands of reads a second. The time that the
    reader takes between two reads does not count.

    Args:
        read: Returns bytes as soon as there are any.
        stop: Called when a read waits for too long; must make it end.
        limit_s: Longest wait, in seconds.
        begun: Whether the answer has begun before; if not, the first read may
            wait without a limit, since a prompt may be queued and prefilled
            for minutes.
    """
    loop = asyncio.get_running_loop()
    wait = _Wait(begun)

    async def watched() -> bytes:
        wait.since = loop.time()
        data = await read()
        wait.since = float("inf")
        wait.begun = True
        return data

    def look() -> None:
        if wait.begun and loop.time() - wait.since >= limit_s:
            stop()
            return
        wait.timer = loop.call_later(limit_s / _LOOKS, look)

    look()
    try:
        yield watched
    finally:
        wait.timer.cancel()
