"""copperloom-entry: one entry instance.

Usage:
  copperloom-entry --settings=FILE
  copperloom-entry --help

Options:
  --settings FILE  INI file.

Stops gracefully on SIGTERM or SIGINT: first it tells that it is not ready,
goes on accepting while the balancer learns that, then finishes the requests
in progress and ends.
"""

import asyncio
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
from copperloom.peers import server
from copperloom.platform import http as platform_http
from copperloom.targets import http as targets_http

__all__ = ["EntryService", "main", "start"]

_DRAIN_POLL_S = 0.02
# Accepting a connection, reading from it and starting its request take five.
_TAKE_IN_TURNS = 10
# A connection accepted last has its request on the way; many times the round
# trip between a caller and an entry.
_LINGER_S = 0.3
_KEEPALIVE_S = 75.0
_STOP_S = 2.0
_SWEEP_S = 2.0

Step = Callable[[EntryState, float], Awaitable[None]]


def _controllers(state: EntryState) -> list[tuple[str, Step, float]]:
    """Lists name, step and seconds between steps of each controller."""
    own = state.settings
    return [
        ("config", config.step, own.platform.head_poll_s),
        ("members", membership.step, own.membership.exchange_s),
        ("leaving", draining.step, own.platform.instances_poll_s),
        ("loads", load_polling.step, own.targets.load_poll_s),
        ("owners", reservation_owners.step, own.targets.reservation_s / 4),
        ("reclaim", reclaim.step, own.targets.reclaim_poll_s),
        ("sweep", sweep.step, _SWEEP_S),
        ("orders", model_orders.step, model_orders.interval_s(state)),
    ]


class EntryService(mode.Service):
    """The entry as a service: start it, stop it gracefully.

    Attributes:
        entry: What the entry holds in memory.
        listen: IP:port for callers, once started.
        peers: IP:port for other entries, once started.
    """

    def __init__(self, own: options.EntrySettings):
        super().__init__()
        self.own = own
        self.entry: EntryState | None = None
        self.listen = ""
        self.peers = ""
        self.runner: web.AppRunner | None = None
        self.site: web.TCPSite | None = None
        self.server = None

    async def on_start(self) -> None:
        """Connects, listens and starts the controllers."""
        state = EntryState(
            self.own,
            platform_http.connect(self.own.platform.address),
            targets_http.connect(connect_s=self.own.targets.connect_s),
        )
        self.entry = state
        self.server, self.peers = await server.serve(state)
        self.runner, self.site, self.listen = await _listen(state)
        self.add_future(dispatcher.run(state))
        for name, step, every_s in _controllers(state):
            self.add_future(_repeat(state, name, step, every_s))
        logs.event(
            "started", boot=state.boot, listen=self.listen, peers=self.peers
        )

    async def on_stop(self) -> None:
        """Drains, then closes everything."""
        await drain(self.entry, self.site.stop)
        await self.runner.cleanup()
        if self.entry.background:
            await asyncio.wait(self.entry.background, timeout=_STOP_S)
        self.server.close()
        await self.server.wait_closed()
        logs.event("stopped", boot=self.entry.boot)

    async def on_shutdown(self) -> None:
        """Closes the clients, once the controllers have ended."""
        await self.entry.targets.close()
        await self.entry.platform.close()


async def drain(
    state: EntryState, stop_listening: Callable[[], Awaitable[None]]
) -> None:
    """Waits until this instance may end without cutting a request.

    The balancer goes on sending for a while after /ready fails; an instance
    that refused or closed at once would cut those requests. After that it
    takes no new connections: callers who come back all the time would keep it
    from ever ending, until `drain_limit_s` cuts them. Requests on connections
    that are open still run, each as its connection's last.

    Args:
        state: The entry's state.
        stop_listening: Closes the callers' listening socket only.
    """
    loop = asyncio.get_running_loop()
    state.draining = True
    logs.event("draining", active=state.active)
    own = state.settings.entry
    end = loop.time() + own.drain_limit_s
    await asyncio.sleep(own.drain_lag_s)
    await _take_in()
    await stop_listening()
    quiet_since = loop.time()
    while loop.time() < min(end, quiet_since + _LINGER_S):
        await asyncio.sleep(_DRAIN_POLL_S)
        await _take_in()
        if state.active:
            quiet_since = loop.time()
    if state.active:
        logs.event("drain_limit", level="ERROR", cut=state.active)


async def _take_in() -> None:
    """Lets the loop take in what has come over the network by now.

    Closing a socket resets the connections that wait to be accepted and the
    requests that wait to be read; their callers would see a cut.
    """
    for _ in range(_TAKE_IN_TURNS):
        await asyncio.sleep(0)


async def _listen(
    state: EntryState,
) -> tuple[web.AppRunner, web.TCPSite, str]:
    runner = web.AppRunner(
        http.make_app(state),
        access_log=None,
        handler_cancellation=True,
        keepalive_timeout=_KEEPALIVE_S,
        shutdown_timeout=_STOP_S,
    )
    await runner.setup()
    host, _, port = state.settings.entry.listen.rpartition(":")
    site = web.TCPSite(runner, host, int(port))
    await site.start()
    address = runner.addresses[0]
    return runner, site, f"{address[0]}:{address[1]}"


async def _repeat(
    state: EntryState, name: str, step: Step, every_s: float
) -> None:
    """Runs a controller's step for ever; a failed step is tried again.

    A controller that ended with its first unforeseen error would leave the
    entry serving with a configuration or list of members that never moves.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            await step(state, loop.time())
        except Exception as error:
            logs.event(
                "step_failed", level="ERROR", controller=name, error=repr(error)
            )
        await asyncio.sleep(every_s)


async def start(own: options.EntrySettings) -> EntryService:
    """Starts an entry on the running loop; stop it with `await x.stop()`."""
    service = EntryService(own)
    await service.start()
    return service


async def _run(own: options.EntrySettings) -> None:
    stopping = running.stop_signal()
    service = await start(own)
    print(f"ready listen={service.listen} peers={service.peers}", flush=True)
    await running.until_stopped(service, stopping)


def main(argv: list[str] | None = None) -> None:
    """Runs the program."""
    args = docopt.docopt(__doc__, argv)
    own = settings.load_or_exit(args["--settings"], options.EntrySettings)
    logs.setup(own.entry.log_level, instance=own.entry.instance)
    asyncio.run(_run(own))


if __name__ == "__main__":
    main()
