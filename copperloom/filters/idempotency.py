"""Runs keyed work that is not repeatable at most once."""

import asyncio
import dataclasses
import time

from aiohttp import web

from copperloom import exception
from copperloom.controllers import records
from copperloom.filters import answers, exchange
from copperloom.targets.interface import Piece

__all__ = ["Kept", "run_once"]


@dataclasses.dataclass(slots=True)
class Kept:
    """An answer kept for repeats under its key, up to a bound.

    Attributes:
        room: Bytes that may still be kept; below 0 nothing is kept.
        parts: The bytes so far.
        status: HTTP status.
        content_type: Of the answer.
        finish: Why it ended.
    """

    room: int
    parts: list[bytes]
    status: int = 200
    content_type: str = "text/plain"
    finish: str = ""

    def add(self, data: bytes) -> None:
        """Keeps some bytes, or drops all if the answer is too long."""
        self.room -= len(data)
        if self.room >= 0:
            self.parts.append(data)
        else:
            self.parts.clear()


async def run_once(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Claims the key before anything is sent, settles it afterwards.

    The claim is made before the request can be refused for load: a repeat
    that was refused as "not run" while the first attempt runs would be told
    something untrue.
    """
    req = ex.request
    if req.repeatable or not req.key:
        await nxt(ex)
        return
    claim = await records.claim(
        ex.state,
        req.organisation,
        req.key,
        req.deployment.encode() + b"\n" + ex.body,
        ex.id,
        wall_time_s=time.time(),
    )
    if claim.replay:
        await _replay(ex, claim.record)
        return
    ex.record = claim
    ex.kept = Kept(ex.state.settings.limits.answer_record_bytes, [])
    try:
        await nxt(ex)
    except exception.CopperloomError as error:
        _settle_failure(ex, error.code, _worse(ex.run, error.run))
        raise
    except asyncio.CancelledError:
        _settle_failure(ex, 0, ex.run)
        raise


def _worse(first: exception.Run, second: exception.Run) -> exception.Run:
    return second if first is exception.Run.NOT_RUN else first


def _settle_failure(
    ex: exchange.Exchange, code: int, run: exception.Run
) -> None:
    not_run = run is exception.Run.NOT_RUN
    phase = records.Phase.NOT_RUN if not_run else records.Phase.FAILED
    records.record_outcome_later(
        ex.state, ex.record, phase=phase, code=code, run=run.value
    )


async def record_completion(ex: exchange.Exchange) -> None:
    """Records that the work is done, before the answer's end is sent."""
    if ex.record is None:
        return
    kept = ex.kept
    whole = kept.room >= 0
    await records.record_outcome(
        ex.state,
        ex.record,
        phase=records.Phase.DONE,
        status=kept.status,
        content_type=kept.content_type if whole else "",
        answer=b"".join(kept.parts),
        finish=kept.finish,
        tokens=ex.tokens,
    )


async def _replay(ex: exchange.Exchange, record: records.Record) -> None:
    """Gives the answer of the first run again."""
    if ex.chat is None:
        ex.response = web.Response(
            status=record.status,
            body=record.answer,
            headers=answers.stream_headers(ex) | {"X-Copperloom-Replay": "1"},
            content_type=record.content_type,
        )
        return
    ex.tokens = record.tokens
    answer = answers.make(ex, record.request)
    text = record.answer.decode()
    piece = Piece(record.request, 0, text, record.tokens, record.finish)
    await answer.write([piece])
    await answer.end()
