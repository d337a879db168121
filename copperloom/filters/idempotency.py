"""Runs non-repeatable requests with an idempotency key at most once."""

import asyncio
import dataclasses
import time

from aiohttp import web

from copperloom import exception
from copperloom.controllers import records
from copperloom.filters import answers, exchange
from copperloom.targets.interface import Piece

__all__ = ["StoredAnswer", "run_once"]


@dataclasses.dataclass(slots=True)
class StoredAnswer:
    """An answer that is stored for repeats of the request, up to a size.

    Attributes:
        free_bytes: Bytes that may still be added; negative once the answer is
            too long, and then nothing is stored.
        chunks: The answer so far.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        finish_reason: Why the answer ended.
    """

    free_bytes: int
    chunks: list[bytes]
    status: int = 200
    content_type: str = "text/plain"
    finish_reason: str = ""

    def add(self, data: bytes) -> None:
        """Adds bytes, or drops the answer if it becomes too long."""
        self.free_bytes -= len(data)
        if self.free_bytes >= 0:
            self.chunks.append(data)
        else:
            self.chunks.clear()


async def run_once(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Claims the key before the work is sent, and records the outcome.

    The key is claimed before the request can be refused under load. A repeat
    could otherwise be refused as "not run" while the first attempt is running.
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
    ex.stored_answer = StoredAnswer(
        ex.state.settings.limits.answer_record_bytes, []
    )
    try:
        await nxt(ex)
    except exception.CopperloomError as error:
        _record_failure(ex, error.code, _worse_outcome(ex.run, error.run))
        raise
    except asyncio.CancelledError:
        _record_failure(ex, 0, ex.run)
        raise


def _worse_outcome(
    first: exception.Run, second: exception.Run
) -> exception.Run:
    return second if first is exception.Run.NOT_RUN else first


def _record_failure(
    ex: exchange.Exchange, code: int, run: exception.Run
) -> None:
    not_run = run is exception.Run.NOT_RUN
    phase = records.Phase.NOT_RUN if not_run else records.Phase.FAILED
    records.record_outcome_later(
        ex.state, ex.record, phase=phase, code=code, run=run.value
    )


async def record_completion(ex: exchange.Exchange) -> None:
    """Records the completion before the end of the answer is sent."""
    if ex.record is None:
        return
    stored = ex.stored_answer
    complete = stored.free_bytes >= 0
    await records.record_outcome(
        ex.state,
        ex.record,
        phase=records.Phase.DONE,
        status=stored.status,
        content_type=stored.content_type if complete else "",
        answer=b"".join(stored.chunks),
        finish=stored.finish_reason,
        tokens=ex.tokens,
    )


async def _replay(ex: exchange.Exchange, record: records.Record) -> None:
    """Sends the stored answer of the first run."""
    if ex.chat is None:
        ex.response = web.Response(
            status=record.status,
            body=record.answer,
            headers=answers.stream_headers(ex) | {"X-Copperloom-Replay": "1"},
            content_type=record.content_type,
        )
        return
    ex.tokens = record.tokens
    answer = answers.make_answer(ex, record.request)
    text = record.answer.decode()
    piece = Piece(record.request, 0, text, record.tokens, record.finish)
    await answer.write([piece])
    await answer.end()
