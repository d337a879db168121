"""What is queued: pushed, given up, or handed to a target."""

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

__all__ = ["dispatch_long", "dispatch_short", "give_up", "push", "refuse"]

# Long work behind one that finds no memory may pass it, so far back.
LOOK_AHEAD = 16
# It is passed for so long at most, else small long work would starve it.
PASS_S = 3.0
# Requests handed out of one queue at a time, so that a burst does not hold
# up the loop for long.
DISPATCH_MOST = 1_000

Decided = list[messages.Placement | messages.Refusal]


def push(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    long: bool,
    again: bool = False,
) -> None:
    """Queues a request; `again` if it was dispatched before."""
    preset = sched.cfg.preset
    give_up_at = req.deadline - admission.MARGIN_S
    if sched.uses("admission"):
        give_up_at = admission.give_up_at(req, preset, now, long=long)
    queue = pool.long if long else pool.short
    cost = admission.cost_of(req)
    fairqueue.push(queue, req, cost, now, give_up_at, again=again)


def refuse(
    sched: state.Scheduler,
    req: messages.Request,
    error: str,
    text: str,
    after_s: float,
) -> messages.Refusal:
    """Refuses a request for good, with a jittered time to come back."""
    sched.avoid.pop(req.id, None)
    return admission.refuse(req, error, text, after_s, sched.rng)


def give_up(
    sched: state.Scheduler, pool: pool_module.Pool, now: float, out: Decided
) -> None:
    """Refuses what has waited too long, or has no target any more."""
    for queue, long in ((pool.short, False), (pool.long, True)):
        while queue and (queue.expiry[0][0] <= now or not pool.targets):
            item = fairqueue.remove(queue, queue.expiry[0][1])
            out.append(_given_up(sched, pool, item.request, now, long=long))


def dispatch_short(
    sched: state.Scheduler, pool: pool_module.Pool, now: float, out: Decided
) -> None:
    """Places short work in the fair order until the targets are full."""
    for _ in range(DISPATCH_MOST):
        if not pool.short:
            return
        item = fairqueue.first(pool.short, 1)[0]
        if _is_doomed(sched, pool, item, now, long=False):
            fairqueue.pop(pool.short, item)
            out.append(_given_up(sched, pool, item.request, now, long=False))
            continue
        chosen = _choose_short(sched, pool, item.request, now)
        if not chosen:
            return
        fairqueue.pop(pool.short, item)
        out.append(
            inflight_requests.add(sched, pool, item, chosen, now, long=False)
        )


def dispatch_long(
    sched: state.Scheduler, pool: pool_module.Pool, now: float, out: Decided
) -> None:
    """Places long work as memory allows.

    Made for a prompt that needs several engines while smaller ones keep
    coming: those may pass it, but after `PASS_S` only at other engines than
    those whose memory then gathers for it. To let nobody pass at all would
    leave the whole pool idle until these engines are free.
    """
    skipped = 0
    held: frozenset[str] = frozenset()
    while skipped < LOOK_AHEAD and skipped < len(pool.long):
        item = fairqueue.first(pool.long, skipped + 1)[skipped]
        if _is_doomed(sched, pool, item, now, long=True):
            fairqueue.pop(pool.long, item)
            out.append(_given_up(sched, pool, item.request, now, long=True))
            continue
        req = item.request
        avoid = held | sched.avoid.get(req.id, placement.NO_AVOID)
        preset = sched.cfg.preset
        chosen = placement.choose_long(
            pool, req, now, rng=sched.rng, preset=preset, avoid=avoid
        )
        if chosen:
            fairqueue.pop(pool.long, item)
            out.append(
                inflight_requests.add(sched, pool, item, chosen, now, long=True)
            )
            continue
        skipped += 1
        if not held and now - item.queued_at > PASS_S:
            held = placement.gather(pool, req, preset=preset)


def _given_up(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    long: bool,
) -> messages.Refusal:
    if not pool.targets:
        return refuse(sched, req, "NoTargetError", "no target admitted", 1.0)
    after_s = max(admission.wait_s(pool, req, now, long=long), 1.0)
    if long:
        sched.avoid.pop(req.id, None)
        return admission.capacity_refusal(req, after_s, sched.rng)
    text = "not placed in time"
    return refuse(sched, req, "OverloadedError", text, after_s)


def _is_doomed(sched, pool, item, now, *, long):
    if not sched.uses("admission"):
        return False
    return admission.doomed(pool, item.request, now, long=long)


def _choose_short(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
) -> list[tuple[load.TargetLoad, int]]:
    """Returns targets with the KV tokens to take at each; none if full."""
    need = admission.cost_of(req)
    engine = req.kind is configuration.TargetKind.ENGINE
    if engine and need > pool.most_kv_tokens:
        return groups.choose(
            pool.targets, need, lambda t: t.kv_tokens - t.held_tokens
        )
    if sched.policy.choose is not None:
        return [(sched.policy.choose(pool.targets, sched.rng), need)]
    tgt = placement.choose_short(
        pool,
        req,
        now,
        rng=sched.rng,
        objective=sched.cfg.preset.objective,
        avoid=sched.avoid.get(req.id, placement.NO_AVOID),
        use_affinity=sched.uses("affinity"),
    )
    return [(tgt, need)] if tgt is not None else []
