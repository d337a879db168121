"""Checks that targets which ask to be left alone get no more requests."""

import re

from bench.frontsoak.findings import Finding
from bench.frontsoak.world import CallResult, World
from copperloom.platform.standins.target import ReceivedRequest

__all__ = ["check_draining", "check_evacuated", "check_held"]

# The time limit for the last request after an answer was passed on that says
# that its target drains.
_DRAIN_S = 2.0
# Of one instance, a target gets at most _ALLOWED requests from _GRACE_S after
# it has rejected one until the time that it asked for has passed.
_ALLOWED = 2
_GRACE_S = 0.5
# Longest time that a disturbed link holds a request or an answer.
_LINK_S = 2.0
_EVACUATION_S = 5.0
_OFFERED = re.compile(r"event=request_offered request=(\S+) .*result=accepted")


def check_draining(world: World) -> list[Finding]:
    """Returns the requests that were sent too late to a draining target."""
    relayed = _sent_by_peers(world)
    results = {r.id: r for r in world.got if r.id not in relayed}
    last = _last_receivers(world, results)
    found = []
    for name, target in world.targets.items():
        told: dict[tuple[int, int], float] = {}
        for received in sorted(target.seen, key=lambda r: r.at):
            result = results.get(received.id)
            if result is None:
                continue
            key = (result.front, received.born)
            told_at = told.get(key)
            if told_at is not None and _is_late(
                world, result, told_at, received.at
            ):
                late_s = result.started_at - told_at
                detail = f"{received.id} to {name} {late_s:.3f} s after"
                found.append(Finding("DRAIN", detail))
            if received.draining == "1" and last.get(received.id) == name:
                _record_told(told, key, received, result)
    return found


def _last_receivers(
    world: World, results: dict[str, CallResult]
) -> dict[str, str]:
    """Returns the target that received each request last before its answer.

    A link may hold a request until after another target has answered it.
    """
    receipts = sorted(
        (received.at, received.id, name)
        for name, target in world.targets.items()
        for received in target.seen
        if received.id in results
        and received.at <= results[received.id].ended_at
    )
    return {request: name for _, request, name in receipts}


def _record_told(told, key, received: ReceivedRequest, result: CallResult):
    """Records when an instance passed on an answer that says it, if it did."""
    if received.ran and result.whole and result.status == 200:
        told[key] = min(told.get(key, result.ended_at), result.ended_at)


def _is_late(
    world: World, result: CallResult, told_at: float, reached_at: float
) -> bool:
    if result.started_at <= told_at + _DRAIN_S:
        return False
    return not _was_interrupted(world, result.front, told_at, reached_at)


def check_evacuated(world: World) -> list[Finding]:
    """Returns what undisturbed instances sent to evacuated targets."""
    return [
        Finding("EVACUATION", f"{kind} at {name}, {at - since:.3f} s after")
        for data_centre, since, until in world.evacuations
        for name, target in world.targets.items()
        if data_centre == ("b" if name.endswith("-1") else "a")
        for at, kind in target.arrivals
        if since + _EVACUATION_S < at < until and kind != "release"
        if not any(
            _is_excused(world, name, front, at - _LINK_S, at)
            for front in range(len(world.fronts))
        )
    ]


def check_held(world: World) -> list[Finding]:
    """Returns the targets that got too many requests after rejecting one."""
    relayed = _sent_by_peers(world)
    fronts = {r.id: r.front for r in world.got if r.id not in relayed}
    found = []
    for name, target in world.targets.items():
        for refused in target.seen:
            hold_s = _valid_time_s(refused)
            if hold_s is None or refused.id not in fronts:
                continue
            counted = [
                r.id
                for r in target.seen
                if r.born == refused.born
                and fronts.get(r.id) == fronts[refused.id]
                and refused.at + _GRACE_S <= r.at < refused.at + hold_s
                and not _is_excused(world, name, fronts[r.id], refused.at, r.at)
            ]
            if len(counted) > _ALLOWED:
                detail = f"{name} within {hold_s} s: {counted}"
                found.append(Finding("BUDGET", detail))
    return found


def _valid_time_s(refused: ReceivedRequest) -> float | None:
    """Returns the time that a target asked for; None without a valid one."""
    if not (refused.retry_after or "").replace(".", "").isdecimal():
        return None
    seconds = float(refused.retry_after)
    return seconds if seconds <= 3600 else None


def _is_excused(
    world: World, name: str, front: int, since: float, until: float
) -> bool:
    disturbed = any(
        fault.target == name
        and fault.since <= until
        and fault.until >= since - _LINK_S
        for fault in world.link_faults
    )
    return disturbed or _was_interrupted(world, front, since, until)


def _sent_by_peers(world: World) -> set[str]:
    """Returns the requests that an instance sent for another one.

    What their targets say or ask for concerns the instance that sent them.
    """
    offered = set()
    for front in world.fronts:
        lines = front.log_path.read_text(errors="replace").splitlines()
        offered.update(
            match[1] for match in map(_OFFERED.search, lines) if match
        )
    return offered


def _was_interrupted(
    world: World, front: int, since: float, until: float
) -> bool:
    """Returns whether an instance was restarted or frozen in a time."""
    process = world.fronts[front]
    times = [*process.started_at, *process.disrupted_at]
    return any(since <= at <= until for at in times)
