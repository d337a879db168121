"""Idempotency records: non-repeatable requests run at most once per key.

Before anything is sent to a target, a record with a random nonce is inserted
as a row, on the condition that the row does not exist. A request that finds
another nonce there does not run. A record is never taken over from its holder,
however long that is silent: the holder may only be paused and run the request
later. The key may be claimed again only if the holder has recorded that the
request did not run.
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
_FIRST_RETRY_S = 0.05
_MAX_RETRY_S = 5.0
_MAX_OUTCOME_TRIES = 60
# The end of an answer is held back until its record is written, so that a
# repeat of the request finds the answer. This bounds the delay in an outage of
# the platform; the record is then written in the background.
_OUTCOME_WAIT_S = 0.5


class Phase:
    """Phases of a request, as stored in its record."""

    STARTED = "started"
    NOT_RUN = "not_run"
    FAILED = "failed"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The value of a record's row.

    Attributes:
        nonce: Random text that identifies the claim.
        digest: Digest of the request's body.
        request: Id of the request that holds the record.
        phase: One of the constants of Phase.
        code: Result code, once the outcome is known.
        run: Whether a failed request has run, as in `exception.Run`.
        status: HTTP status of the stored answer.
        content_type: Content type of the stored answer; "" if none is stored.
        answer: The stored answer.
        finish: Why the answer ended.
        tokens: Number of tokens in the answer.
        wall_time_s: Time of the claim in seconds since the epoch; used only to
            remove old records.
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
    """A record that this entry holds, or the stored answer that it found.

    Attributes:
        key: Key of the row.
        record: Value of the row.
        version: Version of the row; 0 while unknown.
        replay: Whether the request is done and `record` has its answer.
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
    """Claims the right to run a request under an idempotency key.

    A write whose confirmation is lost is repeated with the same nonce, which
    it finds in the row if the first write took effect.

    Args:
        state: The entry's state.
        organisation: Name of the organisation that the key belongs to.
        key: The idempotency key.
        body: Body of the request.
        request: Id of the request.
        wall_time_s: Current time in seconds since the epoch.

    Returns:
        The claim; if `replay` is set, the request has run before.

    Raises:
        copperloom.exception.KeyConflictError: The key was used with another
            body.
        copperloom.exception.KeyInUseError: A request under the key is running
            or may have run.
        copperloom.exception.PlatformDownError: The platform is unavailable or
            its rate limit is exceeded; this request was not run.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    digest = xxhash.xxh128_hexdigest(body)
    record = Record(nonce, digest, request, wall_time_s=wall_time_s)
    own = Claim(f"idem/{organisation}/{key}", record)
    try:
        return await _claim(state, own)
    except (exception.CopperloomError, asyncio.CancelledError) as error:
        if not isinstance(
            error, exception.KeyInUseError | exception.KeyConflictError
        ):
            # The insert may still take effect, and would block the key
            # forever although nothing ran.
            record_outcome_later(state, own, phase=Phase.NOT_RUN)
        raise


async def _claim(state: EntryState, own: Claim) -> Claim:
    expected = 0
    delay_s = _FIRST_RETRY_S
    while True:
        try:
            row = await row_batch.put(
                state.batcher, own.key, expected, _to_value(own.record)
            )
        except exception.PlatformUnknownError:
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _MAX_RETRY_S)
            continue
        except exception.RateLimitedError as error:
            raise exception.PlatformDownError(
                str(error), retry_after_s=error.retry_after_s
            ) from error
        if row is None:
            own.version = expected + 1
            return own
        stored = _from_row(row)
        if stored is None or stored.phase == Phase.NOT_RUN:
            expected = row.version
            continue
        return _resolve_existing(own, row, stored)


def _resolve_existing(own: Claim, row: Row, stored: Record) -> Claim:
    """Returns the claim that an existing row permits, or raises."""
    if stored.nonce == own.record.nonce:
        own.version = row.version
        return own
    if stored.digest != own.record.digest:
        raise exception.KeyConflictError()
    if stored.phase == Phase.DONE and stored.content_type:
        return Claim(own.key, stored, row.version, replay=True)
    if stored.phase == Phase.DONE:
        raise exception.KeyInUseError(
            f"the request completed as {stored.request}, but its answer was "
            "too long to store",
            run=exception.Run.MAY_HAVE_RUN,
        )
    if stored.phase == Phase.FAILED:
        raise exception.KeyInUseError(
            f"the request failed as {stored.request} with code {stored.code}",
            run=exception.Run(stored.run),
        )
    raise exception.KeyInUseError(
        f"the request is in progress as {stored.request}", retry_after_s=1.0
    )


async def record_outcome(state: EntryState, own: Claim, **outcome) -> None:
    """Writes the outcome and waits a short time for its confirmation."""
    task = record_outcome_later(state, own, **outcome)
    await asyncio.wait([task], timeout=_OUTCOME_WAIT_S)


def record_outcome_later(
    state: EntryState, own: Claim, **outcome
) -> asyncio.Task:
    """Writes the outcome in the background, with retries."""
    record = dataclasses.replace(own.record, **outcome)
    task = asyncio.get_running_loop().create_task(
        _write_outcome(state, own, record)
    )
    state.background.add(task)
    task.add_done_callback(state.background.discard)
    return task


async def _write_outcome(state: EntryState, own: Claim, record: Record) -> None:
    """Replaces the claimed record, whichever earlier writes took effect.

    If it is unknown whether the claim was inserted, the outcome is inserted
    instead, so that a late insert fails.
    """
    version = own.version
    delay_s = _FIRST_RETRY_S
    for _ in range(_MAX_OUTCOME_TRIES):
        try:
            row = await row_batch.put(
                state.batcher, own.key, version, _to_value(record)
            )
        except exception.CopperloomError:
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _MAX_RETRY_S)
            continue
        if row is None:
            return
        stored = _from_row(row)
        if stored is None:
            version = 0
            continue
        if stored == record or not _is_replaceable(own, record, stored):
            return
        version = row.version
    logs.event(
        "record_unsettled", level="WARNING", key=own.key, phase=record.phase
    )


def _is_replaceable(own: Claim, record: Record, stored: Record) -> bool:
    """Returns whether the outcome may replace the stored record.

    It may replace the record of the same claim. While it is unknown whether
    the claim was written, it may also replace another claim's "not run", so
    that a late write of the claim fails.
    """
    if stored.nonce == record.nonce:
        return True
    return not own.version and stored.phase == Phase.NOT_RUN


def _to_value(record: Record) -> dict:
    return msgspec.to_builtins(record)


def _from_row(row: Row) -> Record | None:
    if not row.version or row.value is None:
        return None
    return msgspec.convert(row.value, Record)
