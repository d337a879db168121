"""Decides where a request goes by what this instance knows of the targets."""

from copperloom import routing
from copperloom.decisions import (
    choice,
    health,
    inflight,
    inflight_table,
    members,
    placement_query,
    planner,
    plans,
    registry,
    shards,
    spillover,
)
from copperloom.ingress.state import IngressState

__all__ = ["busy_by_service", "decide"]

# Requests of a plain service beyond its slots that its targets queue.
_PLAIN_QUEUE = 2


def decide(
    state: IngressState,
    asked: placement_query.Query,
    now: float,
    *,
    alone: bool = False,
) -> placement_query.Decision:
    """Decides what becomes of a request, for this instance or for a peer.

    Args:
        state: What is known here.
        asked: The request.
        now: Monotonic time.
        alone: Whether others' work is not known here. Targets that look alike
            are then drawn, since others that know as little choose as well.
    """
    usable = _usable(state, asked, now)
    known = planner.draw_targets(
        usable, frozenset(asked.may_lead or ()), state.rng
    )
    if alone:
        known = state.rng.sample(known, len(known))
    candidates = _candidates(state, asked, known, now)
    chosen = _choose(state, asked, candidates) if known else None
    busy = spillover.utilisation(candidates)
    away = None
    if not alone and not asked.is_away:
        others = _others(state, asked.shard, now)
        away = spillover.choose_remote(
            chosen, asked.prompt, busy, others, state.rng
        )
    return placement_query.Decision(
        choice=chosen,
        targets=len(usable),
        targets_version=state.targets.version,
        decided_by=state.settings.instance,
        staleness_s=inflight_table.staleness_s(state.inflight, now),
        busy=busy,
        remote=away,
    )


def busy_by_service(state: IngressState, now: float) -> dict[str, float]:
    """Tells how busy the targets of the own data centre are, by service."""
    own = state.settings.data_centre
    found = {}
    for service in registry.services(state.targets):
        usable = registry.usable_by_shard(state.targets, service, now)
        shard = shards.home_shard(service, usable, own)
        if shard.data_centre != own:
            continue
        asked = placement_query.Query("", shard, own)
        known = shards.targets_in(shard, usable)
        drawn = planner.draw_targets(known, frozenset(), state.rng)
        candidates = _candidates(state, asked, drawn, now)
        found[service] = round(spillover.utilisation(candidates), 3)
    return found


def _others(
    state: IngressState, shard: shards.Shard, now: float
) -> list[spillover.RemoteShard]:
    """Lists the other shards of a service, by what their owners have told."""
    if not shard.data_centre:
        return []
    found = {}
    for member in members.live(state.members, now):
        place = member.data_centre
        if place == shard.data_centre or shard.service not in member.busy:
            continue
        if now - member.busy_at > members.MEMBER_TIMEOUT_S:
            continue
        found[place] = spillover.RemoteShard(
            place,
            member.instance,
            member.datagrams,
            member.busy[shard.service],
        )
    return list(found.values())


def _candidates(
    state: IngressState,
    asked: placement_query.Query,
    known: list[routing.TargetEntry],
    now: float,
) -> list[plans.Candidate]:
    load = inflight_table.loads(state.inflight, now, (e.name for e in known))
    return [_candidate(state, asked, e, load, now) for e in known]


def _usable(
    state: IngressState, asked: placement_query.Query, now: float
) -> list[routing.TargetEntry]:
    usable = registry.usable_by_shard(state.targets, asked.shard.service, now)
    known = shards.targets_in(asked.shard, usable)
    fresh = [e for e in known if e.name not in asked.avoid]
    return fresh or known


def _choose(
    state: IngressState,
    asked: placement_query.Query,
    candidates: list[plans.Candidate],
) -> plans.Choice:
    spec = state.table.services.get(asked.shard.service)
    if asked.prompt is None or spec is None or spec.engine is None:
        return planner.plan_service(
            [c for c in candidates if c.load.requests < c.slots * _PLAIN_QUEUE]
        )
    may_lead = None
    if asked.may_lead is not None:
        may_lead = frozenset(asked.may_lead)
    return choice.choose(
        spec.engine,
        asked.prompt,
        planner.least_loaded(candidates, state.rng),
        may_lead=may_lead,
        is_repeat=asked.is_repeat,
    )


def _candidate(
    state: IngressState,
    asked: placement_query.Query,
    entry: routing.TargetEntry,
    load: dict[str, inflight.TargetLoad],
    now: float,
) -> plans.Candidate:
    seen = health.penalty(state.health.get(entry.name), now)
    heard = health.penalty(state.peer_health.get(entry.name), now)
    reported = health.reported_penalty(
        state.failure_reports.get(entry.name, {}), now
    )
    return plans.Candidate(
        name=entry.name,
        load=load.get(entry.name, inflight.TargetLoad()),
        penalty=max(seen + reported, heard),
        slots=entry.slots,
        is_local=entry.data_centre == asked.data_centre,
    )
