"""Sends a request to its engine and relays the answer piece by piece."""

import asyncio

from copperloom import exception
from copperloom.controllers import reservation_owners
from copperloom.decisions import scheduler
from copperloom.filters import (
    answers,
    attempt,
    exchange,
    idempotency,
    schedule,
)
from copperloom.targets import groups
from copperloom.targets.interface import StreamOpen

__all__ = ["relay"]


async def relay(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Tries targets until one runs the work; relays its answer."""
    number = 0
    while True:
        number += 1
        try:
            await _attempt(ex, number)
            break
        except (
            exception.TargetUnreachableError,
            exception.TargetRefusedError,
            exception.PeerUnavailableError,
            exception.CapacityExceededError,
            exception.StaleConfigurationError,
        ) as error:
            await schedule.fail_over(ex, error)
        except exception.StreamBrokenError as error:
            # Work that may have run runs again only if that does no harm and
            # nobody has seen a part of the first answer.
            if not ex.request.repeatable or ex.response is not None:
                raise
            ex.tokens = 0
            await schedule.fail_over(ex, error)
    await nxt(ex)


async def _attempt(ex: exchange.Exchange, number: int) -> None:
    """Runs one placement to the end of its answer."""
    state = ex.state
    placement = ex.placement
    if placement.long:
        now = asyncio.get_running_loop().time()
        await reservation_owners.reserve(state, placement, now)
    try:
        schedule.check_placement(ex)
        own = _new_attempt(ex, number)
        whole = False
        try:
            await _run(ex, own)
            whole = True
        finally:
            if not whole:
                attempt.abandon(ex, own)
    finally:
        if placement.long:
            await reservation_owners.release(state, placement)


def _new_attempt(ex: exchange.Exchange, number: int) -> attempt.Attempt:
    lead = schedule.lead_target(ex)
    return attempt.Attempt(f"{ex.id}-{number}", lead.address, lead.name)


async def _run(ex: exchange.Exchange, own: attempt.Attempt) -> None:
    """Relays one stream, resuming it after breaks, until its final piece."""
    ex.stream_path = f"{own.target}/{own.stream}"
    answer = answers.make(ex, ex.stream_path)
    sent = asyncio.get_running_loop().time()
    if sent >= ex.deadline:
        # A process that was paused here must not start work whose caller was
        # promised an outcome before now.
        raise exception.TimeLimitPassedError(run=ex.run)
    source = _open(ex, own)
    before = ex.run
    ex.run = exception.Run.MAY_HAVE_RUN
    tries = 0
    while True:
        try:
            await attempt.copy(
                ex, own, answer, source, on_first=_noter(ex, sent)
            )
            break
        except (
            exception.TargetUnreachableError,
            exception.TargetRefusedError,
        ):
            if tries == 0:
                ex.run = before
                raise
            tries = await attempt.pause(own, tries)
        except exception.StreamUnknownError as error:
            # The engine restarted: nothing of the stream is left to resume.
            raise exception.StreamBrokenError(
                f"{own.target} lost the stream"
            ) from error
        except exception.StreamBrokenError:
            ex.state.metrics.resumes.inc()
            tries = await attempt.pause(own, tries)
        source = attempt.rest(ex, own)
    await idempotency.record_completion(ex)
    await answer.end()


def _open(ex: exchange.Exchange, own: attempt.Attempt):
    """Returns the source of a new stream."""
    req = ex.request
    placement = ex.placement
    opening = StreamOpen(
        stream=own.stream,
        owner=ex.state.owner,
        organisation=req.organisation,
        deployment=req.deployment,
        model=req.model,
        messages=bytes(ex.chat.messages),
        prompt_tokens=req.prompt_tokens,
        max_tokens=req.max_tokens,
        priority=placement.priority,
        prefix=req.prefix,
        key=req.key,
    )
    timeout_s = ex.deadline - asyncio.get_running_loop().time()
    if len(placement.targets) > 1:
        return groups.open_group(
            ex.state, placement, opening, timeout_s=timeout_s
        )
    return ex.state.targets.open(own.address, opening, timeout_s=timeout_s)


def _noter(ex: exchange.Exchange, sent: float):
    """Returns a function that tells the scheduler of the first token."""

    def note(now: float) -> None:
        scheduler.first_token(ex.state.sched, ex.placement, now, sent=sent)

    return note
