"""Queues of a pool: adding, expiring and dispatching requests."""

from copperloom import configuration, messages
from copperloom.decisions import (
    admission,
    fairqueue,
    groups,
    inflight_requests,
    load,
    placement,
    state,
)
from copperloom.decisions import pool as pool_module

__all__ = [
    "dispatch_long",
    "dispatch_short",
    "push",
    "refuse",
    "refuse_expired",
]

# Queued long requests that a dispatch may skip because no memory is free for
# them.
MAX_SKIPPED = 16
# Smaller long requests may overtake a larger one on any engine for this time;
# without a bound they would starve it.
MAX_OVERTAKING_S = 3.0
# Requests dispatched from one queue per call, so that a burst does not block
# the event loop.
MAX_DISPATCHED = 1_000

Decisions = list[messages.Placement | messages.Refusal]


def push(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    long: bool,
    again: bool = False,
) -> None:
    """Queues a request; `again` states whether it was dispatched before."""
    preset = sched.cfg.preset
    expires_at = req.deadline - admission.DEADLINE_MARGIN_S
    if sched.uses("admission"):
        expires_at = admission.expires_at(req, preset, now, long=long)
    queue = pool.long if long else pool.short
    cost = admission.cost_of(req)
    fairqueue.push(queue, req, cost, now, expires_at, again=again)


def refuse(
    sched: state.Scheduler,
    req: messages.Request,
    error: str,
    text: str,
    after_s: float,
) -> messages.Refusal:
    """Refuses a request, with a jittered time to retry after."""
    sched.avoid.pop(req.id, None)
    return admission.refuse(req, error, text, after_s, sched.rng)


def refuse_expired(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    now: float,
    decisions: Decisions,
) -> None:
    """Refuses expired requests, and all requests of a pool without targets."""
    for queue, long in ((pool.short, False), (pool.long, True)):
        while queue and (queue.expiry[0][0] <= now or not pool.targets):
            item = fairqueue.remove(queue, queue.expiry[0][1])
            decisions.append(
                _expired_refusal(sched, pool, item.request, now, long=long)
            )


def dispatch_short(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    now: float,
    decisions: Decisions,
) -> None:
    """Places short requests in fair order until targets are full."""
    for _ in range(MAX_DISPATCHED):
        if not pool.short:
            return
        item = fairqueue.first(pool.short, 1)[0]
        if _cannot_finish(sched, pool, item, now, long=False):
            fairqueue.pop(pool.short, item)
            decisions.append(
                _expired_refusal(sched, pool, item.request, now, long=False)
            )
            continue
        chosen = _choose_short(sched, pool, item.request, now)
        if not chosen:
            return
        fairqueue.pop(pool.short, item)
        decisions.append(
            inflight_requests.add(sched, pool, item, chosen, now, long=False)
        )


def dispatch_long(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    now: float,
    decisions: Decisions,
) -> None:
    """Places long requests as memory becomes free.

    Smaller requests may overtake one that needs several engines. After
    `MAX_OVERTAKING_S` they may not use the engines on which memory is being
    kept free for it, which prevents starvation without idling the rest of the
    pool.
    """
    skipped = 0
    kept_free: frozenset[str] = frozenset()
    while skipped < MAX_SKIPPED and skipped < len(pool.long):
        item = fairqueue.first(pool.long, skipped + 1)[skipped]
        if _cannot_finish(sched, pool, item, now, long=True):
            fairqueue.pop(pool.long, item)
            decisions.append(
                _expired_refusal(sched, pool, item.request, now, long=True)
            )
            continue
        req = item.request
        avoid = kept_free | sched.avoid.get(req.id, placement.NO_AVOID)
        preset = sched.cfg.preset
        chosen = placement.choose_long(
            pool, req, now, rng=sched.rng, preset=preset, avoid=avoid
        )
        if chosen:
            fairqueue.pop(pool.long, item)
            decisions.append(
                inflight_requests.add(sched, pool, item, chosen, now, long=True)
            )
            continue
        skipped += 1
        if not kept_free and now - item.queued_at > MAX_OVERTAKING_S:
            kept_free = placement.engines_to_keep_free(pool, req, preset=preset)


def _expired_refusal(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    long: bool,
) -> messages.Refusal:
    if not pool.targets:
        return refuse(sched, req, "NoTargetError", "no target available", 1.0)
    after_s = max(admission.wait_s(pool, req, now, long=long), 1.0)
    if long:
        sched.avoid.pop(req.id, None)
        return admission.capacity_refusal(req, after_s, sched.rng)
    text = "no target had capacity in time"
    return refuse(sched, req, "OverloadedError", text, after_s)


def _cannot_finish(sched, pool, item, now, *, long):
    if not sched.uses("admission"):
        return False
    return admission.cannot_finish(pool, item.request, now, long=long)


def _choose_short(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
) -> list[tuple[load.TargetLoad, int]]:
    """Returns targets with the KV tokens to take at each.

    The list is empty if all targets are full.
    """
    tokens = admission.cost_of(req)
    is_engine = req.kind is configuration.TargetKind.ENGINE
    if is_engine and tokens > pool.max_kv_tokens:
        return groups.choose(
            pool.targets, tokens, lambda t: t.kv_tokens - t.held_tokens
        )
    if sched.policy.choose is not None:
        return [(sched.policy.choose(pool.targets, sched.rng), tokens)]
    tgt = placement.choose_short(
        pool,
        req,
        now,
        rng=sched.rng,
        objective=sched.cfg.preset.objective,
        avoid=sched.avoid.get(req.id, placement.NO_AVOID),
        use_affinity=sched.uses("affinity"),
    )
    return [(tgt, tokens)] if tgt is not None else []
