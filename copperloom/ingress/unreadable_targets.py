"""Registrations of other writers that name no target."""

from collections.abc import Iterable

from copperloom import logs, routing
from copperloom.decisions import rowlog

__all__ = ["find", "log"]

# Further registrations of the same update are logged as their number.
_MAX_LOGGED = 20
_MAX_LOGGED_KEY = 100


def find(
    rows: Iterable[rowlog.Row],
    changes: Iterable[tuple[str, routing.TargetEntry | None]],
) -> list[rowlog.Row]:
    """Returns the rows that exist but name no target.

    Args:
        rows: All rows, or those that have changed.
        changes: What they were decoded to, in the same order.
    """
    pairs = zip(rows, changes, strict=True)
    return [
        row
        for row, (_, entry) in pairs
        if entry is None and row.value is not None
    ]


def log(rows: list[rowlog.Row], known: rowlog.RowLog, source: str) -> None:
    """Logs rows that name no target, without their content.

    Args:
        rows: The rows.
        known: The rows known so far. Whole tables repeat them.
        source: Where the rows come from.
    """
    rows = [row for row in rows if known.rows.get(row.key) != row]
    for row in rows[:_MAX_LOGGED]:
        logs.event(
            "target_unreadable",
            key=ascii(row.key[:_MAX_LOGGED_KEY]),
            version=row.version,
            bytes=len(row.value),
            source=source,
        )
    if len(rows) > _MAX_LOGGED:
        logs.event(
            "targets_unreadable",
            more=len(rows) - _MAX_LOGGED,
            source=source,
        )
