"""Chooses the target of a request, and waits while all targets are full."""

import asyncio

from copperloom import exception, logs
from copperloom.decisions import placement_query, plans, registry
from copperloom.ingress import (
    allowed_targets,
    exchange,
    placement_rpc,
    target_room,
    turn_taking,
)

__all__ = ["place", "to_query"]

# Longest wait for a change before the targets are checked again: the recorded
# work of peers expires without an event.
_RECHECK_S = 0.05
# Share of the remaining time that a request may wait for a free slot. The rest
# is left to its caller, who may retry at another instance. A request that was
# placed later could not be served in time any more.
MAX_WAIT_SHARE = 0.6
_NO_TARGET_RETRY_S = 0.5
# Requests that waited for the same target are sent spread over this time.
_SPREAD_S = 0.03
# Replacements start within seconds; callers return spread over this range.
_DRAINING_RETRY_S = (0.8, 1.6)
_FULL_RETRY_S = 0.3
# Bursts of short prompts last for some seconds.
_TOO_COSTLY_RETRY_S = 3.0
# Assumed length of an answer whose caller sets no limit.
_DEFAULT_ANSWER_TOKENS = 800


async def place(ex: exchange.Exchange) -> plans.Plan:
    """Returns the plan by which to send a request, once there is one.

    Raises:
        copperloom.exception.NoTargetError: The service has no usable target.
        copperloom.exception.DataCentreEvacuatedError: Its targets are in
            evacuated data centres.
        copperloom.exception.NoTargetInRegionError: It has none in the regions
            where the request may run.
        copperloom.exception.TargetsDrainingError: All its targets drain.
        copperloom.exception.TargetsBackingOffError: All targets reject
            requests for longer than the request can wait.
        copperloom.exception.TargetsLimitedError: All targets are at the rate
            limits that they name.
        copperloom.exception.OverloadedError: All targets stayed full, the
            request's turn can't come in time, or the placement would cost
            other requests more than this one is worth.
        copperloom.exception.ShareExceededError: The turn can't come in time,
            as the organisation is over its share.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    wait_until = started_at + (ex.deadline - started_at) * MAX_WAIT_SHARE
    while True:
        now = loop.time()
        usable = registry.usable_by_shard(
            ex.state.targets, ex.service, now, ex.data_centres
        )
        if not usable.targets or allowed_targets.excludes_lead(ex):
            raise _no_target_error(ex)
        hold_s = target_room.check(ex, now)
        if hold_s:
            _log_hold(ex, hold_s)
            await asyncio.sleep(hold_s + ex.state.rng.uniform(0.0, _SPREAD_S))
            continue
        ex.shard = placement_rpc.shard_of(ex.state, ex.service, usable)
        query = to_query(ex, now, target_room.excluded(ex, now))
        decision = await placement_rpc.decide(ex.state, query, now)
        choice = decision.choice
        if isinstance(choice, plans.Plan):
            _log_placement(ex, decision, choice, now - started_at)
            ex.is_over_share = decision.is_over_share
            return choice
        if isinstance(choice, plans.Refusal):
            raise _refusal_error(ex, choice.plan)
        if isinstance(choice, plans.Deferral):
            _log_deferral(ex, choice, now - started_at)
            await asyncio.sleep(choice.delay_s)
            continue
        target_room.refuse_unplaced(ex, now)
        if isinstance(choice, plans.Queued):
            await turn_taking.wait(ex, choice, now)
            continue
        if now >= wait_until:
            raise exception.OverloadedError(
                f"all {decision.targets} targets of service {ex.service} "
                "stayed full; retry later",
                retry_after_s=_FULL_RETRY_S,
            )
        await _wait_for_change(ex)


def to_query(
    ex: exchange.Exchange, now: float, excluded: tuple[str, ...] = ()
) -> placement_query.Query:
    """Returns the placement query for a request.

    Args:
        ex: The request.
        now: Monotonic time.
        excluded: Targets that it must not be sent to.
    """
    prompt = None
    held_tokens = 0
    if ex.head.prompt_tokens:
        held_tokens = ex.head.prompt_tokens + ex.head.max_tokens
        prompt = plans.Prompt(
            tokens=ex.head.prompt_tokens,
            answer_tokens=ex.head.max_tokens or _DEFAULT_ANSWER_TOKENS,
            first_token_aim_s=ex.route.target_latency_s,
            pause_aim_s=ex.route.pause_aim_s,
            waited_s=now - ex.arrived,
        )
    return placement_query.Query(
        request=ex.id,
        shard=ex.shard,
        data_centre=ex.state.settings.data_centre,
        prompt=prompt,
        held_tokens=held_tokens,
        avoid=tuple(ex.avoid),
        may_lead=exchange.may_lead(ex),
        is_repeat=bool(ex.sends),
        excluded=excluded,
        data_centres=registry.open_data_centres(
            ex.state.targets, ex.data_centres
        ),
        organisation=ex.organisation,
        priority=ex.priority,
        returned=turn_taking.is_returned(ex, now),
        deadline_s=max(0.0, ex.deadline - now),
        digest=turn_taking.digest_if_short(ex, now),
    )


def _no_target_error(ex: exchange.Exchange) -> exception.CopperloomError:
    error = allowed_targets.find_refusal(ex)
    if error is not None:
        return error
    if registry.has_draining(ex.state.targets, ex.service, ex.data_centres):
        return exception.TargetsDrainingError(
            f"retry later: all targets of service {ex.service} are draining",
            run=ex.run,
            retry_after_s=ex.state.rng.uniform(*_DRAINING_RETRY_S),
        )
    return exception.NoTargetError(
        f"retry later: no usable target for service {ex.service}",
        retry_after_s=_NO_TARGET_RETRY_S,
    )


def _refusal_error(ex, plan: plans.Plan) -> exception.OverloadedError:
    worth = plans.worth(ex.head.prompt_tokens)
    return exception.OverloadedError(
        "retry later: placing this prompt would cost other requests "
        f"{plan.cost:.1f} units, while it is worth only {worth:.1f}",
        retry_after_s=_TOO_COSTLY_RETRY_S,
    )


async def _wait_for_change(ex: exchange.Exchange) -> None:
    ex.state.changed.clear()
    try:
        async with asyncio.timeout(_RECHECK_S):
            await ex.state.changed.wait()
    except TimeoutError:
        return


def _log_hold(ex: exchange.Exchange, hold_s: float) -> None:
    logs.event("place_held", request=ex.id, service=ex.service, wait_s=hold_s)


def _log_deferral(ex, deferral: plans.Deferral, waited_s: float) -> None:
    logs.event(
        "place_waits",
        request=ex.id,
        service=ex.service,
        wait_s=deferral.delay_s,
        waited_s=waited_s,
        cost=deferral.plan.cost,
        predicted_s=deferral.plan.first_token_s,
    )


def _log_placement(
    ex, decision: placement_query.Decision, plan: plans.Plan, waited_s: float
) -> None:
    ex.state.metrics.placement_wait.labels(ex.route.kind.value).observe(
        waited_s
    )
    logs.event(
        "placed",
        request=ex.id,
        service=ex.service,
        prompt_tokens=ex.head.prompt_tokens,
        target=plan.lead,
        helpers=",".join(plan.helpers),
        part_s=plan.part_s,
        predicted_s=plan.first_token_s,
        cost=plan.cost,
        waited_s=waited_s,
        targets=decision.targets,
        targets_version=decision.targets_version,
        decided_by=decision.decided_by,
        busy=decision.busy,
        staleness_s=decision.staleness_s,
    )
