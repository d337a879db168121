"""What an instance holds in memory, shared by its filters and controllers."""

import asyncio
import itertools
import math
import random
import secrets
from collections.abc import Callable

from copperloom import routing
from copperloom.decisions import (
    budget,
    fetch_policy,
    health,
    inflight_table,
    members,
    registry,
    rowlog,
    shards,
)
from copperloom.decisions.members import Member
from copperloom.ingress import metrics, sender
from copperloom.peers import client
from copperloom.platform import settings, store

__all__ = [
    "IngressState",
    "Member",
    "budget_policy",
    "fleet_size",
    "is_large_fleet",
    "live_members",
]

_BOOT_BYTES = 6


class IngressState:
    """The state of one instance; nothing of it outlives the process.

    Attributes:
        settings: What the platform told this process.
        boot: Random name of this run of the process.
        store: The platform's table service.
        table: The routes in force here.
        routes_at: Monotonic time at which they were taken over.
        routes_raw: The operators' document that `table` was made of.
        routes_packed: The same packed for peers, "" until one asks for it.
        targets: The registered targets.
        targets_packed: All registrations packed for peers, and their version.
        targets_at: Monotonic time of their last change.
        target_rows: Their registrations as the platform keeps them.
        unreachable_tables: Tables that the platform does not give at present.
        read_tables_now: Set when the tables should be read without waiting.
        inflight: Work in progress at the targets.
        digest_due: Set when peers should hear of a change at once.
        sequence: Number of the last digest sent.
        datagrams: IP:port of the datagram socket, once it is open.
        send: Sends a datagram to an IP:port.
        pending_queries: Futures of questions to owners, by number.
        query_ids: Source of those numbers.
        shards_used: The shard that each request was placed on last, and when.
        listening_since: Monotonic time at which this instance began to listen.
        reported_fleet_size: Most instances that any peer, or a row of the
            platform's table, has told of.
        peers_synced: Set once those that know of others' work have been
            greeted, and had the time to answer.
        budget: The budget of repeats.
        health: Failures of targets of late that were seen here, by name.
        peer_health: Those that peers have told of.
        failure_reports: Those that peers have met for which this instance
            places, by target and peer.
        members: Other instances, by name.
        channels: Connections to them.
        uplink: What is on its way to them.
        sender: The client for targets.
        metrics: Counters and histograms.
        rng: Source of draws and jitter.
        background: Tasks that outlive their request.
        routing_known: Set once routes and targets are known.
        hold_until: Monotonic time until which requests that come sooner are
            held.
        draining: Whether this instance is stopping.
        drain_until: Monotonic time at which a stopping instance answers the
            last requests; inf before.
        active: Requests in progress.
        exchanges: The same, by what is known of each.
        changed: Set when placements may have become possible.
        stop: Set when the process is to end.
    """

    def __init__(self, own: settings.PlatformSettings):
        self.settings = own
        self.boot = secrets.token_hex(_BOOT_BYTES)
        self.store = store.Store(own.store)
        self.table = routing.RoutingTable()
        self.routes_at = float("-inf")
        self.routes_raw = b""
        self.routes_packed = b""
        self.targets = registry.Registry()
        self.targets_packed = (0, b"")
        self.targets_at = float("-inf")
        self.target_rows = rowlog.RowLog()
        self.unreachable_tables: set[str] = set()
        self.read_tables_now = asyncio.Event()
        self.inflight = inflight_table.InflightTable()
        self.digest_due = asyncio.Event()
        self.sequence = 0
        self.datagrams = ""
        self.send: Callable[[bytes, str], None] = _discard
        self.pending_queries: dict[int, asyncio.Future] = {}
        self.query_ids = itertools.count(1)
        self.shards_used: dict[str, tuple[shards.Shard, float]] = {}
        self.listening_since = float("-inf")
        self.reported_fleet_size = 0
        self.peers_synced = asyncio.Event()
        self.budget = budget.Budget(budget_policy(own))
        self.health: dict[str, health.Health] = {}
        self.peer_health: dict[str, health.Health] = {}
        self.failure_reports: dict[str, dict[str, health.Health]] = {}
        self.members: dict[str, Member] = {}
        self.channels = client.Channels()
        self.uplink = fetch_policy.Uplink()
        self.sender = sender.Sender()
        self.metrics = metrics.IngressMetrics()
        self.rng = random.Random(f"{own.instance}.{self.boot}")
        self.background: set[asyncio.Task] = set()
        self.routing_known = asyncio.Event()
        self.hold_until = float("-inf")
        self.draining = False
        self.drain_until = math.inf
        self.active = 0
        self.exchanges = set()
        self.changed = asyncio.Event()
        self.stop = asyncio.Event()
        self._sequence = itertools.count(1)

    def next_name(self) -> str:
        """Returns a name never used before, also not by an earlier boot."""
        return f"{self.settings.instance}.{self.boot}.{next(self._sequence)}"


def budget_policy(own: settings.PlatformSettings) -> budget.BudgetPolicy:
    """Returns the bound of repeats that the platform's settings state."""
    return budget.BudgetPolicy(
        own.retry_ratio, own.retry_window_s, own.retry_slack
    )


def fleet_size(state: IngressState) -> int:
    """Returns how many instances there are, as far as is known here."""
    return max(len(state.members) + 1, state.reported_fleet_size)


def is_large_fleet(state: IngressState) -> bool:
    """Tells whether owners place for the others, as far as is known here."""
    return shards.has_owners(fleet_size(state))


def live_members(state: IngressState, now: float) -> list[Member]:
    """Lists the other instances that were heard of late."""
    return members.live(state.members, now)


def _discard(data: bytes, address: str) -> None:
    """Stands in for the datagram socket until it is open."""
