"""Places requests by this instance's own in-flight table."""

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
    target_limits,
)
from copperloom.ingress import target_backoff, target_speeds
from copperloom.ingress.state import IngressState

__all__ = ["busy_by_service", "decide"]

# A target of a plain service queues requests until it has this many per slot.
_PLAIN_QUEUE = 2


def decide(
    state: IngressState,
    query: placement_query.Query,
    now: float,
    *,
    alone: bool = False,
) -> placement_query.Decision:
    """Decides whether and where to send an own or a peer's request.

    Args:
        state: The state of the instance that decides.
        query: The request.
        now: Monotonic time in seconds.
        alone: Whether the work of other instances is not known here. Equal
            targets are then tried in random order, since other instances
            without this knowledge choose at the same time.

    Returns:
        The decision, with the utilisation of the query's shard.
    """
    usable = registry.usable_by_shard(state.targets, query.shard.service, now)
    in_shard = shards.targets_in(query.shard, usable)
    drawn = planner.draw_targets(
        _allowed(query, in_shard), frozenset(query.may_lead or ()), state.rng
    )
    if alone:
        drawn = state.rng.sample(drawn, len(drawn))
    candidates = _candidates(state, query, drawn, now)
    unhinted = _unhinted(state, drawn, candidates, now)
    chosen = _choose(state, query, unhinted)
    is_refused = chosen is None or isinstance(chosen, plans.Refusal)
    if is_refused and len(unhinted) < len(candidates):
        chosen = _choose(state, query, candidates)
    busy = spillover.utilisation(candidates)
    remote = None
    if not alone and not query.is_away:
        remote_shards = _remote_shards(state, query.shard, now)
        remote = spillover.choose_remote(
            chosen, query.prompt, busy, remote_shards, state.rng
        )
    return placement_query.Decision(
        choice=chosen,
        targets=len(in_shard),
        targets_version=state.targets.version,
        decided_by=state.settings.instance,
        staleness_s=inflight_table.staleness_s(state.inflight, now),
        busy=busy,
        remote=remote,
    )


def busy_by_service(state: IngressState, now: float) -> dict[str, float]:
    """Returns the utilisation of the own data centre's targets, by service."""
    own = state.settings.data_centre
    utilisations = {}
    for service in registry.services(state.targets):
        usable = registry.usable_by_shard(state.targets, service, now)
        shard = shards.home_shard(service, usable, own)
        if shard.data_centre != own:
            continue
        query = placement_query.Query("", shard, own)
        in_shard = shards.targets_in(shard, usable)
        drawn = planner.draw_targets(in_shard, frozenset(), state.rng)
        candidates = _candidates(state, query, drawn, now)
        utilisations[service] = round(spillover.utilisation(candidates), 3)
    return utilisations


def _remote_shards(
    state: IngressState, shard: shards.Shard, now: float
) -> list[spillover.RemoteShard]:
    """Lists other shards of a service whose owners reported recently."""
    if not shard.data_centre:
        return []
    by_data_centre = {}
    for member in members.live(state.members, now):
        data_centre = member.data_centre
        if data_centre == shard.data_centre or shard.service not in member.busy:
            continue
        if now - member.busy_at > members.MEMBER_TIMEOUT_S:
            continue
        by_data_centre[data_centre] = spillover.RemoteShard(
            data_centre,
            member.instance,
            member.datagrams,
            member.busy[shard.service],
        )
    return list(by_data_centre.values())


def _candidates(
    state: IngressState,
    query: placement_query.Query,
    drawn: list[routing.TargetEntry],
    now: float,
) -> list[plans.Candidate]:
    load = inflight_table.loads(state.inflight, now, (e.name for e in drawn))
    return [_candidate(state, query, e, load, now) for e in drawn]


def _allowed(
    query: placement_query.Query, targets: list[routing.TargetEntry]
) -> list[routing.TargetEntry]:
    """Lists the targets that the request may be sent to, untried ones first."""
    if query.excluded:
        excluded = frozenset(query.excluded)
        targets = [e for e in targets if e.name not in excluded]
    untried = [e for e in targets if e.name not in query.avoid]
    return untried or targets


def _unhinted(
    state: IngressState,
    drawn: list[routing.TargetEntry],
    candidates: list[plans.Candidate],
    now: float,
) -> list[plans.Candidate]:
    """Lists the candidates that are not known to reject requests of others."""
    if not target_backoff.has_hints(state):
        return candidates
    hinted = {e.name for e in drawn if target_backoff.is_hinted(state, e, now)}
    return [c for c in candidates if c.name not in hinted]


def _choose(
    state: IngressState,
    query: placement_query.Query,
    candidates: list[plans.Candidate],
) -> plans.Choice:
    if not candidates:
        return None
    spec = state.table.services.get(query.shard.service)
    if query.prompt is None or spec is None or spec.engine is None:
        return planner.plan_service(
            [c for c in candidates if c.load.requests < c.slots * _PLAIN_QUEUE],
            state.rng,
        )
    may_lead = None
    if query.may_lead is not None:
        may_lead = frozenset(query.may_lead)
    return choice.choose(
        spec.engine,
        query.prompt,
        planner.least_loaded(candidates, state.rng),
        may_lead=may_lead,
        is_repeat=query.is_repeat,
    )


def _candidate(
    state: IngressState,
    query: placement_query.Query,
    entry: routing.TargetEntry,
    load: dict[str, inflight.TargetLoad],
    now: float,
) -> plans.Candidate:
    own = health.penalty(state.health.get(entry.name), now)
    by_peers = health.penalty(state.peer_health.get(entry.name), now)
    reported = health.reported_penalty(
        state.failure_reports.get(entry.name, {}), now
    )
    return plans.Candidate(
        name=entry.name,
        load=load.get(entry.name, inflight.TargetLoad()),
        penalty=max(own + reported, by_peers),
        slots=entry.slots,
        is_local=entry.data_centre == query.data_centre,
        may_help=not _is_limited(state, entry),
        speed=target_speeds.ratio(state, entry, now),
    )


def _is_limited(state: IngressState, entry: routing.TargetEntry) -> bool:
    """Returns whether a target names a limit.

    Such a target gets no parts of prompts: each takes several requests.
    """
    if not state.limits.limits:
        return False
    incarnation = registry.incarnation(entry)
    return target_limits.find(state.limits, incarnation) is not None
