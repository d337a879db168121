"""Discovers the other instances, and registers this one.

An instance that starts contacts the seeds in its settings; a seed that replies
names the members that it needs to know. If none replies, the instance reads the
platform's table of members. The table holds a row for each instance of a small
fleet, but only for the shard owners of a large one: these know all others, and
a call for each of hundreds of starting instances would be costly. A row is
written once and removed at a planned stop; the row of an instance that crashed
stays until an instance of the same name starts.
"""

import asyncio

from copperloom import exception, logs
from copperloom.decisions import members, shards
from copperloom.ingress import announcements, gossip, recipients
from copperloom.ingress.state import (
    IngressState,
    fleet_size,
    is_large_fleet,
)
from copperloom.peers import catalog as peer_catalog
from copperloom.platform import catalog, store

__all__ = ["join", "leave"]

_FIRST_RETRY_S = 0.2
_MAX_RETRY_S = 2.0
# Interval between reads of the rows, which restore the membership after a
# network partition. It can be long, since a starting instance announces itself.
_REFRESH_S = 120.0
# Interval of the check whether this instance has become a shard owner.
_OWNERSHIP_CHECK_S = 3.0
_EMPTY_RETRY_S = 0.3
_LEAVE_TIMEOUT_S = 0.4
# Seeds that run reply within a round trip.
SEED_REPLY_S = 0.02
# At the first start of the whole system, seeds start within a few seconds of
# each other, and no caller is waiting yet.
FIRST_SEED_REPLY_S = 3.0
_FIRST_SEED_RETRY_S = 0.5


async def join(protocol: gossip.Gossip) -> None:
    """Discovers members and registers this instance, until cancelled."""
    state = protocol.state
    await _contact_seeds(protocol)
    is_registered = False
    era = None
    failures = 0
    empty_rounds = 0
    while True:
        try:
            if _should_read_rows(state):
                await _read_rows(state)
            if not state.peers_synced.is_set():
                await gossip.announce_start(protocol)
            state.fleet_asked.set()
            # Shard ownership is known once the other members have replied.
            if not is_registered and _needs_row(state):
                await _write_row(state)
                is_registered = True
            era = state.store.era
            failures = 0
            empty_rounds = empty_rounds + 1 if _is_alone(state) else 0
            await _await_check(state, empty_rounds, era)
            # The older copy that the table service returned from may not have
            # the row.
            is_registered = is_registered and era == state.store.era
        except exception.CopperloomError as error:
            failures += 1
            logs.event("members_unread", code=error.code, failures=failures)
            await _fetch_from_seeds(protocol)
            state.fleet_asked.set()
            wait_s = min(_MAX_RETRY_S, _FIRST_RETRY_S * 2 ** min(failures, 6))
            await asyncio.sleep(wait_s * state.rng.uniform(0.5, 1.0))


def _is_alone(state: IngressState) -> bool:
    now = asyncio.get_running_loop().time()
    return not members.live(state.members, now)


def _should_read_rows(state: IngressState) -> bool:
    """Returns whether the rows may name members that are needed but unknown.

    The fleet size that peers report is not used: a peer that has just
    started reports a large fleet without knowing its shard owners.
    """
    knows_few = not shards.has_owners(len(state.members) + 1)
    return knows_few or _is_alone(state)


def _needs_row(state: IngressState) -> bool:
    now = asyncio.get_running_loop().time()
    return not is_large_fleet(state) or recipients.owns_local_shards(state, now)


async def _await_check(
    state: IngressState, empty_rounds: int, era: int | None
) -> None:
    """Waits for the next check, which comes sooner if the fleet proves large.

    An instance may know few members, and of no large fleet, when it begins to
    wait. It also comes sooner if the table service returns from an older copy,
    at instances in turn.

    Args:
        state: The instance's state.
        empty_rounds: Number of checks in a row that found no live member.
        era: Era of the table service in which the row was written.
    """
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    spread = state.rng.uniform(0.8, 1.2)
    while True:
        end = begun_at + spread * _check_delay_s(state, empty_rounds)
        left_s = end - loop.time()
        if left_s <= 0.0 or state.store.era != era:
            return
        await asyncio.sleep(min(left_s, _OWNERSHIP_CHECK_S))


def _check_delay_s(state: IngressState, empty_rounds: int) -> float:
    """Returns the seconds between two checks; fewer without live members.

    Of several instances that start at the same moment, each may have read the
    rows before the others wrote theirs.
    """
    delay_s = _OWNERSHIP_CHECK_S if is_large_fleet(state) else _REFRESH_S
    if not empty_rounds:
        return delay_s
    retry_s = min(_REFRESH_S, _EMPTY_RETRY_S * 2.0 ** min(empty_rounds, 10))
    return retry_s if _is_alone(state) else min(delay_s, retry_s)


async def _contact_seeds(protocol: gossip.Gossip) -> None:
    """Asks the seeds in the settings for members."""
    state = protocol.state
    loop = asyncio.get_running_loop()
    port = state.settings.internal_ports[0]
    addresses = [
        f"{seed.rpartition(':')[0]}:{port}"
        for seed in state.settings.seeds
        if seed != state.settings.peers_listen
    ]
    is_first = state.settings.is_first_start
    end = loop.time() + (FIRST_SEED_REPLY_S if is_first else SEED_REPLY_S)
    while loop.time() < end and (is_first or not state.members):
        gossip.request_members(protocol, addresses, loop.time())
        await asyncio.sleep(
            _FIRST_SEED_RETRY_S if is_first else SEED_REPLY_S / 2
        )


async def _write_row(state: IngressState) -> None:
    own = state.settings
    row = catalog.MemberRow(
        own.instance,
        state.boot,
        state.datagrams,
        own.peers_listen,
        own.data_centre,
        own.cores,
        fleet_size(state),
    )
    await store.put_row(
        state.store,
        catalog.MEMBERS_TABLE,
        own.instance,
        catalog.encode_member(row),
    )


async def _read_rows(state: IngressState) -> None:
    feed = await store.read_all(state.store, catalog.MEMBERS_TABLE)
    now = asyncio.get_running_loop().time()
    known_before = len(state.members)
    for stored in feed.rows:
        row = catalog.decode_member(stored.value)
        if row is not None:
            announcements.add_member(state, row, now)
            state.reported_fleet_size = max(
                state.reported_fleet_size, row.fleet
            )
    if len(state.members) > known_before:
        # The members found may not know this instance yet.
        state.digest_due.set()


async def _fetch_from_seeds(protocol: gossip.Gossip) -> None:
    """Fetches members from the seeds while the table is unavailable."""
    state = protocol.state
    if state.members:
        return
    for address in state.settings.seeds:
        if address == state.settings.peers_listen:
            continue
        try:
            await peer_catalog.fetch(state, address)
        except exception.PeerUnavailableError as error:
            logs.event("peer_unavailable", peer=address, error=str(error))
    if state.members and not state.peers_synced.is_set():
        await gossip.announce_start(protocol)


async def leave(state: IngressState) -> None:
    """Removes this instance's row, or leaves it if the platform is too slow."""
    try:
        async with asyncio.timeout(_LEAVE_TIMEOUT_S):
            await store.remove_row(
                state.store, catalog.MEMBERS_TABLE, state.settings.instance
            )
    except (exception.CopperloomError, TimeoutError) as error:
        logs.event("member_row_stays", error=str(error))
