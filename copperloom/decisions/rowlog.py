"""The rows of a table as they are, and which changed since a version.

Made for a table of some hundred rows that changes often, told on among many
instances: each difference is a row or two, the whole table tens of kilobytes.
Sent whole to 76 instances at each change, it filled the links of those that
had it first.
"""

import dataclasses
from collections.abc import Iterable

__all__ = ["Difference", "Row", "RowLog", "replace", "since", "update"]

# Rows that are gone are kept to be told of, the latest ones: more than change
# in the seconds by which an instance may be behind.
MOST_REMOVED = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row.

    Attributes:
        key: Its key.
        version: The version that wrote or removed it.
        value: Its bytes; None if it is gone.
    """

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """What has changed since a version.

    Attributes:
        whole: Whether these are all rows there are, because what changed is
            not known any more.
        rows: The rows.
    """

    whole: bool
    rows: tuple[Row, ...]


class RowLog:
    """The rows by key.

    Attributes:
        rows: All rows, those that are gone included.
        floor: Version since which all changes are known.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.floor = 0


def replace(log: RowLog, rows: Iterable[Row], version: int) -> None:
    """Takes over the whole table as of a version."""
    log.rows = {row.key: row for row in rows}
    log.floor = version


def update(log: RowLog, rows: Iterable[Row]) -> None:
    """Takes over changed rows; a row older than the known one is left out."""
    for row in rows:
        known = log.rows.get(row.key)
        if known is None or known.version <= row.version:
            log.rows[row.key] = row
    _forget_removed(log)


def since(log: RowLog, version: int) -> Difference:
    """Returns what has changed after a version."""
    if version < log.floor:
        live = (row for row in log.rows.values() if row.value is not None)
        return Difference(True, tuple(live))
    newer = (row for row in log.rows.values() if row.version > version)
    return Difference(False, tuple(newer))


def _forget_removed(log: RowLog) -> None:
    removed = [row for row in log.rows.values() if row.value is None]
    if len(removed) <= MOST_REMOVED:
        return
    removed.sort(key=lambda row: row.version)
    for row in removed[: len(removed) - MOST_REMOVED]:
        del log.rows[row.key]
        log.floor = max(log.floor, row.version)
