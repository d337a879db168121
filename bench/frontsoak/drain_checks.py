"""Checks that targets which say that they drain get no more requests."""

from bench.frontsoak.findings import Finding
from bench.frontsoak.world import CallResult, World
from copperloom.platform.standins.target import ReceivedRequest

__all__ = ["check_draining"]

# The time limit for the last request after an answer was passed on that says
# that its target drains.
_DRAIN_S = 2.0


def check_draining(world: World) -> list[Finding]:
    """Returns the requests that were sent too late to a draining target."""
    results = {result.id: result for result in world.got}
    last = _last_receivers(world)
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
            if received.leaving == "1" and last[received.id] == name:
                _record_told(told, key, received, result)
    return found


def _last_receivers(world: World) -> dict[str, str]:
    """Returns the target that received each request last."""
    receipts = sorted(
        (received.at, received.id, name)
        for name, target in world.targets.items()
        for received in target.seen
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


def _was_interrupted(
    world: World, front: int, since: float, until: float
) -> bool:
    """Returns whether an instance was restarted or frozen in a time."""
    process = world.fronts[front]
    times = [*process.started_at, *process.disrupted_at]
    return any(since <= at <= until for at in times)
