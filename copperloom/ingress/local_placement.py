"""Places requests by this instance's own in-flight table."""

from copperloom import routing
from copperloom.decisions import (
    choice,
    cold_start,
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
    waiting_order,
)
from copperloom.ingress import target_backoff, target_speeds, turn_taking
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
    is_ordered: bool = True,
) -> placement_query.Decision:
    """Decides whether and where to send an own or a peer's request.

    Args:
        state: The state of the instance that decides.
        query: The request.
        now: Monotonic time in seconds.
        alone: Whether the work of other instances is not known here. Equal
            targets are then tried in random order, since other instances
            without this knowledge choose at the same time.
        is_ordered: Whether the request takes its turn among those that wait,
            if an order is kept.

    Returns:
        The decision, with the utilisation of the query's shard.
    """
    usable = registry.usable_by_shard(
        state.targets, query.shard.service, now, query.data_centres
    )
    in_shard = shards.targets_in(query.shard, usable)
    drawn = planner.draw_targets(
        _allowed(query, in_shard), frozenset(query.may_lead or ()), state.rng
    )
    if alone:
        drawn = state.rng.sample(drawn, len(drawn))
    candidates = _candidates(state, query, drawn, now)
    is_ordered = is_ordered and turn_taking.is_kept(state)
    chosen, is_over_share = None, False
    if not query.is_probe and is_ordered and candidates:
        chosen, is_over_share = _choose_in_order(
            state, query, drawn, candidates, now
        )
    elif not query.is_probe:
        chosen = _choose_preferred(state, query, drawn, candidates, now)
    busy = _utilisation(candidates)
    remote = None
    if not alone and not query.is_away and not query.is_probe:
        remote_shards = _remote_shards(state, query, now)
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
        is_over_share=is_over_share,
        is_short=is_ordered and turn_taking.is_short(state, query.shard, now),
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
        utilisations[service] = round(_utilisation(candidates), 3)
    return utilisations


def _remote_shards(
    state: IngressState, query: placement_query.Query, now: float
) -> list[spillover.RemoteShard]:
    """Lists other shards of a service whose owners reported recently."""
    shard = query.shard
    if not shard.data_centre:
        return []
    by_data_centre = {}
    for member in members.live(state.members, now):
        data_centre = member.data_centre
        if data_centre == shard.data_centre or shard.service not in member.busy:
            continue
        if now - member.busy_at > members.MEMBER_TIMEOUT_S:
            continue
        if not _may_spill_to(state, query, data_centre):
            continue
        by_data_centre[data_centre] = spillover.RemoteShard(
            data_centre,
            member.instance,
            member.datagrams,
            member.busy[shard.service],
        )
    return list(by_data_centre.values())


def _may_spill_to(
    state: IngressState, query: placement_query.Query, data_centre: str
) -> bool:
    if data_centre in state.targets.evacuated:
        return False
    return query.data_centres is None or data_centre in query.data_centres


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


def _utilisation(candidates: list[plans.Candidate]) -> float:
    """Returns the utilisation of targets; cold ones hardly take requests."""
    return spillover.utilisation(c for c in candidates if not c.is_cold)


def _choose_preferred(
    state: IngressState,
    query: placement_query.Query,
    drawn: list[routing.TargetEntry],
    candidates: list[plans.Candidate],
    now: float,
) -> plans.Choice:
    """Chooses first among targets that don't reject requests of others."""
    unhinted = _unhinted(state, drawn, candidates, now)
    chosen = _choose(state, query, unhinted)
    is_refused = chosen is None or isinstance(chosen, plans.Refusal)
    if is_refused and len(unhinted) < len(candidates):
        chosen = _choose(state, query, candidates)
    return chosen


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
    """Chooses among the warm targets if one of them has room in time."""
    warm = [c for c in candidates if not c.is_cold]
    chosen = _choose_among(state, query, warm)
    if len(warm) == len(candidates):
        return chosen
    if spillover.meets_objective(chosen, query.prompt):
        return chosen
    return _choose_among(state, query, candidates)


def _choose_among(
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


def _choose_in_order(
    state: IngressState,
    query: placement_query.Query,
    drawn: list[routing.TargetEntry],
    candidates: list[plans.Candidate],
    now: float,
) -> tuple[plans.Choice, bool]:
    """Returns the choice once it is the request's turn, and its position else.

    The second value is whether its organisation is over its share.
    """
    free, places = _count_places(state, query, candidates)
    chosen = None
    if not turn_taking.is_behind(state, query, free):
        chosen = _choose_preferred(state, query, drawn, candidates, now)
    can_start = isinstance(chosen, plans.Plan)
    room = waiting_order.Room(max(free, can_start), places, can_start)
    return turn_taking.take(state, query, room, chosen, now)


def _count_places(
    state: IngressState,
    query: placement_query.Query,
    candidates: list[plans.Candidate],
) -> tuple[int, int]:
    """Returns how many such requests fit now, and on idle targets."""
    spec = state.table.services.get(query.shard.service)
    if query.prompt is None or spec is None or spec.engine is None:
        places = [c.slots * _PLAIN_QUEUE for c in candidates]
        free = [
            max(0, count - c.load.requests)
            for count, c in zip(places, candidates, strict=True)
        ]
        return sum(free), sum(places)
    return planner.count_places(spec.engine, query.prompt, candidates)


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
    is_cold = _is_cold(state, entry, now)
    return plans.Candidate(
        name=entry.name,
        load=load.get(entry.name, inflight.TargetLoad()),
        penalty=max(own + reported, by_peers),
        slots=entry.slots,
        is_local=entry.data_centre == query.data_centre,
        may_help=not _is_limited(state, entry) and not is_cold,
        is_cold=is_cold,
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


def _is_cold(
    state: IngressState, entry: routing.TargetEntry, now: float
) -> bool:
    known = state.limits.cold
    if not known.colds:
        return False
    return cold_start.is_cold(known, registry.incarnation(entry), now)
