"""The in-memory state of an entry, shared by its filters and controllers."""

import asyncio
import collections
import itertools
import random
import secrets
import time

from copperloom import configuration, messages, routing
from copperloom.controllers import (
    cancels,
    member,
    model_orders,
    orphans,
    row_batch,
    sweep,
)
from copperloom.daemons import metrics, options
from copperloom.decisions import reservation, scheduler, target_drain
from copperloom.intake import pool
from copperloom.platform.interface import Platform
from copperloom.targets.interface import LoadReport, Targets

__all__ = ["EntryState"]

_BOOT_BYTES = 6
_MAX_RECENT_CHANGES = 64


class EntryState:
    """The state of an entry, none of which outlives the process.

    Attributes:
        settings: Validated settings.
        boot: Random id of this run of the process.
        owner: INSTANCE.BOOT, the name of this entry at engines.
        platform: Functions of the platform.
        targets: Functions of the targets.
        sched: State of the placement decisions.
        cfg: Configuration in force at this entry.
        cfg_loaded: Whether a configuration has been adopted.
        confirmed_at: Latest monotonic time at which cfg was confirmed to be
            the newest version.
        recent_changes: Latest adopted changes, for peers with an older
            version.
        members: Other entries by instance name.
        membership: Further state of the membership controller.
        peers_address: IP:port where this entry listens for peers.
        target_drain: Evidence that targets are draining.
        book: Reservations at the targets that this entry owns.
        held: Placements in flight with reservations, by request id.
        releases: Request ids of the reservations to release, by target.
        draining_targets: Draining targets, with the monotonic time at which
            this entry learnt of it.
        draining: Whether this entry is draining.
        active: Number of requests in progress.
        waiting: Futures of queued requests, by request id.
        batcher: Combines row writes into transactions.
        sweep: Progress of the sweep of old idempotency records.
        background: Tasks that outlive their request; a stop waits for them.
        metrics: Counters and histograms of this entry.
        connections: What the connections of callers, peers and operators hold.
        wake: Set when there is work for the dispatcher.
        rng: Source of jitter.
        cancels: Cancellations that engines have not confirmed.
        orphans: Boots of other entries, used to detect orphaned streams.
        reports: Latest load report by target.
        polling: Targets with a load poll in progress.
        polled_at: Time of the latest load poll by target.
        orders: Orders sent to engines, with their leases.
    """

    def __init__(
        self,
        settings: options.EntrySettings,
        platform: Platform,
        targets: Targets,
    ):
        self.settings = settings
        self.boot = secrets.token_hex(_BOOT_BYTES)
        self.owner = f"{settings.entry.instance}.{self.boot}"
        self.platform = platform
        self.targets = targets
        self.sched = scheduler.Scheduler(
            policy=settings.decisions.policy,
            disable=frozenset(settings.decisions.disable),
        )
        self.cfg = configuration.Configuration()
        self.cfg_loaded = False
        self.confirmed_at = float("-inf")
        self.recent_changes: collections.deque = collections.deque(
            maxlen=_MAX_RECENT_CHANGES
        )
        self.members: dict[str, member.Member] = {}
        self.membership = member.Membership(seed=self.owner)
        self.peers_address = ""
        self.target_drain = target_drain.DrainState()
        self.book = reservation.Book()
        self.held: dict[str, messages.Placement] = {}
        self.releases: dict[str, set[str]] = {}
        self.draining_targets: dict[str, float] = {}
        self.draining = False
        self.active = 0
        self.waiting: dict[str, asyncio.Future] = {}
        self.batcher = row_batch.Batcher(
            platform, timeout_s=settings.platform.timeout_s
        )
        self.sweep = sweep.Sweep()
        self.background: set[asyncio.Task] = set()
        self.metrics = metrics.EntryMetrics()
        self.connections = pool.Pool(
            self.request_limits,
            lambda: settings.limits.memory_bytes,
            self.metrics.ended_connections,
        )
        self.wake = asyncio.Event()
        self.rng = random.Random(self.owner)
        self.cancels = cancels.Cancels(self.rng)
        self.orphans = orphans.OwnerBoots(time.monotonic())
        self.reports: dict[str, LoadReport] = {}
        self.polling: set[str] = set()
        self.polled_at: dict[str, float] = {}
        self.orders = model_orders.Orders()
        self._sequence = itertools.count(1)

    def next_id(self) -> str:
        """Returns an id that is unique, also across restarts of the entry."""
        return f"{self.owner}.{next(self._sequence)}"

    def request_limits(self) -> routing.RequestLimits:
        """Returns the limits on what callers may send."""
        limits = self.settings.limits
        return routing.RequestLimits(
            max_header_bytes=limits.header_bytes,
            max_body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
