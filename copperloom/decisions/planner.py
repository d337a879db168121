"""Chooses the engines for a prompt by what it gains and what others lose.

A long prompt occupies an engine for seconds, during which no answer decoded
there makes progress. The total prefill time hardly depends on how it is
divided, so a long prompt is split among several engines: its own wait shrinks,
and each decode beside it waits for one part only. The number of parts is
chosen per request, by weighing the worth that it loses by missing its
objective against the worth that decodes at the chosen engines lose.
"""

import dataclasses
import math
import random

from copperloom import routing
from copperloom.decisions import interference, iterations, plans

__all__ = [
    "count_places",
    "draw_targets",
    "is_refused",
    "plan_prompt",
    "plan_service",
    "least_loaded",
]

# Helper engines of one prompt.
MAX_HELPERS = 16
# Numbers of parts that are tried, along with the largest possible one: between
# large numbers the length of a part hardly differs.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14)
# Prefill time below which a prompt is not split further. Parts shorter than a
# fifth of an iteration gain less than they cost.
SHORTEST_PART_S = 0.02
# Engines evaluated for one prompt; about twice as many as take part in one.
MAX_CANDIDATES = 34
# Targets whose work is summed for one request: the least loaded ones of a large
# sample are nearly the least loaded of all.
MAX_DRAWN = 120
# Cost of each further part: communication between engines, and one more engine
# whose failure breaks the request.
PART_COST = 0.02
# A prompt is refused if its placement costs more than this multiple of its
# worth.
REFUSE_COST_RATIO = 1.0
# Cost of one unit of a target's failure penalty, in units of worth.
PENALTY_COST = 0.5
# Share of its worth that a request risks at a target with one such unit.
RISK_SHARE = 0.3
# Share of its free memory that the lead engine contributes, without a
# reservation, to a prompt that exceeds the memory of one engine.
LEAD_SHARE = 0.8
# Cost of decoding at an engine without requests. It falls to zero when
# PACKED_SHARE of the slots is taken; the rest is a reserve for concurrent
# placements of peers.
PACK_COST = 0.2
PACKED_SHARE = 0.8
# Cost of decoding at an engine whose memory is full.
FULL_COST = 0.1
# Gain of a lead engine in the same data centre, which is about a millisecond
# nearer.
LOCAL_GAIN = 0.005
# Memory reserved for concurrent placements of peers.
MEMORY_SLACK_TOKENS = 4000
# Share of a plain target's slots below which its answer times show its speed
# rather than its load.
QUIET_SHARE = 0.75
# Targets of different speeds of which the best one is taken: at least
# MIN_DRAWN, or a share of them. The best of a random part is nearly the best of
# all, and instances that choose at the same time do not all choose the fastest
# one (Mitzenmacher 2001).
MIN_DRAWN = 3
DRAWN_SHARE = 0.5


def plan_prompt(
    engine: routing.EngineSpec,
    prompt: plans.Prompt,
    candidates: list[plans.Candidate],
    *,
    may_lead: frozenset[str] | None = None,
) -> plans.Plan | None:
    """Chooses the lead engine and the helper engines of a prompt.

    Each number of parts is tried with the engines where the interference is
    least. The complexity is O(parts * engines * log(engines)), so with
    hundreds of engines a sample should be passed.

    Args:
        engine: Figures of the service's engines.
        prompt: The prompt to be placed.
        candidates: The engines that may be used.
        may_lead: Names of the engines that may be the lead; None allows all.

    Returns:
        The plan with the least cost, or None if no engine has a free slot
        and memory.
    """
    need = prompt.tokens + prompt.answer_tokens
    needs_holds = need > engine.kv_tokens - MEMORY_SLACK_TOKENS
    leads = [
        c
        for c in candidates
        if _has_room(engine, c, 0 if needs_holds else need)
    ]
    if may_lead is not None:
        leads = [c for c in leads if c.name in may_lead]
    if not leads:
        return None
    total_s = iterations.prefill_s(engine, prompt.tokens)
    leads = [_at_speed(c) for c in leads]
    candidates = [_at_speed(c) for c in candidates]
    timelines = {
        c.name: iterations.simulate(_engine_at(engine, c.speed), c.load)
        for c in candidates
    }
    decode_losses = {
        c.name: interference.decode_loss(c, timelines[c.name])
        for c in candidates
    }
    best: plans.Plan | None = None
    for parts in _part_counts(total_s, len(candidates)):
        plan = _plan_parts(
            engine,
            prompt,
            leads,
            candidates,
            timelines,
            decode_losses,
            total_s / parts,
            parts,
        )
        if plan is not None and needs_holds:
            plan = _with_holds(engine, plan, candidates, need)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def draw_targets(
    targets: list[routing.TargetEntry],
    kept: frozenset[str],
    rng: random.Random,
) -> list[routing.TargetEntry]:
    """Draws the targets that are considered for a request.

    In a large data centre, summing the work at each target would cost a shard
    owner more than the rest of the placement.

    Args:
        targets: All targets that may be used.
        kept: Names of targets that must be in the sample.
        rng: Source of randomness.

    Returns:
        All targets if they are few, else MAX_DRAWN of them and those kept.
    """
    if len(targets) <= MAX_DRAWN:
        return targets
    drawn = rng.sample(targets, MAX_DRAWN)
    if not kept:
        return drawn
    found = {t.name for t in drawn}
    return drawn + [
        t for t in targets if t.name in kept and t.name not in found
    ]


def least_loaded(
    candidates: list[plans.Candidate], rng: random.Random
) -> list[plans.Candidate]:
    """Returns the least loaded of many engines.

    Each engine is evaluated for each number of parts, which blocks the event
    loop. Ties are broken at random, so that instances choose different ones.

    Args:
        candidates: The engines that may be used.
        rng: Source of randomness.

    Returns:
        At most MAX_CANDIDATES engines.
    """
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    shuffled = rng.sample(candidates, len(candidates))
    shuffled.sort(key=_load)
    return shuffled[:MAX_CANDIDATES]


def _load(tgt: plans.Candidate) -> float:
    prefill_s = sum(p.prefill_s for p in tgt.load.prefills)
    load = tgt.load.requests / max(1, tgt.slots) + prefill_s
    return tgt.penalty + load + (tgt.speed - 1.0)


def is_refused(prompt: plans.Prompt, plan: plans.Plan) -> bool:
    """Returns whether a prompt costs others more than it is worth.

    At a peak of short requests the longest prompts could block all engines for
    seconds. Only prompts that would miss their objective anyway are refused.

    Args:
        prompt: The prompt.
        plan: Its best plan.
    """
    limit = plans.worth(prompt.tokens) * REFUSE_COST_RATIO
    misses_objective = plan.first_token_s > prompt.first_token_aim_s
    return (
        misses_objective
        and prompt.tokens > plans.LONG_TOKENS
        and plan.cost > limit
    )


def _with_holds(
    engine: routing.EngineSpec, plan: plans.Plan, candidates, need: int
) -> plans.Plan | None:
    """Divides the memory of a prompt among its engines.

    The lead engine holds what is not reserved elsewhere. Only a share of its
    free memory is used, since others may place requests there meanwhile.

    Returns:
        The plan with its reservations, or None if the memory is not enough.
    """
    free = {c.name: _free_tokens(engine, c) for c in candidates}
    left = need - max(0, int(free[plan.lead] * LEAD_SHARE))
    holds = []
    for name in sorted(plan.helpers, key=lambda n: -free[n]):
        if left <= 0:
            break
        tokens = min(left, free[name])
        if tokens > 0:
            holds.append(plans.Hold(name, tokens))
            left -= tokens
    if left > 0:
        return None
    return dataclasses.replace(plan, holds=tuple(holds))


def _free_tokens(engine: routing.EngineSpec, tgt: plans.Candidate) -> int:
    return engine.kv_tokens - tgt.load.tokens - MEMORY_SLACK_TOKENS


def plan_service(
    candidates: list[plans.Candidate], rng: random.Random | None = None
) -> plans.Plan | None:
    """Chooses the target of a plain service with the least load per slot.

    Targets of different speeds are compared by the expected answer time.

    Args:
        candidates: The targets that may be used.
        rng: Source of randomness; without it the best target is taken.

    Returns:
        The plan, or None without candidates.
    """
    if not candidates:
        return None
    considered = candidates
    if rng is not None and any(c.speed != 1.0 for c in candidates):
        considered = _draw_part(candidates, rng)
    best = min(considered, key=_service_cost)
    return plans.Plan(
        best.name,
        (),
        0.0,
        0.0,
        _service_cost(best),
        speed=best.speed,
        shows_speed=best.load.requests < QUIET_SHARE * best.slots,
    )


def _draw_part(
    candidates: list[plans.Candidate], rng: random.Random
) -> list[plans.Candidate]:
    """Draws a part of the targets, in random order."""
    count = max(MIN_DRAWN, math.ceil(DRAWN_SHARE * len(candidates)))
    return rng.sample(candidates, min(count, len(candidates)))


def _service_cost(tgt: plans.Candidate) -> float:
    # The load is relative to the slots, since targets differ in size; a local
    # one is preferred when loads are about equal.
    load = tgt.load.requests / max(1, tgt.slots)
    if tgt.speed != 1.0:
        load = tgt.speed * (1.0 + load) - 1.0
    return load + tgt.penalty - (0.05 if tgt.is_local else 0.0)


def _engine_at(engine: routing.EngineSpec, speed: float) -> routing.EngineSpec:
    """Returns the figures of an engine whose iterations take longer."""
    if speed == 1.0:
        return engine
    return dataclasses.replace(
        engine,
        step_s=engine.step_s * speed,
        per_sequence_s=engine.per_sequence_s * speed,
        context_s=engine.context_s * speed,
    )


def _at_speed(tgt: plans.Candidate) -> plans.Candidate:
    """Returns a target with the prefill times that it needs at its speed."""
    if tgt.speed == 1.0 or not tgt.load.prefills:
        return tgt
    prefills = tuple(
        dataclasses.replace(p, prefill_s=p.prefill_s * tgt.speed)
        for p in tgt.load.prefills
    )
    load = dataclasses.replace(tgt.load, prefills=prefills)
    return dataclasses.replace(tgt, load=load)


def _has_room(
    engine: routing.EngineSpec, tgt: plans.Candidate, need: int
) -> bool:
    if tgt.load.requests >= min(tgt.slots, engine.slots):
        return False
    return need <= _free_tokens(engine, tgt)


def count_places(
    engine: routing.EngineSpec,
    prompt: plans.Prompt,
    candidates: list[plans.Candidate],
) -> tuple[int, int]:
    """Returns how many such prompts have a lead engine now, and if all idle.

    Args:
        engine: Figures of the service's engines.
        prompt: The prompt.
        candidates: The engines that may be used.
    """
    need = prompt.tokens + prompt.answer_tokens
    if need > engine.kv_tokens - MEMORY_SLACK_TOKENS:
        need = 1
    free = places = 0
    for tgt in candidates:
        slots = min(tgt.slots, engine.slots)
        places += slots
        fitting = max(0, _free_tokens(engine, tgt)) // need
        free += max(0, min(slots - tgt.load.requests, fitting))
    return free, places


def _part_counts(total_s: float, candidates: int) -> list[int]:
    """Returns the numbers of parts to try."""
    largest = min(MAX_HELPERS + 1, candidates)
    # Parts much shorter than an iteration gain less than they cost.
    largest = min(largest, max(1, math.ceil(total_s / SHORTEST_PART_S)))
    return [n for n in PART_COUNTS if n < largest] + [largest]


def _plan_parts(
    engine, prompt, leads, candidates, timelines, decode_losses, part_s, parts
) -> plans.Plan | None:
    is_split = parts > 1
    costs = {
        c.name: interference.prefill_interference(
            c,
            timelines[c.name],
            decode_losses[c.name],
            part_s * c.speed,
            is_split,
        )
        + c.penalty * PENALTY_COST
        for c in candidates
    }
    speed_costs = {
        c.name: _speed_cost(engine, prompt, c, part_s) for c in candidates
    }
    lead = min(
        leads,
        key=lambda c: (
            costs[c.name] + speed_costs[c.name] + _lead_cost(engine, c)
        ),
    )
    helpers = sorted(
        (
            c
            for c in candidates
            if c.name != lead.name
            and c.may_help
            and c.load.parts < engine.slots - 1
        ),
        key=lambda c: costs[c.name] + speed_costs[c.name],
    )[: parts - 1]
    if len(helpers) < parts - 1:
        return None
    chosen = [lead, *helpers]
    first_token_s = _first_token_s(
        engine, prompt, lead, chosen, timelines, part_s
    )
    cost = sum(costs[c.name] for c in chosen)
    at_risk = PENALTY_COST * plans.worth(prompt.tokens) * RISK_SHARE
    cost += at_risk * sum(c.penalty for c in chosen)
    cost += _lead_cost(engine, lead)
    cost += interference.waiting_loss(prompt, first_token_s)
    cost += interference.arrival_interference(
        engine, candidates, chosen, timelines, part_s
    )
    cost += PART_COST * (parts - 1)
    names = tuple(c.name for c in helpers)
    return plans.Plan(
        lead.name,
        names,
        part_s,
        first_token_s,
        cost,
        speed=lead.speed,
        shows_speed=not names and not lead.load.prefills,
    )


def _speed_cost(
    engine, prompt: plans.Prompt, tgt: plans.Candidate, part_s: float
) -> float:
    """Returns what a prompt loses by the speed of an engine, in worth.

    The other costs that rank engines leave out the prompt's own wait, which is
    about the same at engines of equal speed.
    """
    if tgt.speed == 1.0:
        return 0.0
    decodes = len(tgt.load.decodes) + 1
    iteration_s = iterations.iteration_s(engine, decodes, tgt.load.context)
    usual_s = part_s + iteration_s
    return (
        interference.waiting_loss(prompt, prompt.waited_s + usual_s * tgt.speed)
        - interference.waiting_loss(prompt, prompt.waited_s + usual_s)
        + interference.pause_loss(prompt, iteration_s * tgt.speed)
        - interference.pause_loss(prompt, iteration_s)
    )


def _first_token_s(engine, prompt, lead, chosen, timelines, part_s) -> float:
    """Predicts the time to the first token since the request arrived."""
    is_split = len(chosen) > 1
    prefill_end_s = max(
        _prefill_end_s(c, timelines[c.name], part_s * c.speed, is_split)
        for c in chosen
    )
    first_iteration_s = iterations.iteration_s(
        _engine_at(engine, lead.speed),
        len(lead.load.decodes) + 1,
        lead.load.context + prompt.tokens // len(chosen),
    )
    return prompt.waited_s + prefill_end_s + first_iteration_s


def _prefill_end_s(
    tgt: plans.Candidate,
    timeline: iterations.Timeline,
    part_s: float,
    is_split: bool,
) -> float:
    """Predicts the time until a target has prefilled a part sent now."""
    if tgt.load.decodes:
        return timeline.iteration_left_s + timeline.queued_prefill_s + part_s
    return part_s if is_split else timeline.prefill_left_s + part_s


def _lead_cost(engine: routing.EngineSpec, tgt: plans.Candidate) -> float:
    """Returns the cost of decoding at an engine.

    Engines that already decode are preferred, so that others stay free for
    long prefills: one more decode hardly lengthens an iteration, while a
    prefill beside any decode interrupts it.
    """
    packed = tgt.load.requests / (max(1, engine.slots) * PACKED_SHARE)
    full = tgt.load.tokens / engine.kv_tokens
    cost = PACK_COST * (1.0 - min(1.0, packed)) + FULL_COST * full
    return cost - (LOCAL_GAIN if tgt.is_local else 0.0)
