"""Checks whether a target has ended after a connection to it broke.

A target that crashes closes its connections and refuses new ones. Its row in
the platform's table lapses seconds later, and a broken connection alone may be
the fault of the network. The check is one connection attempt; failures of the
same target at the same time share it. A target that already listens again is
recognised by its next registration.
"""

import asyncio
import dataclasses
from collections.abc import Iterable

from copperloom import exception, logs, routing
from copperloom.decisions import crash_evidence, registry, request_digest
from copperloom.ingress import (
    exchange,
    quarantines,
    reachability_checks,
    sender,
)
from copperloom.ingress.state import IngressState

__all__ = ["begin", "confirm_restarts", "settle"]

# A retry waits for the check this long at most; it usually takes a round trip.
_SETTLE_S = 0.05
# Delays of further checks of a target that still listens: it may be about to
# end. The last one is too long for a retry to wait for it.
_RECHECK_S = (0.15, 0.6)
_RESULTS = {True: "listening", False: "ended", None: "unknown"}


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A failed attempt under which a target may have ended.

    Attributes:
        request: Id of the request.
        digest: Digest of the request.
        parts: Ids of the parts of its prompt that others may share; none if
            the target only helps with a prefill.
        target: The target.
        begun_at: Monotonic time at which the attempt began.
        first_event_at: Monotonic time of its first event; None if none came.
        failed_at: Monotonic time of the failure.
    """

    request: str
    digest: bytes
    parts: tuple[str, ...]
    target: routing.TargetEntry
    begun_at: float
    first_event_at: float | None
    failed_at: float


def begin(
    ex: exchange.Exchange, error: exception.CopperloomError, now: float
) -> None:
    """Begins to check the targets that may have ended under a request.

    Args:
        ex: The request.
        error: The failure of its latest attempt.
        now: Monotonic time.
    """
    for name in _suspects(ex, error):
        entry = registry.find(ex.state.targets, name)
        if entry is None or registry.is_draining(ex.state.targets, entry):
            continue
        suspicion = Suspicion(
            request=ex.id,
            digest=exchange.content_digest(ex),
            parts=exchange.prompt_parts(ex) if name == ex.plan.lead else (),
            target=entry,
            begun_at=ex.attempt_at,
            first_event_at=ex.attempt_first_at,
            failed_at=now,
        )
        if registry.is_evacuated(ex.state.targets, entry):
            # Its next registration still shows whether it ended.
            ex.state.suspicions.append(suspicion)
            continue
        task = asyncio.ensure_future(_check(ex.state, suspicion))
        for tasks in (ex.state.background, ex.checks):
            tasks.add(task)
            task.add_done_callback(tasks.discard)


def _suspects(
    ex: exchange.Exchange, error: exception.CopperloomError
) -> tuple[str, ...]:
    """Lists the targets whose end may have caused a failure.

    A prompt that is prefilled in parts fails if any of its engines ends.
    """
    if getattr(error, "connection_lost", False):
        return (ex.plan.lead, *ex.plan.helpers)
    culprit = getattr(error, "target", "")
    return (culprit,) if culprit in ex.plan.helpers else ()


async def settle(ex: exchange.Exchange) -> None:
    """Waits for the checks after the latest failure of a request.

    Otherwise a request could be sent again just before it is quarantined.
    """
    if ex.checks:
        await asyncio.wait(ex.checks, timeout=_SETTLE_S)


async def _check(state: IngressState, suspicion: Suspicion) -> None:
    target = suspicion.target
    listening = await _is_listening(state, target.address)
    now = asyncio.get_running_loop().time()
    logs.event(
        "target_checked",
        request=suspicion.request,
        digest=suspicion.digest.hex(),
        target=registry.incarnation(target),
        result=_RESULTS[listening],
        waited_s=now - suspicion.failed_at,
    )
    if listening is False:
        await _blame_if_confirmed(state, suspicion)
        return
    state.suspicions.append(suspicion)
    task = asyncio.ensure_future(_recheck(state, suspicion))
    state.background.add(task)
    task.add_done_callback(state.background.discard)


async def _recheck(state: IngressState, suspicion: Suspicion) -> None:
    for delay_s in _RECHECK_S:
        await asyncio.sleep(delay_s)
        if suspicion not in state.suspicions:
            return
        if registry.is_evacuated(state.targets, suspicion.target):
            return
        if await _is_listening(state, suspicion.target.address) is False:
            state.suspicions.remove(suspicion)
            await _blame_if_confirmed(state, suspicion)
            return


async def _blame_if_confirmed(
    state: IngressState, suspicion: Suspicion
) -> None:
    """Blames a request unless this instance is partitioned from all targets.

    A partition may reset connections and refuse new ones as well.
    """
    if await reachability_checks.confirm(state):
        _blame(state, suspicion, "refused")
        return
    logs.event(
        "target_end_unconfirmed",
        request=suspicion.request,
        target=registry.incarnation(suspicion.target),
    )


async def _is_listening(state: IngressState, address: str) -> bool | None:
    """Checks an address, or waits for the check that is in progress."""
    task = state.target_checks.get(address)
    if task is None:
        task = asyncio.ensure_future(sender.is_listening(state.sender, address))
        state.target_checks[address] = task
        task.add_done_callback(lambda _: state.target_checks.pop(address))
    listening = await asyncio.shield(task)
    state.metrics.target_checks.labels(_RESULTS[listening]).inc()
    return listening


def confirm_restarts(
    state: IngressState, started: Iterable[routing.TargetEntry], now: float
) -> None:
    """Recognises targets that ended by the start of their successor."""
    by_address = {entry.address: entry for entry in started}
    if not by_address:
        return
    for suspicion in list(state.suspicions):
        target = suspicion.target
        successor = by_address.get(target.address, target)
        is_other = registry.incarnation(successor) != registry.incarnation(
            target
        )
        if now - suspicion.failed_at > crash_evidence.RESTART_S:
            state.suspicions.remove(suspicion)
        elif is_other:
            state.suspicions.remove(suspicion)
            _blame(state, suspicion, "restarted")


def _blame(state: IngressState, suspicion: Suspicion, proof: str) -> None:
    """Records the end of a target against a request that it had begun."""
    incarnation = registry.incarnation(suspicion.target)
    earlier = crash_evidence.had_ended(
        state.crashes, incarnation, suspicion.begun_at
    )
    at_begin = crash_evidence.is_at_begin(
        suspicion.first_event_at, suspicion.failed_at
    )
    logs.event(
        "target_ended",
        request=suspicion.request,
        digest=suspicion.digest.hex(),
        parts=",".join(suspicion.parts),
        target=incarnation,
        proof=proof,
        ended_earlier=earlier,
        at_begin=at_begin,
    )
    if at_begin and not earlier:
        quarantines.record_crash(
            state,
            suspicion.request,
            (
                suspicion.digest,
                *map(request_digest.part_digest, suspicion.parts),
            ),
            suspicion.target,
            suspicion.failed_at,
        )
