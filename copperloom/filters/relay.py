"""Sends a request to an engine and relays the answer as a stream."""

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
    """Tries placements until one completes, and relays its answer."""
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
            # The work may have run: it is repeated only if the request allows
            # it and the caller has received nothing of the first answer.
            if not ex.request.repeatable or ex.response is not None:
                raise
            ex.tokens = 0
            await schedule.fail_over(ex, error)
    await nxt(ex)


async def _attempt(ex: exchange.Exchange, number: int) -> None:
    """Runs one placement until its answer is complete."""
    state = ex.state
    placement = ex.placement
    if placement.long:
        now = asyncio.get_running_loop().time()
        await reservation_owners.reserve(state, placement, now)
    try:
        schedule.check_placement(ex)
        current = _new_attempt(ex, number)
        completed = False
        try:
            await _relay_stream(ex, current)
            completed = True
        finally:
            if not completed:
                attempt.cancel_stream(ex, current)
    finally:
        if placement.long:
            await reservation_owners.release(state, placement)


def _new_attempt(ex: exchange.Exchange, number: int) -> attempt.Attempt:
    lead = schedule.lead_target(ex)
    return attempt.Attempt(f"{ex.id}-{number}", lead.address, lead.name)


async def _relay_stream(
    ex: exchange.Exchange, current: attempt.Attempt
) -> None:
    """Relays one stream up to its final piece, resuming it after breaks."""
    ex.stream_path = f"{current.target}/{current.stream}"
    answer = answers.make_answer(ex, ex.stream_path)
    sent_at = asyncio.get_running_loop().time()
    if sent_at >= ex.deadline:
        # A process that was suspended must not start work after its caller's
        # deadline.
        raise exception.TimeLimitPassedError(run=ex.run)
    source = _open_stream(ex, current)
    previous_run = ex.run
    ex.run = exception.Run.MAY_HAVE_RUN
    tries = 0
    while True:
        try:
            await attempt.relay_stream(
                ex,
                current,
                answer,
                source,
                on_first=_first_token_callback(ex, sent_at),
            )
            break
        except (
            exception.TargetUnreachableError,
            exception.TargetRefusedError,
        ):
            if tries == 0:
                ex.run = previous_run
                raise
            tries = await attempt.back_off(current, tries)
        except exception.StreamUnknownError as error:
            # The engine has restarted and no longer holds the stream.
            raise exception.StreamBrokenError(
                f"{current.target} no longer holds the stream, so it cannot be"
                " resumed"
            ) from error
        except exception.StreamBrokenError:
            ex.state.metrics.resumes.inc()
            tries = await attempt.back_off(current, tries)
        source = attempt.resume_stream(ex, current)
    await idempotency.record_completion(ex)
    await answer.end()


def _open_stream(ex: exchange.Exchange, current: attempt.Attempt):
    """Returns the source of a new stream at one engine or a group."""
    req = ex.request
    placement = ex.placement
    stream_open = StreamOpen(
        stream=current.stream,
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
            ex.state, placement, stream_open, timeout_s=timeout_s
        )
    return ex.state.targets.open(
        current.address, stream_open, timeout_s=timeout_s
    )


def _first_token_callback(ex: exchange.Exchange, sent_at: float):
    """Returns a callback that reports the first token to the scheduler."""

    def record(now: float) -> None:
        scheduler.record_first_token(
            ex.state.sched, ex.placement, now, sent=sent_at
        )

    return record
