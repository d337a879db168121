"""Waits until the scheduler has placed a request.

The dispatcher (copperloom.controllers.dispatcher) resolves the future that a
request waits on, with a placement or with a refusal.
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
    "requeue",
    "schedule",
]

# Raised because of a reservation or the entry's configuration, and unrelated to
# the target's health.
_NOT_TARGET_FAILURES = (
    exception.PeerUnavailableError,
    exception.CapacityExceededError,
    exception.StaleConfigurationError,
)


async def schedule(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.placement, and reports the end of the work to the scheduler."""
    now = asyncio.get_running_loop().time()
    refusal = scheduler.offer(ex.state.sched, ex.request, now)
    if refusal is not None:
        raise dispatcher.error_from(refusal)
    await _wait_for_placement(ex)
    succeeded = False
    try:
        await nxt(ex)
        succeeded = True
    finally:
        now = asyncio.get_running_loop().time()
        if ex.placement is not None:
            scheduler.record_completion(
                ex.state.sched, ex.placement, now, ok=succeeded
            )
        ex.state.wake.set()


def lead_target(ex: exchange.Exchange) -> configuration.Target:
    """Returns the lead target from the current configuration.

    The configuration under which the request was admitted may hold an address
    that the target no longer has.

    Raises:
        copperloom.exception.TargetUnreachableError: The target is no longer
            configured.
    """
    name = ex.placement.targets[0]
    target = ex.state.cfg.targets.get(name)
    if target is None:
        raise exception.TargetUnreachableError(
            f"{name} is no longer configured as a target"
        )
    return target


async def fail_over(
    ex: exchange.Exchange, error: exception.CopperloomError
) -> None:
    """Records a failed attempt and waits for another placement.

    Raises:
        copperloom.exception.CopperloomError: The scheduler refused to place
            the request again.
    """
    now = asyncio.get_running_loop().time()
    failed = ex.placement.targets[0]
    if not isinstance(error, _NOT_TARGET_FAILURES):
        scheduler.record_target_failure(ex.state.sched, failed, now)
    ex.state.metrics.retries.labels(type(error).__name__).inc()
    logs.event(
        "attempt_failed",
        request=ex.id,
        target=failed,
        code=error.code,
        error=str(error),
    )
    await requeue(ex, avoid=failed)


async def requeue(ex: exchange.Exchange, *, avoid: str) -> None:
    """Gives a failed placement back to the scheduler and waits for another.

    Args:
        ex: The request.
        avoid: Name of the target that failed.

    Raises:
        copperloom.exception.CopperloomError: The scheduler refused to place
            the request again.
    """
    now = asyncio.get_running_loop().time()
    placement, ex.placement = ex.placement, None
    refusal = scheduler.requeue(ex.state.sched, placement, now, avoid=avoid)
    if refusal is not None:
        raise dispatcher.error_from(refusal)
    await _wait_for_placement(ex)


def check_placement(ex: exchange.Exchange) -> None:
    """Raises unless the placement is still valid.

    A placement may be outdated if the process was suspended or the request
    waited for a reservation. A target that started to drain meanwhile must not
    get new work.

    Raises:
        copperloom.exception.StaleConfigurationError: The configuration may be
            out of date.
        copperloom.exception.TargetRefusedError: A target is draining.
    """
    config.check_admission(ex.state, asyncio.get_running_loop().time())
    draining = ex.state.sched.draining.intersection(ex.placement.targets)
    if draining:
        raise exception.TargetRefusedError(
            f"{min(draining)} is draining and takes no new work"
        )


async def _wait_for_placement(ex: exchange.Exchange) -> None:
    future = dispatcher.register(ex.state, ex.request.id)
    ex.state.wake.set()
    try:
        ex.placement = await future
    except asyncio.CancelledError:
        _withdraw(ex, future)
        raise
    finally:
        dispatcher.unregister(ex.state, ex.request.id)


def _withdraw(ex: exchange.Exchange, future: asyncio.Future) -> None:
    """Removes the request from the scheduler, whether queued or placed.

    The caller may disconnect in the same iteration of the event loop in which
    its request is placed. If that placement were not ended, the target's load
    would stay too high permanently.
    """
    placed = future.done() and not future.cancelled()
    if placed and future.exception() is None:
        now = asyncio.get_running_loop().time()
        scheduler.record_completion(
            ex.state.sched, future.result(), now, ok=False
        )
        return
    scheduler.cancel(ex.state.sched, ex.request)
