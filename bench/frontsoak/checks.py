"""Checks the guarantees to callers against what callers and targets saw."""

import collections

from bench.frontsoak import callers, cold_checks, drain_checks
from bench.frontsoak.findings import Finding
from bench.frontsoak.world import (
    CRASHING_PART,
    CallResult,
    LimitPeriod,
    World,
)
from copperloom.platform.standins import crashes

__all__ = ["check"]

# Adds to the callers' timeout the longest pause of a process, the longest delay
# of a link in both directions and a margin for a busy machine.
_MAX_CALL_S = callers.REQUEST_TIMEOUT_S + 1.2 + 0.6 + 0.9
# A kill or pause can still affect requests that begin this long after it.
_DISRUPTION_S = 2.0
_MIN_CALLS_PER_S = 5
_RUN_ONCE = ("/write/x", "/once/x", "/write/crash")
_DENIALS = (408, 421, 429, 503)
_PLAIN = ("/read/x", "/write/x")
# A request that has crashed this many targets may reach targets in a few more
# retries, sent by instances that ran undisturbed for the stability window. So
# may one with a part under which more targets have crashed.
_CRASHES = 3
_PART_CRASHES = 5
_MAX_RETRIES = 3
_STABILITY_WINDOW_S = 3.0
_LIMIT_WINDOW_S = 4.0
# Instances that are partitioned from all targets serve at least so much of what
# the others serve.
_MIN_SERVED_SHARE = 2 / 3
_MIN_COMPARED = 20


def check(world: World) -> list[Finding]:
    """Returns all violations of guarantees."""
    targets = world.targets.values()
    runs = collections.Counter(i for t in targets for i in t.runs)
    found = []
    for result in world.got:
        found += _check_runs(result, runs[result.id])
        found += _check_answer(world, result, runs[result.id])
    for body in world.crashing:
        found += _check_crashing(
            world, body, lambda r, b=body: r.body == b, _CRASHES
        )
    found += _check_crashing(
        world,
        CRASHING_PART,
        lambda r: crashes.has_part(r, CRASHING_PART),
        _PART_CRASHES,
    )
    for period in world.limits:
        starts = {r.born for r in world.targets[period.target].seen}
        for born in starts:
            found += _check_limit(world, period, born)
    found += drain_checks.check_draining(world)
    found += drain_checks.check_held(world)
    found += drain_checks.check_evacuated(world)
    found += cold_checks.check_cold(world)
    found += _check_partitions(world)
    # A target behind a silenced link can't learn that its caller disconnected.
    busy = [n for n, t in world.targets.items() if t.running]
    busy = [n for n in busy if n not in world.silenced]
    if busy:
        found.append(Finding("GONE", f"still at work: {busy}"))
    if len(world.got) < world.sizes.seconds * _MIN_CALLS_PER_S:
        found.append(Finding("SERVED", f"only {len(world.got)} requests"))
    return found


def _check_crashing(world: World, name, concerns, count) -> list[Finding]:
    """Checks the requests to targets after some crashes.

    Args:
        world: The schedule.
        name: What crashes targets, for the finding.
        concerns: Returns whether a received request has it.
        count: Number of crashes after which it must be known.
    """
    targets = world.targets.values()
    crashed_at = sorted(
        r.at for t in targets for r in t.crashed_by if concerns(r)
    )
    if len(crashed_at) < count:
        return []
    fronts = {result.id: result.front for result in world.got}
    late_after = crashed_at[count - 1] + _STABILITY_WINDOW_S
    late = [
        r.id
        for t in targets
        for r in t.seen
        if concerns(r)
        and r.at > late_after
        and r.id in fronts
        and _was_stable(world, fronts[r.id], r.at)
    ]
    if len(late) <= _MAX_RETRIES:
        return []
    detail = f"{name!r} crashed {count}, then sent: {late}"
    return [Finding("BUDGET", detail)]


def _check_limit(world: World, period: LimitPeriod, born: int) -> list[Finding]:
    """Checks the requests to one start of a target while it is limited."""
    received = [r for r in world.targets[period.target].seen if r.born == born]
    answered = [r.at for r in received if r.at >= period.since and r.ran]
    fronts = {result.id: result.front for result in world.got}
    begin = min(answered, default=period.until) + _STABILITY_WINDOW_S
    times = [
        r.at
        for r in received
        if begin <= r.at < period.until
        and r.id in fronts
        and _was_stable(world, fronts[r.id], r.at)
    ]
    most = max(
        (sum(t <= x < t + _LIMIT_WINDOW_S for x in times) for t in times),
        default=0,
    )
    if most <= 1.5 * period.per_s * _LIMIT_WINDOW_S + 5:
        return []
    return [Finding("LIMIT", f"{period}: {most} requests")]


def _check_partitions(world: World) -> list[Finding]:
    """Checks that callers of partitioned instances are served as others."""
    found = []
    for front in world.fronts:
        for since, until in front.partitions:
            span = (since + _STABILITY_WINDOW_S, until)
            here = [
                r for r in _calls_in(world, span) if r.front == front.number
            ]
            others = [
                r
                for r in _calls_in(world, span)
                if not _overlaps(world.fronts[r.front].partitions, span)
            ]
            if min(len(here), len(others)) < _MIN_COMPARED:
                continue
            share, usual = _served_share(here), _served_share(others)
            if share < _MIN_SERVED_SHARE * usual:
                detail = f"{front.number} {since}: {share:.2f} of {usual:.2f}"
                found.append(Finding("RECOVER", detail))
    return found


def _calls_in(world: World, span: tuple[float, float]) -> list[CallResult]:
    """Returns the sound calls to undisturbed instances in a time."""
    return [
        r
        for r in world.got
        if span[0] <= r.started_at <= span[1]
        and "crash" not in r.path
        and _was_stable(world, r.front, r.started_at)
    ]


def _overlaps(periods, span: tuple[float, float]) -> bool:
    return any(begin <= span[1] and end >= span[0] for begin, end in periods)


def _served_share(results: list[CallResult]) -> float:
    return sum(r.status == 200 and r.whole for r in results) / len(results)


def _was_stable(world: World, front: int, at: float) -> bool:
    times = world.fronts[front].signalled_at
    return not any(at - _STABILITY_WINDOW_S <= t <= at for t in times)


def _check_runs(result: CallResult, runs: int) -> list[Finding]:
    found = []
    if result.path in _RUN_ONCE and runs > 1:
        found.append(Finding("TWICE", f"{result.id} ran {runs} times"))
    if result.path in _RUN_ONCE and result.status in _DENIALS and runs:
        found.append(Finding("REFUSED", f"{result.id} was refused and ran"))
    return found


def _check_answer(world: World, result: CallResult, runs: int) -> list[Finding]:
    found = []
    if result.status in (401, 403, 404):
        found.append(Finding("DENIED", f"{result.id} got {result.status}"))
    if result.whole and result.status == 200 and not _is_correct(result):
        found.append(Finding("MIXED", f"{result.id}: {result.body[:80]!r}"))
    if result.ended_at - result.started_at > _MAX_CALL_S:
        took = result.ended_at - result.started_at
        found.append(Finding("LATE", f"{result.id} took {took:.1f} s"))
    # A plain request that a target ran must get an answer, unless its instance
    # was killed or paused.
    unanswered = result.path in _PLAIN and runs and not result.status
    if unanswered and not _was_disrupted(world, result):
        found.append(Finding("LOST", f"{result.id} got no answer"))
    return found


def _was_disrupted(world: World, result: CallResult) -> bool:
    times = world.fronts[result.front].disrupted_at
    return any(
        result.started_at - _DISRUPTION_S <= at <= result.ended_at
        for at in times
    )


def _is_correct(result: CallResult) -> bool:
    if result.path in _PLAIN:
        return result.body.endswith(f" did {result.id}".encode())
    expected = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6))
    return result.body.decode() == expected
