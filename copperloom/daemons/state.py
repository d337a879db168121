"""What one entry holds in memory, shared by its filters and controllers."""

import asyncio
import collections
import itertools
import random
import secrets
import time

from copperloom import configuration, messages
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
from copperloom.platform.interface import Platform
from copperloom.targets.interface import LoadReport, Targets

__all__ = ["EntryState"]

_BOOT_BYTES = 6
_RECENT_CHANGES = 64


class EntryState:
    """The state of one entry; nothing of it outlives the process.

    Attributes:
        settings: The checked settings.
        boot: Random name of this run of the process.
        owner: INSTANCE.BOOT, as engines know this entry.
        platform: The platform's functions.
        targets: The targets' functions.
        sched: The decisions' state.
        cfg: The configuration in force here.
        cfg_loaded: Whether any configuration was ever adopted.
        confirmed_at: Monotonic time up to which cfg is proved the newest.
        recent_changes: The newest changes adopted, for peers that lag.
        members: Peers by instance name, kept by the members controller.
        membership: What the members controller keeps besides.
        peers_address: IP:port where this entry listens for peers.
        target_drain: Signs that targets leave.
        book: Reservations at the targets that this entry owns.
        held: Placements in flight with reservations, by request id.
        releases: Reservations to give back, request ids by target.
        leaving_targets: Target names to the monotonic time learnt.
        draining: Whether this entry is stopping.
        active: Requests in progress.
        waiting: Futures of queued requests, by request id.
        batcher: Gathers row writes into transactions.
        sweep: Where the sweep of old idempotency records stands.
        background: Tasks that outlive their request; a stop waits for them.
        metrics: Counters and histograms of this entry.
        wake: Set when the dispatcher has something to look at.
        rng: Source of jitter.
        cancels: Cancels that engines have not confirmed.
        orphans: Boots of other entries, to tell whose streams are left.
        reports: Newest load report by target.
        polling: Targets whose load report is asked for now.
        polled_at: When each target's load report was last asked for.
        orders: Orders given to engines, and the leases for them.
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
            maxlen=_RECENT_CHANGES
        )
        self.members: dict[str, member.Member] = {}
        self.membership = member.Membership(seed=self.owner)
        self.peers_address = ""
        self.target_drain = target_drain.DrainState()
        self.book = reservation.Book()
        self.held: dict[str, messages.Placement] = {}
        self.releases: dict[str, set[str]] = {}
        self.leaving_targets: dict[str, float] = {}
        self.draining = False
        self.active = 0
        self.waiting: dict[str, asyncio.Future] = {}
        self.batcher = row_batch.Batcher(
            platform, timeout_s=settings.platform.timeout_s
        )
        self.sweep = sweep.Sweep()
        self.background: set[asyncio.Task] = set()
        self.metrics = metrics.EntryMetrics()
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
        """Returns a name never used before, also not by an earlier boot."""
        return f"{self.owner}.{next(self._sequence)}"
