"""Which targets may get new work, from what the platform's table says.

Made for a table that forgets: while it is away, the registrations of targets
that are well may lapse, and they are written again within about two seconds
of its return. Dropping all of them at once would refuse every request though
all targets work. So for that long a target that is missing is kept as a last
resort: used only where its service has no other target left.
"""

from collections.abc import Iterable

from copperloom import routing
from copperloom.decisions import shards

__all__ = [
    "Registry",
    "usable_by_shard",
    "find",
    "set_low_latency",
    "record_outage",
    "replace",
    "services",
    "update",
    "usable",
]

# Registrations that lapsed during an outage are back within about this time
# of the platform's return; one still missing then is gone.
LAPSE_S = 2.0


class Registry:
    """The registered targets.

    Attributes:
        entries: Entries in the table, by name.
        missing: Entries that vanished around an outage, with the monotonic
            time until which they count.
        version: Version of the table that this is as of.
        outage_at: Monotonic time of the last failed call to the platform.
        ready: Entries that take new work, by service and shard; made again
            after a change, since each request needs them.
        services: Services that entries belong to; None after a change.
        low_latency: Services whose data centres are near each other.
    """

    def __init__(self):
        self.entries: dict[str, routing.TargetEntry] = {}
        self.missing: dict[str, tuple[routing.TargetEntry, float]] = {}
        self.version = 0
        self.outage_at = float("-inf")
        self.ready: dict[str, shards.Division] = {}
        self.services: frozenset[str] | None = None
        self.low_latency: frozenset[str] = frozenset()


def record_outage(reg: Registry, now: float) -> None:
    """Notes that the platform did not answer."""
    reg.outage_at = now


def replace(
    reg: Registry,
    entries: Iterable[routing.TargetEntry],
    version: int,
    now: float,
) -> list[routing.TargetEntry]:
    """Takes over the whole table.

    Returns:
        Targets that are new, or started again under their old name.
    """
    if version < reg.version:
        return []
    wanted = {e.name: e for e in entries}
    changes = [(name, None) for name in reg.entries if name not in wanted]
    return update(reg, [*changes, *wanted.items()], version, now)


def update(
    reg: Registry,
    changes: Iterable[tuple[str, routing.TargetEntry | None]],
    version: int,
    now: float,
) -> list[routing.TargetEntry]:
    """Takes over changed rows; None is a row that names no target.

    Returns:
        Targets that are new, or started again under their old name.
    """
    reg.ready.clear()
    reg.services = None
    started = []
    for name, entry in changes:
        old = reg.entries.get(name)
        if entry is None:
            _remove(reg, name, now)
            continue
        if old is not None and entry.born_ms < old.born_ms:
            # A row of an earlier start that comes late.
            continue
        reg.entries[name] = entry
        reg.missing.pop(name, None)
        if old is None or entry.born_ms > old.born_ms:
            started.append(entry)
    reg.version = max(reg.version, version)
    return started


def _remove(reg: Registry, name: str, now: float) -> None:
    old = reg.entries.pop(name, None)
    if old is None or old.draining:
        return
    until = reg.outage_at + LAPSE_S
    if now < until:
        reg.missing[name] = (old, until)


def find(reg: Registry, name: str) -> routing.TargetEntry | None:
    """Returns a target's entry, also if it vanished around an outage."""
    entry = reg.entries.get(name)
    if entry is None and name in reg.missing:
        entry = reg.missing[name][0]
    return entry


def set_low_latency(reg: Registry, low_latency: frozenset[str]) -> None:
    """Notes the services whose data centres are near each other."""
    if low_latency != reg.low_latency:
        reg.low_latency = low_latency
        reg.ready.clear()


def services(reg: Registry) -> frozenset[str]:
    """Returns the services that have targets."""
    if reg.services is None:
        reg.services = frozenset(e.service for e in reg.entries.values())
    return reg.services


def usable(
    reg: Registry, service: str, now: float
) -> list[routing.TargetEntry]:
    """Lists the targets of a service that may get new work."""
    return usable_by_shard(reg, service, now).targets


def usable_by_shard(reg: Registry, service: str, now: float) -> shards.Division:
    """Returns the targets of a service that may get new work, by shard."""
    found = reg.ready.get(service)
    if found is None:
        found = shards.divide(
            [
                e
                for e in reg.entries.values()
                if e.service == service and not e.draining
            ],
            low_latency=service in reg.low_latency,
        )
        reg.ready[service] = found
    if found.targets:
        return found
    return shards.divide(
        [
            entry
            for entry, until in reg.missing.values()
            if entry.service == service and now < until
        ],
        low_latency=service in reg.low_latency,
    )
