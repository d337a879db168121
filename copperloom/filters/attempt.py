"""One attempt to get the answer to a request from a stream of an engine."""

import asyncio
import contextlib
from collections.abc import Callable

from copperloom import exception
from copperloom.controllers import reclaim
from copperloom.filters import answers, exchange, read, token_batching
from copperloom.targets.interface import Piece

__all__ = [
    "Attempt",
    "back_off",
    "cancel_stream",
    "relay_stream",
    "resume_stream",
]

# After a broken connection the engine continues to decode, so the stream can be
# resumed. An engine that does not reply to any of these attempts is down.
_MAX_RESUME_TRIES = 6
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0


class Attempt:
    """A stream of a request at one target or group of targets.

    Attributes:
        stream: Name of the stream.
        address: Address of the lead engine.
        target: Name of the lead engine's target.
        delivered: Answer tokens received from the engine.
        finish_reason: Why the answer ended; "" while it has not.
        resumed_from: Value of `delivered` at the latest resume.
        owned: Whether the engine has sent pieces to this entry, which makes
            the entry the stream's owner.
    """

    def __init__(self, stream: str, address: str, target: str):
        self.stream = stream
        self.address = address
        self.target = target
        self.delivered = 0
        self.resumed_from = 0
        self.finish_reason = ""
        self.owned = False


async def relay_stream(
    ex: exchange.Exchange,
    attempt: Attempt,
    answer,
    source,
    *,
    on_first: Callable[[float], None] | None = None,
) -> None:
    """Relays the pieces of a source up to the final one.

    Args:
        ex: The request.
        attempt: The stream; its counts are updated.
        answer: Sends pieces to the caller.
        source: Async iterator of lists of pieces.
        on_first: Called with the monotonic time of the request's first token,
            in seconds.

    Raises:
        copperloom.exception.StreamBrokenError: The source ended without a
            final piece.
    """
    token_rate = token_batching.TokenRate(
        ex.state.settings.limits.gather_ms / 1000
    )
    async with contextlib.aclosing(source) as batches:
        async for pieces in batches:
            attempt.owned = True
            if ex.first_token_at is None:
                answers.record_first_token(ex)
                if on_first is not None:
                    on_first(ex.first_token_at)
            tokens_before = ex.tokens
            _record_pieces(ex, attempt, pieces)
            await answer.write(pieces)
            if not attempt.finish_reason:
                await token_batching.wait(token_rate, ex.tokens - tokens_before)
    if not attempt.finish_reason:
        raise exception.StreamBrokenError(
            "the engine ended the answer without its final piece"
        )


def _record_pieces(
    ex: exchange.Exchange, attempt: Attempt, pieces: list[Piece]
) -> None:
    """Counts pieces and adds them to the stored answer."""
    tokens = 0
    for piece in pieces:
        tokens += piece.tokens
        if piece.final:
            attempt.finish_reason = piece.final
        if ex.stored_answer is not None:
            ex.stored_answer.add(piece.text.encode())
            ex.stored_answer.finish_reason = piece.final
    attempt.delivered += tokens
    ex.tokens += tokens
    ex.state.metrics.tokens.inc(tokens)


def resume_stream(ex: exchange.Exchange, attempt: Attempt):
    """Returns an iterator over the pieces that are still missing."""
    timeout_s = ex.deadline - asyncio.get_running_loop().time()
    return ex.state.targets.resume(
        attempt.address,
        attempt.stream,
        attempt.delivered,
        ex.state.owner,
        ex.organisation.name,
        timeout_s=timeout_s,
    )


async def back_off(attempt: Attempt, tries: int) -> int:
    """Waits before the next attempt to resume a stream.

    Only attempts since the last received token count, so that a long answer
    may break any number of times as long as it makes progress.

    Args:
        attempt: The stream.
        tries: Attempts to resume it so far.

    Returns:
        The attempts to resume it, including the one that follows.

    Raises:
        copperloom.exception.StreamBrokenError: The last attempt has failed.
    """
    if attempt.delivered > attempt.resumed_from:
        attempt.resumed_from = attempt.delivered
        tries = 0
    if tries >= _MAX_RESUME_TRIES:
        raise exception.StreamBrokenError(
            f"{attempt.target} did not resume the stream after repeated"
            " attempts"
        )
    await asyncio.sleep(min(_MIN_BACKOFF_S * 2**tries, _MAX_BACKOFF_S))
    return tries + 1


def cancel_stream(ex: exchange.Exchange, attempt: Attempt) -> None:
    """Cancels a stream, so that the engine frees its memory.

    If the caller asked for a resumable stream and was disconnected, the cancel
    is delayed to give the caller time to resume.
    """
    if ex.run is exception.Run.NOT_RUN:
        return
    resumable = read.parse_flag(ex.http, read.RESUMABLE_HEADER)
    transport = ex.http.transport
    disconnected = transport is None or transport.is_closing()
    resumable_s = ex.state.settings.limits.resumable_s
    delay_s = resumable_s if resumable and disconnected else 0.0
    reclaim.cancel(ex.state, attempt.address, attempt.stream, delay_s=delay_s)
