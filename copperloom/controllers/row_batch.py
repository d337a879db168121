"""Batches conditional row writes of many requests into few transactions.

The table service limits the rate of transactions of all entries together, and
separate transactions of requests with idempotency keys would exceed it. A
transaction is atomic: if the condition of a row fails, its writer gets the
conflicting row, and the other rows are written again without it.
"""

import asyncio
import dataclasses

from copperloom import exception
from copperloom.platform.interface import Condition, Platform, Row, Write

__all__ = ["Batcher", "put"]

# Limit of the table service on rows in one transaction.
MAX_ROWS = 25
# Negligible beside the time to first token, but enough to fill batches under
# load.
_BATCH_DELAY_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class _Put:
    """A waiting write of a row.

    Attributes:
        key: Key of the row.
        version: Version that the row must have; 0 if it must not exist.
        value: Value to write.
        future: Gets None once written, or the conflicting row.
    """

    key: str
    version: int
    value: dict
    future: asyncio.Future


class Batcher:
    """Row writes that wait for the next transaction.

    Attributes:
        platform: Client of the platform.
        timeout_s: Timeout of a transaction, in seconds.
        waiting: Writes that are not sent yet.
        flusher: Task that sends them.
    """

    def __init__(self, platform: Platform, *, timeout_s: float):
        self.platform = platform
        self.timeout_s = timeout_s
        self.waiting: list[_Put] = []
        self.flusher: asyncio.Task | None = None


async def put(
    batcher: Batcher, key: str, version: int, value: dict
) -> Row | None:
    """Writes a row if it has the given version.

    Args:
        batcher: Batcher of the row writes.
        key: Key of the row.
        version: Version that the row must have; 0 if it must not exist.
        value: Value to write.

    Returns:
        None if the row was written, or else the conflicting row.

    Raises:
        copperloom.exception.PlatformDownError: The row was not written.
        copperloom.exception.PlatformUnknownError: The row may have been
            written.
        copperloom.exception.RateLimitedError: The row was not written.
    """
    future = asyncio.get_running_loop().create_future()
    batcher.waiting.append(_Put(key, version, value, future))
    if batcher.flusher is None or batcher.flusher.done():
        batcher.flusher = asyncio.create_task(_flush(batcher))
    return await future


async def _flush(batcher: Batcher) -> None:
    await asyncio.sleep(_BATCH_DELAY_S)
    sending = set()
    while batcher.waiting:
        puts = _take_batch(batcher)
        sending.add(asyncio.create_task(_send_batch(batcher, puts)))
    if sending:
        await asyncio.wait(sending)
    if batcher.waiting:
        batcher.flusher = asyncio.create_task(_flush(batcher))


def _take_batch(batcher: Batcher) -> list[_Put]:
    """Removes and returns up to MAX_ROWS waiting writes of distinct keys."""
    batch: dict[str, _Put] = {}
    remaining = []
    for item in batcher.waiting:
        if item.future.done():
            continue
        if len(batch) < MAX_ROWS and item.key not in batch:
            batch[item.key] = item
        else:
            remaining.append(item)
    batcher.waiting = remaining
    return list(batch.values())


async def _send_batch(batcher: Batcher, puts: list[_Put]) -> None:
    """Sends one transaction; after a conflict the other rows wait again."""
    if not puts:
        return
    conditions = [Condition(p.key, p.version) for p in puts]
    writes = [Write(p.key, p.value) for p in puts]
    try:
        result = await batcher.platform.transact(
            conditions, writes, timeout_s=batcher.timeout_s
        )
    except exception.CopperloomError as error:
        for item in puts:
            _fail(item, error)
        return
    conflicts = {row.key: row for row in result.conflicts}
    for item in puts:
        if result.committed:
            _resolve(item, None)
        elif item.key in conflicts:
            _resolve(item, conflicts[item.key])
        else:
            batcher.waiting.append(item)


def _resolve(item: _Put, row: Row | None) -> None:
    if not item.future.done():
        item.future.set_result(row)


def _fail(item: _Put, error: exception.CopperloomError) -> None:
    if not item.future.done():
        item.future.set_exception(type(error)(str(error)))
