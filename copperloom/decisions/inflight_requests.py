"""Work in flight: counted from its placement until it is over."""

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
    "record_residence",
    "record_first_token",
    "remove",
    "add",
    "record_success",
]

# Priorities at the engine.
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
    """Counts a request at its targets and returns its placement."""
    req = item.request
    tokens = tuple(part for _, part in chosen)
    # The answer is generated at the lead, so its tokens are no prompt there.
    prompts = (max(0, tokens[0] - req.max_tokens), *tokens[1:])
    for (tgt, part), prompt in zip(chosen, prompts, strict=True):
        load.add(tgt, prompt, part, long=long)
    pool_module.residence(pool, long=long).in_flight += item.cost
    made = messages.Placement(
        req,
        tuple(tgt.name for tgt, _ in chosen),
        tokens,
        _priority(sched, req),
        long=long and sched.uses("reservations"),
    )
    sched.inflight[req.id] = state.InflightRequest(
        made, pool, prompts, item.cost, long, now
    )
    return made


def record_first_token(
    sched: state.Scheduler,
    flight: state.InflightRequest,
    now: float,
    seconds: float,
) -> None:
    """Takes the prompt off the prefill, and learns from its time."""
    _started(sched, flight)
    if not flight.long:
        _observe(sched, flight, now, seconds)
        return
    concurrency.learn(
        flight.pool.long_first_token_stats, flight.prompts[0], seconds
    )
    for name in flight.placement.targets:
        if name in sched.targets:
            sched.targets[name].denials = 0


def record_success(
    sched: state.Scheduler, flight: state.InflightRequest, now: float
) -> None:
    """Learns from work that finished well."""
    seconds = now - flight.placed_at
    tgt = sched.targets.get(flight.placement.targets[0])
    if tgt is not None:
        if flight.waiting and not flight.long:
            _observe(sched, flight, now, seconds)
        ejection.record_success(tgt, now)
    retries.earn(sched.budget)
    stay = pool_module.residence(flight.pool, long=flight.long)
    pool_module.learn(stay, flight.cost, seconds)


def record_residence(
    sched: state.Scheduler, flight: state.InflightRequest, now: float
) -> None:
    """Learns from how long work stayed at its target, however it ended."""
    req = flight.placement.request
    tgt = sched.targets.get(flight.placement.targets[0])
    if tgt is None or flight.long or not sched.uses("concurrency"):
        return
    stay_s = now - flight.placed_at
    concurrency.ended(tgt, stay_s, req.deadline - req.arrived, now)


def remove(sched: state.Scheduler, request_id: str) -> None:
    """Counts work that is over, however it ended; safe to repeat."""
    flight = sched.inflight.pop(request_id, None)
    if flight is None:
        return
    if flight.waiting:
        _started(sched, flight)
    stay = pool_module.residence(flight.pool, long=flight.long)
    stay.in_flight -= flight.cost
    made = flight.placement
    for name, held in zip(made.targets, made.tokens, strict=True):
        if name in sched.targets:
            load.remove(sched.targets[name], held, long=flight.long)


def _priority(sched: state.Scheduler, req: messages.Request) -> int:
    short = req.prompt_tokens <= sched.cfg.preset.short_prompt_tokens
    if short and sched.uses("priority"):
        return SHORT_PRIORITY
    return LONG_PRIORITY


def _started(sched: state.Scheduler, flight: state.InflightRequest) -> None:
    flight.waiting = False
    names = flight.placement.targets
    for name, prompt in zip(names, flight.prompts, strict=True):
        if name in sched.targets:
            load.started(sched.targets[name], prompt, long=flight.long)


def _observe(
    sched: state.Scheduler,
    flight: state.InflightRequest,
    now: float,
    seconds: float,
) -> None:
    pool = flight.pool
    tgt = sched.targets.get(flight.placement.targets[0])
    if tgt is None:
        return
    concurrency.observe(
        pool.first_token_stats,
        tgt,
        flight.prompts[0],
        seconds,
        now,
        adapt=sched.uses("concurrency"),
    )
