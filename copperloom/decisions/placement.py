"""Choice of a target for short work, and of one or more for long work."""

import random

from copperloom import configuration, messages
from copperloom.decisions import affinity, concurrency, ejection, groups, load
from copperloom.decisions import pool as pool_module

__all__ = ["choose_long", "choose_short", "free_long_tokens"]

# The better of two sampled targets is nearly as good as the best of all and
# does not herd: entries that share a stale view still spread
# (Mitzenmacher 2001).
SAMPLES = 2
# If the samples are full, so many targets are looked at in turn. Bounded,
# since there may be 1,400.
SCAN_MOST = 32
# Part of a prompt's prefill that its prefix is taken to save at its home.
AFFINITY_SAVED = 0.5
# What long work at an engine adds to a short prompt there, as prompt tokens.
# First tokens wait for a piece of its prefill; a whole answer is stretched
# many times over, as each of its steps shares the engine with such a piece.
LONG_WORK_TOKENS = {"first_token": 4_000, "slowdown": 40_000}
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
    there. With the objective "slowdown" engines with long work are used only
    if the others are full.

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
    penalty = LONG_WORK_TOKENS[objective]

    def usable(tgt):
        return tgt.name not in avoid and _has_room(tgt, need, now)

    def cost(tgt):
        return _cost(pool, tgt, req, now, penalty)

    spread = objective == "first_token"
    candidates = pool.targets if spread else pool.short_part
    found = [t for t in _sample(candidates, rng) if usable(t)]
    if not found:
        found = _scan(candidates, rng, usable)
    if not found and not spread:
        found = _scan(pool.long_part, rng, usable)
    if not found:
        return None
    best = min(found, key=cost)
    if use_affinity and req.prefix:
        return _home(pool, req, best, usable, cost)
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
        if ejection.is_out(tgt, now):
            return 0
        return free_long_tokens(tgt, preset)

    if need > pool.engine_tokens:
        return groups.choose(_group_part(pool, preset), need, free)
    part = pool.long_part
    if len(part) > SCAN_MOST:
        part = rng.sample(part, SCAN_MOST)
    found = [t for t in part if free(t) >= need]
    if not found:
        return []
    if len(found) > SAMPLES:
        found = rng.sample(found, SAMPLES)
    best = min(found, key=lambda t: _long_cost(pool, t, now))
    return [(best, need)]


def free_long_tokens(tgt: load.TargetLoad, preset: configuration.Preset) -> int:
    """Estimates the KV tokens that long work could take at a target."""
    share = pool_module.capacity(tgt, preset) - tgt.long_tokens
    return min(share, tgt.kv_tokens - load.kv_in_use(tgt))


def _group_part(pool, preset):
    # A group may need more engines than the border gives long work just now,
    # but leaves the floor of short work alone.
    most = max(len(pool.long_part), _most_long(pool, preset))
    return pool.targets[:most]


def _most_long(pool, preset):
    if len(pool.long_part) == len(pool.targets):
        return len(pool.targets)
    return pool_module.border.most_long(len(pool.targets), preset.short_floor)


def _has_room(tgt: load.TargetLoad, need: int, now: float) -> bool:
    if ejection.is_out(tgt, now):
        return False
    if tgt.streams - tgt.long_streams >= tgt.limit:
        return False
    return not tgt.kv_tokens or load.kv_in_use(tgt) + need <= tgt.kv_tokens


def _sample(targets, rng):
    if len(targets) <= SAMPLES:
        return targets
    return rng.sample(targets, SAMPLES)


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
    if tgt.name in pool.long_names:
        wait = load.wait_tokens(tgt, now, most_foreign=penalty)
        wait += penalty if tgt.long_prefill_tokens else 0
    else:
        wait = load.wait_tokens(tgt, now)
    return (wait + own) * concurrency.slowness(pool.pace, tgt, now)


def _long_cost(pool, tgt, now):
    wait = load.wait_tokens(tgt, now, long=True)
    return wait * concurrency.slowness(pool.pace, tgt, now)


def _home(pool, req, best, usable, cost):
    saved = AFFINITY_SAVED * req.prompt_tokens
    limit = cost(best)
    for name in affinity.homes(pool.ring, req.prefix):
        home = pool.by_name.get(name)
        if home is not None and usable(home) and cost(home) - saved <= limit:
            return home
    return best
