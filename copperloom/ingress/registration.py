"""Finds the other instances, and is found.

Whoever starts greets the instances that its settings name; one that answers
tells it the members that matter to it. Where none does, it reads a table of
the platform that holds a row for each instance of a small fleet, and for each
owner of a large one: a call for each of hundreds that start would be dear, and
the owners know all others. A row is written once, and removed at a planned
stop; those of instances that died stay until one of that name starts again.
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
_MOST_RETRY_S = 2.0
# Rows are read again so often: heals what a cut left. Whoever starts tells all
# others of itself, so that nothing else hangs on it.
_REFRESH_S = 120.0
# Whether this instance has come to own something is looked at so often.
_LOOK_S = 3.0
_LONELY_S = 0.3
_LEAVE_S = 0.4
# Those named in the settings answer within a round trip, if they run.
MEETING_S = 0.02
# When the whole system starts for the first time nobody waits for it, and all
# start within a few seconds.
FIRST_MEETING_S = 3.0
_FIRST_PAUSE_S = 0.5


async def join(told: gossip.Gossip) -> None:
    """Finds the others, then keeps the own row in the table, for ever."""
    state = told.state
    await _meet(told)
    written = False
    failures = 0
    lonely = 0
    while True:
        try:
            if _wants_rows(state):
                await _read(state)
            if not state.peers_synced.is_set():
                await gossip.announce_start(told)
            # Whether it owns anything is known once the others have answered.
            if not written and _needs_row(state):
                await _write(state)
                written = True
            failures = 0
            lonely = lonely + 1 if _is_alone(state) else 0
            await asyncio.sleep(_pause_s(state, lonely))
        except exception.CopperloomError as error:
            failures += 1
            logs.event("members_unread", code=error.code, failures=failures)
            await _ask_seeds(told)
            wait_s = min(_MOST_RETRY_S, _FIRST_RETRY_S * 2 ** min(failures, 6))
            await asyncio.sleep(wait_s * state.rng.uniform(0.5, 1.0))


def _is_alone(state: IngressState) -> bool:
    now = asyncio.get_running_loop().time()
    return not members.live(state.members, now)


def _wants_rows(state: IngressState) -> bool:
    """Tells whether the rows may name members that matter and are not known.

    What a peer tells of the size of the fleet does not count: one that has
    itself just started knows few, and its word alone would leave this instance
    without the owners.
    """
    knows_few = not shards.has_owners(len(state.members) + 1)
    return knows_few or _is_alone(state)


def _needs_row(state: IngressState) -> bool:
    now = asyncio.get_running_loop().time()
    return not is_large_fleet(state) or recipients.owns_home(state, now)


def _pause_s(state: IngressState, lonely: int) -> float:
    """Returns when to look again; soon where nobody was found.

    Of several that start at the same moment each may have read the rows before
    the others wrote theirs.
    """
    pause_s = _LOOK_S if is_large_fleet(state) else _REFRESH_S
    if lonely:
        pause_s = min(_REFRESH_S, _LONELY_S * 2.0 ** min(lonely, 10))
    return pause_s * state.rng.uniform(0.8, 1.2)


async def _meet(told: gossip.Gossip) -> None:
    """Greets the instances that the settings name."""
    state = told.state
    loop = asyncio.get_running_loop()
    port = state.settings.internal_ports[0]
    addresses = [
        f"{seed.rpartition(':')[0]}:{port}"
        for seed in state.settings.seeds
        if seed != state.settings.peers_listen
    ]
    first = state.settings.is_first_start
    end = loop.time() + (FIRST_MEETING_S if first else MEETING_S)
    while loop.time() < end and (first or not state.members):
        gossip.ask_for_members(told, addresses, loop.time())
        await asyncio.sleep(_FIRST_PAUSE_S if first else MEETING_S / 2)


async def _write(state: IngressState) -> None:
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


async def _read(state: IngressState) -> None:
    feed = await store.read_all(state.store, catalog.MEMBERS_TABLE)
    now = asyncio.get_running_loop().time()
    known = len(state.members)
    for stored in feed.rows:
        row = catalog.decode_member(stored.value)
        if row is not None:
            announcements.add_member(state, row, now)
            state.reported_fleet_size = max(
                state.reported_fleet_size, row.fleet
            )
    if len(state.members) > known:
        # Of two that start at once, the one that finds the other speaks first.
        state.digest_due.set()


async def _ask_seeds(told: gossip.Gossip) -> None:
    """Asks instances named in the settings while the table is away."""
    state = told.state
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
        await gossip.announce_start(told)


async def leave(state: IngressState) -> None:
    """Removes the own row, if the platform answers at once."""
    try:
        async with asyncio.timeout(_LEAVE_S):
            await store.remove_row(
                state.store, catalog.MEMBERS_TABLE, state.settings.instance
            )
    except (exception.CopperloomError, TimeoutError) as error:
        logs.event("member_row_stays", error=str(error))
