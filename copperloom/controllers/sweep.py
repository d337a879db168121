"""Removes idempotency records that are older than their retention.

Made for some hundred keyed requests a second: without a sweep the table grows
by millions of rows a day. One entry sweeps at a time, the owner of a fixed
name by rendezvous.

Two may believe that they are the one, and a removal may land late. A row that
was removed, claimed anew and so has its old version again would then be
removed under its new holder, and the key could run twice. So each removal
also has the version of the row `sweep/holder` as its condition, and whoever
begins to sweep, or does not know whether a removal landed, raises that
version first: no older removal can land after that.
"""

import dataclasses
import time

from copperloom import exception, logs
from copperloom.controllers import reservation_owners, row_batch
from copperloom.platform.interface import Condition, Row, Write

__all__ = ["Sweep", "step", "sweep_page"]

_PREFIX = "idem/"
_OWNED_NAME = "sweep of idempotency records"
# One page a step keeps the sweep to a few reads and, at 25 rows a
# transaction, a few writes a second, far below the table's rates.
_PAGE_ROWS = 200
_HOLDER = "sweep/holder"
# One row of each transaction is the holder's.
_ROWS = row_batch.ROWS - 1


@dataclasses.dataclass(slots=True)
class Sweep:
    """Where the sweep stands.

    Attributes:
        after: Key after which the next page begins.
        holding: Version of the holder's row; 0 if it must be raised first.
    """

    after: str = ""
    holding: int = 0


async def step(state, now: float) -> None:
    """Sweeps one page, if this entry is the one to do it.

    Args:
        state: The entry's state.
        now: Monotonic seconds.

    Raises:
        copperloom.exception.PlatformDownError: The platform gave no answer;
            the page is read again by the next step.
    """
    own = state.settings.entry.instance
    if reservation_owners.owner_of(state, _OWNED_NAME, now) != own:
        state.sweep.holding = 0
        return
    oldest = time.time() - state.settings.limits.record_retention_s
    try:
        await sweep_page(state, oldest)
    except exception.ChangeLostError:
        # Entries that have just started do not know each other and all begin;
        # the next step settles who goes on.
        logs.event("sweep_lost", level="DEBUG")


async def sweep_page(state, oldest: float) -> None:
    """Removes the expired records of the next page.

    Args:
        state: The entry's state; its `sweep` tells where the page begins.
        oldest: Records claimed before this wall time are removed; in seconds
            since the epoch. Clocks may differ by minutes, the retention is
            many hours.

    Raises:
        copperloom.exception.ChangeLostError: Another instance sweeps.
        copperloom.exception.CopperloomError: The platform failed; nothing is
            lost by sweeping the page again.
    """
    timeout_s = state.settings.platform.timeout_s
    holding, state.sweep.holding = state.sweep.holding, 0
    if not holding:
        holding = await _take_over(state, timeout_s)
    # Read after taking over: what was read before may have been removed and
    # claimed anew since.
    rows = await state.platform.scan(
        _PREFIX, after=state.sweep.after, limit=_PAGE_ROWS, timeout_s=timeout_s
    )
    expired = [row for row in rows if _is_expired(row, oldest)]
    for at in range(0, len(expired), _ROWS):
        await _remove(state, expired[at : at + _ROWS], holding, timeout_s)
    if expired:
        logs.event("records_swept", seen=len(rows), expired=len(expired))
    state.sweep.after = rows[-1].key if len(rows) == _PAGE_ROWS else ""
    state.sweep.holding = holding


def _is_expired(row: Row, oldest: float) -> bool:
    value = row.value
    if not isinstance(value, dict):
        return False
    return value.get("wall_time_s", oldest) < oldest


async def _take_over(state, timeout_s: float) -> int:
    """Raises the version of the holder's row and returns it."""
    row = await state.platform.read(_HOLDER, timeout_s=timeout_s)
    result = await state.platform.transact(
        [Condition(_HOLDER, row.version)],
        [Write(_HOLDER, {"holder": state.owner})],
        timeout_s=timeout_s,
    )
    if not result.committed:
        raise exception.ChangeLostError("another instance sweeps")
    return row.version + 1


async def _remove(
    state, rows: list[Row], holding: int, timeout_s: float
) -> None:
    """Removes rows; those that have changed since they were read stay."""
    while rows:
        held = Condition(_HOLDER, holding)
        result = await state.platform.transact(
            [held, *(Condition(row.key, row.version) for row in rows)],
            [Write(row.key, None) for row in rows],
            timeout_s=timeout_s,
        )
        if result.committed:
            return
        changed = {row.key for row in result.conflicts}
        if _HOLDER in changed:
            raise exception.ChangeLostError("another instance sweeps")
        rows = [row for row in rows if row.key not in changed]
