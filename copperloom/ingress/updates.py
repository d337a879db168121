"""Takes over what the platform or a peer tells of routes and targets.

Both come late and twice; only what is newer than what is known counts.
"""

import asyncio

from copperloom import logs
from copperloom.decisions import inflight_table, registry, rowlog, shards
from copperloom.ingress.state import IngressState
from copperloom.platform import decoding

__all__ = ["apply_routes", "apply_targets"]

# Changes that come together are logged one by one up to so many.
_MOST_LOGGED = 100


def apply_routes(state: IngressState, raw: bytes, source: str) -> bool:
    """Takes over an operators' document if it is newer than what is known.

    Only a higher version is taken: what comes late, from the platform or a
    peer, must not take back what callers have seen in force.
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
    state.table = table
    near = {
        s.name
        for s in table.services.values()
        if shards.has_low_latency(s.engine)
    }
    registry.set_low_latency(state.targets, frozenset(near))
    state.routes_at = asyncio.get_running_loop().time()
    state.routes_raw = raw
    state.routes_packed = b""
    _note_change(state)
    return True


def apply_targets(
    state: IngressState,
    rows: list[rowlog.Row],
    version: int,
    *,
    whole: bool,
    source: str,
) -> None:
    """Takes over registrations, and logs what they change.

    Args:
        state: The instance's state.
        rows: All rows, or those that have changed.
        version: Version that they are as of, not lower than the known one.
        whole: Whether they are all there are.
        source: Who told them, for the log.
    """
    now = asyncio.get_running_loop().time()
    touched = [r.key for r in rows]
    if whole:
        touched = [*{*touched, *state.targets.entries}]
    before = {n: state.targets.entries.get(n) for n in touched}
    changes = [(r.key, decoding.decode_target(r.key, r.value)) for r in rows]
    if whole:
        entries = [entry for _, entry in changes if entry is not None]
        rowlog.replace(state.target_rows, rows, version)
        started = registry.replace(state.targets, entries, version, now)
    else:
        rowlog.update(state.target_rows, rows)
        started = registry.update(state.targets, changes, version, now)
    for entry in started:
        if before.get(entry.name) is not None:
            # Peers may have told of work at one that is only new here.
            inflight_table.drop_target(state.inflight, entry.name)
        state.health.pop(entry.name, None)
        state.peer_health.pop(entry.name, None)
        state.failure_reports.pop(entry.name, None)
    for name, entry in before.items():
        if entry is not None and name not in state.targets.entries:
            inflight_table.drop_target(state.inflight, name)
    _log_targets(state, before, source)
    state.targets_at = now
    _note_change(state)


def _note_change(state: IngressState) -> None:
    if state.table.version and state.targets.entries:
        state.routing_known.set()
    state.digest_due.set()
    state.changed.set()


def _log_targets(state: IngressState, before: dict, source: str) -> None:
    """Logs each target that has changed; many at once only by their number."""
    after = state.targets.entries
    changed = [n for n in sorted(before) if after.get(n) != before[n]]
    if len(changed) > _MOST_LOGGED:
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
            state=_word(entry),
            service=entry.service if entry else "",
            version=state.targets.version,
            source=source,
        )


def _word(entry) -> str:
    if entry is None:
        return "gone"
    return "draining" if entry.draining else "ready"
