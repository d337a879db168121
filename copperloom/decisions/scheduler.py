"""The decisions of one entry behind one set of functions.

The entry offers each request, lets `dispatch` place or refuse what is queued,
and tells what became of it. It calls these functions on one thread. Nothing
here reads a clock or touches a socket: the present time, in monotonic seconds,
is an argument.
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
    "finished",
    "first_token",
    "forget",
    "next_wake",
    "offer",
    "report",
    "requeue",
    "set_configuration",
    "set_draining",
    "set_limit_shares",
    "set_peer_loads",
    "target_failed",
]

# An owner that refused memory is asked again after this time, doubled with
# each refusal: long work holds its memory for tens of seconds, and every
# entry with a queue of it asks.
FULL_S = 0.5
LONGEST_FULL_S = 4.0
# Look again though nothing of ours ended: limits and reports change.
QUEUED_WAKE_S = 0.25


def set_configuration(
    sched: Scheduler, cfg: configuration.Configuration, now: float
) -> None:
    """Adopts a version of the configuration."""
    changed = cfg.targets is not sched.cfg.targets
    sched.cfg = cfg
    if changed:
        state.rebuild(sched, now)
    state.refresh(sched, now)


def set_draining(sched: Scheduler, leaving: frozenset[str], now: float) -> None:
    """Names the targets that get no new work, queued work included."""
    if leaving != sched.leaving:
        sched.leaving = leaving
        state.rebuild(sched, now)
        state.refresh(sched, now)


def set_peer_loads(
    sched: Scheduler, loads: dict[str, tuple[int, int]], now: float
) -> None:
    """Tells what peers have at each target: (streams, prefill tokens)."""
    for name in sched.peer_names - loads.keys():
        _set_peers(sched, name, (0, 0))
    for name, told in loads.items():
        _set_peers(sched, name, told)
    sched.peer_names = set(loads)


def set_limit_shares(
    sched: Scheduler, shares: dict[str, float], now: float
) -> None:
    """Sets this entry's share of organisations' limits, from 0 to 1.

    Organisations not named have a share of 1. `limits.shares` works the
    shares out of the demand of this entry and its peers.
    """
    sched.limits.shares = dict(shares)


def demand(sched: Scheduler, now: float) -> dict[str, float]:
    """Returns tokens a second asked for here, by limited organisation."""
    return limits.demand(sched.limits, now)


def report(
    sched: Scheduler, target: str, load_report: interface.LoadReport, now: float
) -> None:
    """Takes in a target's lagging load report."""
    tgt = sched.targets.get(target)
    if tgt is None:
        return
    load.take_report(tgt, load_report, now)
    said = load_report.kv_tokens if tgt.configured_kv_tokens else 0
    if load.set_memory(tgt, tgt.configured_kv_tokens, said):
        state.rebuild(sched, now)
        state.refresh(sched, now)


def offer(
    sched: Scheduler, req: messages.Request, now: float
) -> messages.Refusal | None:
    """Queues a request, or refuses it at once.

    Refusals: NoTargetError, PromptTooLargeError, LimitExceededError,
    OverloadedError (short work) and CapacityExceededError (long work).
    """
    pool = state.pool_of(sched, req)
    if pool is None:
        return _no_target(sched, req)
    long = state.is_long(sched, req)
    refusal = _refusal(sched, pool, req, now, long=long)
    if refusal is not None:
        return refusal
    cost = admission.cost_of(req)
    limits.charge(sched.limits, req.organisation, cost)
    queueing.push(sched, pool, req, now, long=long)
    return None


def dispatch(
    sched: Scheduler, now: float
) -> list[messages.Placement | messages.Refusal]:
    """Returns what goes out now and what is given up now.

    A placement counts as in flight from here until `finished`.
    """
    out: list[messages.Placement | messages.Refusal] = []
    for pool in sched.pools.values():
        state.refresh_pool(sched, pool, now)
        if not pool.short and not pool.long:
            continue
        queueing.give_up(sched, pool, now, out)
        queueing.dispatch_short(sched, pool, now, out)
        queueing.dispatch_long(sched, pool, now, out)
    return out


def requeue(
    sched: Scheduler,
    placement: messages.Placement,
    now: float,
    *,
    avoid: str = "",
) -> messages.Refusal | None:
    """Takes back a placement that was not run.

    Long work whose memory an owner refused is queued again without a charge
    to the retry budget: nothing was sent to a target, and the answer came
    from an entry. All else pays from the budget and keeps its deadline.

    Args:
        sched: The state.
        placement: What was placed; no longer in flight.
        now: Monotonic seconds.
        avoid: A target to avoid when it is placed again.

    Returns:
        None if it is queued again, else the refusal (retry budget spent, time
        too short).
    """
    req = placement.request
    flight = sched.inflight.get(req.id)
    inflight_requests.remove(sched, req.id)
    pool = state.pool_of(sched, req)
    if pool is None:
        return _no_target(sched, req)
    long = flight.long if flight else state.is_long(sched, req)
    if now >= req.deadline - admission.MARGIN_S:
        return _overloaded(sched, req, "no time left to retry")
    if placement.long and avoid in sched.targets:
        _full(sched, sched.targets[avoid], now)
    elif sched.uses("retries") and not retries.spend(sched.budget):
        return _overloaded(sched, req, "the retry budget is spent")
    elif avoid:
        _avoid(sched, pool, req, avoid)
    queueing.push(sched, pool, req, now, long=long, again=True)
    return None


def forget(sched: Scheduler, req: messages.Request) -> None:
    """Drops a queued request whose caller has gone."""
    pool = sched.pools.get((req.kind, req.model or req.deployment))
    if pool is not None:
        fairqueue.remove(pool.short, req.id)
        fairqueue.remove(pool.long, req.id)
    sched.avoid.pop(req.id, None)


def first_token(
    sched: Scheduler, placement: messages.Placement, now: float, *, sent: float
) -> None:
    """Notes that the first token came; `sent` is when the work was sent."""
    flight = sched.inflight.get(placement.request.id)
    if flight is not None and flight.waiting:
        inflight_requests.record_first_token(sched, flight, now, now - sent)


def finished(
    sched: Scheduler, placement: messages.Placement, now: float, *, ok: bool
) -> None:
    """Notes that a placement is over and its memory free."""
    flight = sched.inflight.get(placement.request.id)
    if flight is None:
        return
    inflight_requests.record_residence(sched, flight, now)
    if ok:
        inflight_requests.record_success(sched, flight, now)
    inflight_requests.remove(sched, placement.request.id)
    sched.avoid.pop(placement.request.id, None)


def target_failed(sched: Scheduler, target: str, now: float) -> None:
    """Notes a refused connection, a broken stream or a timeout."""
    tgt = sched.targets.get(target)
    if tgt is not None and sched.uses("ejection"):
        pools = [p for p in sched.pools.values() if target in p.by_name]
        others = max((p.targets for p in pools), key=len, default=[])
        ejection.record_failure(tgt, others, now)


def next_wake(sched: Scheduler, now: float) -> float | None:
    """Returns when `dispatch` must run again though nothing happens."""
    times = []
    for pool in sched.pools.values():
        for queue in (pool.short, pool.long):
            if queue:
                times.append(queue.expiry[0][0])
                times.append(now + QUEUED_WAKE_S)
    return max(now, min(times)) if times else None


def backlog(sched: Scheduler) -> dict[str, tuple[int, int]]:
    """Returns (streams, prefill tokens) of this entry at each target."""
    return {
        tgt.name: (tgt.streams, tgt.prefill_tokens + tgt.long_prefill_tokens)
        for tgt in sched.targets.values()
        if tgt.streams
    }


def _set_peers(sched: Scheduler, name: str, told: tuple[int, int]) -> None:
    tgt = sched.targets.get(name)
    if tgt is not None:
        tgt.peer_streams, tgt.peer_prefill_tokens = told


def _full(sched: Scheduler, tgt: load.TargetLoad, now: float) -> None:
    span = min(LONGEST_FULL_S, FULL_S * 2**tgt.denials)
    tgt.denials += 1
    tgt.full_until = now + span * (0.5 + sched.rng.random())


def _avoid(
    sched: Scheduler, pool: pool_module.Pool, req: messages.Request, name: str
) -> None:
    names = sched.avoid.get(req.id, frozenset()) | {name}
    # Once all have failed it, the first one may be better again.
    if len(names) >= len(pool.targets):
        names = frozenset()
    sched.avoid[req.id] = names


def _overloaded(
    sched: Scheduler, req: messages.Request, text: str
) -> messages.Refusal:
    return queueing.refuse(sched, req, "OverloadedError", text, 0.5)


def _no_target(sched: Scheduler, req: messages.Request) -> messages.Refusal:
    return queueing.refuse(sched, req, "NoTargetError", "no target", 1.0)


def _refusal(
    sched: Scheduler,
    pool: pool_module.Pool,
    req: messages.Request,
    now: float,
    *,
    long: bool,
) -> messages.Refusal | None:
    cost = admission.cost_of(req)
    if req.kind is configuration.TargetKind.ENGINE and cost > pool.group_tokens:
        text = f"no group of engines can hold {cost} tokens"
        return messages.Refusal(req, "PromptTooLargeError", text, 0.0)
    preset = sched.cfg.preset
    if long and not preset.admit_long:
        after_s = admission.RETRY_MOST_S
        return admission.capacity_refusal(req, after_s, sched.rng)
    org = sched.cfg.organisations.get(req.organisation)
    over = limits.seconds_over(sched.limits, org, cost, now) if org else 0.0
    if over > 0.0:
        text = "the organisation is over its limit of tokens"
        return queueing.refuse(sched, req, "LimitExceededError", text, over)
    if not sched.uses("admission"):
        return None
    return admission.overload_refusal(
        pool, req, preset, now, sched.rng, long=long
    )
