"""Decides which instances watch the platform's tables for all others."""

import dataclasses
import math

from copperloom import logs
from copperloom.decisions import handover, members, shards
from copperloom.ingress.state import IngressState, is_large_fleet

__all__ = ["Role", "adopt", "heartbeat_s", "is_watcher", "role"]

# Number of instances that watch the tables and send changes to the others. Few,
# since each call is billed; several, since the platform may refuse some. A
# platform that turns a third of the instances away hardly ever turns all of
# them away.
WATCHERS = 5
# With fewer watchers that were heard lately, others take over.
MIN_WATCHERS = 2
HEARTBEAT_S = 0.5
# In a large fleet the heartbeats of idle instances dominate the traffic.
LARGE_FLEET_HEARTBEAT_S = 1.0
# Delay of a message beyond its interval that is no sign of a loss.
_MAX_MESSAGE_DELAY_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """Whether an instance watches the tables.

    Attributes:
        is_watcher: Whether it does.
        lost: Names of those ranked before it that it replaces.
    """

    is_watcher: bool
    lost: tuple[str, ...] = ()


def heartbeat_s(state: IngressState) -> float:
    """Returns the longest time between two digests of a member, in seconds."""
    return LARGE_FLEET_HEARTBEAT_S if is_large_fleet(state) else HEARTBEAT_S


def is_watcher(state: IngressState, now: float) -> bool:
    """Returns whether this instance is one of those that watch the tables."""
    return role(state, now).is_watcher


def role(state: IngressState, now: float) -> Role:
    """Decides whether this instance is one of those that watch the tables.

    All instances rank the members in the same order. Those that report that
    the platform does not answer are skipped; an instance without live members
    ranks first. In a large fleet the watchers are shard owners in each data
    centre, since all other instances there receive their digests.
    """
    shard = shards.Shard("")
    data_centres = 1
    if is_large_fleet(state):
        if _count_cut_off_owners(state, now) >= shards.OWNERS:
            return Role(False)
        shard = shards.Shard("", state.settings.data_centre)
        names = {m.data_centre for m in state.members.values()}
        data_centres = len(names | {state.settings.data_centre})
    reachable = {
        name: m for name, m in state.members.items() if not m.table_unreachable
    }
    own = state.settings
    candidate = shards.Instance(own.instance, own.cores)
    order = members.rank_owners(reachable, candidate, own.data_centre, shard)
    if own.instance not in order:
        return Role(False)
    before = [reachable[n] for n in order[: order.index(own.instance)]]
    policy = _policy(state, data_centres)
    if now - state.listening_since < members.MEMBER_TIMEOUT_S:
        # When many instances start together, none has heard of the others yet.
        return Role(len(before) < policy.watchers)
    interval_s = heartbeat_s(state)
    awake = handover.awake_since(state.attention, now, interval_s)
    if not handover.takes_over(before, now, awake, policy):
        return Role(False)
    if len(before) < policy.watchers:
        return Role(True)
    lost = handover.silent(before, now, awake, policy.silence_s)
    return Role(True, tuple(m.instance for m in lost[: policy.watchers]))


def _policy(state: IngressState, data_centres: int) -> handover.Policy:
    """Returns how many instances of a data centre watch the tables."""
    silence_s = 2.0 * heartbeat_s(state) + _MAX_MESSAGE_DELAY_S
    watchers = math.ceil(WATCHERS / data_centres)
    if is_large_fleet(state):
        watchers = min(shards.OWNERS, watchers)
    minimum = math.ceil(MIN_WATCHERS / data_centres)
    return handover.Policy(watchers, min(minimum, watchers), silence_s)


def adopt(state: IngressState, found: Role) -> None:
    """Takes over the watch of the tables, or gives it back."""
    substitutes = bool(found.lost)
    if substitutes == state.substitutes_watcher:
        return
    state.substitutes_watcher = substitutes
    logs.event(
        "watch_taken_over" if substitutes else "watch_given_back",
        instead_of=",".join(found.lost),
    )
    if substitutes:
        # The instances ranked after this one would take over as well.
        state.digest_due.set()


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
