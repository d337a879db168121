"""Keeps removed targets out of use after a return of the table service.

Their rows in an older copy are held: they count as missing. Instances tell each
other of the removals concerned. A target that lives although its row was
removed, as after a silence, is used again once it registers or answers a check.
"""

import asyncio
from collections.abc import Iterable

from copperloom import exception, logs, routing, versions
from copperloom.decisions import (
    inflight_table,
    registry,
    removed_targets,
    rowlog,
)
from copperloom.ingress import health_checks, wire_knowledge
from copperloom.ingress.state import IngressState, fleet_size
from copperloom.platform import headers
from copperloom.utils import waits

__all__ = ["apply", "hold_outdated", "record_missing", "run", "to_share"]

# Interval of the checks of one held target, by all instances together.
_CHECK_S = 0.5
_TICK_S = 0.25
_CHECK_TIMEOUT_S = 0.5
_MAX_SHARED = 60
_OK = 200

# Names and decoded registrations; None for one that was removed.
Changes = list[tuple[str, routing.TargetEntry | None]]


def hold_outdated(
    state: IngressState, rows: list[rowlog.Row], changes: Changes
) -> Changes:
    """Records removals; returns the changes without outdated registrations.

    Args:
        state: The instance's state.
        rows: All rows, or those that have changed.
        changes: What they were decoded to, in the same order.
    """
    known = state.removed_targets
    kept = []
    for row, (name, entry) in zip(rows, changes, strict=True):
        if row.value is None:
            removed_targets.record(known, name, _last(state, name), row.version)
        elif entry is not None:
            entry = _check_row(state, entry, row.version)
        kept.append((name, entry))
    return kept


def record_missing(
    state: IngressState, names: Iterable[str], version: versions.Version
) -> None:
    """Records targets whose rows are missing in a whole table.

    After a return of the table service a missing row may be written again, so
    it is no removal.

    Args:
        state: The instance's state.
        names: Names of the targets.
        version: Version of the table.
    """
    known = state.removed_targets
    is_return = version.era != state.targets.version.era
    for name in names:
        known.held.pop(name, None)
        if not is_return:
            removed_targets.record(known, name, _last(state, name), version)


def _last(state: IngressState, name: str) -> routing.TargetEntry | None:
    return registry.find(state.targets, name)


def _check_row(
    state: IngressState, entry: routing.TargetEntry, version: versions.Version
) -> routing.TargetEntry | None:
    """Returns a registration, or None if it is held."""
    known = state.removed_targets
    if removed_targets.is_outdated(known, entry, version):
        if known.held.get(entry.name) != entry:
            logs.event(
                "target_held",
                target=registry.incarnation(entry),
                sequence=entry.sequence,
                version=version,
                removed=known.removals[entry.name].version,
            )
        known.held[entry.name] = entry
        return None
    removal = known.removals.get(entry.name)
    if removal is not None and not removal.is_back:
        removed_targets.forget(known, entry.name)
    return entry


def apply(
    state: IngressState,
    wires: Iterable[wire_knowledge.WireRemoval],
    now: float,
    *,
    source: str,
) -> None:
    """Merges what a peer knows of removed targets.

    Args:
        state: The instance's state.
        wires: What the peer has sent.
        now: Monotonic time.
        source: Name of the peer.
    """
    known = state.removed_targets
    for wire in wires:
        removal = wire_knowledge.decode_removal(wire)
        if not removed_targets.merge(known, removal, now):
            continue
        name = removal.name
        if removal.is_back:
            _use_again(state, name, source, now)
            continue
        entry = state.targets.entries.get(name)
        row = state.target_rows.rows.get(name)
        if entry is None or row is None:
            continue
        if _check_row(state, entry, row.version) is None:
            _drop(state, name, now)


def _drop(state: IngressState, name: str, now: float) -> None:
    registry.update(state.targets, [(name, None)], state.targets.version, now)
    registry.forget(state.targets, [name])
    inflight_table.drop_target(state.inflight, name)
    state.changed.set()


def to_share(
    state: IngressState, now: float
) -> list[wire_knowledge.WireRemoval]:
    """Returns what a message should say about removed targets."""
    found = removed_targets.to_share(state.removed_targets, now, _MAX_SHARED)
    return [wire_knowledge.encode_removal(removal) for removal in found]


async def run(state: IngressState) -> None:
    """Checks held targets, until cancelled."""
    while True:
        await asyncio.sleep(_TICK_S)
        if state.reachability.is_lost:
            continue
        # Instances check independently: some may not reach the target.
        share = _TICK_S / (_CHECK_S * fleet_size(state))
        for entry in list(state.removed_targets.held.values()):
            if state.rng.random() < share:
                await _check(state, entry)


async def _check(state: IngressState, target: routing.TargetEntry) -> None:
    task = asyncio.ensure_future(_is_alive(state, target))
    if not await waits.wait(task, _CHECK_TIMEOUT_S) or not task.result():
        return
    now = asyncio.get_running_loop().time()
    known = state.removed_targets
    if known.held.get(target.name) is not target:
        return
    _use_again(state, target.name, "check", now)
    known.told_at[target.name] = now
    state.digest_due.set()


async def _is_alive(state: IngressState, target: routing.TargetEntry) -> bool:
    """Returns whether a target says itself that it takes work."""
    try:
        async with health_checks.send(state, target) as reply:
            drains = headers.read_reply(reply.headers).drains
            return reply.status == _OK and not drains
    except (
        exception.TargetUnreachableError,
        exception.StreamBrokenError,
    ):
        # Nothing tells that it is back.
        return False


def _use_again(state: IngressState, name: str, source: str, now: float) -> None:
    """Uses a target again that is back although its row was removed."""
    removed_targets.mark_back(state.removed_targets, name)
    entry = state.removed_targets.held.pop(name, None)
    logs.event(
        "target_back", target=name, source=source, was_held=entry is not None
    )
    if entry is not None:
        registry.update(
            state.targets, [(name, entry)], state.targets.version, now
        )
        state.changed.set()
