"""Keeps quarantines in the platform's table while all instances restart.

Instances that run know all quarantines, and one that starts learns them from
the others. The table is read only by instances that find no such peer, as after
the loss of all. One instance writes the row of each quarantine, and writes it
again from time to time, since the table may lose rows that it has acknowledged.

A row holds no times, as clocks differ between processes: its crashes count as
new when they are read.
"""

import asyncio
import contextlib

from copperloom import exception, logs
from copperloom.decisions import crash_log, quarantine
from copperloom.ingress import quarantines, recipients, startup
from copperloom.ingress.state import IngressState, fleet_size
from copperloom.platform import catalog, store

__all__ = ["run"]

# Owners that start together read after random delays, so that the first reader
# informs the others; the other instances read only if no owner does.
_OWNER_SPREAD_S = 0.3
_OTHERS_WAIT_S = 1.5
_OTHERS_SPREAD_S = 0.02
_REWRITE_S = 30.0
_RETRY_S = 1.0


async def run(state: IngressState) -> None:
    """Loads the quarantines, then saves their changes, until cancelled."""
    await _load(state)
    saved: dict[bytes, catalog.QuarantineRow] = {}
    era = state.store.era
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REWRITE_S):
                await state.quarantine_changed.wait()
        is_rewrite = not state.quarantine_changed.is_set()
        # The table may have returned from a copy without these rows.
        is_rewrite |= era != state.store.era
        state.quarantine_changed.clear()
        try:
            await _save(state, {} if is_rewrite else saved, saved)
            era = state.store.era
        except exception.CopperloomError as error:
            logs.event("quarantine_unsaved", code=error.code, error=str(error))
            state.quarantine_changed.set()
            await asyncio.sleep(_RETRY_S * state.rng.uniform(0.5, 1.0))


async def _load(state: IngressState) -> None:
    """Waits for a peer that knows the quarantines, or reads the table."""
    if state.settings.is_first_start:
        state.quarantines_loaded.set()
        return
    await startup.wait_for_fleet(state)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_read_delay_s(state)):
            await state.quarantines_loaded.wait()
    while not state.quarantines_loaded.is_set():
        try:
            feed = await store.read_all(state.store, catalog.QUARANTINE_TABLE)
        except exception.CopperloomError as error:
            logs.event("quarantines_unread", code=error.code, error=str(error))
            await asyncio.sleep(_RETRY_S * state.rng.uniform(0.5, 1.0))
            continue
        _apply(state, feed)
        state.quarantines_loaded.set()
        # Others that start at the same time need not read the table as well.
        state.digest_due.set()


def _read_delay_s(state: IngressState) -> float:
    """Returns the seconds until this instance reads the table, if it must."""
    now = asyncio.get_running_loop().time()
    if recipients.owns_local_shards(state, now):
        return state.rng.uniform(0.0, _OWNER_SPREAD_S)
    spread_s = _OTHERS_SPREAD_S * fleet_size(state)
    return _OTHERS_WAIT_S + state.rng.uniform(0.0, spread_s)


def _apply(state: IngressState, feed: store.Feed) -> None:
    now = asyncio.get_running_loop().time()
    for stored in feed.rows:
        row = catalog.decode_quarantine(stored.value)
        if row is None:
            logs.event("quarantine_unreadable", key=stored.key)
            continue
        evidence = crash_log.Evidence(
            crashes=dict.fromkeys(row.crashes, now),
            trials=dict.fromkeys(row.trials, now),
        )
        quarantines.apply(
            state, row.digest, evidence, now, source="store", forwards=True
        )


async def _save(
    state: IngressState,
    written: dict[bytes, catalog.QuarantineRow],
    saved: dict[bytes, catalog.QuarantineRow],
) -> None:
    """Writes the rows that changed, and removes those of ended quarantines.

    Args:
        state: The instance's state.
        written: Rows that need not be written again.
        saved: Rows as all instances know them; updated.
    """
    wanted = {
        digest: catalog.QuarantineRow(
            digest, sorted(known.crashes), sorted(known.trials)
        )
        for digest, known in quarantine.to_keep(state.crashes).items()
    }
    is_keeper = quarantines.rank(state, asyncio.get_running_loop().time()) == 0
    for digest in [d for d, row in wanted.items() if written.get(d) != row]:
        if is_keeper:
            await store.put_row(
                state.store,
                catalog.QUARANTINE_TABLE,
                digest.hex(),
                catalog.encode_quarantine(wanted[digest]),
            )
        saved[digest] = wanted[digest]
    for digest in [d for d in saved if d not in wanted]:
        if is_keeper:
            await store.remove_row(
                state.store, catalog.QUARANTINE_TABLE, digest.hex()
            )
        del saved[digest]
