"""Waits whose timeout does not pass while the event loop itself is slow."""

import asyncio

__all__ = ["wait"]

_INTERVAL_S = 0.05


async def wait(task: asyncio.Task, timeout_s: float) -> bool:
    """Waits for a task to end; cancels it if it does not in time.

    The time is counted in intervals, each of which is longer if the event loop
    is slow. So a process does not take its own delays for another one's
    silence.

    Args:
        task: The task.
        timeout_s: Timeout in seconds, a multiple of 0.05.

    Returns:
        Whether the task has ended by itself.
    """
    try:
        for _ in range(round(timeout_s / _INTERVAL_S)):
            if task.done():
                break
            await asyncio.wait({task}, timeout=_INTERVAL_S)
        return task.done()
    finally:
        task.cancel()
