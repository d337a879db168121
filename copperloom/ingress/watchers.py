"""Which instances follow the platform's tables; the others hear from them."""

import math

from copperloom.decisions import members, shards
from copperloom.ingress.state import IngressState, is_large_fleet

__all__ = ["is_watcher"]

# So many instances follow the tables; the others hear of changes from them, and
# each call is paid for. A table that turns a third of the instances away hardly
# ever turns all of them away.
WATCHERS = 5


def is_watcher(state: IngressState, now: float) -> bool:
    """Tells whether this instance is among those that follow the tables.

    The order is the same at all instances. Whoever says that the platform does
    not answer it is passed over, and whoever hears nobody is the first. In a
    large fleet they are owners in each data centre, whom all others there hear.
    """
    shard = shards.Shard("")
    readers = WATCHERS
    if is_large_fleet(state):
        if _owners_lost(state, now) >= shards.OWNERS:
            return False
        shard = shards.Shard("", state.settings.data_centre)
        data_centres = {m.data_centre for m in state.members.values()}
        data_centres.add(state.settings.data_centre)
        readers = min(shards.OWNERS, math.ceil(WATCHERS / len(data_centres)))
    reachable = {
        name: m for name, m in state.members.items() if not m.table_unreachable
    }
    own = state.settings
    me = shards.Instance(own.instance, own.cores)
    order = members.rank_owners(reachable, me, own.data_centre, shard)
    return members.is_owner(
        order,
        reachable,
        own.instance,
        now,
        owners=readers,
        listening_since=state.listening_since,
    )


def _owners_lost(state: IngressState, now: float) -> int:
    """Counts the owners of the own data centre that the platform leaves alone.

    While the tables are away for all, each instance would take its turn after
    those that say so, and hundreds would call a service that does not answer.
    The owners go on asking, and tell the others once it is back.
    """
    own = state.settings
    me = shards.Instance(own.instance, own.cores)
    home = shards.Shard("", own.data_centre)
    order = members.rank_owners(state.members, me, own.data_centre, home)
    before = order[: order.index(own.instance)]
    told = [state.members[name] for name in before]
    return sum(m.table_unreachable and members.is_live(m, now) for m in told)
