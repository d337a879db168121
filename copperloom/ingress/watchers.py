"""Decides which instances watch the platform's tables for all others."""

import math

from copperloom.decisions import members, shards
from copperloom.ingress.state import IngressState, is_large_fleet

__all__ = ["is_watcher"]

# Number of instances that watch the tables and send changes to the others. Few,
# since each call is billed; several, since the platform may refuse some. A
# platform that turns a third of the instances away hardly ever turns all of
# them away.
WATCHERS = 5


def is_watcher(state: IngressState, now: float) -> bool:
    """Returns whether this instance is one of those that watch the tables.

    All instances rank the members in the same order. Those that report that
    the platform does not answer are skipped; an instance without live members
    ranks first. In a large fleet the watchers are shard owners in each data
    centre, since all other instances there receive their digests.
    """
    shard = shards.Shard("")
    watchers = WATCHERS
    if is_large_fleet(state):
        if _count_cut_off_owners(state, now) >= shards.OWNERS:
            return False
        shard = shards.Shard("", state.settings.data_centre)
        data_centres = {m.data_centre for m in state.members.values()}
        data_centres.add(state.settings.data_centre)
        watchers = min(shards.OWNERS, math.ceil(WATCHERS / len(data_centres)))
    reachable = {
        name: m for name, m in state.members.items() if not m.table_unreachable
    }
    own = state.settings
    candidate = shards.Instance(own.instance, own.cores)
    order = members.rank_owners(reachable, candidate, own.data_centre, shard)
    return members.is_owner(
        order,
        reachable,
        own.instance,
        now,
        owners=watchers,
        listening_since=state.listening_since,
    )


def _count_cut_off_owners(state: IngressState, now: float) -> int:
    """Counts the higher-ranked local owners that can't read the tables.

    During a full outage of the tables, every instance would in turn replace
    those that report it, and hundreds would call a service that does not
    answer. The owners keep calling it, and inform the others once it is back.
    """
    own = state.settings
    candidate = shards.Instance(own.instance, own.cores)
    local_shard = shards.Shard("", own.data_centre)
    order = members.rank_owners(
        state.members, candidate, own.data_centre, local_shard
    )
    preceding = order[: order.index(own.instance)]
    owners = [state.members[name] for name in preceding]
    return sum(m.table_unreachable and members.is_live(m, now) for m in owners)
