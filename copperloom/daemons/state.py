"""What one entry holds in memory, shared by its filters and controllers."""

import asyncio
import itertools
import secrets

from copperloom import configuration
from copperloom.controllers import batch
from copperloom.daemons import metrics, options
from copperloom.decisions import scheduler
from copperloom.platform.interface import Platform
from copperloom.targets.interface import Targets

__all__ = ["EntryState"]

_BOOT_BYTES = 6


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
        members: Peers by instance name, kept by the members controller.
        leaving_targets: Target names to the monotonic time learnt.
        draining: Whether this entry is stopping.
        active: Requests in progress.
        waiting: Futures of queued requests, by request id.
        batcher: Gathers row writes into transactions.
        background: Tasks that outlive their request; a stop waits for them.
        metrics: Counters and histograms of this entry.
        wake: Set when the dispatcher has something to look at.
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
        self.sched = scheduler.Scheduler()
        self.cfg = configuration.Configuration()
        self.cfg_loaded = False
        self.confirmed_at = float("-inf")
        self.members: dict[str, object] = {}
        self.leaving_targets: dict[str, float] = {}
        self.draining = False
        self.active = 0
        self.waiting: dict[str, asyncio.Future] = {}
        self.batcher = batch.Batcher(
            platform, timeout_s=settings.platform.timeout_s
        )
        self.background: set[asyncio.Task] = set()
        self.metrics = metrics.EntryMetrics()
        self.wake = asyncio.Event()
        self._sequence = itertools.count(1)

    def next_id(self) -> str:
        """Returns a name never used before, also not by an earlier boot."""
        return f"{self.owner}.{next(self._sequence)}"
