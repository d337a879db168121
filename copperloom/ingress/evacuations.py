"""Applies what operators and peers say about evacuated data centres."""

import asyncio
from collections.abc import Iterable

from copperloom import logs, versions
from copperloom.decisions import evacuation, registry
from copperloom.decisions.sharing import Occasion
from copperloom.ingress import cold_targets, wire_knowledge
from copperloom.ingress.state import IngressState
from copperloom.platform import catalog

__all__ = ["apply_peer", "apply_rows", "on_ended", "to_share"]

_STORE = "store"
_MAX_LOGGED_NAME = 100


def apply_rows(
    state: IngressState,
    rows: Iterable[catalog.EvacuationRow],
    whole_version: versions.Version | None,
) -> None:
    """Applies rows of the operators' table.

    Args:
        state: The instance's state.
        rows: All rows about evacuations, or those that have changed.
        whole_version: Version of the table if these are all rows, else None.
    """
    now = asyncio.get_running_loop().time()
    reports = _reports(rows)
    with_targets = _data_centres(state)
    if whole_version is None:
        changes = evacuation.record(
            state.evacuations,
            reports,
            now,
            forwards=True,
            with_targets=with_targets,
        )
    else:
        changes = evacuation.record_whole(
            state.evacuations,
            reports,
            whole_version,
            now,
            lapse_at=state.targets.outage_at + registry.LAPSE_S,
            with_targets=with_targets,
        )
        _schedule_lapse(state)
    _adopt(state, changes, now, _STORE)
    if changes:
        state.digest_due.set()


def _schedule_lapse(state: IngressState) -> None:
    """Has evacuations end whose rows an older copy of the table lacks."""
    for name, (_, lapse_at) in state.evacuations.lapsing.items():
        logs.event(
            "evacuation_missing",
            data_centre=name,
            version=state.evacuations.known[name].report.version,
        )
        loop = asyncio.get_running_loop()
        loop.call_at(lapse_at, _end_lapsed, state)


def _end_lapsed(state: IngressState) -> None:
    now = asyncio.get_running_loop().time()
    changes = evacuation.end_lapsed(state.evacuations, now)
    _adopt(state, changes, now, _STORE)
    if changes:
        state.digest_due.set()


def _reports(
    rows: Iterable[catalog.EvacuationRow],
) -> list[evacuation.Report]:
    """Returns what rows say; one that names no data centre is skipped."""
    reports = []
    for row in rows:
        if not evacuation.is_name(row.data_centre):
            logs.event(
                "evacuation_unreadable",
                data_centre=ascii(row.data_centre[:_MAX_LOGGED_NAME]),
                version=row.version,
            )
            continue
        reports.append(
            evacuation.Report(row.data_centre, row.version, row.active)
        )
    return reports


def apply_peer(
    state: IngressState,
    wires: Iterable[wire_knowledge.WireEvacuation],
    now: float,
    *,
    source: str,
    forwards: bool,
) -> bool:
    """Merges what a peer knows.

    Args:
        state: The instance's state.
        wires: What the peer has sent.
        now: Monotonic time.
        source: Name of the peer.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether anything was new.
    """
    era = state.store.era or 0
    told = [wire_knowledge.decode_evacuation(wire, era) for wire in wires]
    with_targets = _data_centres(state)
    ends = evacuation.missed_ends(state.evacuations, told)
    if ends:
        evacuation.record(
            state.evacuations,
            ends,
            now,
            forwards=True,
            with_targets=with_targets,
        )
        state.digest_due.set()
    changes = evacuation.record(
        state.evacuations,
        told,
        now,
        forwards=forwards,
        with_targets=with_targets,
    )
    _adopt(state, changes, now, source)
    return bool(changes)


def to_share(
    state: IngressState, now: float, occasion: Occasion
) -> list[wire_knowledge.WireEvacuation]:
    """Returns what a message should say about evacuations."""
    reports = evacuation.to_share(state.evacuations, now, occasion)
    return [wire_knowledge.encode_evacuation(report) for report in reports]


def _data_centres(state: IngressState) -> frozenset[str]:
    return frozenset(e.data_centre for e in state.targets.entries.values())


def _adopt(
    state: IngressState,
    changes: list[evacuation.Change],
    now: float,
    source: str,
) -> None:
    if not changes:
        return
    registry.set_evacuated(state.targets, evacuation.active(state.evacuations))
    for change in changes:
        _log(state, change, source)
        if change.has_ended:
            on_ended(state, change.report.data_centre, now)
    # Requests wait for targets that may have left or come back.
    state.changed.set()


def _log(state: IngressState, change: evacuation.Change, source: str) -> None:
    if not (change.has_begun or change.has_ended):
        return
    name = change.report.data_centre
    result = "begun" if change.has_begun else "ended"
    state.metrics.evacuations.labels(result).inc()
    entries = state.targets.entries.values()
    logs.event(
        f"evacuation_{result}",
        data_centre=name,
        version=change.report.version,
        targets=sum(e.data_centre == name for e in entries),
        source=source,
    )


def on_ended(state: IngressState, data_centre: str, now: float) -> None:
    """Handles the end of an evacuation, after which targets get work again.

    They may have become cold meanwhile.

    Args:
        state: The instance's state.
        data_centre: The data centre.
        now: Monotonic time.
    """
    cold_targets.presume_cold(state, data_centre, now)
