"""Fetches from peers what they have newer: routes and targets.

A digest tells that a peer is ahead. One fetch runs at a time, from a member
drawn among all that are ahead by then. Where none answers, the instance reads
the platform's tables itself.
"""

import asyncio

from copperloom import exception, logs
from copperloom.decisions import fetch_policy
from copperloom.ingress import recipients
from copperloom.ingress.state import IngressState, Member, live_members
from copperloom.peers import catalog

__all__ = ["CatchUp", "note"]

# Peers that may give nothing before the tables are read: each takes up to a
# second to be given up, and a change has to be in force within two or three.
MOST_USELESS = 2
# The tables are read also if peers put it off for so long.
MOST_WAIT_S = 1.2
# An instance that knows nothing yet asks for so long: no change is late there,
# and hundreds that start at once would all turn to the tables.
MOST_START_WAIT_S = 4.0


class CatchUp:
    """The fetch under way.

    Attributes:
        task: It, if any was begun.
    """

    def __init__(self):
        self.task: asyncio.Task | None = None


def note(fetches: CatchUp, state: IngressState, member: Member) -> None:
    """Begins a fetch if a member is ahead and none is under way."""
    busy = fetches.task is not None and not fetches.task.done()
    if not busy and _is_ahead(state, member):
        fetches.task = asyncio.ensure_future(_catch_up(state))


def _is_ahead(state: IngressState, member: Member) -> bool:
    return (
        member.routes_version > state.table.version
        or member.targets_version > state.targets.version
    )


async def _catch_up(state: IngressState) -> None:
    """Asks members until none is ahead; else has the tables read."""
    loop = asyncio.get_running_loop()
    sharing = len(recipients.neighbours(state))
    starts = not state.routing_known.is_set()
    if not starts:
        await asyncio.sleep(fetch_policy.fetch_delay_s(sharing, state.rng))
        end = loop.time() + MOST_WAIT_S
    else:
        # Its callers wait for it.
        await asyncio.sleep(fetch_policy.start_delay_s(sharing, state.rng))
        end = loop.time() + MOST_START_WAIT_S
    useless: set[str] = set()
    put_off = 0
    while loop.time() < end and len(useless) < MOST_USELESS:
        source = fetch_policy.choose_source(_sources(state), useless, state.rng)
        if source is None:
            break
        before = (state.table.version, state.targets.version)
        fetched = await _ask(state, source.calls)
        if not fetched.had_room and fetched.others:
            await _ask(state, state.rng.choice(fetched.others))
        if (state.table.version, state.targets.version) != before:
            continue
        if fetched.had_room:
            useless.add(source.instance)
        else:
            await asyncio.sleep(fetch_policy.retry_delay_s(state.rng, put_off))
            put_off += starts
    if _sources(state):
        logs.event("peers_gave_nothing", tried=",".join(sorted(useless)))
        state.read_tables_now.set()


async def _ask(state: IngressState, address: str) -> catalog.Fetched:
    """Asks a member; one that does not answer has nothing to give."""
    try:
        return await catalog.fetch(state, address)
    except exception.PeerUnavailableError as error:
        logs.event("peer_unavailable", peer=address, error=str(error))
        return catalog.Fetched(had_room=True)


def _sources(state: IngressState) -> list[fetch_policy.Source]:
    now = asyncio.get_running_loop().time()
    own = state.settings.data_centre
    return [
        fetch_policy.Source(m.instance, m.calls, m.data_centre == own)
        for m in live_members(state, now)
        if _is_ahead(state, m)
    ]
