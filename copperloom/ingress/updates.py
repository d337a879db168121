"""Applies routes and targets that come from the platform or a peer.

Updates may come late and more than once, so only newer ones are applied.
"""

import asyncio

from copperloom import logs, versions
from copperloom.decisions import (
    drain_notices,
    inflight_table,
    registry,
    rowlog,
    shards,
    target_limits,
)
from copperloom.ingress import (
    cold_targets,
    removed_targets,
    target_checks,
    unreadable_targets,
)
from copperloom.ingress.state import IngressState
from copperloom.platform import decoding

__all__ = ["apply_routes", "apply_targets"]

# Larger updates of targets are logged as one line with their number.
_MAX_LOGGED = 100


def apply_routes(state: IngressState, raw: bytes, source: str) -> bool:
    """Applies an operators' document if its version is higher.

    A late document must not revert routes that callers have seen in force.

    Args:
        state: The instance's state.
        raw: The document.
        source: Where it comes from, for the log.

    Returns:
        Whether the document was applied.
    """
    table = decoding.decode_table(raw)
    if table is None:
        logs.event("routes_unreadable", level="ERROR", source=source)
        return False
    if table.version <= state.table.version:
        return False
    logs.event(
        "routes_adopted",
        version=table.version,
        before=state.table.version,
        routes=len(table.routes),
        source=source,
    )
    before, state.table = state.table, table
    now = asyncio.get_running_loop().time()
    cold_targets.record_services(state, before, now)
    low_latency = {
        s.name
        for s in table.services.values()
        if shards.has_low_latency(s.engine)
    }
    registry.set_low_latency(state.targets, frozenset(low_latency))
    state.routes_at = now
    state.routes_raw = raw
    state.routes_packed = b""
    _signal_change(state)
    return True


def apply_targets(
    state: IngressState,
    rows: list[rowlog.Row],
    version: versions.Version,
    *,
    whole: bool,
    source: str,
) -> None:
    """Applies registrations, and logs what they change.

    Args:
        state: The instance's state.
        rows: All rows, or those that have changed.
        version: Version of the table as of which the rows are complete.
        whole: Whether these are all rows of the table.
        source: Where they come from, for the log.
    """
    now = asyncio.get_running_loop().time()
    is_first = not state.targets.version.number
    touched = [r.key for r in rows]
    if whole:
        touched = [*{*touched, *state.targets.entries}]
    before = {n: state.targets.entries.get(n) for n in touched}
    changes = [(r.key, decoding.decode_target(r.key, r.value)) for r in rows]
    unreadable = unreadable_targets.find(rows, changes)
    unreadable_targets.log(unreadable, state.target_rows, source)
    if whole:
        missing = set(touched).difference(row.key for row in rows)
        removed_targets.record_missing(state, missing, version)
    changes = removed_targets.hold_outdated(state, rows, changes)
    if whole:
        entries = [entry for _, entry in changes if entry is not None]
        rowlog.replace(state.target_rows, rows, version)
        latest = _latest_change(state, version)
        started = registry.replace(state.targets, entries, latest, now)
    else:
        rowlog.update(state.target_rows, rows)
        latest = _latest_change(state, version)
        started = registry.update(state.targets, changes, latest, now)
    registry.confirm(state.targets, version)
    registry.forget(state.targets, [row.key for row in unreadable])
    target_checks.confirm_restarts(state, started, now)
    cold_targets.record_registrations(state, before, now, is_first=is_first)
    for entry in started:
        if before.get(entry.name) is not None:
            # Only a restart ends earlier work: a target that is merely new to
            # this instance may have work that peers reported.
            inflight_table.drop_target(state.inflight, entry.name)
        state.health.pop(entry.name, None)
        state.peer_health.pop(entry.name, None)
        state.failure_reports.pop(entry.name, None)
    for name, entry in before.items():
        if entry is not None and name not in state.targets.entries:
            inflight_table.drop_target(state.inflight, name)
    _drop_gone(state, now)
    _log_targets(state, before, source)
    state.targets_at = now
    _signal_change(state)


def _latest_change(
    state: IngressState, version: versions.Version
) -> versions.Version:
    """Returns the version of the latest change to the registrations.

    It is that of a row, not of the table service, so that instances with the
    same rows name the same version, and none fetches from another in vain.
    """
    start = versions.Version(version.era)
    newest = rowlog.newest(state.target_rows)
    return max(start, newest, state.targets.version)


def _drop_gone(state: IngressState, now: float) -> None:
    """Drops what targets said of themselves long after they have gone."""
    notices = state.targets.drain_notices
    limits = state.limits
    if not (limits.limits or limits.cold.colds or notices.notices):
        return
    registered = registry.incarnations(state.targets)
    target_limits.drop_gone(limits, registered, now)
    for target in drain_notices.drop_oldest_gone(notices, registered):
        logs.event("drain_notice_dropped", target=target)


def _signal_change(state: IngressState) -> None:
    if state.table.version and state.targets.entries:
        state.routing_known.set()
    state.digest_due.set()
    state.changed.set()


def _log_targets(state: IngressState, before: dict, source: str) -> None:
    """Logs each changed target, or only their number if they are many."""
    after = state.targets.entries
    changed = [n for n in sorted(before) if after.get(n) != before[n]]
    if len(changed) > _MAX_LOGGED:
        logs.event(
            "targets_adopted",
            changed=len(changed),
            targets=len(after),
            version=state.targets.version,
            source=source,
        )
        return
    for name in changed:
        entry = after.get(name)
        logs.event(
            "target_changed",
            target=name,
            state=_state_name(entry),
            service=entry.service if entry else "",
            version=state.targets.version,
            source=source,
        )


def _state_name(entry) -> str:
    if entry is None:
        return "gone"
    return "draining" if entry.draining else "ready"
