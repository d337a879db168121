"""Delivers the scheduler's decisions to the waiting requests."""

import asyncio

from copperloom import exception, messages
from copperloom.controllers import config
from copperloom.daemons.state import EntryState
from copperloom.decisions import scheduler

__all__ = ["error_from", "register", "run", "step", "unregister"]

_STALE_RETRY_S = 0.05


def register(state: EntryState, request_id: str) -> asyncio.Future:
    """Returns a future that resolves to the request's placement or error."""
    future = asyncio.get_running_loop().create_future()
    state.waiting[request_id] = future
    return future


def unregister(state: EntryState, request_id: str) -> None:
    """Removes the request's future."""
    state.waiting.pop(request_id, None)


async def run(state: EntryState) -> None:
    """Dispatches whenever the scheduler may have new decisions."""
    loop = asyncio.get_running_loop()
    while True:
        state.wake.clear()
        wake_at = step(state, loop.time())
        if wake_at is None:
            await state.wake.wait()
            continue
        try:
            async with asyncio.timeout_at(wake_at):
                await state.wake.wait()
        except TimeoutError:
            pass


def step(state: EntryState, now: float) -> float | None:
    """Dispatches once, unless the configuration may be outdated.

    A process that was paused still has work queued and its old configuration,
    and could place the work at targets that have been retired. It waits until
    the next poll of the platform confirms the configuration.

    Returns:
        Monotonic time at which to run the step again even without an event;
        None if there is no need.
    """
    if not config.is_fresh(state, now):
        return now + _STALE_RETRY_S if state.waiting else None
    for decision in scheduler.dispatch(state.sched, now):
        _deliver(state, decision, now)
    return scheduler.next_wake(state.sched, now)


def _deliver(
    state: EntryState,
    decision: messages.Placement | messages.Refusal,
    now: float,
) -> None:
    """Resolves the waiting request's future.

    The request may have been cancelled in the same iteration of the event
    loop. Its placement is then released, since the target's load would
    otherwise stay too high.
    """
    future = state.waiting.get(decision.request.id)
    if future is None or future.done():
        if isinstance(decision, messages.Placement):
            scheduler.record_completion(state.sched, decision, now, ok=False)
        return
    if isinstance(decision, messages.Placement):
        future.set_result(decision)
        return
    future.set_exception(error_from(decision))


def error_from(refusal: messages.Refusal) -> exception.CopperloomError:
    """Builds the exception that a refusal names."""
    cls = getattr(exception, refusal.error)
    # 0 means that a retry is pointless, as for a prompt that is too large.
    retry_after_s = refusal.retry_after_s or None
    return cls(refusal.message, retry_after_s=retry_after_s)
