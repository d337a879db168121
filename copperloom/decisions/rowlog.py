"""The current rows of a table, and which changed since a version.

Instances forward a frequently changing table to each other. Sending only the
changed rows instead of the whole table keeps the uplinks of the first sources
free.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

from copperloom import versions

__all__ = [
    "Difference",
    "Row",
    "RowLog",
    "fingerprint",
    "newest",
    "replace",
    "since",
    "update",
]

# Number of latest removed rows that are kept, so that differences include
# them: more than are removed while an instance may lag behind.
MAX_REMOVED = 1000
_FINGERPRINT_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes:
        key: Its key.
        version: Version of the table in which it was last changed or removed.
        value: Its content; None if it was removed.
    """

    key: str
    version: versions.Version
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """The changes since a version.

    Attributes:
        whole: Whether `rows` is the whole table, because the changes since
            that version are no longer known.
        rows: The changed rows, or all rows.
    """

    whole: bool
    rows: tuple[Row, ...]


class RowLog:
    """The rows by key.

    Attributes:
        rows: All rows, including removed ones.
        floor: Version since which all changes are known.
        fingerprint: A hash of the rows that were not removed; None after a
            change.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.floor = versions.NONE
        self.fingerprint: int | None = None


def replace(
    log: RowLog, rows: Iterable[Row], version: versions.Version
) -> None:
    """Adopts the whole table as of a version.

    Rows that are missing from it count as removed in that version, since
    their removals were not seen.
    """
    log.fingerprint = None
    present = {row.key: row for row in rows}
    if not log.rows or log.floor.era != version.era:
        log.rows = present
        log.floor = version
        return
    removed = {
        key: row if row.value is None else Row(key, version, None)
        for key, row in log.rows.items()
        if key not in present
    }
    log.rows = removed | present
    _prune_removed(log)


def update(log: RowLog, rows: Iterable[Row]) -> None:
    """Applies changed rows; a row older than the known one is ignored."""
    log.fingerprint = None
    for row in rows:
        known = log.rows.get(row.key)
        if known is None or known.version <= row.version:
            log.rows[row.key] = row
    _prune_removed(log)


def since(log: RowLog, version: versions.Version) -> Difference:
    """Returns the changes after a version; all rows if its era is another."""
    if version < log.floor:
        live = (row for row in log.rows.values() if row.value is not None)
        return Difference(True, tuple(live))
    newer = (row for row in log.rows.values() if row.version > version)
    return Difference(False, tuple(newer))


def newest(log: RowLog) -> versions.Version:
    """Returns the version of the latest change that is known."""
    latest = (row.version for row in log.rows.values())
    return max(latest, default=versions.NONE)


def fingerprint(log: RowLog) -> int:
    """Returns a hash of the rows that were not removed.

    Two logs with the same rows have the same fingerprint, whichever removals
    they know. It is computed once after each change.
    """
    if log.fingerprint is None:
        live = sorted(
            f"{row.key} {row.version.number}"
            for row in log.rows.values()
            if row.value is not None
        )
        digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
        digest.update("\n".join(live).encode(errors="surrogatepass"))
        log.fingerprint = int.from_bytes(digest.digest())
    return log.fingerprint


def _prune_removed(log: RowLog) -> None:
    removed = [row for row in log.rows.values() if row.value is None]
    if len(removed) <= MAX_REMOVED:
        return
    removed.sort(key=lambda row: row.version)
    for row in removed[: len(removed) - MAX_REMOVED]:
        del log.rows[row.key]
        log.floor = max(log.floor, row.version)
