"""In-memory state of an instance, shared by its filters and controllers."""

import asyncio
import collections
import itertools
import math
import random
import secrets
from collections.abc import Callable

from copperloom import routing, versions
from copperloom.decisions import (
    answer_limits,
    backoff,
    budget,
    cold_start,
    crash_log,
    evacuation,
    fetch_policy,
    handover,
    health,
    hedging,
    inflight_table,
    members,
    reachability,
    registry,
    removed_targets,
    rowlog,
    shards,
    target_limits,
    target_speed,
    turns,
)
from copperloom.decisions.members import Member
from copperloom.ingress import metrics, sender
from copperloom.intake import pool
from copperloom.peers import client
from copperloom.platform import settings, store

__all__ = [
    "IngressState",
    "Member",
    "budget_policy",
    "cold_bound",
    "fleet_size",
    "is_large_fleet",
    "live_members",
]

_BOOT_BYTES = 6
_MAX_SUSPICIONS = 200


class IngressState:
    """The in-memory state of one instance, lost when its process ends.

    Attributes:
        settings: The settings that the platform gave this process.
        boot: Random name of this run of the process.
        store: The platform's table service.
        table: The routes in force at this instance.
        routes_at: Monotonic time at which `table` was applied.
        routes_raw: The operators' document that `table` was decoded from.
        routes_packed: `routes_raw` compressed for peers; empty until a peer
            requests it.
        targets: The registered targets.
        targets_packed: The version and the compressed form of all
            registrations, for peers.
        targets_at: Monotonic time of the last change of `targets`.
        target_rows: The registrations as rows of the platform's table.
        removed_targets: The targets that were removed from it.
        unreachable_tables: Names of the tables whose last read failed.
        read_tables_now: Set when the tables should be read without delay.
        attention: Since when the loop of this instance runs without a break.
        substitutes_watcher: Whether it watches the tables in place of others
            that rank before it.
        inflight: Work in progress at the targets, of all instances.
        digest_due: Set when a digest should be sent to peers at once.
        sequence: Sequence number of the last digest sent.
        datagrams: IP:port of the datagram socket; "" until it is open.
        send: Sends a datagram to an IP:port.
        pending_calls: Futures of calls to other instances by datagrams, by
            number of the call.
        call_ids: Source of these numbers.
        shards_used: For each request, the shard that it was last placed on
            and the monotonic time of its last use.
        listening_since: Monotonic time at which this instance began to listen.
        reported_fleet_size: Largest fleet size that a peer or a row of the
            platform's table has reported.
        fleet_asked: Set once the first attempt to find the other instances has
            ended, with or without success.
        peers_synced: Set once the start has been announced to the members that
            know of others' work, and they have had time to reply.
        budget: The retry budget.
        health: Recent failures of targets observed by this instance, by target.
        peer_health: Penalties of targets reported by peers, by target.
        failure_reports: Failures reported by the instances for which this one
            places requests, by target and peer.
        members: Other instances, by name.
        channels: Connections to other instances.
        uplink: Documents being sent to other instances.
        sender: The HTTP client for targets.
        limits: The rate limits that targets name, and the cold targets.
        backoff: The holds that targets have asked this instance for.
        speeds: How fast targets are relative to each other.
        speeds_logged: Ratios of the targets that differ, as logged last.
        reachability: What attempts show about connections to targets.
        reachability_due: Set when some targets should be checked.
        reachability_settled: Set while no checks are due or in progress.
        relayed: Number of requests of peers in progress.
        relays_paused_until: Monotonic time until which no request is offered
            to peers.
        evacuations: The data centres that operators evacuate.
        crashes: Evidence about requests that crashed their targets.
        quarantine_changed: Set when a quarantine has begun, changed or ended.
        quarantines_loaded: Set once the quarantines of earlier processes are
            known.
        suspicions: Failures under targets that may have ended.
        target_checks: Checks in progress of targets whose connections broke,
            by address.
        metrics: Counters and histograms.
        rng: Source of random choices and jitter.
        background: Tasks that outlive their request.
        routing_known: Set once routes and targets are known.
        hold_until: Monotonic time until which requests are held while routes
            and targets are not known yet.
        connections: What the connections of callers, peers and operators hold.
        body_memory: The bodies of plain answers that this instance holds.
        shed_at: Monotonic time at which a connection was last closed unread, as
            there were more than can be served.
        draining: Whether this instance is stopping.
        drain_until: Monotonic time that bounds the deadlines of requests on a
            stopping instance; inf unless it is stopping.
        active: Number of requests in progress.
        exchanges: The requests in progress.
        changed: Set when a placement may have become possible.
        stop: Set when the process is to end.
        turns: Requests that wait for their turn.
        hedging: Latencies and second copies of slow requests.
    """

    def __init__(self, own: settings.PlatformSettings):
        self.settings = own
        self.boot = secrets.token_hex(_BOOT_BYTES)
        self.store = store.Store(own.store)
        self.table = routing.RoutingTable()
        self.routes_at = float("-inf")
        self.routes_raw = b""
        self.routes_packed = b""
        self.targets = registry.Registry(own.drain_s)
        self.targets_packed = (versions.NONE, b"")
        self.targets_at = float("-inf")
        self.target_rows = rowlog.RowLog()
        self.removed_targets = removed_targets.RemovedTargets()
        self.unreachable_tables: set[str] = set()
        self.read_tables_now = asyncio.Event()
        self.attention = handover.Attention()
        self.substitutes_watcher = False
        self.inflight = inflight_table.InflightTable()
        self.digest_due = asyncio.Event()
        self.sequence = 0
        self.datagrams = ""
        self.send: Callable[[bytes, str], None] = _discard
        self.pending_calls: dict[int, asyncio.Future] = {}
        self.call_ids = itertools.count(1)
        self.shards_used: dict[str, tuple[shards.Shard, float]] = {}
        self.listening_since = float("-inf")
        self.reported_fleet_size = 0
        self.fleet_asked = asyncio.Event()
        self.peers_synced = asyncio.Event()
        self.budget = budget.Budget(budget_policy(own))
        self.health: dict[str, health.Health] = {}
        self.peer_health: dict[str, health.Health] = {}
        self.failure_reports: dict[str, dict[str, health.Health]] = {}
        self.members: dict[str, Member] = {}
        self.channels = client.Channels()
        self.uplink = fetch_policy.Uplink()
        self.sender = sender.Sender()
        self.limits = target_limits.TargetLimits(cold_bound(own))
        self.backoff = backoff.Backoff()
        self.speeds = target_speed.TargetSpeeds()
        self.speeds_logged: dict[str, float] = {}
        self.reachability = reachability.Reachability()
        self.reachability_due = asyncio.Event()
        self.reachability_settled = asyncio.Event()
        self.relayed = 0
        self.relays_paused_until = float("-inf")
        self.evacuations = evacuation.Evacuations()
        self.crashes = crash_log.CrashLog()
        self.quarantine_changed = asyncio.Event()
        self.quarantines_loaded = asyncio.Event()
        self.suspicions: collections.deque = collections.deque(
            maxlen=_MAX_SUSPICIONS
        )
        self.target_checks: dict[str, asyncio.Task] = {}
        self.metrics = metrics.IngressMetrics()
        self.rng = random.Random(f"{own.instance}.{self.boot}")
        self.background: set[asyncio.Task] = set()
        self.routing_known = asyncio.Event()
        self.hold_until = float("-inf")
        self.connections = pool.Pool(
            lambda: self.table.limits,
            lambda: self.settings.memory_bytes,
            self.metrics.ended_connections,
        )
        self.body_memory = answer_limits.BodyMemory(own.memory_bytes)
        self.shed_at = float("-inf")
        self.draining = False
        self.drain_until = math.inf
        self.active = 0
        self.exchanges = set()
        self.changed = asyncio.Event()
        self.stop = asyncio.Event()
        self.turns = turns.Turns()
        self.hedging = hedging.Hedging(hedging.Policy())
        self._sequence = itertools.count(1)

    def next_name(self) -> str:
        """Returns a name that is unique across runs of the process."""
        return f"{self.settings.instance}.{self.boot}.{next(self._sequence)}"


def budget_policy(own: settings.PlatformSettings) -> budget.BudgetPolicy:
    """Returns the retry budget policy of the platform's settings."""
    return budget.BudgetPolicy(
        own.retry_ratio, own.retry_window_s, own.retry_slack
    )


def cold_bound(own: settings.PlatformSettings) -> cold_start.Bound:
    """Returns the bound for cold targets of the platform's settings."""
    return cold_start.Bound(own.cold_over, own.cold_slack)


def fleet_size(state: IngressState) -> int:
    """Returns the number of instances, as far as this one knows."""
    return max(len(state.members) + 1, state.reported_fleet_size)


def is_large_fleet(state: IngressState) -> bool:
    """Returns whether shard owners place requests for other instances."""
    return shards.has_owners(fleet_size(state))


def live_members(state: IngressState, now: float) -> list[Member]:
    """Lists the other instances that sent a message recently."""
    return members.live(state.members, now)


def _discard(data: bytes, address: str) -> None:
    """Replaces `send` until the datagram socket is open."""
