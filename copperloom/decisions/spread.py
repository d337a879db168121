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
from copperloom.decisions import board, passes

__all__ = [
    "Candidate",
    "Hold",
    "Plan",
    "Prompt",
    "is_refused",
    "plan_prompt",
    "plan_service",
    "sample",
    "worth",
]

# An engine takes at most this many helpers for one prompt.
MOST_HELPERS = 16
# Times are predicted to about this; lateness is a slope, not a step, so that
# of two placements near the limit the quicker one is taken.
BLUR_S = 0.035
# The longer a time, the more comes in between; as shares of the limit.
BLUR_SHARE = 0.06
WAY_SHARE = 0.1
# Kept free below a limit for the way, for timers and for what is not known.
WAY_S = 0.03
# What is left of a request's worth when it is late.
LATE_LOSS = 0.75
# Prompts above this are read in more than a pass or two.
LONG_TOKENS = 100_000
# What any prompt is worth, and what each token adds, in units of a prompt of
# 5,000 tokens: who sends 150,000 has some sixteen times as much at stake.
LEAST_WORTH = 0.5
TOKEN_WORTH = 0.0001
# Requests below this worth are short: they come often and end soon.
SHORT_WORTH = 3.0
# Engines weighed for one prompt: twice as many as take part in one.
MOST_WEIGHED = 34
# Cost of each part more: an exchange between engines, and one more engine
# whose loss breaks the request.
PART_COST = 0.02
# Cost of a second of waiting, to tell placements apart that are all in time.
WAIT_COST = 0.25
# A prompt that comes while an engine reads a part no longer than this still
# gets its first token in time there.
SHORT_PART_S = 0.12
# A prompt that is read within this time writes in the next pass.
SOON_WRITES_S = 0.08
# Share of an engine's slots that new prompts can make use of: they come in
# clumps, and each writer slows the pass a little.
USABLE_SLOTS = 0.7
# A short answer is written in about this time, so the requests in progress
# come anew once in it.
ANSWER_S = 1.5
# Worth that others could get out of a second of an engine's reading, when all
# engines read; with idle engines it falls to the share below.
ENGINE_SECOND_WORTH = 0.8
IDLE_SHARE = 0.3
# A prompt whose placement costs others more than it is worth is refused.
REFUSE_ABOVE = 1.0
# A failure of late costs as much as this many units of worth.
PENALTY_COST = 0.5
# Share of its worth that a request risks at a target with one such unit.
RISK_SHARE = 0.3
# Callers leave a stream that shows no token for four times its objective.
LEAVES_AFTER = 3.5
# Callers leave a stream that stands still for so long, or for so many of the
# pauses that they accept.
LEAVES_PAUSE_S = 2.0
LEAVES_PAUSES = 8.0
# Kept below it: a caller that has left has nothing of what was done for it.
LEAVES_SOON = 0.75
# Share of its free memory that the engine which writes a prompt larger than one
# engine's memory gives to it without a reservation.
LEAD_SHARE = 0.8
# Memory kept free for what peers place at the same moment.
MEMORY_SLACK_TOKENS = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What is to be placed.

    Attributes:
        tokens: Tokens of the prompt.
        answer_tokens: Tokens of the answer, as far as can be guessed.
        first_token_aim_s: When its first token should come.
        pause_aim_s: Longest pause that its caller accepts.
        waited_s: How long it has waited already.
    """

    tokens: int
    answer_tokens: int
    first_token_aim_s: float
    pause_aim_s: float
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that the work could go to.

    Attributes:
        name: Its name.
        load: What it has in progress.
        penalty: Its failures of late.
        slots: Requests that it works on at once.
        near: Whether it stands in the same data centre.
    """

    name: str
    load: board.TargetLoad
    penalty: float
    slots: int
    near: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Memory to reserve.

    Attributes:
        target: Where.
        tokens: How much.
    """

    target: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Where a request goes.

    Attributes:
        lead: The target that gets the request.
        helpers: Targets that read parts.
        part_s: Predicted reading at each of them.
        first_token_s: Predicted time to the first token.
        cost: What was weighed, in units of worth.
        holds: Memory to reserve at helpers, for a prompt that is larger than
            the memory of one engine.
    """

    lead: str
    helpers: tuple[str, ...]
    part_s: float
    first_token_s: float
    cost: float
    holds: tuple[Hold, ...] = ()


def plan_prompt(
    engine: routing.EngineSpec,
    prompt: Prompt,
    candidates: list[Candidate],
    *,
    may_lead: frozenset[str] | None = None,
) -> Plan | None:
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
    total_s = passes.read_s(engine, prompt.tokens)
    times = {c.name: passes.play(engine, c.load) for c in candidates}
    best: Plan | None = None
    for parts in _part_counts(total_s, len(candidates)):
        plan = _plan_parts(
            engine, prompt, leads, candidates, times, total_s / parts, parts
        )
        if plan is not None and wide:
            plan = _with_holds(engine, plan, candidates, need)
        if plan is not None and (best is None or plan.cost < best.cost):
            best = plan
    return best


def sample(candidates: list[Candidate], rng: random.Random) -> list[Candidate]:
    """Picks the least busy of many engines.

    Made for fleets of fifty engines and more: each is weighed for each number
    of parts, 64 ms for a long prompt among 60 engines, in which the process
    serves nobody. Equal ones are drawn, so that instances differ.

    Args:
        candidates: The engines that may be used.
        rng: Source of the draw.

    Returns:
        At most MOST_WEIGHED of them.
    """
    if len(candidates) <= MOST_WEIGHED:
        return candidates
    shuffled = rng.sample(candidates, len(candidates))
    shuffled.sort(key=_busyness)
    return shuffled[:MOST_WEIGHED]


def _busyness(tgt: Candidate) -> float:
    reading_s = sum(r.reads_s for r in tgt.load.readers)
    return tgt.penalty + tgt.load.requests / max(1, tgt.slots) + reading_s


def is_refused(prompt: Prompt, plan: Plan) -> bool:
    """Tells whether a prompt takes more from others than it is worth.

    Made for the largest prompts at a peak of short ones: reading 700,000
    tokens takes 14 engines four seconds, in which every other caller waits.
    Only prompts that would be late anyway are refused for it.
    """
    limit = worth(prompt.tokens) * REFUSE_ABOVE
    late = plan.first_token_s > prompt.first_token_aim_s
    return late and prompt.tokens > LONG_TOKENS and plan.cost > limit


def worth(tokens: int) -> float:
    """Returns what a caller has at stake, in units of a short prompt."""
    return LEAST_WORTH + TOKEN_WORTH * tokens


def _with_holds(
    engine: routing.EngineSpec, plan: Plan, candidates, need: int
) -> Plan | None:
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
            holds.append(Hold(name, tokens))
            left -= tokens
    if left > 0:
        return None
    return dataclasses.replace(plan, holds=tuple(holds))


def _free_tokens(engine: routing.EngineSpec, tgt: Candidate) -> int:
    return engine.kv_tokens - tgt.load.tokens - MEMORY_SLACK_TOKENS


def plan_service(candidates: list[Candidate]) -> Plan | None:
    """Chooses a target of a plain service: the least loaded for its size.

    Returns:
        The plan, or None if there are no candidates.
    """
    if not candidates:
        return None
    best = min(candidates, key=_service_cost)
    return Plan(best.name, (), 0.0, 0.0, _service_cost(best))


def _service_cost(tgt: Candidate) -> float:
    # A caller waits for whole slots: below one request a slot targets are
    # equal but for the way, above it the queue counts.
    load = tgt.load.requests / max(1, tgt.slots)
    return load + tgt.penalty - (0.05 if tgt.near else 0.0)


def _has_room(engine: routing.EngineSpec, tgt: Candidate, need: int) -> bool:
    if tgt.load.requests >= min(tgt.slots, engine.slots):
        return False
    return need <= _free_tokens(engine, tgt)


def _part_counts(total_s: float, candidates: int) -> list[int]:
    """Lists the numbers of parts worth trying."""
    most = min(MOST_HELPERS + 1, candidates)
    # Parts shorter than a fifth of a pass gain less than they cost.
    most = min(most, max(1, math.ceil(total_s / 0.02)))
    return list(range(1, most + 1))


def _plan_parts(
    engine, prompt, leads, candidates, times, part_s, parts
) -> Plan | None:
    in_parts = parts > 1
    costs = {
        c.name: _harm(c, times[c.name], part_s, in_parts)
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
    at_risk = PENALTY_COST * worth(prompt.tokens) * RISK_SHARE
    cost += at_risk * sum(c.penalty for c in chosen)
    cost += _lead_cost(engine, lead)
    cost += _own_loss(prompt, first_s)
    cost += _arrivals_harm(engine, candidates, chosen, times, part_s)
    cost += _engine_price(candidates, times) * part_s * parts
    cost += PART_COST * (parts - 1)
    names = tuple(c.name for c in others)
    return Plan(lead.name, names, part_s, first_s, cost)


def _engine_price(candidates, times) -> float:
    """Returns what a second of an engine's reading is worth to others now."""
    reading = sum(times[c.name].reading_s > SHORT_PART_S for c in candidates)
    share = reading / len(candidates)
    return ENGINE_SECOND_WORTH * (IDLE_SHARE + (1 - IDLE_SHARE) * share)


def _arrivals_harm(engine, candidates, chosen, times, part_s: float) -> float:
    """Predicts the worth that requests lose which come while a part is read.

    Engines that read for long are closed to them. As long as the others have
    slots enough for the requests in progress, nothing is lost; a prompt that
    closes more than that makes all that come late until it is read.
    """
    closed_s = part_s - SHORT_PART_S
    if closed_s <= 0:
        return 0.0
    names = {c.name for c in chosen}
    open_now = {
        c.name for c in candidates if times[c.name].reading_s < SHORT_PART_S
    }
    short = sum(
        w.worth < SHORT_WORTH for c in candidates for w in c.load.writers
    )
    before = _turned_late(engine, len(open_now), short)
    after = _turned_late(engine, len(open_now - names), short)
    return LATE_LOSS * (after - before) * closed_s / ANSWER_S


def _turned_late(engine, open_engines: int, short: int) -> float:
    """Returns how many of the short requests find no place in time."""
    return max(0.0, short - open_engines * engine.slots * USABLE_SLOTS)


def _first_token(engine, prompt, lead, chosen, times, part_s) -> float:
    """Predicts the time to the first token, waiting until now included."""
    in_parts = len(chosen) > 1
    ready = max(_ready(c, times[c.name], part_s, in_parts) for c in chosen)
    own = passes.pass_s(
        engine,
        len(lead.load.writers) + 1,
        lead.load.context + prompt.tokens // len(chosen),
    )
    return prompt.waited_s + ready + own


def _ready(
    tgt: Candidate, time: passes.Timeline, part_s: float, in_parts: bool
) -> float:
    """Predicts when a target has read a part that is sent now."""
    if tgt.load.writers:
        return time.pass_left_s + time.pending_s + part_s
    return part_s if in_parts else time.reading_s + part_s


def _own_loss(prompt: Prompt, first_s: float) -> float:
    aim = prompt.first_token_aim_s
    loss = LATE_LOSS * _late(first_s, aim)
    loss += (1 - LATE_LOSS) * _late(first_s, aim * LEAVES_AFTER)
    return worth(prompt.tokens) * loss + WAIT_COST * first_s / max(aim, 0.05)


def _harm(
    tgt: Candidate, time: passes.Timeline, part_s: float, in_parts: bool
) -> float:
    """Predicts the worth that others lose when a target reads a part."""
    before = time.idle_s + time.pending_s
    harm = 0.0
    for writer in tgt.load.writers:
        harm += writer.worth * (
            _pause_loss(writer, before + part_s) - _pause_loss(writer, before)
        )
    # An engine that writes takes a part into its next pass; one that only
    # reads puts parts before all else, and whole prompts after it.
    shifts = bool(tgt.load.writers) or in_parts
    for reader, done, pending in zip(
        tgt.load.readers, time.done_s, time.pending, strict=True
    ):
        if shifts and pending:
            limit = reader.due_s - time.idle_s
            more = _late(done + part_s, limit) - _late(done, limit)
            harm += reader.worth * more * LATE_LOSS + part_s * WAIT_COST
        # A prompt in the pass that runs writes from the next one on, and so
        # does one that is nearly read: the part comes after its first token.
        in_pass = bool(tgt.load.writers) and not pending
        if reader.pause_aim_s is not None and (in_pass or done < SOON_WRITES_S):
            writer = board.Writer(reader.pause_aim_s, reader.worth)
            harm += reader.worth * _pause_loss(writer, before + part_s)
    return harm + WAIT_COST * time.reading_s


def _pause_loss(writer: board.Writer, pause_s: float) -> float:
    """Returns the share of an answer's worth that a pause takes."""
    leaves_s = max(LEAVES_PAUSE_S, LEAVES_PAUSES * writer.pause_aim_s)
    loss = LATE_LOSS * _late(pause_s, writer.pause_aim_s)
    return loss + (1 - LATE_LOSS) * _late(pause_s, leaves_s * LEAVES_SOON)


def _lead_cost(engine: routing.EngineSpec, tgt: Candidate) -> float:
    """Spreads answers over engines: each writer slows those beside it."""
    taken = tgt.load.requests / max(1, engine.slots)
    full = tgt.load.tokens / engine.kv_tokens
    return 0.15 * taken + 0.1 * full - (0.005 if tgt.near else 0.0)


def _late(time_s: float, limit_s: float) -> float:
    """Returns the chance that a predicted time turns out over a limit."""
    blur_s = max(BLUR_S, BLUR_SHARE * limit_s)
    limit_s -= max(WAY_S, WAY_SHARE * limit_s)
    return 1.0 / (1.0 + math.exp(min(50.0, (limit_s - time_s) / blur_s)))
