"""Which members a digest goes to."""

import math

from copperloom import logs
from copperloom.decisions import members, registry, shards
from copperloom.ingress import placement_rpc
from copperloom.ingress.state import IngressState, Member, is_large_fleet

__all__ = [
    "followers",
    "forget_gone",
    "listeners",
    "neighbours",
    "owes_answer",
    "owns_home",
    "to_greet",
]

# Members that were never heard are told for so long: they may be starting.
_UNHEARD_S = 30.0
# What has ended at a shard is told to its owners for so long.
_SHARD_KEPT_S = 2.0
# Owners of each other data centre that an owner of this one speaks with: a
# change that one of them has read is then known everywhere.
_FAR_OWNERS = 2


def listeners(state: IngressState, now: float) -> list[Member]:
    """Lists the members that hear of this instance's work, and answer.

    In a small fleet all; in a larger one those that own what it has work at,
    and its data centre's; owners speak with those of other data centres, too.
    """
    if not is_large_fleet(state):
        return list(state.members.values())
    told = {}
    for shard in _shards(state, now):
        for member in _owners(state, shard, now):
            told[member.instance] = member
    if owns_home(state, now):
        for data_centre in _far(state):
            far = shards.Shard("", data_centre)
            for member in _owners(state, far, now)[:_FAR_OWNERS]:
                told[member.instance] = member
    return list(told.values())


def followers(state: IngressState, now: float) -> list[Member]:
    """Lists the members that hear of news besides: all that spoke of late."""
    return members.live(state.members, now) if is_large_fleet(state) else []


def neighbours(state: IngressState) -> list[Member]:
    """Lists the members of the own data centre; in a small fleet all."""
    if not is_large_fleet(state):
        return list(state.members.values())
    own = state.settings.data_centre
    return [m for m in state.members.values() if m.data_centre == own]


def to_greet(state: IngressState, now: float) -> list[Member]:
    """Lists the members that an instance greets which has just started.

    One that may own its data centre's shards has to hear all work there; the
    others only have to be heard.
    """
    if not is_large_fleet(state):
        return list(state.members.values())
    order = placement_rpc.order_of(state, _home(state))
    own = state.settings.instance
    if own in order[: 2 * shards.OWNERS]:
        return neighbours(state)
    return members.owners_to_notify(order, state.members, own, now)


def owes_answer(
    state: IngressState, member: Member, now: float, after_s: float
) -> bool:
    """Tells whether a member that was just heard should hear something too.

    In a small fleet everyone is told anyway.
    """
    return is_large_fleet(state) and now - member.last_sent_at > after_s


def forget_gone(state: IngressState, now: float) -> None:
    """Drops members that have not been heard for long though they were told."""
    for member in list(state.members.values()):
        known_at = max(member.discovered_at, member.last_received_at)
        expected = (
            not is_large_fleet(state) or member.unanswered_since < math.inf
        )
        if expected and now - known_at > _UNHEARD_S:
            del state.members[member.instance]
            logs.event("member_gone", member=member.instance)


def _shards(state: IngressState, now: float) -> set[shards.Shard]:
    """Lists the shards whose owners should know of this instance's work."""
    found = {_home(state)}
    # Their owners may stand in other data centres, and are asked only if they
    # have been heard of late; an instance that was idle would place alone.
    for service in state.targets.low_latency:
        usable = registry.usable_by_shard(state.targets, service, now)
        home = shards.home_shard(service, usable, state.settings.data_centre)
        found.add(home)
    for request, (shard, placed_at) in list(state.shards_used.items()):
        if request in state.inflight.own:
            state.shards_used[request] = (shard, now)
        elif now - placed_at > _SHARD_KEPT_S:
            del state.shards_used[request]
            continue
        found.add(shard)
    return found


def _home(state: IngressState) -> shards.Shard:
    return shards.Shard("", state.settings.data_centre)


def _owners(
    state: IngressState, shard: shards.Shard, now: float
) -> list[Member]:
    order = placement_rpc.order_of(state, shard)
    return members.owners_to_notify(
        order, state.members, state.settings.instance, now
    )


def owns_home(state: IngressState, now: float) -> bool:
    """Tells whether this instance owns the shards of its data centre."""
    order = placement_rpc.order_of(state, _home(state))
    own = state.settings.instance
    return members.is_owner(
        order, state.members, own, now, listening_since=state.listening_since
    )


def _far(state: IngressState) -> set[str]:
    found = {m.data_centre for m in state.members.values()}
    return found - {"", state.settings.data_centre}
