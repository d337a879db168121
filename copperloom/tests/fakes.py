"""Fakes of external interfaces, for tests without processes."""

import asyncio
import types

from copperloom import exception
from copperloom.controllers import row_batch, sweep
from copperloom.daemons import options
from copperloom.platform.interface import Row, TransactResult

__all__ = ["FakeTable", "record_state"]


class FakeTable:
    """An in-memory fake of the table service.

    Attributes:
        rows: Rows by key.
        transactions: Number of transactions requested.
        faults: Faults of the next transactions, in order: "down" (nothing
            takes effect), "lost" (takes effect, confirmation lost), "late"
            (confirmation lost, takes effect when `land` is called), "" (none).
        late: Transactions that have not taken effect yet.
        weights: Number of permits acquired from the weight store.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.transactions = 0
        self.faults: list[str] = []
        self.late: list[tuple] = []
        self.weights = 0

    async def transact(self, conditions, writes, *, timeout_s):
        """Applies a transaction, or injects the next fault."""
        self.transactions += 1
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "down":
            raise exception.PlatformDownError()
        if fault == "late":
            self.late.append((conditions, writes))
            raise exception.PlatformUnknownError()
        result = self._apply(conditions, writes)
        if fault == "lost":
            raise exception.PlatformUnknownError()
        return result

    async def read(self, key, *, timeout_s):
        """Returns a row, with version 0 if it does not exist."""
        return self.row(key)

    async def acquire_weights(self, count, *, timeout_s):
        """Grants permits at once; the platform limits their rate."""
        self.weights += count

    async def scan(self, prefix, *, after="", limit=1000, timeout_s):
        """Returns the rows with a prefix after a key, in key order."""
        keys = [k for k in sorted(self.rows) if k.startswith(prefix)]
        return [self.rows[k] for k in keys if k > after][:limit]

    def land(self) -> None:
        """Applies the late transactions whose conditions still hold."""
        late, self.late = self.late, []
        for conditions, writes in late:
            self._apply(conditions, writes)

    def _apply(self, conditions, writes) -> TransactResult:
        conflicts = [
            self.row(c.key)
            for c in conditions
            if self.row(c.key).version != c.version
        ]
        if conflicts:
            return TransactResult(False, tuple(conflicts))
        for write in writes:
            version = self.row(write.key).version + 1
            self.rows[write.key] = Row(write.key, write.value, version)
            if write.value is None:
                del self.rows[write.key]
        return TransactResult(True)

    def row(self, key: str) -> Row:
        """Returns a row, with version 0 if it does not exist."""
        return self.rows.get(key, Row(key, None, 0))


def record_state(table: FakeTable) -> types.SimpleNamespace:
    """Builds the part of an entry's state that idempotency records use."""
    platform = types.SimpleNamespace(
        transact=table.transact, scan=table.scan, read=table.read
    )
    return types.SimpleNamespace(
        owner="a.b",
        sweep=sweep.Sweep(),
        platform=platform,
        batcher=row_batch.Batcher(platform, timeout_s=1.0),
        background=set(),
        settings=types.SimpleNamespace(platform=options.PlatformSection()),
    )
