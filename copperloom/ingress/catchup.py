"""Fetches from peers what they have newer: routes and targets.

A digest tells that a peer is ahead. One fetch runs at a time, from a member
drawn among all that are ahead by then. Where none answers, the instance reads
the platform's tables itself.
"""

import asyncio

from copperloom import exception, logs
from copperloom.decisions import sources
from copperloom.ingress.state import IngressState, Member, live_members
from copperloom.peers import catalog

__all__ = ["CatchUp", "note"]

# Peers that may fail to answer before the tables are read: each takes up to a
# second to be given up, and a change has to be in force within two or three.
MOST_FAILED = 1
# The tables are read also if peers put it off for so long.
MOST_WAIT_S = 1.2


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
    await asyncio.sleep(sources.delay_s(len(state.members), state.rng))
    end = loop.time() + MOST_WAIT_S
    tried: set[str] = set()
    failed = 0
    while loop.time() < end and failed <= MOST_FAILED:
        source = sources.choose(_sources(state), tried, state.rng)
        if source is None:
            break
        try:
            whole = await catalog.fetch(state, source.calls)
        except exception.PeerUnavailableError as error:
            failed += 1
            whole = True
            logs.event(
                "peer_unavailable", member=source.instance, error=str(error)
            )
        if whole:
            # One that gives nothing new is not asked for ever.
            tried.add(source.instance)
        else:
            await asyncio.sleep(sources.again_s(state.rng))
    if _sources(state):
        logs.event("peers_gave_nothing", tried=",".join(sorted(tried)))
        state.look_now.set()


def _sources(state: IngressState) -> list[sources.Source]:
    now = asyncio.get_running_loop().time()
    own = state.settings.data_centre
    return [
        sources.Source(m.instance, m.calls, m.data_centre == own)
        for m in live_members(state, now)
        if _is_ahead(state, m)
    ]
