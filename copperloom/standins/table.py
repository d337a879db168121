"""The table service of the platform stand-in."""

import sortedcontainers

from copperloom.platform import interface

__all__ = ["Table", "read", "scan", "transact"]


class Table:
    """Versioned rows in the order of their keys.

    Attributes:
        rows: Rows by key.
        written: Number of rows written so far, including deletions.
    """

    def __init__(self):
        self.rows = sortedcontainers.SortedDict()
        self.written = 0


def read(table: Table, key: str) -> interface.Row:
    """Returns a row, or an empty row of version 0 if the key is absent."""
    return table.rows.get(key) or interface.Row(key, None, 0)


def scan(
    table: Table, prefix: str, after: str, limit: int
) -> list[interface.Row]:
    """Returns rows whose keys have a prefix, in the order of their keys.

    Args:
        table: The table to read.
        prefix: Prefix of the keys.
        after: Key after which to start; "" starts at the first.
        limit: Maximum number of rows.
    """
    first = max(after, prefix)
    rows = []
    for key in table.rows.irange(first, inclusive=(first != after, True)):
        if len(rows) >= limit or not key.startswith(prefix):
            break
        rows.append(table.rows[key])
    return rows


def transact(
    table: Table,
    conditions: list[interface.Condition],
    writes: list[interface.Write],
) -> list[interface.Row]:
    """Applies all writes if all conditions hold, and else none.

    Args:
        table: The table to change.
        conditions: Versions that rows must have.
        writes: New values by key; None deletes the row.

    Returns:
        The rows whose condition did not hold.
    """
    checked = [
        (read(table, condition.key), condition) for condition in conditions
    ]
    conflicts = [
        row for row, expected in checked if row.version != expected.version
    ]
    if not conflicts:
        for write in writes:
            _write(table, write)
    return conflicts


def _write(table: Table, write: interface.Write) -> None:
    table.written += 1
    if write.value is None:
        table.rows.pop(write.key, None)
        return
    version = read(table, write.key).version + 1
    table.rows[write.key] = interface.Row(write.key, write.value, version)
