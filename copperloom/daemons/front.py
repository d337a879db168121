"""copperloom-front: an entry instance on the users' platform.

Usage:
  copperloom-front [--settings=FILE]
  copperloom-front --help

Options:
  --settings FILE  INI file with this program's settings; defaults if not given.

The settings that the platform gives each instance are in a file that an
environment variable names. Stops gracefully on SIGTERM or SIGINT: it reports
that it is not ready, accepts connections until the load balancer has noticed,
then finishes the requests in progress and exits. SIGHUP reloads the platform's
settings.
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
from copperloom.decisions import hedging
from copperloom.ingress import (
    cold_checks,
    gossip,
    mechanisms,
    quarantine_rows,
    reachability_checks,
    registration,
    relayed_requests,
    removed_targets,
    sender,
    server,
    stopping,
    store_eras,
    table_watch,
)
from copperloom.ingress.state import IngressState, budget_policy, cold_bound
from copperloom.intake import pool
from copperloom.peers import catalog, client
from copperloom.platform import settings as platform_settings
from copperloom.platform import store

__all__ = ["FrontService", "FrontSettings", "drain", "main", "reload"]

# The load balancer probes once a second, removes an instance after two failed
# probes, and may open connections until then.
BALANCER_DELAY_S = 2.6
# Requests on accepted connections arrive within this time: an instance that
# has been idle for longer can stop.
IDLE_S = 0.3
# Part of the grace period reserved for releasing memory and closing sockets;
# enough for a slow instance.
CLOSE_RESERVE_S = 0.9
# Timeout for releasing the memory reserved by the last requests.
RELEASE_TIMEOUT_S = 0.3
# Time after a start for which requests are held until routes and targets are
# known; usually the tables or peers provide them sooner.
START_HOLD_S = 0.5
_POLL_S = 0.02
_RESTART_S = 0.5


@dataclasses.dataclass(frozen=True)
class LogSection:
    """Settings of the log."""

    level: str = settings.setting(
        "INFO",
        "Least level of log lines.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )


@dataclasses.dataclass(frozen=True)
class MetricsSection:
    """Settings of the metrics endpoint."""

    port: int = settings.setting(
        9464, "Port for metrics; 0 serves none.", low=0, high=65_535
    )


@dataclasses.dataclass(frozen=True)
class DecisionsSection:
    """Settings of placement; for experiments, not for production."""

    disable: tuple[str, ...] = settings.setting(
        (),
        "Mechanisms to switch off.",
        choices=tuple(sorted(mechanisms.MECHANISMS)),
    )


@dataclasses.dataclass(frozen=True)
class HedgingSection:
    """Settings of second copies of slow requests."""

    max_share: float = settings.setting(
        0.0,
        "Second copies per request that may be repeated; 0 sends none.",
        low=0.0,
        high=0.2,
    )
    quantile: float = settings.setting(
        0.95,
        "Share of recent requests answered before a copy is considered.",
        low=0.5,
        high=0.999,
    )


@dataclasses.dataclass(frozen=True)
class FrontSettings:
    """All settings of `copperloom-front`."""

    log: LogSection = LogSection()
    metrics: MetricsSection = MetricsSection()
    decisions: DecisionsSection = DecisionsSection()
    hedging: HedgingSection = HedgingSection()


class FrontService(mode.Service):
    """The service of one instance, with graceful start and stop.

    Attributes:
        entry: The instance's state.
        metrics_address: IP:port for metrics, "" for none.
        callers: An already listening socket for callers, if there is one.
        listeners: The listeners for callers and metrics, once started.
        calls: The server for peers' calls, once started; None if there is none.
        gossip: The datagram socket, once started.
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
        """Opens the listeners and starts the controllers."""
        state = self.entry
        state.listening_since = asyncio.get_running_loop().time()
        state.hold_until = state.listening_since + START_HOLD_S
        store_eras.watch_returns(state)
        self.gossip = await gossip.open_gossip(state)
        self.calls = await catalog.serve(
            state, relayed_requests.make_service(state)
        )
        self.listeners = await server.listen(
            state, self.metrics_address, self.callers
        )
        for name, loop in (
            ("routes", lambda: table_watch.watch_routes(state)),
            ("targets", lambda: table_watch.watch_targets(state)),
            ("gossip", lambda: gossip.run(self.gossip)),
            ("members", lambda: registration.join(self.gossip)),
            ("reachability", lambda: reachability_checks.run(state)),
            ("cold", lambda: cold_checks.run(state)),
            ("removed", lambda: removed_targets.run(state)),
            ("quarantines", lambda: quarantine_rows.run(state)),
        ):
            self.add_future(_keep_running(name, loop))
        logs.event(
            "started",
            boot=state.boot,
            listen=state.settings.callers_listen,
            store=state.settings.store,
        )

    async def on_stop(self) -> None:
        """Drains the instance, then closes its listeners."""
        deregistration = asyncio.ensure_future(registration.leave(self.entry))
        await drain(self.entry, self.listeners, self.gossip)
        if self.entry.background:
            await asyncio.wait(self.entry.background, timeout=RELEASE_TIMEOUT_S)
        await deregistration
        await server.close(self.listeners)
        if self.calls is not None:
            self.calls.close()
        logs.event("stopped", boot=self.entry.boot)

    async def on_shutdown(self) -> None:
        """Closes the clients after the controllers have ended."""
        self.gossip.transport.close()
        client.close(self.entry.channels)
        await sender.close(self.entry.sender)
        await store.close(self.entry.store)


async def _keep_running(name: str, loop) -> None:
    """Restarts a controller's loop after an unexpected error.

    Otherwise the instance would keep serving with outdated routes, targets or
    members.
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
    protocol: gossip.Gossip,
) -> None:
    """Waits until this instance can stop without cutting off a request.

    The load balancer sends requests for some time after readiness fails, so the
    instance accepts connections for this time. Then it closes its listener, and
    returns when no request is in progress and callers have taken their answers,
    or CLOSE_RESERVE_S before the end of the grace period.

    Args:
        state: The instance's state.
        listeners: Its listeners.
        protocol: Its datagram socket.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    end = started_at + state.settings.grace_s - CLOSE_RESERVE_S
    stopping.begin_draining(state, end)
    logs.event("draining", active=state.active)
    gossip.send_digest(protocol, started_at)
    await asyncio.sleep(min(BALANCER_DELAY_S, state.settings.grace_s / 2))
    await server.close_callers(listeners)
    quiet_since = loop.time()
    while loop.time() < min(end, quiet_since + IDLE_S):
        await asyncio.sleep(_POLL_S)
        if state.active or pool.has_unsent(state.connections):
            quiet_since = loop.time()
    if state.active:
        logs.event("drain_limit", level="ERROR", cut=state.active)
    if pool.has_unsent(state.connections):
        logs.event("drain_limit", level="WARNING", reason="unread_answers")


def reload(state: IngressState, path: str) -> None:
    """Reloads the platform's settings; listeners stay as they are."""
    try:
        reloaded = platform_settings.load(path)
    except exception.SettingsError as error:
        logs.event(
            "reload_failed", level="ERROR", code=error.code, error=str(error)
        )
        return
    state.settings = reloaded
    state.store.address = reloaded.store
    state.budget.policy = budget_policy(reloaded)
    state.limits.cold.bound = cold_bound(reloaded)
    logs.event("reloaded", store=reloaded.store, grace_s=reloaded.grace_s)


async def _run(
    own: FrontSettings, path: str, callers: socket.socket | None
) -> None:
    stopping = running.stop_signal()
    loop = asyncio.get_running_loop()
    state = IngressState(platform_settings.load(path))
    logs.setup_bounded(own.log.level, instance=state.settings.instance)
    mechanisms.turn_off(own.decisions.disable)
    state.hedging.policy = hedging.Policy(
        own.hedging.max_share, own.hedging.quantile
    )
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
        argv: The arguments; None for those of the process.
        callers: An already listening socket for callers, if there is one.
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
