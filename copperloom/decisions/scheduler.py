"""Scheduling decisions of one instance.

`offer` queues or refuses a request, `dispatch` places or refuses queued
requests, and the remaining functions record the outcome and external state.
All of them are called from one thread. Nothing here reads a clock or performs
I/O: the current time, in monotonic seconds, is an argument.
"""

from copperloom import configuration, messages
from copperloom.decisions import (
    admission,
    ejection,
    fairqueue,
    inflight_requests,
    limits,
    load,
    queueing,
    retries,
    state,
)
from copperloom.decisions import pool as pool_module
from copperloom.decisions.state import Scheduler
from copperloom.targets import interface

__all__ = [
    "Scheduler",
    "backlog",
    "demand",
    "dispatch",
    "record_completion",
    "record_first_token",
    "cancel",
    "next_wake",
    "offer",
    "record_report",
    "requeue",
    "set_configuration",
    "set_draining",
    "set_limit_shares",
    "set_peer_loads",
    "record_target_failure",
]

# Backoff after an owner refuses memory; it doubles with each refusal in a row.
# Long requests hold memory for long, and every instance that has one queued
# would otherwise keep sending requests for it.
MEMORY_BACKOFF_S = 0.5
MAX_MEMORY_BACKOFF_S = 4.0
# Queues are checked at this interval even without local events, since limits
# and load reports change.
QUEUE_CHECK_INTERVAL_S = 0.25


def set_configuration(
    sched: Scheduler, cfg: configuration.Configuration, now: float
) -> None:
    """Applies a version of the configuration."""
    changed = cfg.targets is not sched.cfg.targets
    sched.cfg = cfg
    if changed:
        state.rebuild(sched, now)
    state.refresh(sched, now)


def set_draining(
    sched: Scheduler, draining: frozenset[str], now: float
) -> None:
    """Sets the targets that get no new or queued work."""
    if draining != sched.draining:
        sched.draining = draining
        state.rebuild(sched, now)
        state.refresh(sched, now)


def set_peer_loads(
    sched: Scheduler, loads: dict[str, tuple[int, int]], now: float
) -> None:
    """Records the load that peers have at each target.

    Args:
        sched: The scheduler.
        loads: (streams, prefill tokens) by target name.
        now: Monotonic seconds.
    """
    for name in sched.peer_names - loads.keys():
        _set_peer_load(sched, name, (0, 0))
    for name, peer_load in loads.items():
        _set_peer_load(sched, name, peer_load)
    sched.peer_names = set(loads)


def set_limit_shares(
    sched: Scheduler, shares: dict[str, float], now: float
) -> None:
    """Sets this instance's shares of the organisations' limits, from 0 to 1.

    An organisation without an entry has a share of 1. `limits.shares` computes
    the shares from the demand at this instance and its peers.
    """
    sched.limits.shares = dict(shares)


def demand(sched: Scheduler, now: float) -> dict[str, float]:
    """Returns the requested tokens per second by limited organisation."""
    return limits.demand(sched.limits, now)


def record_report(
    sched: Scheduler, target: str, load_report: interface.LoadReport, now: float
) -> None:
    """Processes a load report of a target."""
    tgt = sched.targets.get(target)
    if tgt is None:
        return
    load.record_report(tgt, load_report, now)
    reported = load_report.kv_tokens if tgt.configured_kv_tokens else 0
    if load.set_memory(tgt, tgt.configured_kv_tokens, reported):
        state.rebuild(sched, now)
        state.refresh(sched, now)


def offer(
    sched: Scheduler, req: messages.Request, now: float
) -> messages.Refusal | None:
    """Queues a request, or refuses it at once.

    The refusals are NoTargetError, PromptTooLargeError, LimitExceededError,
    OverloadedError (short requests) and CapacityExceededError (long requests).
    """
    pool = state.pool_of(sched, req)
    if pool is None:
        return _no_target(sched, req)
    long = state.is_long(sched, req)
    refusal = _immediate_refusal(sched, pool, req, now, long=long)
    if refusal is not None:
        return refusal
    cost = admission.cost_of(req)
    limits.charge(sched.limits, req.organisation, cost)
    queueing.push(sched, pool, req, now, long=long)
    return None


def dispatch(
    sched: Scheduler, now: float
) -> list[messages.Placement | messages.Refusal]:
    """Returns the placements and refusals that are due now.

    A placement counts as in flight until `record_completion` or `requeue`.
    """
    decisions: list[messages.Placement | messages.Refusal] = []
    for pool in sched.pools.values():
        state.refresh_pool(sched, pool, now)
        if not pool.short and not pool.long:
            continue
        queueing.refuse_expired(sched, pool, now, decisions)
        queueing.dispatch_short(sched, pool, now, decisions)
        queueing.dispatch_long(sched, pool, now, decisions)
    return decisions


def requeue(
    sched: Scheduler,
    placement: messages.Placement,
    now: float,
    *,
    avoid: str = "",
) -> messages.Refusal | None:
    """Queues a request again after its placement failed.

    A long request whose memory was refused by the owner is not charged to the
    retry budget, since it was not sent to a target. Every other retry is
    charged. The deadline stays the same.

    Args:
        sched: The scheduler.
        placement: The failed placement; it is removed from those in flight.
        now: Monotonic seconds.
        avoid: Target to avoid in the next placement.

    Returns:
        None if the request is queued again, else the refusal (retry budget
        spent or too little time left).
    """
    req = placement.request
    inflight = sched.inflight.get(req.id)
    inflight_requests.remove(sched, req.id)
    pool = state.pool_of(sched, req)
    if pool is None:
        return _no_target(sched, req)
    long = inflight.long if inflight else state.is_long(sched, req)
    if now >= req.deadline - admission.DEADLINE_MARGIN_S:
        return _overloaded(sched, req, "deadline too close for a retry")
    if placement.long and avoid in sched.targets:
        _back_off(sched, sched.targets[avoid], now)
    elif sched.uses("retries") and not retries.spend(sched.budget):
        return _overloaded(sched, req, "retry budget is exhausted")
    elif avoid:
        _avoid_target(sched, pool, req, avoid)
    queueing.push(sched, pool, req, now, long=long, again=True)
    return None


def cancel(sched: Scheduler, req: messages.Request) -> None:
    """Removes a queued request whose caller has disconnected."""
    pool = sched.pools.get((req.kind, req.model or req.deployment))
    if pool is not None:
        fairqueue.remove(pool.short, req.id)
        fairqueue.remove(pool.long, req.id)
    sched.avoid.pop(req.id, None)


def record_first_token(
    sched: Scheduler, placement: messages.Placement, now: float, *, sent: float
) -> None:
    """Records the first token of a request.

    Args:
        sched: The scheduler.
        placement: The placement.
        now: Monotonic seconds.
        sent: Monotonic time at which the request was sent to the target.
    """
    inflight = sched.inflight.get(placement.request.id)
    if inflight is not None and inflight.waiting:
        inflight_requests.record_first_token(sched, inflight, now, now - sent)


def record_completion(
    sched: Scheduler, placement: messages.Placement, now: float, *, ok: bool
) -> None:
    """Records the end of a placement and releases its memory."""
    inflight = sched.inflight.get(placement.request.id)
    if inflight is None:
        return
    inflight_requests.record_residence(sched, inflight, now)
    if ok:
        inflight_requests.record_success(sched, inflight, now)
    inflight_requests.remove(sched, placement.request.id)
    sched.avoid.pop(placement.request.id, None)


def record_target_failure(sched: Scheduler, target: str, now: float) -> None:
    """Records a refused connection, broken stream or timeout."""
    tgt = sched.targets.get(target)
    if tgt is not None and sched.uses("ejection"):
        pools = [p for p in sched.pools.values() if target in p.by_name]
        others = max((p.targets for p in pools), key=len, default=[])
        ejection.record_failure(tgt, others, now)


def next_wake(sched: Scheduler, now: float) -> float | None:
    """Returns when `dispatch` must run next if no event occurs before.

    Returns:
        Monotonic seconds; None if nothing is queued.
    """
    times = []
    for pool in sched.pools.values():
        for queue in (pool.short, pool.long):
            if queue:
                times.append(queue.expiry[0][0])
                times.append(now + QUEUE_CHECK_INTERVAL_S)
    return max(now, min(times)) if times else None


def backlog(sched: Scheduler) -> dict[str, tuple[int, int]]:
    """Returns this instance's (streams, prefill tokens) by target."""
    return {
        tgt.name: (tgt.streams, tgt.prefill_tokens + tgt.long_prefill_tokens)
        for tgt in sched.targets.values()
        if tgt.streams
    }


def _set_peer_load(
    sched: Scheduler, name: str, peer_load: tuple[int, int]
) -> None:
    tgt = sched.targets.get(name)
    if tgt is not None:
        tgt.peer_streams, tgt.peer_prefill_tokens = peer_load


def _back_off(sched: Scheduler, tgt: load.TargetLoad, now: float) -> None:
    backoff_s = min(MAX_MEMORY_BACKOFF_S, MEMORY_BACKOFF_S * 2**tgt.denials)
    tgt.denials += 1
    tgt.full_until = now + backoff_s * (0.5 + sched.rng.random())


def _avoid_target(
    sched: Scheduler, pool: pool_module.Pool, req: messages.Request, name: str
) -> None:
    names = sched.avoid.get(req.id, frozenset()) | {name}
    # Once every target has failed the request, start over instead of leaving it
    # without a candidate.
    if len(names) >= len(pool.targets):
        names = frozenset()
    sched.avoid[req.id] = names


def _overloaded(
    sched: Scheduler, req: messages.Request, text: str
) -> messages.Refusal:
    return queueing.refuse(sched, req, "OverloadedError", text, 0.5)


def _no_target(sched: Scheduler, req: messages.Request) -> messages.Refusal:
    return queueing.refuse(
        sched, req, "NoTargetError", "no target available", 1.0
    )


def _immediate_refusal(
    sched: Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    long: bool,
) -> messages.Refusal | None:
    cost = admission.cost_of(req)
    if req.kind is configuration.TargetKind.ENGINE and cost > pool.group_tokens:
        text = f"no group of engines has KV memory for {cost} tokens"
        return messages.Refusal(req, "PromptTooLargeError", text, 0.0)
    preset = sched.cfg.preset
    if long and not preset.admit_long:
        after_s = admission.MAX_RETRY_AFTER_S
        return admission.capacity_refusal(req, after_s, sched.rng)
    organisation = sched.cfg.organisations.get(req.organisation)
    excess_s = (
        limits.excess_wait_s(sched.limits, organisation, cost, now)
        if organisation
        else 0.0
    )
    if excess_s > 0.0:
        text = "organisation exceeds its token rate limit"
        return queueing.refuse(sched, req, "LimitExceededError", text, excess_s)
    if not sched.uses("admission"):
        return None
    return admission.overload_refusal(
        pool, req, preset, now, sched.rng, long=long
    )
