"""Fetches newer routes and targets from peers.

Each digest holds the versions of its sender. One fetch runs at a time, from a
random member that has a newer version. If no member provides one, the instance
reads the platform's tables itself.
"""

import asyncio

from copperloom import exception, logs, versions
from copperloom.decisions import fetch_policy, registry, rowlog
from copperloom.ingress import recipients
from copperloom.ingress.state import IngressState, Member, live_members
from copperloom.peers import catalog

__all__ = ["PeerFetch", "fetch_if_behind"]

# Maximum number of peers that fail to provide a newer version before the tables
# are read. Low, since each may take a whole timeout, and changes have to be in
# force within seconds.
MAX_NO_PROGRESS = 2
# Time limit for fetches from peers, after which the tables are read.
MAX_WAIT_S = 1.2
# Time limit at a start. Longer, since no old routes are in force there, and
# hundreds of instances that start at once would all read the tables.
MAX_START_WAIT_S = 4.0


class PeerFetch:
    """The fetch in progress.

    Attributes:
        task: Its task; None before the first fetch.
    """

    def __init__(self):
        self.task: asyncio.Task | None = None


def fetch_if_behind(
    fetch: PeerFetch, state: IngressState, member: Member
) -> None:
    """Starts a fetch if a member has newer versions and no fetch is running."""
    _confirm_targets(state, member)
    is_running = fetch.task is not None and not fetch.task.done()
    if not is_running and _is_ahead(state, member):
        fetch.task = asyncio.ensure_future(_fetch_newer(state))


def _is_ahead(state: IngressState, member: Member) -> bool:
    if member.routes_version > state.table.version:
        return True
    known = registry.complete_to(state.targets)
    if member.targets_fingerprint is None:
        return member.targets_version > known
    return member.targets_confirmed > known and not _has_same_targets(
        state, member
    )


def _has_same_targets(state: IngressState, member: Member) -> bool:
    """Returns whether a member has the same registrations.

    The version of the latest change doesn't tell: a member that has read the
    whole table knows of removals that no row tells of.
    """
    own_era = registry.complete_to(state.targets).era
    is_same_era = member.targets_confirmed.era == own_era
    own = rowlog.fingerprint(state.target_rows)
    return is_same_era and member.targets_fingerprint == own


def _confirm_targets(state: IngressState, member: Member) -> None:
    """Adopts the version as of which a member's same targets are complete."""
    if member.targets_fingerprint is not None and _has_same_targets(
        state, member
    ):
        registry.confirm(state.targets, member.targets_confirmed)


async def _fetch_newer(state: IngressState) -> None:
    """Fetches newer versions from peers; reads the tables if that fails."""
    loop = asyncio.get_running_loop()
    fetchers = len(recipients.local_members(state))
    is_starting = not state.routing_known.is_set()
    if not is_starting:
        await asyncio.sleep(fetch_policy.fetch_delay_s(fetchers, state.rng))
        end = loop.time() + MAX_WAIT_S
    else:
        # Callers wait for a starting instance, so its delay is shorter.
        await asyncio.sleep(fetch_policy.start_delay_s(fetchers, state.rng))
        end = loop.time() + MAX_START_WAIT_S
    no_progress: set[str] = set()
    deferrals = 0
    while loop.time() < end and len(no_progress) < MAX_NO_PROGRESS:
        source = fetch_policy.choose_source(
            _sources(state), no_progress, state.rng
        )
        if source is None:
            break
        before = _versions(state)
        fetched = await _fetch(state, source.calls)
        if not fetched.had_room and fetched.alternatives:
            await _fetch(state, state.rng.choice(fetched.alternatives))
        if _versions(state) != before:
            continue
        if fetched.had_room:
            no_progress.add(source.instance)
        else:
            await asyncio.sleep(
                fetch_policy.retry_delay_s(state.rng, deferrals)
            )
            deferrals += is_starting
    if _sources(state):
        logs.event("peers_gave_nothing", tried=",".join(sorted(no_progress)))
        state.read_tables_now.set()


def _versions(state: IngressState) -> tuple[int, versions.Version]:
    return state.table.version, registry.complete_to(state.targets)


async def _fetch(state: IngressState, address: str) -> catalog.Fetched:
    """Fetches from a member; a failed call counts as no progress."""
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
