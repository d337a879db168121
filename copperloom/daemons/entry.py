"""copperloom-entry: one entry instance.

Usage:
  copperloom-entry --settings=FILE
  copperloom-entry --help

Options:
  --settings FILE  INI file.

Stops gracefully on SIGTERM or SIGINT: it reports that it is not ready, keeps
accepting requests until the load balancer has noticed, then finishes the
requests in progress and exits.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import docopt
import mode
from aiohttp import web

from copperloom import logs, settings
from copperloom.controllers import (
    config,
    dispatcher,
    draining,
    load_polling,
    membership,
    model_orders,
    reclaim,
    reservation_owners,
    sweep,
)
from copperloom.daemons import http, options, running
from copperloom.daemons.state import EntryState
from copperloom.filters import outcome
from copperloom.intake import connection, descriptors, pool
from copperloom.peers import server
from copperloom.platform import http as platform_http
from copperloom.targets import http as targets_http
from copperloom.utils import heap

__all__ = ["EntryService", "main", "start"]

_DRAIN_POLL_S = 0.02
# Accepting a connection, reading from it and starting its request take about
# half as many iterations of the event loop.
_INPUT_LOOP_ITERATIONS = 10
# Time for the request on a newly accepted connection to arrive; many times the
# round trip between a caller and an entry.
_QUIET_S = 0.3
# Time within which a request is received once an entry stops.
_RECEIVE_S = 1.0
_BACKLOG = 128
_LINGER_S = 10.0
# Above the idle timeout, by which connections are closed.
_KEEPALIVE_S = 7200.0
_STOP_S = 2.0
_SWEEP_S = 2.0

Step = Callable[[EntryState, float], Awaitable[None]]


def _controllers(state: EntryState) -> list[tuple[str, Step, float]]:
    """Returns the name, step and interval in seconds of each controller."""
    entry_settings = state.settings
    return [
        ("config", config.step, entry_settings.platform.head_poll_s),
        ("members", membership.step, entry_settings.membership.exchange_s),
        ("leaving", draining.step, entry_settings.platform.instances_poll_s),
        ("loads", load_polling.step, entry_settings.targets.load_poll_s),
        (
            "owners",
            reservation_owners.step,
            entry_settings.targets.reservation_s / 4,
        ),
        ("reclaim", reclaim.step, entry_settings.targets.reclaim_poll_s),
        ("sweep", sweep.step, _SWEEP_S),
        ("orders", model_orders.step, model_orders.interval_s(state)),
    ]


class EntryService(mode.Service):
    """An entry as a service that starts and stops gracefully.

    Attributes:
        entry_settings: Settings of the entry.
        entry: State of the entry, once started.
        listen: IP:port for callers, once started.
        peers: IP:port for other entries, once started.
        runner: Runner of the HTTP server for callers, once started.
        listener: Listening server for callers, once started.
        server: Server for other entries, once started.
    """

    def __init__(self, entry_settings: options.EntrySettings):
        super().__init__()
        self.entry_settings = entry_settings
        self.entry: EntryState | None = None
        self.listen = ""
        self.peers = ""
        self.runner: web.AppRunner | None = None
        self.listener: asyncio.Server | None = None
        self.server = None

    async def on_start(self) -> None:
        """Creates the clients, starts the servers and the controllers."""
        state = EntryState(
            self.entry_settings,
            platform_http.connect(self.entry_settings.platform.address),
            targets_http.connect(
                connect_s=self.entry_settings.targets.connect_s
            ),
        )
        self.entry = state
        self.server, self.peers = await server.serve(state)
        self.runner, self.listener, self.listen = await _listen(state)
        self.add_future(dispatcher.run(state))
        for name, step, interval_s in _controllers(state):
            self.add_future(_repeat(state, name, step, interval_s))
        logs.event(
            "started", boot=state.boot, listen=self.listen, peers=self.peers
        )

    async def on_stop(self) -> None:
        """Drains the entry and stops the servers."""
        await drain(self.entry, self.listener.close)
        await self.runner.cleanup()
        if self.entry.background:
            await asyncio.wait(self.entry.background, timeout=_STOP_S)
        self.server.close()
        await self.server.wait_closed()
        logs.event("stopped", boot=self.entry.boot)

    async def on_shutdown(self) -> None:
        """Closes the clients after the controllers have ended."""
        await self.entry.targets.close()
        await self.entry.platform.close()


async def drain(state: EntryState, stop_listening: Callable[[], None]) -> None:
    """Waits until the entry can exit without interrupting a request.

    The load balancer keeps sending requests for a while after /ready fails, so
    the entry keeps accepting connections for `drain_lag_s`. Then it stops
    listening, since a steady flow of new connections would delay the exit.
    Requests on open connections still run, each as the last of its connection.
    Those that are not received soon are refused, and those that exceed
    `drain_limit_s` are interrupted.

    Args:
        state: State of the entry.
        stop_listening: Closes the listening socket for callers and leaves
            open connections alone.
    """
    loop = asyncio.get_running_loop()
    state.draining = True
    logs.event("draining", active=state.active)
    entry_settings = state.settings.entry
    deadline = loop.time() + entry_settings.drain_limit_s
    await asyncio.sleep(entry_settings.drain_lag_s)
    await _process_pending_input()
    stop_listening()
    quiet_since = loop.time()
    while loop.time() < min(deadline, quiet_since + _QUIET_S):
        await asyncio.sleep(_DRAIN_POLL_S)
        await _process_pending_input()
        pool.end_receiving(state.connections, loop.time() - _RECEIVE_S)
        if state.active:
            quiet_since = loop.time()
    if state.active:
        logs.event("drain_limit", level="ERROR", cut=state.active)


async def _process_pending_input() -> None:
    """Lets the event loop accept and read what has already arrived.

    Closing a socket resets connections that are not yet accepted and requests
    that are not yet read.
    """
    for _ in range(_INPUT_LOOP_ITERATIONS):
        await asyncio.sleep(0)


async def _listen(
    state: EntryState,
) -> tuple[web.AppRunner, asyncio.Server, str]:
    runner = web.AppRunner(
        http.make_app(state),
        handler_cancellation=True,
        shutdown_timeout=_STOP_S,
    )
    await runner.setup()
    limit = state.settings.limits.max_descriptors
    factory = connection.make_factory(
        state.connections,
        runner.server,
        outcome.describe_unread,
        lambda: descriptors.max_open(limit, descriptors.CALLERS_SHARE),
        linger_s=_LINGER_S,
        keepalive_timeout=_KEEPALIVE_S,
    )
    host, _, port = state.settings.entry.listen.rpartition(":")
    sock = socket.create_server((host, int(port)))
    listener = await descriptors.listen(factory, sock, _BACKLOG, limit)
    return runner, listener, "{}:{}".format(*sock.getsockname()[:2])


async def _repeat(
    state: EntryState, name: str, step: Step, interval_s: float
) -> None:
    """Runs a controller's step periodically, also after a failed step.

    If an unexpected error ended a controller, the entry would keep serving with
    an outdated configuration or list of members.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            await step(state, loop.time())
        except Exception as error:
            logs.event(
                "step_failed", level="ERROR", controller=name, error=repr(error)
            )
        await asyncio.sleep(interval_s)


async def start(entry_settings: options.EntrySettings) -> EntryService:
    """Starts an entry on the running event loop; `stop()` ends it."""
    service = EntryService(entry_settings)
    await service.start()
    return service


async def _run(entry_settings: options.EntrySettings) -> None:
    stopping = running.stop_signal()
    service = await start(entry_settings)
    print(f"ready listen={service.listen} peers={service.peers}", flush=True)
    await running.until_stopped(service, stopping)


def main(argv: list[str] | None = None) -> None:
    """Runs the daemon."""
    args = docopt.docopt(__doc__, argv)
    heap.return_large_blocks()
    entry_settings = settings.load_or_exit(
        args["--settings"], options.EntrySettings
    )
    logs.setup(
        entry_settings.entry.log_level, instance=entry_settings.entry.instance
    )
    asyncio.run(_run(entry_settings))


if __name__ == "__main__":
    main()
