"""Removes idempotency records that are older than their retention.

Without the sweep, the table would grow with every keyed request. One entry
sweeps at a time, chosen as the owner of a fixed name by rendezvous hashing.

Two entries may both act as the sweeper for a while, and a removal may take
effect late. If a row was removed and claimed again by then, it has the version
of the old row. The late removal would delete the new claim, and a request
could run twice. Each removal is therefore also conditional on the version of
the row `sweep/holder`. An entry that starts to sweep, or does not know whether
a removal took effect, increments this version first, so that older removals
fail.
"""

import dataclasses
import time

from copperloom import exception, logs
from copperloom.controllers import reservation_owners, row_batch
from copperloom.platform.interface import Condition, Row, Write

__all__ = ["Sweep", "step", "sweep_page"]

_PREFIX = "idem/"
_OWNER_KEY = "sweep of idempotency records"
# Records read in one step. Bounds the reads and writes of a step to a small
# share of the table service's rate limits.
_PAGE_ROWS = 200
_HOLDER_KEY = "sweep/holder"
# One row of each transaction is the row `sweep/holder`.
_MAX_REMOVALS = row_batch.MAX_ROWS - 1


@dataclasses.dataclass(slots=True)
class Sweep:
    """Progress of the sweep.

    Attributes:
        after: Key after which the next page begins.
        holder_version: Version of the row `sweep/holder`; 0 if it must be
            incremented first.
    """

    after: str = ""
    holder_version: int = 0


async def step(state, now: float) -> None:
    """Sweeps one page, if this entry is the sweeper.

    Args:
        state: The entry's state.
        now: Monotonic time in seconds.

    Raises:
        copperloom.exception.PlatformDownError: The platform did not reply; the
            next step repeats the page.
    """
    own = state.settings.entry.instance
    if reservation_owners.owner_of(state, _OWNER_KEY, now) != own:
        state.sweep.holder_version = 0
        return
    cutoff = time.time() - state.settings.limits.record_retention_s
    try:
        await sweep_page(state, cutoff)
    except exception.ChangeLostError:
        # Entries that have just started do not know each other and may all act
        # as the sweeper; the next step decides again.
        logs.event("sweep_lost", level="DEBUG")


async def sweep_page(state, cutoff: float) -> None:
    """Removes the expired records of the next page.

    Args:
        state: The entry's state; its `sweep` determines the page.
        cutoff: Records claimed before this wall-clock time, in seconds since
            the epoch, are removed. The retention is long compared with any
            difference between clocks.

    Raises:
        copperloom.exception.ChangeLostError: Another entry sweeps.
        copperloom.exception.CopperloomError: A platform call failed; the page
            can be swept again.
    """
    timeout_s = state.settings.platform.timeout_s
    holder_version, state.sweep.holder_version = state.sweep.holder_version, 0
    if not holder_version:
        holder_version = await _take_over(state, timeout_s)
    # The scan follows the increment of the version, since rows read earlier may
    # have been removed and claimed again.
    rows = await state.platform.scan(
        _PREFIX, after=state.sweep.after, limit=_PAGE_ROWS, timeout_s=timeout_s
    )
    expired = [row for row in rows if _is_expired(row, cutoff)]
    for start in range(0, len(expired), _MAX_REMOVALS):
        await _remove(
            state,
            expired[start : start + _MAX_REMOVALS],
            holder_version,
            timeout_s,
        )
    if expired:
        logs.event("records_swept", seen=len(rows), expired=len(expired))
    state.sweep.after = rows[-1].key if len(rows) == _PAGE_ROWS else ""
    state.sweep.holder_version = holder_version


def _is_expired(row: Row, cutoff: float) -> bool:
    value = row.value
    if not isinstance(value, dict):
        return False
    return value.get("wall_time_s", cutoff) < cutoff


async def _take_over(state, timeout_s: float) -> int:
    """Increments the version of the row `sweep/holder` and returns it."""
    row = await state.platform.read(_HOLDER_KEY, timeout_s=timeout_s)
    result = await state.platform.transact(
        [Condition(_HOLDER_KEY, row.version)],
        [Write(_HOLDER_KEY, {"holder": state.owner})],
        timeout_s=timeout_s,
    )
    if not result.committed:
        raise exception.ChangeLostError(
            "another entry has taken over the sweep"
        )
    return row.version + 1


async def _remove(
    state, rows: list[Row], holder_version: int, timeout_s: float
) -> None:
    """Removes rows, except those that have changed since they were read."""
    while rows:
        holder_condition = Condition(_HOLDER_KEY, holder_version)
        result = await state.platform.transact(
            [
                holder_condition,
                *(Condition(row.key, row.version) for row in rows),
            ],
            [Write(row.key, None) for row in rows],
            timeout_s=timeout_s,
        )
        if result.committed:
            return
        changed = {row.key for row in result.conflicts}
        if _HOLDER_KEY in changed:
            raise exception.ChangeLostError(
                "another entry has taken over the sweep"
            )
        rows = [row for row in rows if row.key not in changed]
