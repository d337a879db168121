"""Keeps routes and targets up to date with the platform's tables.

One loop for each table reads the whole table first, then its changes. While the
platform does not answer, the known routes and targets stay in force, and newer
ones come from peers (see `copperloom.ingress.gossip`).
"""

import asyncio
import contextlib

from copperloom import exception, logs, versions
from copperloom.decisions import registry, rowlog
from copperloom.ingress import evacuations, startup, updates, watchers
from copperloom.ingress.state import (
    IngressState,
    fleet_size,
    is_large_fleet,
)
from copperloom.platform import catalog, store

__all__ = [
    "watch_routes",
    "watch_targets",
]

# Time that a watcher's feed waits for changes before it is opened again. The
# feeds end at different times, so that after an outage, which may leave feeds
# open but silent, some watcher soon opens a new one. Keep-alive probes detect a
# silent connection sooner.
FEED_WAIT_S = 5.0
# Interval at which an instance that is not a watcher reads the tables, for a
# fleet of POLL_BASE_FLEET; longer in a larger one. A safety net only: peers
# report their versions, and an instance that gets no reports is a watcher.
POLL_S = 60.0
POLL_BASE_FLEET = 16
# Changes come in bursts, such as the registrations at a start, and each reply
# of a feed is a call: changes within this time share the next one.
_BATCH_S = 0.1
# Interval of the check whether this instance is a watcher.
_ROLE_CHECK_S = 0.25
_JITTER = 0.25
_FIRST_RETRY_S = 0.15
_MAX_RETRY_S = 1.2
# Time that a starting instance waits for routes and targets from its peers;
# longer at the first start of the whole system, when no caller is waiting.
PEER_WAIT_S = 0.5
FIRST_PEER_WAIT_S = 2.0
# If none come, the instances of a large fleet read the tables after a random
# delay of up to this time per instance: the first one to read informs the
# others, so that few read.
_READ_SPREAD_S = 0.02
_MAX_READ_SPREAD_S = 4.0


async def watch_routes(state: IngressState) -> None:
    """Watches the operators' document until cancelled."""
    await _watch(state, catalog.ROUTES_TABLE, _apply_routes)


async def watch_targets(state: IngressState) -> None:
    """Watches the registrations of targets until cancelled."""
    await _watch(state, catalog.TARGETS_TABLE, _apply_targets)


async def _watch(state: IngressState, table: str, apply) -> None:
    version: versions.Version | None = None
    failures = 0
    rereads = 0
    await _wait_for_peers(state)
    is_due = not state.routing_known.is_set()
    while True:
        try:
            wait_s = 0.0 if is_due else await _next_read(state)
            is_due = False
            if failures:
                # The table service may have returned from an older copy, and
                # names its era only when it answers.
                wait_s = 0.0
            if version is None:
                _log_whole_read(state, table)
                feed = await store.read_all(state.store, table)
                apply(state, feed, whole=True)
            else:
                feed = await store.feed(state.store, table, version, wait_s)
                _check_not_older(table, feed, version)
                apply(state, feed, whole=False)
            version = max(version or versions.NONE, feed.version)
            rereads = 0
            if feed.rows:
                await asyncio.sleep(_BATCH_S)
            if failures:
                logs.event("store_regained", table=table, version=version)
            failures = 0
            state.unreachable_tables.discard(table)
        except exception.HistoryGoneError as error:
            logs.event(
                "store_history_gone",
                table=table,
                version=version,
                error=str(error),
            )
            version = None
            is_due = True
            # At once unless that did not help.
            await asyncio.sleep(_backoff(state, rereads) if rereads else 0.0)
            rereads += 1
        except exception.CopperloomError as error:
            failures += 1
            _record_outage(state, table, error, failures)
            is_due = not state.routing_known.is_set()
            await asyncio.sleep(_backoff(state, failures))


def _check_not_older(
    table: str, feed: store.Feed, version: versions.Version
) -> None:
    """Checks that the operators' table is no older copy of what was read.

    A table service that names no era may return from one. Its later versions
    would be below the known one, so that an evacuation in them would never be
    seen.

    Raises:
        copperloom.exception.HistoryGoneError: The whole table has to be read.
    """
    if table == catalog.ROUTES_TABLE and feed.version < version:
        raise exception.HistoryGoneError(f"{table} is at {feed.version}")


def _log_whole_read(state: IngressState, table: str) -> None:
    """Logs what this instance knows of the others when it reads a table."""
    now = asyncio.get_running_loop().time()
    logs.event(
        "table_read",
        table=table,
        fleet=fleet_size(state),
        members=len(state.members),
        peers_synced=state.peers_synced.is_set(),
        watcher=watchers.is_watcher(state, now),
        since_start_s=now - state.listening_since,
    )


async def _wait_for_peers(state: IngressState) -> None:
    """Waits for routes and targets from peers, unless this is a watcher.

    Hundreds of instances may start at the same moment. Their reads would be
    costly, and running instances can send them the same data.
    """
    await startup.wait_for_fleet(state)
    loop = asyncio.get_running_loop()
    if not is_large_fleet(state):
        return
    if watchers.is_watcher(state, loop.time()):
        return
    is_first = state.settings.is_first_start
    wait_s = FIRST_PEER_WAIT_S if is_first else PEER_WAIT_S
    spread_s = min(_MAX_READ_SPREAD_S, _READ_SPREAD_S * fleet_size(state))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait_s + state.rng.uniform(0.0, spread_s)):
            await state.routing_known.wait()


async def _next_read(state: IngressState) -> float:
    """Waits until the next read; returns its feed's maximum wait in seconds.

    A watcher reads at once, and its feed waits for changes. Another instance
    waits until its poll is due or a read is requested, and its feed returns at
    once.
    """
    jitter = 1.0 + state.rng.uniform(-_JITTER, _JITTER)
    loop = asyncio.get_running_loop()
    scale = max(1.0, (len(state.members) + 1) / POLL_BASE_FLEET)
    poll_at = loop.time() + POLL_S * scale * jitter
    while loop.time() < poll_at:
        role = watchers.role(state, loop.time())
        watchers.adopt(state, role)
        if role.is_watcher:
            return FEED_WAIT_S * jitter
        if await _read_requested(state):
            break
    return 0.0


async def _read_requested(state: IngressState) -> bool:
    """Waits for a request to read the tables; returns whether one came."""
    try:
        async with asyncio.timeout(_ROLE_CHECK_S):
            await state.read_tables_now.wait()
    except TimeoutError:
        return False
    # Cleared later, so that the loops of both tables see the event.
    asyncio.get_running_loop().call_soon(state.read_tables_now.clear)
    return True


def _backoff(state: IngressState, failures: int) -> float:
    limit_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2 ** min(failures, 8))
    return limit_s * state.rng.uniform(0.5, 1.0)


def _record_outage(state, table: str, error, failures: int) -> None:
    registry.record_outage(state.targets, asyncio.get_running_loop().time())
    state.metrics.table_failures.labels(table).inc()
    state.unreachable_tables.add(table)
    if failures == 1:
        logs.event("store_lost", table=table, code=error.code, error=str(error))


def _apply_routes(
    state: IngressState, feed: store.Feed, *, whole: bool
) -> None:
    # First, so that an instance that starts sends nothing to evacuated targets.
    evacuations.apply_rows(
        state,
        catalog.evacuation_rows(feed),
        feed.version if whole else None,
    )
    row = catalog.routes_row(feed)
    if row is not None:
        updates.apply_routes(state, row.value, "store")


def _apply_targets(
    state: IngressState, feed: store.Feed, *, whole: bool
) -> None:
    if whole and feed.version < registry.complete_to(state.targets):
        # A peer has sent newer rows in the meantime.
        return
    rows = [rowlog.Row(r.key, r.version, _content(r)) for r in feed.rows]
    updates.apply_targets(
        state, rows, feed.version, whole=whole, source="store"
    )


def _content(row: store.StoredRow) -> bytes | None:
    """Returns a row's value, empty if unreadable; None if it was removed."""
    if row.removed:
        return None
    return row.value or b""
