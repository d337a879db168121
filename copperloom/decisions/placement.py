"""Placement: a target for a short request, engines for a long one."""

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

__all__ = [
    "choose_long",
    "choose_short",
    "engines_to_keep_free",
    "free_long_tokens",
]

# The better of two random targets is nearly as good as the best one, and avoids
# herding among instances that share a stale view (Mitzenmacher 2001).
SAMPLES = 2
# Targets examined in turn if the sampled ones are full; bounds the cost per
# request in large pools. A pool may have 1,400 targets.
MAX_SCANNED = 32
# Share of a prompt's prefill that the prefix cache at its home target saves.
CACHED_SHARE = 0.7
# Duration, in prompt tokens, of an engine iteration that prefills a long
# prompt. A short request on the same engine waits one such iteration for its
# first token and one for each further token.
LONG_ITERATION_TOKENS = 4_000
# Weight of such an iteration while decoding, relative to the one before the
# first token, by the preset's objective (docs/design/decisions.md, "The two
# objectives").
DECODE_WEIGHT = {"first_token": 0.0, "slowdown": 0.1}
# Cost, in prompt tokens, of the interference of a long prefill with one
# decoding stream. Short answers suffer far more from it than a long request
# does from a slightly later start.
INTERFERENCE_TOKENS = 8_000
# Below this probability of long work, short requests use the whole pool: a
# smaller part of it would hold fewer cached prefixes.
MIN_LONG_PROBABILITY = 0.2
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
    """Chooses a target for a short request from local state.

    The cost of a target is its predicted wait. The home of a prefix is
    preferred as long as the prefill that its cache saves exceeds the additional
    wait, which bounds the load of a hot prefix. An engine with long work sends
    the first token soon, because short requests have priority there, but
    decodes slowly; the objective sets the weight of that.

    Args:
        pool: The pool.
        req: The request.
        now: Monotonic seconds.
        rng: Generator for sampling.
        objective: The preset's objective.
        avoid: Targets that failed this request.
        use_affinity: Whether the home targets of prefixes are preferred.

    Returns:
        The target, or None if all examined targets are full.
    """
    need = req.prompt_tokens + req.max_tokens
    decode_weight = DECODE_WEIGHT[objective] * req.max_tokens
    penalty = (
        LONG_ITERATION_TOKENS
        * (1.0 + decode_weight)
        * pool_split.long_work_probability(pool.split)
    )

    def usable(tgt):
        return tgt.name not in avoid and _has_room(tgt, need, now)

    def cost(tgt):
        return _cost(pool, tgt, req, now, penalty)

    is_split = (
        pool_split.long_work_probability(pool.split) >= MIN_LONG_PROBABILITY
    )
    targets = pool.short_targets if is_split else pool.targets
    ring = pool.short_ring if is_split else pool.ring
    candidates = _sample(targets, rng, SAMPLES)
    may_join_long = is_split and _finishes_beside_long(pool, req, now)
    if may_join_long:
        candidates = candidates + _sample(pool.long_targets, rng, 1)
    found = [t for t in candidates if usable(t)]
    if not found:
        found = _scan(targets, rng, usable)
    if not found and may_join_long:
        found = _scan(pool.long_targets, rng, usable)
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
    """Chooses an engine, or a group of engines, for a long request.

    Only engines that take long work are candidates. Free memory is estimated
    from reports that may be stale; the owner of the engine makes the final
    decision.

    Args:
        pool: The pool.
        req: The request.
        now: Monotonic seconds.
        rng: Generator for sampling.
        preset: The preset in force.
        avoid: Targets that failed this request or are kept free for another
            one.

    Returns:
        Engines with the KV tokens to take at each; empty if there is not enough
        free memory.
    """
    need = req.prompt_tokens + req.max_tokens

    def free(tgt):
        if tgt.name in avoid or now < tgt.full_until:
            return 0
        if ejection.is_ejected(tgt, now):
            return 0
        return free_long_tokens(tgt, preset)

    if need > pool.engine_tokens:
        return groups.choose(_group_candidates(pool, preset, need), need, free)
    sampled = _sample(pool.long_targets, rng, MAX_SCANNED)
    found = [t for t in sampled if free(t) >= need]
    if not found:
        return []
    best = min(
        _sample(found, rng, SAMPLES), key=lambda t: _long_cost(pool, t, now)
    )
    return [(best, need)]


def engines_to_keep_free(
    pool: pool_module.Pool,
    req: messages.Request,
    *,
    preset: configuration.Preset,
    avoid: frozenset[str] = NO_AVOID,
) -> frozenset[str]:
    """Returns the engines to keep free for a queued long request.

    They are those with the most free memory, as many as the request needs when
    they are empty. Keeping them free makes them the first choice again at the
    next call, so the set is stable.
    """
    remaining = req.prompt_tokens + req.max_tokens
    candidates = pool.long_targets
    if remaining > pool.engine_tokens:
        candidates = _group_candidates(pool, preset, remaining)
    candidates = [t for t in candidates if t.name not in avoid]
    candidates.sort(key=lambda t: -free_long_tokens(t, preset))
    names = []
    for tgt in candidates[: groups.MAX_GROUP_SIZE]:
        if remaining <= 0:
            break
        names.append(tgt.name)
        remaining -= pool_module.capacity(tgt, preset)
    return frozenset(names)


def free_long_tokens(tgt: load.TargetLoad, preset: configuration.Preset) -> int:
    """Estimates the KV tokens that a long request could take at a target.

    All memory in use is charged to the share of long work, since reports do not
    distinguish the classes. Otherwise an instance would keep requesting memory
    that the long requests of other instances hold.
    """
    return pool_module.capacity(tgt, preset) - load.kv_in_use(tgt)


def _finishes_beside_long(pool, req, now):
    """Returns whether a short request can finish on an engine with long work.

    Its first token would come soon, but if slow decoding exceeds its time
    limit, waiting for another engine is better.
    """
    if pool.short_targets is pool.targets:
        return False
    iteration_s = LONG_ITERATION_TOKENS * pool.first_token_stats.baseline_s
    return req.max_tokens * iteration_s < req.deadline - now


def _group_candidates(pool, preset, need):
    # A group may need more engines than currently take long work. It gets only
    # the missing ones, and none of those that the preset keeps for short work.
    size = len(pool.long_targets)
    total = sum(pool_module.capacity(t, preset) for t in pool.long_targets)
    while total < need and size < pool.max_long_targets:
        total += pool_module.capacity(pool.targets[size], preset)
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
    for offset in range(min(count, MAX_SCANNED)):
        tgt = targets[(start + offset) % count]
        if usable(tgt):
            return [tgt]
    return []


def _cost(pool, tgt, req, now, penalty):
    own = req.prompt_tokens + concurrency.OVERHEAD_TOKENS
    if tgt.name in pool.long_names or tgt.long_streams:
        # Applies to idle long engines too: long work may arrive while this
        # request runs.
        wait = load.wait_tokens(tgt, now, max_other_tokens=penalty) + penalty
    else:
        wait = load.wait_tokens(tgt, now)
    return (wait + own) * concurrency.slowness(pool.first_token_stats, tgt, now)


def _long_cost(pool, tgt, now):
    running = tgt.report.running if tgt.report else 0
    wait = load.wait_tokens(tgt, now, long=True)
    wait += INTERFERENCE_TOKENS * max(running, tgt.streams - tgt.long_streams)
    return wait * concurrency.slowness(pool.first_token_stats, tgt, now)


def _home(pool, ring, req, best, usable, cost):
    saved = CACHED_SHARE * req.prompt_tokens
    limit = cost(best)
    for name in affinity.homes(ring, req.prefix):
        home = pool.by_name.get(name)
        if home is not None and usable(home) and cost(home) - saved <= limit:
            return home
    return best
