"""Places prompts by what they gain and by the harm that they do.

Made for short prompts among long ones on the same engines. Reading a prompt
of 150,000 tokens takes one engine three seconds, in which every answer being
written there stands still. The time is the same in sum however it is divided,
so a long prompt is read in parts by several engines: its own wait shrinks,
and each writer beside it waits for one part only. How many parts is weighed
per request: the worth that it loses by being late against the worth that the
writers at the engines lose, for each number of parts.

The worth of a request grows with its prompt (a caller who sends 150,000 tokens
has more at stake, and has paid for more).
"""

import dataclasses
import math
import random

from copperloom import routing
from copperloom.decisions import interference, iterations, plans

__all__ = [
    "draw_targets",
    "is_refused",
    "plan_prompt",
    "plan_service",
    "least_loaded",
]

# An engine takes at most this many helpers for one prompt.
MAX_HELPERS = 16
# Numbers of parts that are tried, and the largest possible one: between large
# ones the parts' length hardly differs.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14)
SHORTEST_PART_S = 0.02
# Engines weighed for one prompt: twice as many as take part in one.
MAX_CANDIDATES = 34
# Targets whose work is summed for one request: the least busy of so many drawn
# are nearly the least busy of all.
MAX_DRAWN = 120
# Cost of each part more: an exchange between engines, and one more engine
# whose loss breaks the request.
PART_COST = 0.02
# A prompt whose placement costs others more than it is worth is refused.
REFUSE_COST_RATIO = 1.0
# A failure of late costs as much as this many units of worth.
PENALTY_COST = 0.5
# Share of its worth that a request risks at a target with one such unit.
RISK_SHARE = 0.3
# Share of its free memory that the engine which writes a prompt larger than one
# engine's memory gives to it without a reservation.
LEAD_SHARE = 0.8
# Cost of writing at an engine that has nothing in progress; with more it falls
# to none at this share of its slots. The rest is for what peers place at the
# same moment.
PACK_COST = 0.2
PACKED_SHARE = 0.8
# Cost of writing at an engine whose memory is full.
FULL_COST = 0.1
# Engines in the same data centre are a millisecond nearer.
LOCAL_GAIN = 0.005
# Memory kept free for what peers place at the same moment.
MEMORY_SLACK_TOKENS = 4000


def plan_prompt(
    engine: routing.EngineSpec,
    prompt: plans.Prompt,
    candidates: list[plans.Candidate],
    *,
    may_lead: frozenset[str] | None = None,
) -> plans.Plan | None:
    """Chooses the engine that writes and those that help it read.

    Every number of parts is tried with the engines that it harms least; the
    cost is (parts x engines x log engines), so a caller with hundreds of
    engines passes a sample.

    Args:
        engine: Figures of the service's engines.
        prompt: What is to be placed.
        candidates: The engines that may be used.
        may_lead: Names of those that may get the request; None allows all.

    Returns:
        The plan with the least cost, or None if no engine has a free slot
        and memory.
    """
    need = prompt.tokens + prompt.answer_tokens
    wide = need > engine.kv_tokens - MEMORY_SLACK_TOKENS
    leads = [c for c in candidates if _has_room(engine, c, 0 if wide else need)]
    if may_lead is not None:
        leads = [c for c in leads if c.name in may_lead]
    if not leads:
        return None
    total_s = iterations.prefill_s(engine, prompt.tokens)
    times = {c.name: iterations.simulate(engine, c.load) for c in candidates}
    known = {
        c.name: interference.decode_loss(c, times[c.name]) for c in candidates
    }
    best: plans.Plan | None = None
    for parts in _part_counts(total_s, len(candidates)):
        plan = _plan_parts(
            engine,
            prompt,
            leads,
            candidates,
            times,
            known,
            total_s / parts,
            parts,
        )
        if plan is not None and wide:
            plan = _with_holds(engine, plan, candidates, need)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def draw_targets(
    targets: list[routing.TargetEntry],
    kept: frozenset[str],
    rng: random.Random,
) -> list[routing.TargetEntry]:
    """Draws the targets that are looked at for a request.

    Made for data centres with a thousand targets, where summing the work at
    each of them costs an owner more than all the rest of a placement.

    Args:
        targets: All that may be used.
        kept: Names of those that must be among them.
        rng: Source of the draw.

    Returns:
        All targets if they are few, else MOST_DRAWN of them and those kept.
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
    """Picks the least busy of many engines.

    Made for fleets of fifty engines and more: each is weighed for each number
    of parts, and while the process weighs it serves nobody. Equal ones are
    drawn, so that instances differ.

    Args:
        candidates: The engines that may be used.
        rng: Source of the draw.

    Returns:
        At most MOST_WEIGHED of them.
    """
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    shuffled = rng.sample(candidates, len(candidates))
    shuffled.sort(key=_load)
    return shuffled[:MAX_CANDIDATES]


def _load(tgt: plans.Candidate) -> float:
    reading_s = sum(r.prefill_s for r in tgt.load.prefills)
    return tgt.penalty + tgt.load.requests / max(1, tgt.slots) + reading_s


def is_refused(prompt: plans.Prompt, plan: plans.Plan) -> bool:
    """Tells whether a prompt takes more from others than it is worth.

    Made for the largest prompts at a peak of short ones: reading 700,000
    tokens takes 14 engines four seconds, in which every other caller waits.
    Only prompts that would be late anyway are refused for it.
    """
    limit = plans.worth(prompt.tokens) * REFUSE_COST_RATIO
    late = plan.first_token_s > prompt.first_token_aim_s
    return late and prompt.tokens > plans.LONG_TOKENS and plan.cost > limit


def _with_holds(
    engine: routing.EngineSpec, plan: plans.Plan, candidates, need: int
) -> plans.Plan | None:
    """Divides the memory of a prompt among the engines that read it.

    The engine that writes holds what no reservation takes, so it gets the
    last share: what others place there meanwhile counts before it.
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


def plan_service(candidates: list[plans.Candidate]) -> plans.Plan | None:
    """Chooses a target of a plain service: the least loaded for its size.

    Returns:
        The plan, or None if there are no candidates.
    """
    if not candidates:
        return None
    best = min(candidates, key=_service_cost)
    return plans.Plan(best.name, (), 0.0, 0.0, _service_cost(best))


def _service_cost(tgt: plans.Candidate) -> float:
    # A caller waits for whole slots: below one request a slot targets are
    # equal but for the way, above it the queue counts.
    load = tgt.load.requests / max(1, tgt.slots)
    return load + tgt.penalty - (0.05 if tgt.is_local else 0.0)


def _has_room(
    engine: routing.EngineSpec, tgt: plans.Candidate, need: int
) -> bool:
    if tgt.load.requests >= min(tgt.slots, engine.slots):
        return False
    return need <= _free_tokens(engine, tgt)


def _part_counts(total_s: float, candidates: int) -> list[int]:
    """Lists the numbers of parts worth trying."""
    most = min(MAX_HELPERS + 1, candidates)
    # Parts shorter than a fifth of a pass gain less than they cost.
    most = min(most, max(1, math.ceil(total_s / SHORTEST_PART_S)))
    return [n for n in PART_COUNTS if n < most] + [most]


def _plan_parts(
    engine, prompt, leads, candidates, times, known, part_s, parts
) -> plans.Plan | None:
    in_parts = parts > 1
    costs = {
        c.name: interference.prefill_interference(
            c, times[c.name], known[c.name], part_s, in_parts
        )
        + c.penalty * PENALTY_COST
        for c in candidates
    }
    lead = min(leads, key=lambda c: costs[c.name] + _lead_cost(engine, c))
    others = sorted(
        (
            c
            for c in candidates
            if c.name != lead.name and c.load.parts < engine.slots - 1
        ),
        key=lambda c: costs[c.name],
    )[: parts - 1]
    if len(others) < parts - 1:
        return None
    chosen = [lead, *others]
    first_s = _first_token(engine, prompt, lead, chosen, times, part_s)
    cost = sum(costs[c.name] for c in chosen)
    at_risk = PENALTY_COST * plans.worth(prompt.tokens) * RISK_SHARE
    cost += at_risk * sum(c.penalty for c in chosen)
    cost += _lead_cost(engine, lead)
    cost += interference.waiting_loss(prompt, first_s)
    cost += interference.arrival_interference(
        engine, candidates, chosen, times, part_s
    )
    cost += PART_COST * (parts - 1)
    names = tuple(c.name for c in others)
    return plans.Plan(lead.name, names, part_s, first_s, cost)


def _first_token(engine, prompt, lead, chosen, times, part_s) -> float:
    """Predicts the time to the first token, waiting until now included."""
    in_parts = len(chosen) > 1
    ready = max(_ready(c, times[c.name], part_s, in_parts) for c in chosen)
    own = iterations.iteration_s(
        engine,
        len(lead.load.decodes) + 1,
        lead.load.context + prompt.tokens // len(chosen),
    )
    return prompt.waited_s + ready + own


def _ready(
    tgt: plans.Candidate,
    time: iterations.Timeline,
    part_s: float,
    in_parts: bool,
) -> float:
    """Predicts when a target has read a part that is sent now."""
    if tgt.load.decodes:
        return time.iteration_left_s + time.queued_prefill_s + part_s
    return part_s if in_parts else time.prefill_left_s + part_s


def _lead_cost(engine: routing.EngineSpec, tgt: plans.Candidate) -> float:
    """Gathers answers on few engines, so that others are free to read.

    Made for short answers that are written nearly everywhere: each long part
    then stood in somebody's answer. A writer more hardly slows a pass.
    """
    taken = tgt.load.requests / (max(1, engine.slots) * PACKED_SHARE)
    full = tgt.load.tokens / engine.kv_tokens
    cost = PACK_COST * (1.0 - min(1.0, taken)) + FULL_COST * full
    return cost - (LOCAL_GAIN if tgt.is_local else 0.0)
