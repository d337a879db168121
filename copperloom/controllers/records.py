"""Idempotency records: work that is not repeatable runs at most once a key.

A record is a row that is inserted on the condition that there is none, with a
random nonce, before anything goes to a target. Whoever finds another nonce in
it does not run the work. A record is never taken over from a holder that may
still act, however long that holder is silent: an entry that was paused for an
hour and goes on then does no harm, since nobody ran the work in its place.
Only a record whose holder wrote that nothing was run may be claimed again.
"""

import asyncio
import dataclasses
import secrets

import msgspec
import xxhash

from copperloom import exception, logs
from copperloom.controllers import row_batch
from copperloom.daemons.state import EntryState
from copperloom.platform.interface import Row

__all__ = ["Claim", "Phase", "Record", "claim", "record_outcome"]

_NONCE_BYTES = 12
_RETRY_FIRST_S = 0.05
_RETRY_MOST_S = 5.0
_SETTLE_TRIES = 60
# The end of an answer waits this long for its record: a caller that got the
# whole answer then finds it again under its key. In an outage of the platform
# the answer is not held back any longer; the record follows when it can.
_SETTLE_WAIT_S = 0.5


class Phase:
    """Phases of a record."""

    STARTED = "started"
    NOT_RUN = "not_run"
    FAILED = "failed"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The value of a record's row.

    Attributes:
        nonce: Random text of the request that claimed it.
        digest: Digest of the request's body.
        request: Request id of the holder.
        phase: One of Phase.
        code: Result code, once it is settled.
        run: What is known of the run, once it has failed.
        status: HTTP status of the kept answer.
        content_type: Of the kept answer; "" if none is kept.
        answer: The kept answer.
        finish: Why the answer ended.
        tokens: Tokens in the answer.
        wall_time_s: Seconds since the epoch when it was claimed, for the
            sweep of old records only.
    """

    nonce: str
    digest: str
    request: str
    phase: str = Phase.STARTED
    code: int = 0
    run: str = ""
    status: int = 200
    content_type: str = ""
    answer: bytes = b""
    finish: str = ""
    tokens: int = 0
    wall_time_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Claim:
    """A record that this entry holds, or the answer that it found.

    Attributes:
        key: Key of the row.
        record: What the row holds.
        version: The row's version; 0 while that is not known.
        replay: Whether the record was found finished, with its answer.
    """

    key: str
    record: Record
    version: int = 0
    replay: bool = False


async def claim(
    state: EntryState,
    organisation: str,
    key: str,
    body: bytes,
    request: str,
    *,
    wall_time_s: float,
) -> Claim:
    """Claims the right to run the work under a key.

    A write whose confirmation is lost is made again with the same nonce: if
    the first took effect, the second finds that nonce and knows it.

    Returns:
        A claim; with `replay` set the work was done before.

    Raises:
        copperloom.exception.KeyConflictError: The key was used for another
            body.
        copperloom.exception.KeyInUseError: Work under the key runs or ran.
        copperloom.exception.PlatformDownError: The platform can't tell; this
            request was not run.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    digest = xxhash.xxh128_hexdigest(body)
    record = Record(nonce, digest, request, wall_time_s=wall_time_s)
    mine = Claim(f"idem/{organisation}/{key}", record)
    try:
        return await _claim(state, mine)
    except (exception.CopperloomError, asyncio.CancelledError) as error:
        if not isinstance(
            error, exception.KeyInUseError | exception.KeyConflictError
        ):
            # The insert may still land after we stopped waiting for it. Left
            # so, the key would look as if its work may have run, for good.
            record_outcome_later(state, mine, phase=Phase.NOT_RUN)
        raise


async def _claim(state: EntryState, mine: Claim) -> Claim:
    expected = 0
    delay_s = _RETRY_FIRST_S
    while True:
        try:
            found = await row_batch.put(
                state.batcher, mine.key, expected, _plain(mine.record)
            )
        except exception.PlatformUnknownError:
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _RETRY_MOST_S)
            continue
        except exception.RateLimitedError as error:
            raise exception.PlatformDownError(
                str(error), retry_after_s=error.retry_after_s
            ) from error
        if found is None:
            mine.version = expected + 1
            return mine
        theirs = _record(found)
        if theirs is None or theirs.phase == Phase.NOT_RUN:
            expected = found.version
            continue
        return _judge(mine, found, theirs)


def _judge(mine: Claim, found: Row, theirs: Record) -> Claim:
    """Decides about a row that was there."""
    if theirs.nonce == mine.record.nonce:
        mine.version = found.version
        return mine
    if theirs.digest != mine.record.digest:
        raise exception.KeyConflictError()
    if theirs.phase == Phase.DONE and theirs.content_type:
        return Claim(mine.key, theirs, found.version, replay=True)
    if theirs.phase == Phase.DONE:
        raise exception.KeyInUseError(
            f"done as {theirs.request}; its answer was too long to keep",
            run=exception.Run.MAY_HAVE_RUN,
        )
    if theirs.phase == Phase.FAILED:
        raise exception.KeyInUseError(
            f"failed as {theirs.request} with code {theirs.code}",
            run=exception.Run(theirs.run),
        )
    raise exception.KeyInUseError(
        f"in progress as {theirs.request}", retry_after_s=1.0
    )


async def record_outcome(state: EntryState, mine: Claim, **outcome) -> None:
    """Writes the outcome; waits for it a short time only."""
    task = record_outcome_later(state, mine, **outcome)
    await asyncio.wait([task], timeout=_SETTLE_WAIT_S)


def record_outcome_later(
    state: EntryState, mine: Claim, **outcome
) -> asyncio.Task:
    """Writes the outcome in the background, again until it is confirmed."""
    record = dataclasses.replace(mine.record, **outcome)
    task = asyncio.get_running_loop().create_task(_settle(state, mine, record))
    state.background.add(task)
    task.add_done_callback(state.background.discard)
    return task


async def _settle(state: EntryState, mine: Claim, record: Record) -> None:
    """Replaces our record, whatever of our writes took effect.

    Also when it is not known whether the insert landed: the outcome is then
    inserted in its place, and a late insert finds it and fails.
    """
    version = mine.version
    delay_s = _RETRY_FIRST_S
    for _ in range(_SETTLE_TRIES):
        try:
            found = await row_batch.put(
                state.batcher, mine.key, version, _plain(record)
            )
        except exception.CopperloomError:
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _RETRY_MOST_S)
            continue
        if found is None:
            return
        theirs = _record(found)
        if theirs is None:
            version = 0
            continue
        if theirs == record or not _ours(mine, record, theirs):
            return
        version = found.version
    logs.event(
        "record_unsettled", level="WARNING", key=mine.key, phase=record.phase
    )


def _ours(mine: Claim, record: Record, theirs: Record) -> bool:
    """Tells whether the row that was found is ours to replace.

    Besides our own, that is a "not run" of somebody else over which our claim
    may still be on its way: replacing it makes the late claim fail.
    """
    if theirs.nonce == record.nonce:
        return True
    return not mine.version and theirs.phase == Phase.NOT_RUN


def _plain(record: Record) -> dict:
    return msgspec.to_builtins(record)


def _record(row: Row) -> Record | None:
    if not row.version or row.value is None:
        return None
    return msgspec.convert(row.value, Record)
