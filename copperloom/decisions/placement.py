"""Choice of a target for short work, and of one or more for long work."""

import random

from copperloom import configuration, messages
from copperloom.decisions import (
    affinity,
    concurrency,
    ejection,
    groups,
    load,
    pool_split,
)
from copperloom.decisions import pool as pool_module

__all__ = ["choose_long", "choose_short", "free_long_tokens", "gather"]

# The better of two sampled targets is nearly as good as the best of all and
# does not herd: entries that share a stale view still spread
# (Mitzenmacher 2001).
SAMPLES = 2
# If the samples are full, so many targets are looked at in turn. Bounded,
# since there may be 1,400.
SCAN_MOST = 32
# Part of a prompt's prefill that its prefix is taken to save at its home.
AFFINITY_SAVED = 0.7
# A step of an engine that prefills long work takes as long as this many
# prompt tokens. A short prompt there waits one such step for its first token,
# and one for each token of its answer.
LONG_STEP_TOKENS = 4_000
# What a later step weighs against the first one, by the preset's objective.
# Measured: docs/design/decisions.md, "The two objectives".
ANSWER_WEIGHT = {"first_token": 0.0, "slowdown": 0.1}
# What it weighs that long work holds up a stream that decodes at an engine: a
# fraction of a second later for long work is nothing beside a short answer
# that takes several times as long.
HELD_UP_TOKENS = 8_000
# Below this likelihood of long work the pool is not divided for short work:
# fewer engines would hold fewer cached prefixes.
LIKELY_LEAST = 0.2
NO_AVOID: frozenset[str] = frozenset()


def choose_short(
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    rng: random.Random,
    objective: str,
    avoid: frozenset[str] = NO_AVOID,
    use_affinity: bool = True,
) -> load.TargetLoad | None:
    """Chooses a target for short work, from this entry's view alone.

    Made for thousands of short prompts a second at hundreds of entries: no
    message and no scan per request. The cost of a target is its predicted
    wait, so a prefix's home is taken as long as the prefill that it saves is
    more than the wait that it adds; this bounds what a hot prefix can pile up
    there. An engine with long work gives a first token soon, since short work
    passes it there, but stretches the answer: the objective tells what that
    weighs.

    Args:
        pool: The targets.
        req: The request.
        now: Monotonic seconds.
        rng: Generator for the samples.
        objective: The preset's objective.
        avoid: Targets that failed this request.
        use_affinity: Whether homes of prefixes are preferred.

    Returns:
        The target, or None if all that were looked at are full.
    """
    need = req.prompt_tokens + req.max_tokens
    later = ANSWER_WEIGHT[objective] * req.max_tokens
    penalty = (
        LONG_STEP_TOKENS
        * (1.0 + later)
        * pool_split.long_work_probability(pool.split)
    )

    def usable(tgt):
        return tgt.name not in avoid and _has_room(tgt, need, now)

    def cost(tgt):
        return _cost(pool, tgt, req, now, penalty)

    apart = pool_split.long_work_probability(pool.split) >= LIKELY_LEAST
    part = pool.short_part if apart else pool.targets
    ring = pool.short_ring if apart else pool.ring
    candidates = _sample(part, rng, SAMPLES)
    beside_long = apart and _ends_beside_long(pool, req, now)
    if beside_long:
        candidates = candidates + _sample(pool.long_part, rng, 1)
    found = [t for t in candidates if usable(t)]
    if not found:
        found = _scan(part, rng, usable)
    if not found and beside_long:
        found = _scan(pool.long_part, rng, usable)
    if not found:
        return None
    best = min(found, key=cost)
    if use_affinity and req.prefix:
        return _home(pool, ring, req, best, usable, cost)
    return best


def choose_long(
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    rng: random.Random,
    preset: configuration.Preset,
    avoid: frozenset[str] = NO_AVOID,
) -> list[tuple[load.TargetLoad, int]]:
    """Chooses the engine, or the group of engines, for long work.

    Made for the one prompt in fifty that takes an engine for seconds. Only
    the long part of the pool is used, never the last engines of short work.
    The memory counted free here is a guess from lagging reports; the engine's
    owner has the last word.

    Args:
        pool: The targets.
        req: The request.
        now: Monotonic seconds.
        rng: Generator for the samples.
        preset: The preset in force.
        avoid: Targets that failed this request.

    Returns:
        Engines with the KV tokens to take at each, or nothing if the memory
        is not free now.
    """
    need = req.prompt_tokens + req.max_tokens

    def free(tgt):
        if tgt.name in avoid or now < tgt.full_until:
            return 0
        if ejection.is_ejected(tgt, now):
            return 0
        return free_long_tokens(tgt, preset)

    if need > pool.engine_tokens:
        return groups.choose(_group_part(pool, preset, need), need, free)
    part = _sample(pool.long_part, rng, SCAN_MOST)
    found = [t for t in part if free(t) >= need]
    if not found:
        return []
    best = min(
        _sample(found, rng, SAMPLES), key=lambda t: _long_cost(pool, t, now)
    )
    return [(best, need)]


def gather(
    pool: pool_module.Pool,
    req: messages.Request,
    *,
    preset: configuration.Preset,
    avoid: frozenset[str] = NO_AVOID,
) -> frozenset[str]:
    """Names the engines whose memory is kept for long work that waits.

    The ones with the most free memory, as many as the work needs when they
    are empty. They stay the same ones, since only they gain by being kept.
    """
    need = req.prompt_tokens + req.max_tokens
    part = pool.long_part
    if need > pool.engine_tokens:
        part = _group_part(pool, preset, need)
    part = [t for t in part if t.name not in avoid]
    part.sort(key=lambda t: -free_long_tokens(t, preset))
    names = []
    for tgt in part[: groups.GROUP_MOST]:
        if need <= 0:
            break
        names.append(tgt.name)
        need -= pool_module.capacity(tgt, preset)
    return frozenset(names)


def free_long_tokens(tgt: load.TargetLoad, preset: configuration.Preset) -> int:
    """Estimates the KV tokens that long work could take at a target.

    All memory in use counts against long work's share, since a report does
    not tell whose it is; else an entry goes on asking for memory that the
    owner knows to be held by the long work of others.
    """
    return pool_module.capacity(tgt, preset) - load.kv_in_use(tgt)


def _ends_beside_long(pool, req, now):
    """Tells whether short work can end in time on an engine with long work.

    Its first token would come soon, but if its answer is stretched beyond its
    time limit, the caller is better off waiting for another engine.
    """
    if pool.short_part is pool.targets:
        return False
    step_s = LONG_STEP_TOKENS * pool.first_token_stats.quick_s
    return req.max_tokens * step_s < req.deadline - now


def _group_part(pool, preset, need):
    # A group may need more engines than the border gives long work just now,
    # but no more of them than it needs, and it leaves the floor alone.
    size = len(pool.long_part)
    room = sum(pool_module.capacity(t, preset) for t in pool.long_part)
    while room < need and size < pool.most_long:
        room += pool_module.capacity(pool.targets[size], preset)
        size += 1
    return pool.targets[:size]


def _has_room(tgt: load.TargetLoad, need: int, now: float) -> bool:
    if ejection.is_ejected(tgt, now):
        return False
    if tgt.streams - tgt.long_streams >= tgt.limit:
        return False
    return not tgt.kv_tokens or load.kv_in_use(tgt) + need <= tgt.kv_tokens


def _sample(targets, rng, count):
    if len(targets) <= count:
        return targets
    return rng.sample(targets, count)


def _scan(targets, rng, usable):
    if not targets:
        return []
    count = len(targets)
    start = rng.randrange(count)
    for step in range(min(count, SCAN_MOST)):
        tgt = targets[(start + step) % count]
        if usable(tgt):
            return [tgt]
    return []


def _cost(pool, tgt, req, now, penalty):
    own = req.prompt_tokens + concurrency.OVERHEAD_TOKENS
    if tgt.name in pool.long_names or tgt.long_streams:
        # Also where no long work is just now: it comes while this runs.
        wait = load.wait_tokens(tgt, now, most_foreign=penalty) + penalty
    else:
        wait = load.wait_tokens(tgt, now)
    return (wait + own) * concurrency.slowness(pool.first_token_stats, tgt, now)


def _long_cost(pool, tgt, now):
    running = tgt.report.running if tgt.report else 0
    wait = load.wait_tokens(tgt, now, long=True)
    wait += HELD_UP_TOKENS * max(running, tgt.streams - tgt.long_streams)
    return wait * concurrency.slowness(pool.first_token_stats, tgt, now)


def _home(pool, ring, req, best, usable, cost):
    saved = AFFINITY_SAVED * req.prompt_tokens
    limit = cost(best)
    for name in affinity.homes(ring, req.prefix):
        home = pool.by_name.get(name)
        if home is not None and usable(home) and cost(home) - saved <= limit:
            return home
    return best
