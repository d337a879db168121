"""The rows of the platform stand-in's table service."""

import sortedcontainers

from copperloom.platform import interface

__all__ = ["Table", "read", "scan", "transact"]


class Table:
    """Rows in the order of their keys.

    Attributes:
        rows: By key.
        written: Rows written so far.
    """

    def __init__(self):
        self.rows = sortedcontainers.SortedDict()
        self.written = 0


def read(table: Table, key: str) -> interface.Row:
    """Returns a row; version 0 if there is none."""
    return table.rows.get(key) or interface.Row(key, None, 0)


def scan(
    table: Table, prefix: str, after: str, limit: int
) -> list[interface.Row]:
    """Returns rows of a prefix after a key, in order."""
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
    """Makes all writes if all conditions hold.

    Returns:
        The rows whose condition did not hold.
    """
    seen = [(read(table, c.key), c) for c in conditions]
    conflicts = [row for row, wanted in seen if row.version != wanted.version]
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
