"""Finds the other instances: a row each in a table of the platform.

A row is written at start and removed at a planned stop; the rows of instances
that died stay until an instance of that name starts again, and cost the others
a datagram each for half a minute. Whoever starts reads the rows and tells all
of them its work, so that they know it at once, without reading.
"""

import asyncio

from copperloom import exception, logs
from copperloom.ingress.state import IngressState, Member
from copperloom.peers import catalog as peer_catalog
from copperloom.platform import catalog, store

__all__ = ["join", "leave"]

_FIRST_RETRY_S = 0.2
_MOST_RETRY_S = 2.0
# Rows are read again so often: heals what a cut left. Whoever starts tells all
# others of itself, so that nothing else hangs on it.
_REFRESH_S = 120.0
_LEAVE_S = 0.4


async def join(state: IngressState, datagrams: str) -> None:
    """Writes the own row, then reads the others' now and then, for ever."""
    written = False
    failures = 0
    while True:
        try:
            if not written:
                await _write(state, datagrams)
                written = True
            await _read(state)
            failures = 0
            await asyncio.sleep(_REFRESH_S * state.rng.uniform(0.8, 1.2))
        except exception.CopperloomError as error:
            failures += 1
            logs.event("members_unread", code=error.code, failures=failures)
            await _ask_seeds(state)
            wait_s = min(_MOST_RETRY_S, _FIRST_RETRY_S * 2 ** min(failures, 6))
            await asyncio.sleep(wait_s * state.rng.uniform(0.5, 1.0))


async def _write(state: IngressState, datagrams: str) -> None:
    own = state.settings
    row = catalog.MemberRow(
        own.instance, state.boot, datagrams, own.peers_listen
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
    for stored in feed.rows:
        row = catalog.decode_member(stored.value)
        if row is None or row.instance == state.settings.instance:
            continue
        if row.instance not in state.members:
            member = Member(row.instance, row.datagrams, row.calls, now)
            state.members[row.instance] = member
            logs.event("member_found", member=row.instance)


async def _ask_seeds(state: IngressState) -> None:
    """Asks instances named in the settings while the table is away."""
    if state.members:
        return
    for address in state.settings.seeds:
        if address == state.settings.peers_listen:
            continue
        try:
            await peer_catalog.fetch(state, address)
        except exception.PeerUnavailableError as error:
            logs.event("peer_unavailable", peer=address, error=str(error))


async def leave(state: IngressState) -> None:
    """Removes the own row, if the platform answers at once."""
    try:
        async with asyncio.timeout(_LEAVE_S):
            await store.remove_row(
                state.store, catalog.MEMBERS_TABLE, state.settings.instance
            )
    except (exception.CopperloomError, TimeoutError) as error:
        logs.event("member_row_stays", error=str(error))
