"""Selects the members that a digest goes to."""

import math

from copperloom import logs
from copperloom.decisions import members, registry, shards
from copperloom.ingress import placement_rpc
from copperloom.ingress.state import IngressState, Member, is_large_fleet

__all__ = [
    "for_broadcast",
    "for_digest",
    "for_start",
    "local_members",
    "needs_reply",
    "owns_local_shards",
    "remove_silent",
]

# Members that send nothing for this duration are removed; shorter silence is
# normal for one that is starting.
_SILENCE_LIMIT_S = 30.0
# Owners of a shard get digests for this duration after the last request there
# has ended, so that they remove its work from their in-flight tables.
_SHARD_KEPT_S = 2.0
# Number of owners in each other data centre that an owner sends digests to, so
# that a change read in one data centre spreads to all.
_REMOTE_OWNERS = 2


def for_digest(state: IngressState, now: float) -> list[Member]:
    """Lists the members that this instance sends its digests to.

    In a small fleet these are all members. In a large one they are the owners
    of the shards that it uses and of its own data centre; an owner also sends
    to some owners of the other data centres.
    """
    if not is_large_fleet(state):
        return list(state.members.values())
    selected = {}
    for shard in _shards(state, now):
        for member in _owners(state, shard, now):
            selected[member.instance] = member
    if owns_local_shards(state, now):
        for data_centre in _remote_data_centres(state):
            remote = shards.Shard("", data_centre)
            for member in _owners(state, remote, now)[:_REMOTE_OWNERS]:
                selected[member.instance] = member
    return list(selected.values())


def for_broadcast(state: IngressState, now: float) -> list[Member]:
    """Lists the members that new versions are broadcast to.

    In a small fleet these are none, since all members get each digest. An
    instance that has taken over the watch of the tables may not have heard of
    those that rely on it.
    """
    if not is_large_fleet(state):
        return []
    if state.substitutes_watcher:
        return list(state.members.values())
    return members.live(state.members, now)


def local_members(state: IngressState) -> list[Member]:
    """Lists the members of the own data centre; all in a small fleet."""
    if not is_large_fleet(state):
        return list(state.members.values())
    own = state.settings.data_centre
    return [m for m in state.members.values() if m.data_centre == own]


def for_start(state: IngressState, now: float) -> list[Member]:
    """Lists the members that this instance announces its start to.

    A possible owner of its data centre's shards needs the work of all
    instances there; the others only have to send theirs to the owners.
    """
    if not is_large_fleet(state):
        return list(state.members.values())
    order = placement_rpc.owner_order(state, _local_shard(state))
    own = state.settings.instance
    if own in order[: 2 * shards.OWNERS]:
        return local_members(state)
    return members.owners_to_notify(order, state.members, own, now)


def needs_reply(
    state: IngressState, member: Member, now: float, after_s: float
) -> bool:
    """Returns whether a member that sent a digest should get one in return.

    In a small fleet every member gets each digest anyway.
    """
    return is_large_fleet(state) and now - member.last_sent_at > after_s


def remove_silent(state: IngressState, now: float) -> None:
    """Removes members whose expected messages have not come for a long time."""
    for member in list(state.members.values()):
        known_at = max(member.discovered_at, member.last_received_at)
        is_expected = (
            not is_large_fleet(state) or member.unanswered_since < math.inf
        )
        if is_expected and now - known_at > _SILENCE_LIMIT_S:
            del state.members[member.instance]
            logs.event("member_gone", member=member.instance)


def _shards(state: IngressState, now: float) -> set[shards.Shard]:
    """Returns the shards whose owners should know this instance's work."""
    used = {_local_shard(state)}
    # Owners in other data centres get placement queries only if they sent a
    # message recently; without digests to them, an idle instance would have to
    # place its next request alone.
    for service in state.targets.low_latency:
        usable = registry.usable_by_shard(state.targets, service, now)
        home = shards.home_shard(service, usable, state.settings.data_centre)
        used.add(home)
    for request, (shard, placed_at) in list(state.shards_used.items()):
        if request in state.inflight.own:
            state.shards_used[request] = (shard, now)
        elif now - placed_at > _SHARD_KEPT_S:
            del state.shards_used[request]
            continue
        used.add(shard)
    return used


def _local_shard(state: IngressState) -> shards.Shard:
    return shards.Shard("", state.settings.data_centre)


def _owners(
    state: IngressState, shard: shards.Shard, now: float
) -> list[Member]:
    order = placement_rpc.owner_order(state, shard)
    return members.owners_to_notify(
        order, state.members, state.settings.instance, now
    )


def owns_local_shards(state: IngressState, now: float) -> bool:
    """Returns whether this instance owns the shards of its data centre."""
    order = placement_rpc.owner_order(state, _local_shard(state))
    own = state.settings.instance
    return members.is_owner(
        order, state.members, own, now, listening_since=state.listening_since
    )


def _remote_data_centres(state: IngressState) -> set[str]:
    known = {m.data_centre for m in state.members.values()}
    return known - {"", state.settings.data_centre}
