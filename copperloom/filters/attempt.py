"""One try to get a request's answer from one stream of an engine."""

import asyncio
import contextlib
from collections.abc import Callable

from copperloom import exception
from copperloom.controllers import reclaim
from copperloom.filters import answers, exchange, read, token_batching
from copperloom.targets.interface import Piece

__all__ = ["Attempt", "abandon", "copy", "pause", "rest"]

# A break is mostly a cut connection: the engine goes on generating and can be
# read again. An engine that does not answer for all of these tries is down.
_RESUME_TRIES = 6
_RESUME_FIRST_S = 0.05
_RESUME_MOST_S = 1.0


class Attempt:
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


async def copy(
    ex: exchange.Exchange,
    attempt: Attempt,
    answer,
    source,
    *,
    on_first: Callable[[float], None] | None = None,
) -> None:
    """Relays what a source gives until the answer's final piece.

    Args:
        ex: The request.
        attempt: Counts what is taken over.
        answer: Writes pieces to the caller.
        source: Async iterator of lists of pieces.
        on_first: Gets the time of the request's first token.

    Raises:
        copperloom.exception.StreamBrokenError: It ended without a final piece.
    """
    gather = token_batching.TokenRate(ex.state.settings.limits.gather_ms / 1000)
    async with contextlib.aclosing(source) as batches:
        async for pieces in batches:
            attempt.taken = True
            if ex.first_token_at is None:
                answers.note_first_token(ex)
                if on_first is not None:
                    on_first(ex.first_token_at)
            before = ex.tokens
            _take(ex, attempt, pieces)
            await answer.write(pieces)
            if not attempt.final:
                await token_batching.pause(gather, ex.tokens - before)
    if not attempt.final:
        raise exception.StreamBrokenError("no final piece")


def _take(ex: exchange.Exchange, attempt: Attempt, pieces: list[Piece]) -> None:
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


def rest(ex: exchange.Exchange, attempt: Attempt):
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


async def pause(attempt: Attempt, tries: int) -> int:
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


def abandon(ex: exchange.Exchange, attempt: Attempt) -> None:
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
