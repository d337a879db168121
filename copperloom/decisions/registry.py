"""The targets that are registered in the platform's table service.

Registrations of healthy targets may lapse during an outage of the table
service; the targets register again shortly after it returns. Dropping all of
them at once would refuse every request although the targets work. Entries that
vanish around an outage are therefore kept for a short time as a last resort:
they are used only if their service has no other target.

A target that says in its answers that it drains gets no new work either,
whatever its row says (see `drain_notices`). A target in an evacuated data
centre gets none either, not even as a last resort.
"""

from collections.abc import Iterable

from copperloom import routing, versions
from copperloom.decisions import drain_notices, shards

__all__ = [
    "Registry",
    "usable_by_shard",
    "checkable",
    "complete_to",
    "confirm",
    "find",
    "forget",
    "has_draining",
    "has_evacuated",
    "incarnation",
    "incarnations",
    "is_draining",
    "is_evacuated",
    "is_usable",
    "note_draining",
    "noted",
    "ready_incarnations",
    "set_evacuated",
    "set_low_latency",
    "open_data_centres",
    "record_outage",
    "replace",
    "services",
    "update",
    "usable",
]

# Targets register again within this time after an outage; entries that are
# still missing then are dropped.
LAPSE_S = 2.0
# Cached divisions for some data centres only.
_MAX_RESTRICTED = 200


class Registry:
    """The registered targets.

    Attributes:
        entries: Entries in the table, by name.
        missing: Entries that vanished around an outage, with the monotonic
            time until which they are kept.
        version: Version of the latest change to the entries.
        confirmed: Version of the table as of which the entries are complete.
        outage_at: Monotonic time of the last failed call to the table
            service.
        divisions: Entries that accept new work, by service and shard; a cache
            that each change clears.
        restricted: The same for some data centres only.
        services: Services that entries belong to; None after a change.
        ready: Incarnations whose rows say that they are ready; None after a
            change.
        drain_notices: The targets that said in their answers that they drain.
        low_latency: Services with low latency between their data centres.
        evacuated: Data centres that are evacuated.
    """

    def __init__(self, drain_s: float = 0.0):
        self.entries: dict[str, routing.TargetEntry] = {}
        self.missing: dict[str, tuple[routing.TargetEntry, float]] = {}
        self.version = versions.NONE
        self.confirmed = versions.NONE
        self.outage_at = float("-inf")
        self.divisions: dict[str, shards.Division] = {}
        self.restricted: dict[tuple[str, frozenset[str]], shards.Division] = {}
        self.services: frozenset[str] | None = None
        self.ready: frozenset[str] | None = None
        self.drain_notices = drain_notices.DrainNotices(drain_s)
        self.low_latency: frozenset[str] = frozenset()
        self.evacuated: frozenset[str] = frozenset()


def complete_to(reg: Registry) -> versions.Version:
    """Returns the version up to which all changes are known."""
    return max(reg.version, reg.confirmed)


def confirm(reg: Registry, version: versions.Version) -> None:
    """Records that the entries are complete as of a version of the table."""
    reg.confirmed = max(reg.confirmed, version)


def record_outage(reg: Registry, now: float) -> None:
    """Records a failed call to the platform's table service."""
    reg.outage_at = now


def replace(
    reg: Registry,
    entries: Iterable[routing.TargetEntry],
    version: versions.Version,
    now: float,
) -> list[routing.TargetEntry]:
    """Adopts the rows of the whole table; an older version is ignored.

    Returns:
        Targets that are new or were restarted under the same name.
    """
    if version < reg.version:
        return []
    wanted = {e.name: e for e in entries}
    if version.era != reg.version.era:
        _keep_draining(reg, wanted, now)
    changes = [(name, None) for name in reg.entries if name not in wanted]
    return update(reg, [*changes, *wanted.items()], version, now)


def _keep_draining(
    reg: Registry, wanted: dict[str, routing.TargetEntry], now: float
) -> None:
    """Notes the targets that drain although an older copy says otherwise.

    A target that has begun to drain does so until it ends, and its row in the
    copy may be older.
    """
    for name, entry in wanted.items():
        old = reg.entries.get(name)
        if old is None or not old.draining or entry.draining:
            continue
        if old.born_ms == entry.born_ms:
            drain_notices.note(
                reg.drain_notices,
                incarnation(entry),
                now,
                forwards=True,
                is_last_resort=False,
            )


def update(
    reg: Registry,
    changes: Iterable[tuple[str, routing.TargetEntry | None]],
    version: versions.Version,
    now: float,
) -> list[routing.TargetEntry]:
    """Applies changed rows; None stands for a removed target.

    Returns:
        Targets that are new or were restarted under the same name.
    """
    _clear_divisions(reg)
    reg.services = None
    reg.ready = None
    started = []
    for name, entry in changes:
        old = reg.entries.get(name)
        if entry is None:
            _remove(reg, name, now)
            continue
        if old is not None and entry.born_ms < old.born_ms:
            # A delayed row of the target's earlier start.
            continue
        reg.entries[name] = entry
        reg.missing.pop(name, None)
        if old is None or entry.born_ms > old.born_ms:
            started.append(entry)
    reg.version = max(reg.version, version)
    return started


def _remove(reg: Registry, name: str, now: float) -> None:
    old = reg.entries.pop(name, None)
    if old is None or is_draining(reg, old):
        return
    until = reg.outage_at + LAPSE_S
    if now < until:
        reg.missing[name] = (old, until)


def find(reg: Registry, name: str) -> routing.TargetEntry | None:
    """Returns a target's entry, including one that vanished in an outage."""
    entry = reg.entries.get(name)
    if entry is None and name in reg.missing:
        entry = reg.missing[name][0]
    return entry


def incarnation(entry: routing.TargetEntry) -> str:
    """Returns a name that identifies one start of a target."""
    return f"{entry.name}@{entry.born_ms}" if entry.born_ms else entry.name


def note_draining(
    reg: Registry, incarnation: str, now: float, *, forwards: bool
) -> bool:
    """Records that a target said in an answer that it drains.

    Args:
        reg: The registry.
        incarnation: The target, as named by `incarnation`.
        now: Monotonic time.
        forwards: Whether this instance passes it on at once.

    Returns:
        Whether that is new.
    """
    if not drain_notices.note(
        reg.drain_notices, incarnation, now, forwards=forwards
    ):
        return False
    _clear_divisions(reg)
    return True


def is_draining(reg: Registry, entry: routing.TargetEntry) -> bool:
    """Returns whether a target drains by its row or by its answers."""
    return entry.draining or _is_noted(reg, entry)


def _is_noted(reg: Registry, entry: routing.TargetEntry) -> bool:
    if not reg.drain_notices.notices:
        return False
    return drain_notices.is_noted(reg.drain_notices, incarnation(entry))


def is_usable(
    reg: Registry,
    entry: routing.TargetEntry,
    now: float,
    data_centres: frozenset[str] | None = None,
) -> bool:
    """Returns whether a registered target may get new work.

    Args:
        reg: The registry.
        entry: The target.
        now: Monotonic time.
        data_centres: The data centres that the work may go to; None for all.
    """
    if is_evacuated(reg, entry) or not _is_in(entry, data_centres):
        return False
    if not is_draining(reg, entry):
        return True
    return entry in usable(reg, entry.service, now, data_centres)


def has_draining(
    reg: Registry, service: str, data_centres: frozenset[str] | None = None
) -> bool:
    """Returns whether a service has targets that drain.

    Args:
        reg: The registry.
        service: Name of the service.
        data_centres: The data centres that count; None for all.
    """
    return any(
        e.service == service
        and is_draining(reg, e)
        and not is_evacuated(reg, e)
        and _is_in(e, data_centres)
        for e in reg.entries.values()
    )


def noted(reg: Registry, service: str, now: float) -> tuple[str, ...]:
    """Lists the targets that get no new work only because of their answers.

    Other instances may not have heard of these answers.
    """
    if not reg.drain_notices.notices:
        return ()
    return tuple(
        e.name
        for e in reg.entries.values()
        if e.service == service
        and not e.draining
        and not is_evacuated(reg, e)
        and not is_usable(reg, e, now)
    )


def incarnations(reg: Registry) -> frozenset[str]:
    """Returns the incarnations that are registered."""
    return frozenset(incarnation(e) for e in reg.entries.values())


def ready_incarnations(reg: Registry) -> frozenset[str]:
    """Returns the incarnations whose rows say that they are ready."""
    if reg.ready is None:
        reg.ready = frozenset(
            incarnation(e) for e in reg.entries.values() if not e.draining
        )
    return reg.ready


def set_low_latency(reg: Registry, low_latency: frozenset[str]) -> None:
    """Sets the services with low latency between their data centres."""
    if low_latency != reg.low_latency:
        reg.low_latency = low_latency
        _clear_divisions(reg)


def set_evacuated(reg: Registry, data_centres: frozenset[str]) -> None:
    """Sets the data centres that are evacuated."""
    if data_centres != reg.evacuated:
        reg.evacuated = data_centres
        _clear_divisions(reg)


def _clear_divisions(reg: Registry) -> None:
    reg.divisions.clear()
    reg.restricted.clear()


def is_evacuated(reg: Registry, entry: routing.TargetEntry) -> bool:
    """Returns whether a target is in an evacuated data centre."""
    return entry.data_centre in reg.evacuated


def has_evacuated(
    reg: Registry, service: str, data_centres: frozenset[str] | None = None
) -> bool:
    """Returns whether a service has targets in evacuated data centres.

    Args:
        reg: The registry.
        service: Name of the service.
        data_centres: The data centres that count; None for all.
    """
    return bool(reg.evacuated) and any(
        e.service == service
        and is_evacuated(reg, e)
        and _is_in(e, data_centres)
        for e in reg.entries.values()
    )


def open_data_centres(
    reg: Registry, data_centres: frozenset[str] | None
) -> frozenset[str] | None:
    """Returns those of some data centres that are not evacuated.

    Args:
        reg: The registry.
        data_centres: The data centres; None for all.

    Returns:
        The data centres; None for all, if no target is evacuated.
    """
    if not reg.evacuated:
        return data_centres
    if data_centres is not None:
        return data_centres - reg.evacuated
    known = {e.data_centre for e in reg.entries.values()}
    known |= {e.data_centre for e, _ in reg.missing.values()}
    if known.isdisjoint(reg.evacuated):
        return None
    return frozenset(known - reg.evacuated)


def checkable(reg: Registry) -> list[routing.TargetEntry]:
    """Returns the registered targets that may get checks."""
    return [e for e in reg.entries.values() if not is_evacuated(reg, e)]


def forget(reg: Registry, names: Iterable[str]) -> None:
    """Drops targets that vanished, so that they are no last resort either."""
    for name in names:
        reg.missing.pop(name, None)


def _is_in(
    entry: routing.TargetEntry, data_centres: frozenset[str] | None
) -> bool:
    return data_centres is None or entry.data_centre in data_centres


def services(reg: Registry) -> frozenset[str]:
    """Returns the services that have targets."""
    if reg.services is None:
        reg.services = frozenset(e.service for e in reg.entries.values())
    return reg.services


def usable(
    reg: Registry,
    service: str,
    now: float,
    data_centres: frozenset[str] | None = None,
) -> list[routing.TargetEntry]:
    """Returns the targets of a service that may get new work."""
    return usable_by_shard(reg, service, now, data_centres).targets


def usable_by_shard(
    reg: Registry,
    service: str,
    now: float,
    data_centres: frozenset[str] | None = None,
) -> shards.Division:
    """Returns the targets of a service that may get new work, by shard.

    Args:
        reg: The registry.
        service: Name of the service.
        now: Monotonic time.
        data_centres: The data centres that the work may go to; None for all.
    """
    division = _restricted(reg, service, data_centres)
    if division.targets:
        return division
    resorts = shards.divide(
        [e for e in _last_resorts(reg, now) if e.service == service],
        low_latency=service in reg.low_latency,
    )
    return shards.restrict(resorts, data_centres)


def _restricted(
    reg: Registry, service: str, data_centres: frozenset[str] | None
) -> shards.Division:
    if data_centres is None:
        return _division(reg, service)
    key = (service, data_centres)
    if key not in reg.restricted:
        if len(reg.restricted) >= _MAX_RESTRICTED:
            reg.restricted.clear()
        reg.restricted[key] = shards.restrict(
            _division(reg, service), data_centres
        )
    return reg.restricted[key]


def _division(reg: Registry, service: str) -> shards.Division:
    division = reg.divisions.get(service)
    if division is None:
        division = shards.divide(
            [
                e
                for e in reg.entries.values()
                if e.service == service
                and not is_draining(reg, e)
                and not is_evacuated(reg, e)
            ],
            low_latency=service in reg.low_latency,
        )
        reg.divisions[service] = division
    return division


def _last_resorts(reg: Registry, now: float) -> list[routing.TargetEntry]:
    """Lists the targets that get work only if there are no others.

    These are targets that vanished around an outage, and for a part of the
    drain time those that have just said that they drain.
    """
    missing = [
        entry
        for entry, until in reg.missing.values()
        if now < until and not _is_noted(reg, entry)
    ]
    draining = [
        entry
        for entry in reg.entries.values()
        if not entry.draining
        and drain_notices.is_last_resort(
            reg.drain_notices, incarnation(entry), now
        )
    ]
    return [e for e in missing + draining if not is_evacuated(reg, e)]
