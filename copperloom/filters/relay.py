"""Sends a request to its engine and relays the answer piece by piece."""

import asyncio
import contextlib

from copperloom import exception, logs
from copperloom.controllers import owners, reclaim
from copperloom.decisions import scheduler
from copperloom.filters import (
    answers,
    exchange,
    once,
    pace,
    read,
    schedule,
)
from copperloom.targets import groups
from copperloom.targets.interface import Piece, StreamOpen

__all__ = ["relay", "resume"]

# A break is mostly a cut connection: the engine goes on generating and can be
# read again. An engine that does not answer for all of these tries is down.
_RESUME_TRIES = 6
_RESUME_FIRST_S = 0.05
_RESUME_MOST_S = 1.0
# An owner's silence or refusal says nothing of the target's health.
_NOT_THE_TARGETS_FAULT = (
    exception.PeerUnavailableError,
    exception.CapacityExceededError,
    exception.StaleConfigurationError,
)


class _Attempt:
    """One stream at one target (or group) for a request.

    Attributes:
        stream: The stream's name.
        address: Address of the (leading) engine.
        target: Its name.
        delivered: Answer tokens taken over so far.
        final: Why the answer ended; "" while it has not.
        resumed_from: Tokens taken over when it was resumed last.
        taken: Whether a resume got pieces, and so this entry owns it.
    """

    def __init__(self, stream: str, address: str, target: str):
        self.stream = stream
        self.address = address
        self.target = target
        self.delivered = 0
        self.resumed_from = 0
        self.final = ""
        self.taken = False


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
            await _again(ex, error)
        except exception.StreamBrokenError as error:
            # Work that may have run runs again only if that does no harm and
            # nobody has seen a part of the first answer.
            if not ex.request.repeatable or ex.response is not None:
                raise
            ex.tokens = 0
            await _again(ex, error)
    await nxt(ex)


async def _again(
    ex: exchange.Exchange, error: exception.CopperloomError
) -> None:
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
    await schedule.place_again(ex, avoid=failed)


async def _attempt(ex: exchange.Exchange, number: int) -> None:
    """Runs one placement to the end of its answer."""
    state = ex.state
    placement = ex.placement
    if placement.long:
        now = asyncio.get_running_loop().time()
        await owners.reserve(state, placement, now)
    try:
        schedule.check_placement(ex)
        attempt = _new_attempt(ex, number)
        whole = False
        try:
            await _run(ex, attempt)
            whole = True
        finally:
            if not whole:
                _abandon(ex, attempt)
    finally:
        if placement.long:
            await owners.release(state, placement)


def _new_attempt(ex: exchange.Exchange, number: int) -> _Attempt:
    lead = ex.placement.targets[0]
    target = ex.cfg.targets.get(lead) or ex.state.cfg.targets.get(lead)
    if target is None:
        raise exception.TargetUnreachableError(f"{lead} is not configured")
    return _Attempt(f"{ex.id}-{number}", target.address, lead)


async def _run(ex: exchange.Exchange, attempt: _Attempt) -> None:
    """Relays one stream, resuming it after breaks, until its final piece."""
    ex.stream_path = f"{attempt.target}/{attempt.stream}"
    answer = answers.make(ex, ex.stream_path)
    sent = asyncio.get_running_loop().time()
    if sent >= ex.deadline:
        # A process that was paused here must not start work whose caller was
        # promised an outcome before now.
        raise exception.TimeLimitPassedError(run=ex.run)
    source = _open(ex, attempt)
    before = ex.run
    ex.run = exception.Run.MAY_HAVE_RUN
    tries = 0
    while True:
        try:
            await _copy(ex, attempt, answer, source, sent)
            break
        except (
            exception.TargetUnreachableError,
            exception.TargetRefusedError,
        ):
            if tries == 0:
                ex.run = before
                raise
            tries = await _pause(attempt, tries)
        except exception.StreamUnknownError as error:
            # The engine restarted: nothing of the stream is left to resume.
            raise exception.StreamBrokenError(
                f"{attempt.target} lost the stream"
            ) from error
        except exception.StreamBrokenError:
            ex.state.metrics.resumes.inc()
            tries = await _pause(attempt, tries)
        source = _resume(ex, attempt)
    await once.settle_done(ex)
    await answer.end()


async def _pause(attempt: _Attempt, tries: int) -> int:
    """Waits before the next try to resume; gives up after the last.

    Tries count from the last token that came: a long answer may break any
    number of times, as long as it makes progress.
    """
    if attempt.delivered > attempt.resumed_from:
        attempt.resumed_from = attempt.delivered
        tries = 0
    if tries >= _RESUME_TRIES:
        raise exception.StreamBrokenError(f"{attempt.target} is lost")
    await asyncio.sleep(min(_RESUME_FIRST_S * 2**tries, _RESUME_MOST_S))
    return tries + 1


async def _copy(ex, attempt: _Attempt, answer, source, sent: float) -> None:
    """Relays what a source gives until the answer's final piece."""
    gather = pace.Pace(ex.state.settings.limits.gather_ms / 1000)
    async with contextlib.aclosing(source) as batches:
        async for pieces in batches:
            if ex.first_token_at is None:
                answers.note_first_token(ex)
                scheduler.first_token(
                    ex.state.sched, ex.placement, ex.first_token_at, sent=sent
                )
            before = ex.tokens
            _take(ex, attempt, pieces)
            await answer.write(pieces)
            if not attempt.final:
                await pace.pause(gather, ex.tokens - before)
    if not attempt.final:
        raise exception.StreamBrokenError("no final piece")


def _take(
    ex: exchange.Exchange, attempt: _Attempt, pieces: list[Piece]
) -> None:
    """Counts pieces and keeps them for the idempotency record."""
    tokens = 0
    for piece in pieces:
        tokens += piece.tokens
        if piece.final:
            attempt.final = piece.final
        if ex.kept is not None:
            ex.kept.add(piece.text.encode())
            ex.kept.finish = piece.final
    attempt.delivered += tokens
    ex.tokens += tokens
    ex.state.metrics.tokens.inc(tokens)


def _open(ex: exchange.Exchange, attempt: _Attempt):
    """Returns the source of a new stream."""
    req = ex.request
    placement = ex.placement
    opening = StreamOpen(
        stream=attempt.stream,
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
    return ex.state.targets.open(attempt.address, opening, timeout_s=timeout_s)


def _resume(ex: exchange.Exchange, attempt: _Attempt):
    """Returns the source of the rest of a stream."""
    timeout_s = ex.deadline - asyncio.get_running_loop().time()
    return ex.state.targets.resume(
        attempt.address,
        attempt.stream,
        attempt.delivered,
        ex.state.owner,
        ex.organisation.name,
        timeout_s=timeout_s,
    )


def _abandon(ex: exchange.Exchange, attempt: _Attempt) -> None:
    """Frees the engine's memory of a stream that nobody will read.

    A caller that asked for a resumable stream and lost its connection gets
    some time to fetch the rest; everyone else's stream is cancelled at once.
    """
    if ex.run is exception.Run.NOT_RUN:
        return
    wanted = read.flag(ex.http, read.RESUMABLE_HEADER)
    transport = ex.http.transport
    gone = transport is None or transport.is_closing()
    resumable_s = ex.state.settings.limits.resumable_s
    delay_s = resumable_s if wanted and gone else 0.0
    reclaim.cancel(ex.state, attempt.address, attempt.stream, delay_s=delay_s)


async def resume(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Gives the rest of a stream, from any entry, by its name and offset.

    Only a stream that the engine let us read is cancelled when its reading
    fails: whoever merely knows a stream's name must not be able to end it.
    """
    read.set_deadline(ex, ex.state.settings.limits.max_time_limit_s)
    target = ex.cfg.targets.get(ex.http.match_info["target"])
    if target is None:
        raise exception.StreamUnknownError("its target is not configured")
    attempt = _Attempt(
        ex.http.match_info["stream"], target.address, target.name
    )
    attempt.delivered = _offset(ex)
    ex.stream_path = f"{attempt.target}/{attempt.stream}"
    ex.run = exception.Run.MAY_HAVE_RUN
    answer = answers.make(ex, ex.stream_path)
    whole = False
    tries = 0
    try:
        while True:
            try:
                await _read_rest(ex, attempt, answer)
                break
            except (
                exception.TargetUnreachableError,
                exception.StreamBrokenError,
            ):
                tries = await _pause(attempt, tries)
        whole = True
    finally:
        if attempt.taken and not whole:
            _abandon(ex, attempt)
    await answer.end()
    await nxt(ex)


async def _read_rest(ex, attempt: _Attempt, answer) -> None:
    async with contextlib.aclosing(_resume(ex, attempt)) as batches:
        async for pieces in batches:
            attempt.taken = True
            answers.note_first_token(ex)
            _take(ex, attempt, pieces)
            await answer.write(pieces)
    if not attempt.final:
        raise exception.StreamBrokenError("no final piece")


def _offset(ex: exchange.Exchange) -> int:
    text = ex.http.query.get("offset", "0")
    if not text.isdecimal():
        raise exception.HeaderOutOfRangeError("offset must be a number")
    return int(text)
