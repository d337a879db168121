"""Waits for the scheduler to place a request.

The dispatcher (copperloom.controllers.dispatcher) resolves the future that a
request waits on with a placement or a refusal.
"""

import asyncio

from copperloom import configuration, exception, logs
from copperloom.controllers import config, dispatcher
from copperloom.decisions import scheduler
from copperloom.filters import exchange

__all__ = [
    "check_placement",
    "fail_over",
    "lead_target",
    "place_again",
    "schedule",
]

# An owner's silence or refusal says nothing of the target's health.
_NOT_THE_TARGETS_FAULT = (
    exception.PeerUnavailableError,
    exception.CapacityExceededError,
    exception.StaleConfigurationError,
)


async def schedule(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.placement, and tells the scheduler when the work is over."""
    now = asyncio.get_running_loop().time()
    refusal = scheduler.offer(ex.state.sched, ex.request, now)
    if refusal is not None:
        raise dispatcher.error_of(refusal)
    await _wait(ex)
    ok = False
    try:
        await nxt(ex)
        ok = True
    finally:
        now = asyncio.get_running_loop().time()
        if ex.placement is not None:
            scheduler.finished(ex.state.sched, ex.placement, now, ok=ok)
        ex.state.wake.set()


def lead_target(ex: exchange.Exchange) -> configuration.Target:
    """Returns the (leading) target as it is configured now.

    The version that the request was admitted under may name an address that
    the target has left since.

    Raises:
        copperloom.exception.TargetUnreachableError: It is not configured.
    """
    name = ex.placement.targets[0]
    target = ex.state.cfg.targets.get(name)
    if target is None:
        raise exception.TargetUnreachableError(f"{name} is not configured")
    return target


async def fail_over(
    ex: exchange.Exchange, error: exception.CopperloomError
) -> None:
    """Accounts for a failed attempt and waits for another placement.

    Raises:
        copperloom.exception.CopperloomError: The scheduler gave it up.
    """
    now = asyncio.get_running_loop().time()
    failed = ex.placement.targets[0]
    if not isinstance(error, _NOT_THE_TARGETS_FAULT):
        scheduler.target_failed(ex.state.sched, failed, now)
    ex.state.metrics.retries.labels(type(error).__name__).inc()
    logs.event(
        "attempt_failed",
        request=ex.id,
        target=failed,
        code=error.code,
        error=str(error),
    )
    await place_again(ex, avoid=failed)


async def place_again(ex: exchange.Exchange, *, avoid: str) -> None:
    """Gives back a placement that was not run and waits for another.

    Raises:
        copperloom.exception.CopperloomError: The scheduler gave it up.
    """
    now = asyncio.get_running_loop().time()
    placement, ex.placement = ex.placement, None
    refusal = scheduler.requeue(ex.state.sched, placement, now, avoid=avoid)
    if refusal is not None:
        raise dispatcher.error_of(refusal)
    await _wait(ex)


def check_placement(ex: exchange.Exchange) -> None:
    """Lets a placement be sent only if it could be made now.

    It may be old: the process was paused after it was made, or waited for an
    owner's consent. A target that leaves since then would get new work.

    Raises:
        copperloom.exception.StaleConfigurationError: Nothing tells whether
            the configuration is still in force.
        copperloom.exception.TargetRefusedError: A target leaves.
    """
    config.may_admit(ex.state, asyncio.get_running_loop().time())
    gone = ex.state.sched.leaving.intersection(ex.placement.targets)
    if gone:
        raise exception.TargetRefusedError(f"{min(gone)} is leaving")


async def _wait(ex: exchange.Exchange) -> None:
    future = dispatcher.expect(ex.state, ex.request.id)
    ex.state.wake.set()
    try:
        ex.placement = await future
    except asyncio.CancelledError:
        _give_back(ex, future)
        raise
    finally:
        dispatcher.unexpect(ex.state, ex.request.id)


def _give_back(ex: exchange.Exchange, future: asyncio.Future) -> None:
    """Leaves the queue, also if the placement came as the caller went.

    Without the second case a caller that goes in the very turn of the loop in
    which its request is placed would leave the target's count too high for
    good.
    """
    placed = future.done() and not future.cancelled()
    if placed and future.exception() is None:
        now = asyncio.get_running_loop().time()
        scheduler.finished(ex.state.sched, future.result(), now, ok=False)
        return
    scheduler.forget(ex.state.sched, ex.request)
