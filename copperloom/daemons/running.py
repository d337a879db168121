"""Runs a daemon's service until the platform stops it."""

import asyncio
import contextlib
import signal

import mode

__all__ = ["stop_signal", "until_stopped"]


def stop_signal() -> asyncio.Event:
    """Returns an event that SIGTERM or SIGINT sets.

    A second signal changes nothing: it must not cut what the first one
    promised to finish.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


async def until_stopped(service: mode.Service, stopping: asyncio.Event) -> None:
    """Waits for a signal, or for the service to crash; then stops it."""
    crashed = asyncio.ensure_future(service._crashed.wait())
    stop = asyncio.ensure_future(stopping.wait())
    await asyncio.wait([crashed, stop], return_when=asyncio.FIRST_COMPLETED)
    for task in (crashed, stop):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await service.stop()
