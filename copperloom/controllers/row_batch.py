"""Groups conditional row writes of many requests into few transactions.

The table service takes several hundred writes a second for all entries
together. Written one by one, keyed requests would use it up at a small share
of the load; up to `ROWS` of them share a transaction here. A transaction
takes effect as a whole, so when one row's condition fails, that row's writer
is told and the others are written again without it.
"""

import asyncio
import dataclasses

from copperloom import exception
from copperloom.platform.interface import Condition, Platform, Row, Write

__all__ = ["Batcher", "put"]

# The most rows that the table service takes in one transaction.
ROWS = 25
# Far below a request's first token, long enough to fill a batch at the load
# at which batching matters.
_GATHER_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class _Put:
    """A waiting write; the future gets None, or the row that is there."""

    key: str
    version: int
    value: dict
    done: asyncio.Future


class Batcher:
    """Writes that wait for the next transaction."""

    def __init__(self, platform: Platform, *, timeout_s: float):
        self.platform = platform
        self.timeout_s = timeout_s
        self.waiting: list[_Put] = []
        self.flusher: asyncio.Task | None = None


async def put(
    batcher: Batcher, key: str, version: int, value: dict
) -> Row | None:
    """Sets a row if it has the version given (0: if there is none).

    Returns:
        None if it was written, else the row as it is.

    Raises:
        copperloom.exception.PlatformDownError: It was not written.
        copperloom.exception.PlatformUnknownError: It may have been written.
        copperloom.exception.RateLimitedError: It was not written.
    """
    future = asyncio.get_running_loop().create_future()
    batcher.waiting.append(_Put(key, version, value, future))
    if batcher.flusher is None or batcher.flusher.done():
        batcher.flusher = asyncio.create_task(_flush(batcher))
    return await future


async def _flush(batcher: Batcher) -> None:
    await asyncio.sleep(_GATHER_S)
    sending = set()
    while batcher.waiting:
        puts = _take(batcher)
        sending.add(asyncio.create_task(_send(batcher, puts)))
    if sending:
        await asyncio.wait(sending)
    if batcher.waiting:
        batcher.flusher = asyncio.create_task(_flush(batcher))


def _take(batcher: Batcher) -> list[_Put]:
    """Takes up to ROWS waiting writes, each key once."""
    taken: dict[str, _Put] = {}
    left = []
    for item in batcher.waiting:
        if item.done.done():
            continue
        if len(taken) < ROWS and item.key not in taken:
            taken[item.key] = item
        else:
            left.append(item)
    batcher.waiting = left
    return list(taken.values())


async def _send(batcher: Batcher, puts: list[_Put]) -> None:
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
    rows = {row.key: row for row in result.conflicts}
    for item in puts:
        if result.committed:
            _resolve(item, None)
        elif item.key in rows:
            _resolve(item, rows[item.key])
        else:
            batcher.waiting.append(item)


def _resolve(item: _Put, row: Row | None) -> None:
    if not item.done.done():
        item.done.set_result(row)


def _fail(item: _Put, error: exception.CopperloomError) -> None:
    if not item.done.done():
        item.done.set_exception(type(error)(str(error)))
