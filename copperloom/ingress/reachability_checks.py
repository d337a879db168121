"""Finds out whether this instance is partitioned from all targets.

A failed connection begins a round of checks of other targets. If none of them
answers either, requests go to peers (see `peer_relay`) until checks are
answered again. Nothing that was observed meanwhile is held against targets or
requests.
"""

import asyncio
import contextlib

from copperloom import exception, logs, routing
from copperloom.decisions import members, reachability, readiness, registry
from copperloom.ingress import exchange, long_answers, sender
from copperloom.ingress.state import (
    IngressState,
    Member,
    is_large_fleet,
    live_members,
)
from copperloom.platform import headers
from copperloom.utils import waits

__all__ = [
    "begin",
    "confirm",
    "describe",
    "expect_answer",
    "is_partitioned",
    "is_withdrawn",
    "peers_in_reach",
    "record_error",
    "run",
    "settle",
]

# A check is a request that targets answer without delay.
CHECK_TIMEOUT_S = 0.35
_MAX_CONNECT_S = 3.0
# The first target of a round has this time before others are checked as well.
HEAD_START_S = 0.1
# Interval between rounds that begin without a failed connection.
MIN_INTERVAL_S = 0.2
# Time beyond the predicted one after which an answer is late.
LATE_S = 0.5
# A request waits for a round of checks this long at most.
SETTLE_S = 0.5
# Interval between checks while no target is reached; shorter once one answers.
RETRY_S = 0.4
CONFIRM_S = 0.1


def record_error(
    state: IngressState,
    target: routing.TargetEntry | None,
    error: exception.CopperloomError,
    now: float,
) -> None:
    """Records a failed attempt; checks other targets if its connection failed.

    Args:
        state: The instance's state.
        target: The target at fault; None if it is no longer registered.
        error: The failure.
        now: Monotonic time.
    """
    if target is None or not _is_unreached(error):
        return
    reachability.record_failure(
        state.reachability, target, now, is_silent=error.is_silent
    )
    _start_round(state)


def _is_unreached(error: exception.CopperloomError) -> bool:
    if isinstance(error, exception.TargetUnreachableError):
        return True
    return isinstance(error, exception.StreamBrokenError) and (
        error.connection_lost or error.is_silent
    )


def describe(state: IngressState, now: float) -> dict:
    """Returns log fields that tell a fault of a target from a partition."""
    known = state.reachability
    return {
        "unreached_targets": len(known.failures),
        "answered_ago_s": round(now - known.answered_at, 3),
    }


def expect_answer(ex: exchange.Exchange, now: float) -> asyncio.TimerHandle:
    """Checks targets if an attempt is answered late, unless cancelled.

    Args:
        ex: The request, whose attempt begins now.
        now: Monotonic time.
    """
    late_at = now + _expected_s(ex, now) + LATE_S
    loop = asyncio.get_running_loop()
    return loop.call_at(late_at, _check_if_silent, ex, now)


def _expected_s(ex: exchange.Exchange, now: float) -> float:
    if not ex.head.prompt_tokens:
        return ex.route.target_latency_s
    return max(0.0, ex.plan.first_token_s - (now - ex.arrived))


def _check_if_silent(ex: exchange.Exchange, begun_at: float) -> None:
    """Begins checks if no target has answered since an attempt began."""
    if ex.state.reachability.answered_at < begun_at:
        begin(ex.state, asyncio.get_running_loop().time())


def begin(state: IngressState, now: float) -> None:
    """Begins a round of checks unless the previous one has just ended."""
    if now - state.reachability.checked_at >= MIN_INTERVAL_S:
        _start_round(state)


def _start_round(state: IngressState) -> None:
    known = state.reachability
    if (
        known.is_checking
        or known.is_lost
        or len(registry.checkable(state.targets)) < 2
    ):
        return
    known.is_checking = True
    state.reachability_settled.clear()
    state.reachability_due.set()


async def run(state: IngressState) -> None:
    """Runs the checks that are due, until cancelled."""
    known = state.reachability
    while True:
        if known.is_lost:
            await _await_regain(state)
        await state.reachability_due.wait()
        state.reachability_due.clear()
        try:
            await _run_round(state)
        finally:
            known.is_checking = False
            known.checked_at = asyncio.get_running_loop().time()
            state.reachability_settled.set()


async def settle(state: IngressState) -> None:
    """Waits for the round of checks in progress, if there is one."""
    if state.reachability.is_checking:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                await state.reachability_settled.wait()


async def confirm(state: IngressState) -> bool:
    """Returns whether recent failures are the faults of targets.

    They are not while this instance is partitioned from all targets.
    """
    if state.reachability.failures:
        _start_round(state)
    await settle(state)
    return not is_partitioned(state, asyncio.get_running_loop().time())


def peers_in_reach(state: IngressState, now: float) -> list[Member]:
    """Lists the peers that may reach targets, stopping ones included.

    In a large fleet an instance does not hear from most of them.
    """
    is_large = is_large_fleet(state)
    return [
        m
        for m in state.members.values()
        if not m.reaches_none and (is_large or members.is_heard(m, now))
    ]


def is_partitioned(state: IngressState, now: float) -> bool:
    """Returns whether only the peers of this instance reach targets.

    If they do not either, the targets have ended.
    """
    return state.reachability.is_lost and bool(peers_in_reach(state, now))


def is_withdrawn(state: IngressState, now: float) -> bool:
    """Returns whether this instance reports not ready, to help its callers."""
    known = state.reachability
    if not known.is_lost:
        return False
    own = state.settings.data_centre
    local = [m for m in live_members(state, now) if m.data_centre == own]
    lost = sum(m.reaches_none for m in local)
    return readiness.is_withdrawn(
        now - known.lost_at, len(local) - lost, lost + 1
    )


async def _run_round(state: IngressState) -> None:
    """Checks some targets until one of them answers."""
    known = state.reachability
    loop = asyncio.get_running_loop()
    chosen = reachability.choose_checked(
        known, registry.checkable(state.targets), state.rng
    )
    if not chosen:
        return
    first = asyncio.ensure_future(_check(state, chosen[0]))
    tasks = {first}
    try:
        await asyncio.wait(tasks, timeout=HEAD_START_S)
        if not (first.done() and first.result()):
            tasks |= {
                asyncio.ensure_future(_check(state, t)) for t in chosen[1:]
            }
        answered = await _is_any_answered(tasks)
    finally:
        for task in tasks:
            task.cancel()
    entries = registry.checkable(state.targets)
    if not answered and reachability.reaches_none(known, entries, loop.time()):
        _begin_loss(state, loop.time())


async def _is_any_answered(tasks: set[asyncio.Task]) -> bool:
    pending = tasks
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        if any(task.result() for task in done):
            return True
    return False


async def _check(state: IngressState, target: routing.TargetEntry) -> bool:
    """Returns whether a target answers; anything that it answers will do."""
    task = asyncio.ensure_future(_ask(state, target))
    if await waits.wait(task, CHECK_TIMEOUT_S):
        answered = task.result()
    else:
        answered = False
        _record_silence(state, target)
    state.metrics.reachability_checks.labels(
        "answered" if answered else "failed"
    ).inc()
    return answered


def _record_silence(state: IngressState, target: routing.TargetEntry) -> None:
    now = asyncio.get_running_loop().time()
    reachability.record_failure(state.reachability, target, now, is_silent=True)


async def _ask(state: IngressState, target: routing.TargetEntry) -> bool:
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    spec = state.table.services.get(target.service)
    path = spec.check_path if spec is not None else routing.DEFAULT_CHECK_PATH
    try:
        async with sender.send(
            state.sender,
            target.address,
            "GET",
            path,
            headers.for_check(target.name),
            b"",
            connect_timeout_s=_MAX_CONNECT_S,
        ):
            now = loop.time()
            reachability.record_answer(state.reachability, begun_at, now)
    except (
        exception.TargetUnreachableError,
        exception.StreamBrokenError,
    ) as error:
        now = loop.time()
        reachability.record_failure(
            state.reachability, target, now, is_silent=error.is_silent
        )
        long_answers.record_of(state, error, target)
        return False
    return True


def _begin_loss(state: IngressState, now: float) -> None:
    known = state.reachability
    reachability.begin_loss(known, now)
    for name in known.failures:
        state.health.pop(name, None)
    logs.event(
        "reachability_lost",
        targets=",".join(sorted(known.failures)),
        silent=reachability.is_silent(known),
        answered_ago_s=round(now - known.answered_at, 3),
        peers_in_reach=len(peers_in_reach(state, now)),
    )
    state.digest_due.set()
    state.changed.set()
    if reachability.is_silent(known):
        _abandon_silent_attempts(state)


def _abandon_silent_attempts(state: IngressState) -> None:
    """Ends the waits for answers that may be requested elsewhere."""
    for ex in state.exchanges:
        if ex.abandon is not None and not ex.abandon.done():
            ex.abandon.set_result(None)


async def _await_regain(state: IngressState) -> None:
    known = state.reachability
    loop = asyncio.get_running_loop()
    while not reachability.is_regained(known, loop.time()):
        (target,) = reachability.choose_checked(
            known, registry.checkable(state.targets), state.rng, 1
        ) or (None,)
        answered = target is not None and await _check(state, target)
        reachability.record_check(known, loop.time(), answered=answered)
        delay_s = CONFIRM_S if answered else RETRY_S
        await asyncio.sleep(delay_s * state.rng.uniform(0.8, 1.2))
    now = loop.time()
    logs.event("reachability_regained", lost_s=round(now - known.lost_at, 3))
    reachability.end_loss(known, now)
    state.digest_due.set()
    state.changed.set()
