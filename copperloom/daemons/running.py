"""Runs the service of a daemon until a signal stops it."""

import asyncio
import contextlib
import signal

import mode

__all__ = ["stop_signal", "until_stopped"]


def stop_signal() -> asyncio.Event:
    """Returns an event that is set by SIGTERM or SIGINT.

    Further signals have no effect, so that they don't interrupt a graceful
    stop.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    return stopping


async def until_stopped(service: mode.Service, stopping: asyncio.Event) -> None:
    """Waits for a signal or a crash of the service, then stops it."""
    crashed = asyncio.ensure_future(service._crashed.wait())
    stopped = asyncio.ensure_future(stopping.wait())
    await asyncio.wait([crashed, stopped], return_when=asyncio.FIRST_COMPLETED)
    for task in (crashed, stopped):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await service.stop()
