"""Accounting of requests in flight, from placement to completion."""

from copperloom import messages
from copperloom.decisions import (
    concurrency,
    ejection,
    fairqueue,
    load,
    retries,
    state,
)
from copperloom.decisions import pool as pool_module

__all__ = [
    "add",
    "record_first_token",
    "record_residence",
    "record_success",
    "remove",
]

# Request priorities sent to the engine.
SHORT_PRIORITY = 10
LONG_PRIORITY = 0


def add(
    sched: state.Scheduler,
    pool: pool_module.Pool,
    item: fairqueue.Item,
    chosen: list[tuple[load.TargetLoad, int]],
    now: float,
    *,
    long: bool,
) -> messages.Placement:
    """Adds a request to the load of its targets and returns its placement."""
    req = item.request
    tokens = tuple(part for _, part in chosen)
    # The lead engine's share includes the tokens of the answer.
    prompts = (max(0, tokens[0] - req.max_tokens), *tokens[1:])
    for (tgt, part), prompt in zip(chosen, prompts, strict=True):
        load.add(tgt, prompt, part, long=long)
    pool_module.residence(pool, long=long).in_flight += item.cost
    placement = messages.Placement(
        req,
        tuple(tgt.name for tgt, _ in chosen),
        tokens,
        _priority(sched, req),
        long=long and sched.uses("reservations"),
    )
    sched.inflight[req.id] = state.InflightRequest(
        placement, pool, prompts, item.cost, long, now
    )
    return placement


def record_first_token(
    sched: state.Scheduler,
    inflight: state.InflightRequest,
    now: float,
    seconds: float,
) -> None:
    """Records the first token of a request and updates the statistics.

    Args:
        sched: The scheduler.
        inflight: The request.
        now: Monotonic seconds.
        seconds: Seconds from sending to the first token.
    """
    _end_prefill(sched, inflight)
    if not inflight.long:
        _record_short_first_token(sched, inflight, now, seconds)
        return
    concurrency.update_stats(
        inflight.pool.long_first_token_stats, inflight.prompts[0], seconds
    )
    for name in inflight.placement.targets:
        if name in sched.targets:
            sched.targets[name].denials = 0


def record_success(
    sched: state.Scheduler, inflight: state.InflightRequest, now: float
) -> None:
    """Records a request that completed without an error."""
    seconds = now - inflight.placed_at
    tgt = sched.targets.get(inflight.placement.targets[0])
    if tgt is not None:
        if inflight.waiting and not inflight.long:
            _record_short_first_token(sched, inflight, now, seconds)
        ejection.record_success(tgt, now)
    retries.earn(sched.budget)
    residence_stats = pool_module.residence(inflight.pool, long=inflight.long)
    pool_module.record_residence(residence_stats, inflight.cost, seconds)


def record_residence(
    sched: state.Scheduler, inflight: state.InflightRequest, now: float
) -> None:
    """Applies a short request's residence time to its target's limit."""
    req = inflight.placement.request
    tgt = sched.targets.get(inflight.placement.targets[0])
    if tgt is None or inflight.long or not sched.uses("concurrency"):
        return
    residence_s = now - inflight.placed_at
    concurrency.record_residence(
        tgt, residence_s, req.deadline - req.arrived, now
    )


def remove(sched: state.Scheduler, request_id: str) -> None:
    """Removes a request from the load of its targets; idempotent."""
    inflight = sched.inflight.pop(request_id, None)
    if inflight is None:
        return
    if inflight.waiting:
        _end_prefill(sched, inflight)
    residence_stats = pool_module.residence(inflight.pool, long=inflight.long)
    residence_stats.in_flight -= inflight.cost
    placement = inflight.placement
    for name, held_tokens in zip(
        placement.targets, placement.tokens, strict=True
    ):
        if name in sched.targets:
            load.remove(sched.targets[name], held_tokens, long=inflight.long)


def _priority(sched: state.Scheduler, req: messages.Request) -> int:
    short = req.prompt_tokens <= sched.cfg.preset.short_prompt_tokens
    if short and sched.uses("priority"):
        return SHORT_PRIORITY
    return LONG_PRIORITY


def _end_prefill(
    sched: state.Scheduler, inflight: state.InflightRequest
) -> None:
    inflight.waiting = False
    names = inflight.placement.targets
    for name, prompt in zip(names, inflight.prompts, strict=True):
        if name in sched.targets:
            load.end_prefill(sched.targets[name], prompt, long=inflight.long)


def _record_short_first_token(
    sched: state.Scheduler,
    inflight: state.InflightRequest,
    now: float,
    seconds: float,
) -> None:
    pool = inflight.pool
    tgt = sched.targets.get(inflight.placement.targets[0])
    if tgt is None:
        return
    concurrency.record_first_token(
        pool.first_token_stats,
        tgt,
        inflight.prompts[0],
        seconds,
        now,
        adapt=sched.uses("concurrency"),
    )
