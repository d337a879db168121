"""Keeps routes and targets as the platform's tables say.

One loop a table: the whole table first, then its changes as they come. Where
the platform does not answer, what is known stays in force, and what peers have
heard is taken over (see `copperloom.ingress.gossip`).
"""

import asyncio
import contextlib

from copperloom import exception, logs
from copperloom.decisions import registry, rowlog
from copperloom.ingress import updates, watchers
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

# Readers' feeds end and begin anew at different times, so that one that the
# platform forgot while it was away is soon asked anew by another reader. A
# connection that falls silent is noticed sooner, by its probes.
FEED_WAIT_S = 5.0
# An instance that does not follow looks itself so often, more seldom in a large
# fleet: peers tell their versions and whoever hears none follows, so this heals
# only what nobody thought of.
LOOK_AGAIN_S = 60.0
LOOK_AGAIN_FLEET = 16
# Changes come in bunches (all targets register within two seconds of a start),
# and each answer of a feed is a call: those of so long come with the next one.
_GATHER_S = 0.1
# Who follows is decided anew so often.
_ROLE_POLL_S = 0.25
_JITTER = 0.25
_FIRST_RETRY_S = 0.15
_MOST_RETRY_S = 1.2
# An instance that starts leaves the tables to peers for so long, once it has
# met them; longer when the whole system starts for the first time, since no
# caller waits then.
FROM_PEERS_S = 0.5
FIRST_FROM_PEERS_S = 2.0
# Where nobody gives them by then, instances of a large fleet read them at
# moments drawn from so much for each instance: the first that has them tells
# the others, so few read.
_DRAWN_S = 0.02
_MOST_DRAWN_S = 4.0
# Longest wait until peers have been met.
_MEETING_S = 0.5
_FIRST_MEETING_S = 5.0


async def watch_routes(state: IngressState) -> None:
    """Follows the operators' document for ever."""
    await _follow(state, catalog.ROUTES_TABLE, _take_routes)


async def watch_targets(state: IngressState) -> None:
    """Follows the registrations of targets for ever."""
    await _follow(state, catalog.TARGETS_TABLE, _take_targets)


async def _follow(state: IngressState, table: str, take) -> None:
    version: int | None = None
    failures = 0
    await _leave_to_peers(state)
    is_due = not state.routing_known.is_set()
    while True:
        try:
            wait_s = 0.0 if is_due else await _turn(state)
            is_due = False
            if version is None:
                feed = await store.read_all(state.store, table)
                take(state, feed, whole=True)
            else:
                feed = await store.feed(state.store, table, version, wait_s)
                take(state, feed, whole=False)
            version = max(version or 0, feed.version)
            if feed.rows:
                await asyncio.sleep(_GATHER_S)
            if failures:
                logs.event("store_regained", table=table, version=version)
            failures = 0
            state.unreachable_tables.discard(table)
        except exception.HistoryGoneError:
            logs.event("store_history_gone", table=table, version=version)
            version = None
            is_due = True
        except exception.CopperloomError as error:
            failures += 1
            _lost(state, table, error, failures)
            is_due = not state.routing_known.is_set()
            await asyncio.sleep(_backoff(state, failures))


async def _leave_to_peers(state: IngressState) -> None:
    """Takes what peers have read, if this instance need not read at its start.

    Hundreds of instances start at the same moment; each call to the table is
    paid for, and what they would read is known to those that run.
    """
    first = state.settings.is_first_start
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_FIRST_MEETING_S if first else _MEETING_S):
            await state.peers_synced.wait()
    loop = asyncio.get_running_loop()
    if not is_large_fleet(state):
        return
    if watchers.is_watcher(state, loop.time()):
        return
    wait_s = FIRST_FROM_PEERS_S if first else FROM_PEERS_S
    drawn_s = min(_MOST_DRAWN_S, _DRAWN_S * fleet_size(state))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait_s + state.rng.uniform(0.0, drawn_s)):
            await state.routing_known.wait()


async def _turn(state: IngressState) -> float:
    """Waits until this instance should ask; returns how long a feed may wait.

    Readers ask at once, and the feed waits for changes. The others wait for a
    turn, and look at what there is without waiting.
    """
    jitter = 1.0 + state.rng.uniform(-_JITTER, _JITTER)
    loop = asyncio.get_running_loop()
    fleet = max(1.0, (len(state.members) + 1) / LOOK_AGAIN_FLEET)
    look_at = loop.time() + LOOK_AGAIN_S * fleet * jitter
    while loop.time() < look_at:
        if watchers.is_watcher(state, loop.time()):
            return FEED_WAIT_S * jitter
        if await _is_called(state):
            break
    return 0.0


async def _is_called(state: IngressState) -> bool:
    """Waits a moment; tells whether the tables should be read at once."""
    try:
        async with asyncio.timeout(_ROLE_POLL_S):
            await state.read_tables_now.wait()
    except TimeoutError:
        return False
    # Both tables' loops wait for it, and each should look once.
    asyncio.get_running_loop().call_soon(state.read_tables_now.clear)
    return True


def _backoff(state: IngressState, failures: int) -> float:
    most = min(_MOST_RETRY_S, _FIRST_RETRY_S * 2 ** min(failures, 8))
    return most * state.rng.uniform(0.5, 1.0)


def _lost(state, table: str, error, failures: int) -> None:
    registry.record_outage(state.targets, asyncio.get_running_loop().time())
    state.metrics.store_failures.labels(table).inc()
    state.unreachable_tables.add(table)
    if failures == 1:
        logs.event("store_lost", table=table, code=error.code, error=str(error))


def _take_routes(state: IngressState, feed: store.Feed, *, whole: bool) -> None:
    row = catalog.routes_row(feed)
    if row is not None:
        updates.apply_routes(state, row.value, "store")


def _take_targets(
    state: IngressState, feed: store.Feed, *, whole: bool
) -> None:
    if whole and feed.version < state.targets.version:
        # A peer has told of later changes meanwhile.
        return
    # The version is that of the newest row, not of the whole service: all
    # instances that have the same rows then have the same version, and none
    # takes another to be ahead.
    newest = max((row.version for row in feed.rows), default=0)
    newest = max(newest, state.targets.version)
    rows = [rowlog.Row(r.key, r.version, r.value) for r in feed.rows]
    updates.apply_targets(state, rows, newest, whole=whole, source="store")
