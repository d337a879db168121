"""Decides which instance schedules the sends to a cold target.

The bound on cold targets is exact, so this is stricter than for targets that
name a limit: only an instance that considers itself the owner grants sends, one
that hears from few others grants only its part, and unused grants expire.
"""

from copperloom import logs, routing
from copperloom.decisions import (
    cold_start,
    limit_schedule,
    members,
    registry,
    shards,
)
from copperloom.ingress import exchange, placement_rpc
from copperloom.ingress.state import IngressState, fleet_size, is_large_fleet

__all__ = ["is_granted", "owner_of", "schedule", "skip_cold_helpers"]

# Delay until an instance that is not the owner, or has just started, is asked
# again.
_NOT_OWNER_S = 0.1
# Time after its start in which an instance grants nothing: until instances that
# start together know each other, each considers itself the owner.
_START_QUIET_S = 1.0


def owner_of(
    state: IngressState, target: routing.TargetEntry, now: float
) -> str:
    """Returns the instance that schedules the sends to a cold target."""
    names = _may_own(state, target.data_centre, now)
    instances = [shards.Instance(name, 1.0) for name in names]
    return shards.rank(registry.incarnation(target), instances)[0]


def _may_own(state: IngressState, data_centre: str, now: float) -> list[str]:
    """Lists the instances of which one is the owner.

    In a large fleet these are the first live owners of the target's data
    centre, which all instances know, or of all data centres if there are none.
    """
    own = state.settings.instance
    present = {own, *_present(state, now)}
    if not is_large_fleet(state):
        return sorted(present)
    for shard in (shards.Shard("", data_centre), shards.Shard("")):
        order = placement_rpc.owner_order(state, shard)
        first = [name for name in order if name in present][: shards.OWNERS]
        if first:
            return first
    return [own]


def _present(state: IngressState, now: float) -> list[str]:
    """Lists the members that may own targets.

    Just after the start these are all members: of many instances that start
    together, each would otherwise consider itself the owner.
    """
    if now - state.listening_since < members.MEMBER_TIMEOUT_S:
        return [m.instance for m in state.members.values() if not m.draining]
    return [m.instance for m in members.live(state.members, now)]


def _share(state: IngressState, data_centre: str, now: float) -> float:
    """Returns the share of a target's rate that this instance grants.

    In a large fleet an owner hears only the instances of its data centre.
    """
    own = state.settings.instance
    names = [own, *state.members]
    if is_large_fleet(state):
        order = placement_rpc.owner_order(state, shards.Shard("", data_centre))
        names = order if own in order else names
    count = len(names)
    if now - state.listening_since < members.MEMBER_TIMEOUT_S:
        count = max(count, fleet_size(state))
    heard = sum(
        members.is_heard(state.members[name], now)
        for name in names
        if name != own
    )
    return cold_start.granted_share(heard + 1, count)


def schedule(
    state: IngressState, incarnation: str, now: float, max_wait_s: float
) -> limit_schedule.Grant:
    """Schedules a send as the owner of a target.

    Args:
        state: The instance's state.
        incarnation: The target, which may be cold.
        now: Monotonic time.
        max_wait_s: Seconds that the request can wait at most.
    """
    limits = state.limits
    if not cold_start.is_cold(limits.cold, incarnation, now):
        return limit_schedule.schedule(limits, incarnation, now, max_wait_s)
    target = _find(state, incarnation)
    if target is None or not _knows_others(state, now):
        return limit_schedule.Grant(None, _NOT_OWNER_S)
    if owner_of(state, target, now) != state.settings.instance:
        return limit_schedule.Grant(None, _NOT_OWNER_S)
    return limit_schedule.schedule(
        limits,
        incarnation,
        now,
        max_wait_s,
        share=_share(state, target.data_centre, now),
        first_turn=state.rng.random(),
    )


def _knows_others(state: IngressState, now: float) -> bool:
    if now - state.listening_since < _START_QUIET_S:
        return False
    return state.peers_synced.is_set()


def _find(state: IngressState, incarnation: str) -> routing.TargetEntry | None:
    """Returns the registration of a start of a target."""
    name = incarnation.rpartition("@")[0]
    for found in (name, incarnation):
        entry = registry.find(state.targets, found)
        if entry is not None and registry.incarnation(entry) == incarnation:
            return entry
    return None


def is_granted(ex: exchange.Exchange, name: str, now: float) -> bool:
    """Returns whether a request may be sent to the target of its plan now.

    A target may have become cold since the request was placed. A grant that is
    used late, such as after a pause of the process, would break the bound.

    Args:
        ex: The request.
        name: Name of the target, which is the lead or a helper.
        now: Monotonic time.
    """
    entry = registry.find(ex.state.targets, name)
    if entry is None:
        return True
    incarnation = registry.incarnation(entry)
    if not cold_start.is_cold(ex.state.limits.cold, incarnation, now):
        return True
    granted, until = ex.cold_grant
    return name == ex.plan.lead and granted == incarnation and now < until


def skip_cold_helpers(ex: exchange.Exchange, now: float) -> bool:
    """Avoids helper engines that are cold; returns whether there are any.

    The instance that placed the request may not know that they are.
    """
    cold = {name for name in ex.plan.helpers if not is_granted(ex, name, now)}
    if cold:
        logs.event(
            "cold_helpers_avoided",
            request=ex.id,
            targets=",".join(sorted(cold)),
        )
    ex.avoid |= cold
    return bool(cold)
