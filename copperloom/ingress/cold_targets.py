"""Records which targets are cold, by all that tells of it.

These are registrations, what targets say in their answers, connections that
failed, ends of evacuations, and the digests of peers.
"""

import asyncio
import math
from collections.abc import Iterable, Mapping

from copperloom import exception, logs, routing
from copperloom.decisions import cold_start, registry
from copperloom.ingress import (
    answers,
    exchange,
    reachability_checks,
    wire_knowledge,
)
from copperloom.ingress.state import IngressState

__all__ = [
    "apply",
    "log_change",
    "presume_cold",
    "record_answer",
    "record_contact",
    "record_failure",
    "record_registrations",
    "record_services",
]


def _start(state: IngressState, service: str) -> cold_start.Start:
    spec = state.table.services.get(service)
    if spec is None:
        return cold_start.Start(0.0, 0.0)
    return cold_start.Start(spec.cold_per_s, spec.cold_start_s)


def record_registrations(
    state: IngressState,
    before: Mapping[str, routing.TargetEntry | None],
    now: float,
    *,
    is_first: bool,
) -> None:
    """Records what changed registrations say.

    Args:
        state: The instance's state, with the registrations applied.
        before: The earlier registrations of the targets that may have changed.
        now: Monotonic time.
        is_first: Whether no registrations were known before.
    """
    for name, old in before.items():
        entry = state.targets.entries.get(name)
        if entry is None or entry == old:
            continue
        if is_first:
            _record_first_read(state, entry, now)
        else:
            _record_registration(state, entry, old, now)


def record_services(
    state: IngressState, before: routing.RoutingTable, now: float
) -> None:
    """Records the registrations of services that may be cold from now on.

    Args:
        state: The instance's state, with the operators' document applied.
        before: The earlier document.
        now: Monotonic time.
    """
    services = {
        name
        for name, spec in state.table.services.items()
        if spec.cold_per_s > 0.0
        and (
            name not in before.services or not before.services[name].cold_per_s
        )
    }
    if not services:
        return
    for entry in state.targets.entries.values():
        if entry.service in services:
            _record_first_read(state, entry, now)


def _record_first_read(
    state: IngressState, entry: routing.TargetEntry, now: float
) -> None:
    cold_start.record_first_read(
        state.limits.cold,
        registry.incarnation(entry),
        _start(state, entry.service),
        entry.cold_remaining_s,
        now,
    )


def _record_registration(
    state: IngressState,
    entry: routing.TargetEntry,
    old: routing.TargetEntry | None,
    now: float,
) -> None:
    known = state.limits.cold
    incarnation = registry.incarnation(entry)
    is_same = old is not None and registry.incarnation(old) == incarnation
    if entry.cold_remaining_s:
        if old is not None and not is_same:
            _keep_schedule(state, registry.incarnation(old), incarnation)
        changed = cold_start.extend(
            known,
            incarnation,
            _start(state, entry.service),
            entry.cold_remaining_s,
            now,
        )
    else:
        # A failure may be newer than a row that says nothing new.
        was_cold = is_same and old.cold_remaining_s > 0.0
        changed = (
            was_cold
            and incarnation not in cold_start.unreached(known)
            and cold_start.end(known, incarnation, now, now)
        )
    if changed:
        log_change(state, incarnation, now, reason="registration")


def _keep_schedule(state: IngressState, old: str, new: str) -> None:
    """Continues the schedule of a target that has started again."""
    next_at = state.limits.schedules.get(old)
    if next_at is not None:
        state.limits.schedules.setdefault(new, next_at)


def record_answer(ex: exchange.Exchange, answer: answers.Answer) -> None:
    """Records whether an answer says that its target is cold."""
    if answer.is_own:
        record_contact(
            ex.state,
            answer.target,
            answer.facts.cold_s,
            ex.attempt_at,
            answer.at,
        )


def record_contact(
    state: IngressState,
    target: routing.TargetEntry,
    left_s: float | None,
    begun_at: float,
    now: float,
) -> None:
    """Records that a target has answered.

    Args:
        state: The instance's state.
        target: The target.
        left_s: Seconds for which it says that it is cold; None if it does not.
        begun_at: Monotonic time at which it was asked.
        now: Monotonic time.
    """
    known = state.limits.cold
    incarnation = registry.incarnation(target)
    changed = cold_start.record_contact(
        known, incarnation, left_s, begun_at, now
    )
    if not changed and left_s:
        start = _start(state, target.service)
        changed = cold_start.extend(known, incarnation, start, left_s, now)
    elif not changed and left_s is not None:
        changed = cold_start.end(known, incarnation, begun_at, now)
    if changed:
        log_change(state, incarnation, now, reason="answer")


def record_failure(
    state: IngressState,
    target: routing.TargetEntry | None,
    error: exception.CopperloomError,
) -> None:
    """Records a failed connection, after which a target may start again.

    Nothing is recorded if this instance is partitioned from all targets.
    """
    if target is None or not _has_ended_connection(error):
        return
    if _start(state, target.service).per_s <= 0.0:
        return
    task = asyncio.ensure_future(_record_if_confirmed(state, target))
    state.background.add(task)
    task.add_done_callback(state.background.discard)


def _has_ended_connection(error: exception.CopperloomError) -> bool:
    if isinstance(error, exception.TargetUnreachableError):
        return True
    return getattr(error, "connection_lost", False)


async def _record_if_confirmed(
    state: IngressState, target: routing.TargetEntry
) -> None:
    if not await reachability_checks.confirm(state):
        return
    now = asyncio.get_running_loop().time()
    incarnation = registry.incarnation(target)
    start = _start(state, target.service)
    if cold_start.record_failure(state.limits.cold, incarnation, start, now):
        log_change(state, incarnation, now, reason="failure")


def presume_cold(state: IngressState, data_centre: str, now: float) -> None:
    """Records that all targets of a data centre may be cold.

    Args:
        state: The instance's state.
        data_centre: A data centre whose evacuation has ended.
        now: Monotonic time.
    """
    for entry in _targets_in(state, data_centre):
        incarnation = registry.incarnation(entry)
        start = _start(state, entry.service)
        if cold_start.extend(
            state.limits.cold, incarnation, start, start.duration_s, now
        ):
            log_change(state, incarnation, now, reason="evacuation_ended")


def _targets_in(
    state: IngressState, data_centre: str
) -> Iterable[routing.TargetEntry]:
    return (
        e
        for e in state.targets.entries.values()
        if e.data_centre == data_centre
    )


def apply(
    state: IngressState,
    wire: wire_knowledge.WireCold,
    now: float,
    *,
    source: str,
    forwards: bool,
) -> bool:
    """Merges what a peer knows of a cold target.

    Args:
        state: The instance's state.
        wire: What the peer knows.
        now: Monotonic time.
        source: Name of the peer.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether that has changed what is known.
    """
    report = wire_knowledge.decode_cold(wire)
    changed = cold_start.merge(
        state.limits.cold, wire.target, report, now, forwards=forwards
    )
    if changed:
        _log(state, wire.target, now, reason="peer", source=source)
    return changed


def log_change(
    state: IngressState, incarnation: str, now: float, *, reason: str
) -> None:
    """Logs what this instance has found out, and has peers told of it."""
    _log(state, incarnation, now, reason=reason)
    state.digest_due.set()


def _log(
    state: IngressState, incarnation: str, now: float, *, reason: str, **source
) -> None:
    cold = state.limits.cold.colds[incarnation]
    state.metrics.cold_changes.labels(reason).inc()
    logs.event(
        "cold_changed",
        target=incarnation,
        reason=reason,
        left_s=None if math.isinf(cold.until) else round(cold.until - now, 3),
        rate_per_s=cold_start.owner_rate_per_s(state.limits.cold, incarnation),
        revision=cold.revision,
        **source,
    )
    # Requests may wait for a target that is no longer cold.
    state.changed.set()
