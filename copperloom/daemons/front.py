"""copperloom-front: an entry instance on the users' platform.

Usage:
  copperloom-front [--settings=FILE]
  copperloom-front --help

Options:
  --settings FILE  INI file with settings of our own; defaults if not given.

Where the instance stands and what it may use is in the file that the platform
names in the environment. Stops gracefully on SIGTERM or SIGINT: first it tells
that it is not ready, goes on accepting while the balancer learns that, then
finishes the requests in progress and ends. SIGHUP reads the settings again.
"""

import asyncio
import dataclasses
import os
import signal
import socket

import docopt
import mode

from copperloom import exception, logs, settings
from copperloom.daemons import held, running
from copperloom.ingress import (
    gossip,
    mechanisms,
    registration,
    sender,
    server,
    stopping,
    table_watch,
)
from copperloom.ingress.state import IngressState, budget_policy
from copperloom.peers import catalog, client
from copperloom.platform import settings as platform_settings
from copperloom.platform import store

__all__ = ["FrontService", "FrontSettings", "drain", "main", "reload"]

# The balancer asks once a second and takes an instance out after two misses;
# connections that it opened until then are on their way.
LISTEN_ON_S = 2.6
# Requests that came last are read within this time.
LINGER_S = 0.3
# Kept from the grace: ending takes 0.4 s (releases, sockets), and twice that on
# an instance that is slow.
RESERVE_S = 0.9
# Memory that a last request reserved is given back within a round trip.
RELEASE_S = 0.3
# Requests that come sooner than routes and targets are held for so long after
# a start: the table and peers give both well within it.
START_HOLD_S = 0.5
_POLL_S = 0.02
_RESTART_S = 0.5


@dataclasses.dataclass(frozen=True)
class LogSection:
    """What is logged."""

    level: str = settings.setting(
        "INFO",
        "Least level of log lines.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )


@dataclasses.dataclass(frozen=True)
class MetricsSection:
    """Where metrics are served."""

    port: int = settings.setting(
        9464, "Port for metrics; 0 serves none.", low=0, high=65_535
    )


@dataclasses.dataclass(frozen=True)
class DecisionsSection:
    """How requests are placed; for experiments, not for operation."""

    disable: tuple[str, ...] = settings.setting(
        (),
        "Mechanisms to switch off.",
        choices=tuple(sorted(mechanisms.MECHANISMS)),
    )


@dataclasses.dataclass(frozen=True)
class FrontSettings:
    """All settings of `copperloom-front`."""

    log: LogSection = LogSection()
    metrics: MetricsSection = MetricsSection()
    decisions: DecisionsSection = DecisionsSection()


class FrontService(mode.Service):
    """The instance as a service: start it, stop it gracefully.

    Attributes:
        entry: What the instance holds in memory.
        metrics_address: IP:port for metrics, "" for none.
        callers: A socket that listens for callers already, if there is one.
        listeners: What is open, once started.
    """

    def __init__(
        self,
        state: IngressState,
        metrics: str,
        callers: socket.socket | None = None,
    ):
        super().__init__()
        self.entry = state
        self.metrics_address = metrics
        self.callers = callers
        self.listeners: server.Listeners | None = None
        self.calls = None
        self.gossip: gossip.Gossip | None = None

    async def on_start(self) -> None:
        """Listens and starts the controllers."""
        state = self.entry
        state.listening_since = asyncio.get_running_loop().time()
        state.hold_until = state.listening_since + START_HOLD_S
        self.gossip = await gossip.open_gossip(state)
        self.calls = await catalog.serve(state)
        self.listeners = await server.listen(
            state, self.metrics_address, self.callers
        )
        for name, loop in (
            ("routes", lambda: table_watch.watch_routes(state)),
            ("targets", lambda: table_watch.watch_targets(state)),
            ("gossip", lambda: gossip.run(self.gossip)),
            ("members", lambda: registration.join(self.gossip)),
        ):
            self.add_future(_keep_running(name, loop))
        logs.event(
            "started",
            boot=state.boot,
            listen=state.settings.callers_listen,
            store=state.settings.store,
        )

    async def on_stop(self) -> None:
        """Drains, then closes everything."""
        leaving = asyncio.ensure_future(registration.leave(self.entry))
        await drain(self.entry, self.listeners, self.gossip)
        if self.entry.background:
            await asyncio.wait(self.entry.background, timeout=RELEASE_S)
        await leaving
        await server.close(self.listeners)
        if self.calls is not None:
            self.calls.close()
        logs.event("stopped", boot=self.entry.boot)

    async def on_shutdown(self) -> None:
        """Closes the clients, once the controllers have ended."""
        self.gossip.transport.close()
        client.close(self.entry.channels)
        await sender.close(self.entry.sender)
        await store.close(self.entry.store)


async def _keep_running(name: str, loop) -> None:
    """Runs a controller's loop again after an unforeseen error.

    One that ended would leave the instance serving with routes, targets or
    members that never move.
    """
    while True:
        try:
            await loop()
        except Exception as error:
            logs.event(
                "controller_failed",
                level="ERROR",
                controller=name,
                error=repr(error),
            )
        await asyncio.sleep(_RESTART_S)


async def drain(
    state: IngressState,
    listeners: server.Listeners,
    told: gossip.Gossip,
) -> None:
    """Waits until this instance may end without cutting a request.

    The balancer goes on sending for a while after readiness fails; an instance
    that refused or closed at once would cut those requests. Then it takes no
    new connections, and ends when nothing is in progress, at the latest
    RESERVE_S before the platform kills it.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    end = begun + state.settings.grace_s - RESERVE_S
    stopping.begin(state, end)
    logs.event("draining", active=state.active)
    gossip.send_digest(told, begun)
    await asyncio.sleep(min(LISTEN_ON_S, state.settings.grace_s / 2))
    await server.close_callers(listeners)
    quiet_since = loop.time()
    while loop.time() < min(end, quiet_since + LINGER_S):
        await asyncio.sleep(_POLL_S)
        if state.active:
            quiet_since = loop.time()
    if state.active:
        logs.event("drain_limit", level="ERROR", cut=state.active)


def reload(state: IngressState, path: str) -> None:
    """Reads the platform's settings again; listeners stay as they are."""
    try:
        fresh = platform_settings.load(path)
    except exception.SettingsError as error:
        logs.event(
            "reload_failed", level="ERROR", code=error.code, error=str(error)
        )
        return
    state.settings = fresh
    state.store.address = fresh.store
    state.budget.terms = budget_policy(fresh)
    logs.event("reloaded", store=fresh.store, grace_s=fresh.grace_s)


async def _run(
    own: FrontSettings, path: str, callers: socket.socket | None
) -> None:
    stopping = running.stop_signal()
    loop = asyncio.get_running_loop()
    state = IngressState(platform_settings.load(path))
    logs.setup_bounded(own.log.level, instance=state.settings.instance)
    mechanisms.turn_off(own.decisions.disable)
    loop.add_signal_handler(signal.SIGHUP, reload, state, path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, held.SIGNALS)
    port = own.metrics.port
    metrics = f"{state.settings.ip}:{port}" if port else ""
    service = FrontService(state, metrics, callers)
    await service.start()
    await running.until_stopped(service, stopping)


def main(
    argv: list[str] | None = None, *, callers: socket.socket | None = None
) -> None:
    """Runs the program.

    Args:
        argv: The arguments; None takes those of the process.
        callers: A socket that listens for callers already, if there is one.
    """
    args = docopt.docopt(__doc__, argv)
    own = settings.load_or_exit(args["--settings"], FrontSettings)
    path = os.environ.get(platform_settings.ENVIRONMENT, "")
    try:
        asyncio.run(_run(own, path, callers))
    except exception.SettingsError as error:
        raise SystemExit(f"error {error.code}: {error}") from error


if __name__ == "__main__":
    main()
