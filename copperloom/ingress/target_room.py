"""Refuses requests for which no target has room in time."""

from copperloom import exception
from copperloom.decisions import registry, target_room
from copperloom.ingress import exchange

__all__ = ["check", "exhausted", "find", "refuse_unplaced"]

_MIN_RETRY_AFTER_S = 0.2
_FULL_RETRY_AFTER_S = 1.0


def find(ex: exchange.Exchange, now: float) -> target_room.Room | None:
    """Returns what the limits leave to a request; None without any limit."""
    state = ex.state
    if not state.limits.limits:
        return None
    usable = registry.usable(state.targets, ex.service, now)
    untried = [e for e in usable if e.name not in ex.avoid]
    return target_room.find_room(
        state.limits,
        {e.name: registry.incarnation(e) for e in untried or usable},
        now,
        aim_s=ex.route.target_latency_s,
        waited_s=now - ex.arrived,
        left_s=ex.deadline - now,
    )


def check(ex: exchange.Exchange, now: float) -> None:
    """Refuses a request if no target has room for it within its limit.

    Raises:
        copperloom.exception.TargetsLimitedError: All targets are at their
            limits for longer than the request can wait.
    """
    room = find(ex, now)
    if room is not None and len(room.exhausted) == len(room.waits_s):
        raise _limited_error(ex, room, min(room.waits_s.values()))


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


def _limited_error(
    ex: exchange.Exchange, room: target_room.Room, wait_s: float
) -> exception.TargetsLimitedError:
    return exception.TargetsLimitedError(
        f"retry later: all {len(room.waits_s)} targets of service "
        f"{ex.service} are at the rate limits that they name",
        run=ex.run,
        retry_after_s=max(_MIN_RETRY_AFTER_S, wait_s),
    )


def exhausted(ex: exchange.Exchange, now: float) -> tuple[str, ...]:
    """Lists the targets whose limit leaves no room for a request in time."""
    room = find(ex, now)
    return room.exhausted if room is not None else ()
