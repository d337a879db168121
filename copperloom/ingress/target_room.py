"""Refuses requests for which no target has room in time, or has them wait."""

from copperloom import exception, routing
from copperloom.decisions import (
    backoff,
    cold_start,
    limit_schedule,
    registry,
    target_room,
)
from copperloom.ingress import exchange

__all__ = [
    "check",
    "excluded",
    "find",
    "has_fresh",
    "has_room",
    "refuse_unplaced",
    "retry_after_s",
]

_MIN_RETRY_AFTER_S = 0.2
_FULL_RETRY_AFTER_S = 1.0
# Callers that were refused meanwhile return spread over a part of the time.
_SPREAD_SHARE = 0.25
_MAX_SPREAD_S = 0.5
# Targets that a placement query names; keeps it within a datagram. A plan with
# another one is noticed before it is sent.
_MAX_EXCLUDED = 1_000


def find(ex: exchange.Exchange, now: float) -> target_room.Room | None:
    """Returns what the targets leave to a request; None for no restriction."""
    if not _is_restricted(ex):
        return None
    usable = _usable(ex, now)
    may_lead = exchange.may_lead(ex)
    if may_lead is not None:
        usable = [e for e in usable if e.name in may_lead]
    untried = [e for e in usable if e.name not in ex.avoid]
    return _room(ex, untried or usable, now)


def _usable(ex: exchange.Exchange, now: float) -> list[routing.TargetEntry]:
    return registry.usable(ex.state.targets, ex.service, now, ex.data_centres)


def _is_restricted(ex: exchange.Exchange) -> bool:
    limits = ex.state.limits
    return bool(limits.limits or limits.cold.colds or ex.state.backoff.until)


def _room(
    ex: exchange.Exchange, targets: list[routing.TargetEntry], now: float
) -> target_room.Room | None:
    if not targets:
        return None
    return target_room.find_room(
        ex.state.limits,
        ex.state.backoff,
        {e.name: registry.incarnation(e) for e in targets},
        now,
        aim_s=ex.route.target_latency_s,
        waited_s=now - ex.arrived,
        left_s=ex.deadline - now,
    )


def check(ex: exchange.Exchange, now: float) -> float:
    """Refuses a request if no target has room for it in time.

    Returns:
        Seconds to wait until it is placed, 0 if a target may have room now.

    Raises:
        copperloom.exception.TargetsBackingOffError: All targets are
            held for longer than the request can wait.
        copperloom.exception.TargetsLimitedError: All targets are at their
            limits for longer than the request can wait.
    """
    room = find(ex, now)
    if room is None:
        return 0.0
    if room.none_in_time:
        raise _no_room_error(ex, room)
    return room.hold_s


def has_room(ex: exchange.Exchange, now: float) -> bool:
    """Returns whether a target may have room for a request in time."""
    room = find(ex, now)
    return room is None or not room.none_in_time


def refuse_unplaced(ex: exchange.Exchange, now: float) -> None:
    """Refuses a request that found no place, if all targets are limited.

    Limited targets free slots too slowly to wait for one, and none of them
    prefills parts of a prompt that exceeds one engine's memory.

    Raises:
        copperloom.exception.TargetsLimitedError: All targets name limits.
    """
    room = find(ex, now)
    if room is not None and room.all_limited:
        raise _limited_error(ex, room, _FULL_RETRY_AFTER_S)


def _no_room_error(
    ex: exchange.Exchange, room: target_room.Room
) -> exception.CopperloomError:
    if not room.held:
        return _limited_error(ex, room, room.first_s)
    limited = len(room.waits_s) - len(room.held)
    return exception.TargetsBackingOffError(
        f"retry later: all {len(room.waits_s)} targets of service "
        f"{ex.service} get no requests now ({len(room.held)} are backing off, "
        f"{limited} are at limits); the first is back in {room.first_s:.3f} s",
        run=ex.run,
        retry_after_s=_spread(ex, room.first_s),
    )


def _limited_error(
    ex: exchange.Exchange, room: target_room.Room, wait_s: float
) -> exception.TargetsLimitedError:
    return exception.TargetsLimitedError(
        f"retry later: all {len(room.waits_s)} targets of service "
        f"{ex.service} are at the rate limits that they name",
        run=ex.run,
        retry_after_s=max(_MIN_RETRY_AFTER_S, wait_s),
    )


def _spread(ex: exchange.Exchange, wait_s: float) -> float:
    spread_s = min(_MAX_SPREAD_S, _SPREAD_SHARE * wait_s)
    return wait_s + ex.state.rng.uniform(0.0, spread_s)


def retry_after_s(ex: exchange.Exchange, now: float, least_s: float) -> float:
    """Returns when the first target of a refused request's service has room.

    Args:
        ex: The request.
        now: Monotonic time.
        least_s: Time until a target that has room now may be tried again.

    Returns:
        That time from now, in seconds.
    """
    usable = _usable(ex, now)
    room = _room(ex, usable, now)
    if room is None:
        return least_s
    first_s = min(
        max(
            room.waits_s[e.name],
            backoff.hinted_wait_s(
                ex.state.backoff, registry.incarnation(e), now
            ),
        )
        for e in usable
    )
    return _spread(ex, first_s) if first_s > least_s else least_s


def has_fresh(ex: exchange.Exchange, now: float) -> bool:
    """Returns whether a request has a target that was not tried and has room.

    Targets that are known to reject requests of others do not count.
    """
    holds = ex.state.backoff
    return has_room(ex, now) and any(
        e.name not in ex.avoid
        and not backoff.is_hinted(holds, registry.incarnation(e), now)
        for e in _usable(ex, now)
    )


def excluded(ex: exchange.Exchange, now: float) -> tuple[str, ...]:
    """Lists the targets that must not get a request now.

    The instance that places the request may not know of them: targets that
    reject requests of this instance only, that leave no room within their
    limits, or that said that they drain.
    """
    state = ex.state
    names = list(registry.noted(state.targets, ex.service, now))
    room = find(ex, now)
    if room is not None:
        names += room.exhausted
        names += _exhausted_cold(ex, now, room.max_wait_s)
        names += [
            e.name
            for e in _usable(ex, now)
            if backoff.is_held(state.backoff, registry.incarnation(e), now)
        ]
    return tuple(dict.fromkeys(names))[:_MAX_EXCLUDED]


def _exhausted_cold(
    ex: exchange.Exchange, now: float, max_wait_s: float
) -> list[str]:
    """Lists cold targets without room, also those that were tried before.

    All targets of a shard may be cold and tried.
    """
    limits = ex.state.limits
    if not limits.cold.colds:
        return []
    exhausted = []
    for entry in registry.usable(ex.state.targets, ex.service, now):
        incarnation = registry.incarnation(entry)
        if cold_start.is_cold(limits.cold, incarnation, now):
            at = limit_schedule.earliest_send(limits, incarnation, now)
            if at - now > max_wait_s:
                exhausted.append(entry.name)
    return exhausted
