"""Sends a request to targets until one of them answers it.

The route decides what may be sent again: a request that may run only once is
sent again only if the target reported that it did not run it, or if no
connection was made. Every retry is taken from the budget that all instances
share, and no request goes to more targets than its route allows.
"""

import asyncio
import functools

from copperloom import exception, logs, routing
from copperloom.decisions import (
    health,
    inflight_table,
    placement_query,
    plans,
    reachability,
    registry,
)
from copperloom.ingress import (
    allowed_targets,
    answers,
    cold_grants,
    cold_targets,
    draining_targets,
    exchange,
    hedged_sends,
    limited_targets,
    long_answers,
    peer_relay,
    placement,
    quarantines,
    reachability_checks,
    rejections,
    relay,
    reply_checks,
    reserve,
    retry,
    sender,
    stopping,
    target_backoff,
    target_checks,
)
from copperloom.platform import headers

__all__ = ["forward"]

# A failed connection attempt runs nothing, but each one may take up to
# sender.CONNECT_TIMEOUT_S.
_MAX_UNREACHABLE = 4
# Engines admit 0 first. Short prompts precede long ones, since a long prefill
# delays a short prompt far more than a short prefill delays a long one: a long
# prefill takes seconds, a short one hundredths of a second.
SHORT_PRIORITY = 1
LONG_PRIORITY = 6
# Added for an organisation over its share while capacity is short. Its short
# prompts still precede all long ones.
OVER_SHARE_PRIORITY = 2
_FIRST_ERROR_STATUS = 300
# Memory is freed only as long answers end, about once a second, so a quick
# retry would fail again.
_MEMORY_WAIT_S = 0.25
_MEMORY_RETRY_S = 1.0
# Share of the remaining time after which a plain request is sent to another
# target, which then has about as much time.
_PLAIN_TIMEOUT_SHARE = 0.45
# Delay before a plan with draining targets is replaced, so that the shard owner
# can receive the update first.
_STALE_PLAN_DELAY_S = 0.01
# They record what a target says of itself, before its answer is checked.
_ANSWER_RECORDERS = (
    limited_targets.record_answer,
    draining_targets.record_answer,
    target_backoff.record_answer,
    cold_targets.record_answer,
)


async def forward(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sends the request to its targets and relays the answer."""
    unreachable = 0
    while not await _relay_if_lost(ex):
        await _place(ex)
        try:
            async with reserve.hold_memory(ex):
                if not _is_stale(ex):
                    await _attempt(ex)
                    break
            await asyncio.sleep(_STALE_PLAN_DELAY_S)
        except exception.CapacityExceededError as error:
            await _wait_for_memory(ex, error)
        except exception.TargetUnreachableError as error:
            unreachable += 1
            _record_failure(ex, error, health.UNREACHABLE_PENALTY)
            if unreachable >= _MAX_UNREACHABLE:
                raise
        except exception.TargetRefusedError as error:
            by_helper = _record_failure(ex, error, health.BROKEN_PENALTY)
            if not await rejections.is_sent_again(
                ex, error, by_helper=by_helper
            ):
                raise
        except exception.StreamBrokenError as error:
            _record_failure(ex, error, health.BROKEN_PENALTY)
            if not await _may_repeat(ex, error):
                raise
    await nxt(ex)


async def _may_repeat(
    ex: exchange.Exchange, error: exception.StreamBrokenError
) -> bool:
    """Returns whether a request may be sent again after its answer broke."""
    if not ex.route.repeatable or long_answers.is_final(ex, error):
        return False
    await reachability_checks.settle(ex.state)
    now = asyncio.get_running_loop().time()
    if reachability_checks.is_partitioned(ex.state, now):
        return retry.take_repeat_by_peer(ex)
    return retry.take_retry(ex)


async def _relay_if_lost(ex: exchange.Exchange) -> bool:
    """Relays a request if no target is reached from here; else returns False.

    Raises:
        copperloom.exception.TargetsUnreachableError: No peer takes it either.
    """
    state = ex.state
    await reachability_checks.settle(state)
    if not state.reachability.is_lost:
        return False
    allowed_targets.check(ex)
    if not reachability_checks.is_partitioned(
        state, asyncio.get_running_loop().time()
    ):
        raise peer_relay.unreachable_error(ex)
    await peer_relay.relay(ex)
    return True


async def _place(ex: exchange.Exchange) -> None:
    """Sets a plan whose lead engine may be sent the request now.

    A quarantined request is refused before it waits or takes anything.
    """
    await target_checks.settle(ex)
    granted = False
    while not granted:
        quarantines.check(ex, asyncio.get_running_loop().time())
        ex.plan = await placement.place(ex)
        ex.placed_at = asyncio.get_running_loop().time()
        stopping.check_time_left(ex)
        granted = await limited_targets.await_grant(ex)
        if granted and ex.plan.holds and _is_stale(ex):
            # No memory may be reserved at an evacuated target either.
            await asyncio.sleep(_STALE_PLAN_DELAY_S)
            granted = False


async def _wait_for_memory(ex, error: exception.CapacityExceededError) -> None:
    """Waits for a random time before memory is reserved again.

    No memory is held during the wait, so that two requests for the same
    engines can't deadlock. The jitter keeps them from colliding again.

    Raises:
        copperloom.exception.CapacityExceededError: The request has waited for
            its share of the time limit.
    """
    logs.event("memory_refused", request=ex.id, error=str(error))
    now = asyncio.get_running_loop().time()
    if now > ex.arrived + (ex.deadline - ex.arrived) * placement.MAX_WAIT_SHARE:
        error.retry_after_s = _MEMORY_RETRY_S
        raise error
    await asyncio.sleep(ex.state.rng.uniform(0.5, 1.5) * _MEMORY_WAIT_S)


def _record_failure(
    ex, error: exception.CopperloomError, points: float
) -> bool:
    """Records a failure; returns whether a helper engine caused it."""
    now = asyncio.get_running_loop().time()
    culprit = getattr(error, "target", "") or ex.plan.lead
    by_helper = culprit != ex.plan.lead
    ex.avoid.add(culprit)
    target = registry.find(ex.state.targets, culprit)
    reachability_checks.record_error(ex.state, target, error, now)
    cold_targets.record_failure(ex.state, target, error)
    if by_helper:
        points = health.UNREACHABLE_PENALTY
    if not target_backoff.is_held(ex.state, culprit, now):
        target_health = ex.state.health.setdefault(culprit, health.Health())
        health.record_failure(target_health, now, points)
    # Without this report an owner would send other requests to this target.
    ex.state.digest_due.set()
    ex.state.metrics.attempts.labels(type(error).__name__).inc()
    long_answers.record(ex.state, error, culprit, ex.id)
    logs.event(
        "attempt_failed",
        request=ex.id,
        digest=exchange.content_digest(ex).hex(),
        target=ex.plan.lead,
        culprit=culprit,
        code=error.code,
        error=str(error),
        sends=ex.sends,
        last_event=ex.last_event,
        **reachability_checks.describe(ex.state, now),
    )
    target_checks.begin(ex, error, now)
    return by_helper


def _is_stale(ex: exchange.Exchange) -> bool:
    """Returns whether a target of the plan may not get the request now.

    It may be gone, drain, be evacuated, be held or be cold without a grant.

    The plan may be older than the latest update, since its owner may not have
    received it and reserving memory takes time. A draining target must get no
    new work.
    """
    now = asyncio.get_running_loop().time()
    names = (ex.plan.lead, *ex.plan.helpers)
    gone = {name for name in names if not _is_usable(ex, name, now)}
    held = {n for n in names if target_backoff.is_held(ex.state, n, now)}
    cold = {n for n in names if not cold_grants.is_granted(ex, n, now)}
    if not gone and not held and not cold:
        return False
    logs.event(
        "plan_stale",
        request=ex.id,
        targets=",".join(sorted(gone)),
        held=",".join(sorted(held)),
        cold=",".join(sorted(cold)),
    )
    ex.avoid |= gone
    return True


def _is_usable(ex: exchange.Exchange, name: str, now: float) -> bool:
    entry = registry.find(ex.state.targets, name)
    if entry is None:
        return False
    return registry.is_usable(ex.state.targets, entry, now, ex.data_centres)


async def _attempt(ex: exchange.Exchange) -> None:
    """Sends the request once; its work is in the in-flight table meanwhile."""
    state = ex.state
    entry = registry.find(state.targets, ex.plan.lead)
    now = asyncio.get_running_loop().time()
    if now >= ex.deadline:
        raise exception.TimeLimitPassedError(run=ex.run)
    # Evidence may have come while the request waited to be placed.
    quarantines.check(ex, now, is_sent=True)
    work = placement_query.planned_work(
        placement.to_query(ex, now), ex.plan, now
    )
    inflight_table.begin(state.inflight, ex.id, work)
    run_before = ex.run
    ex.sends += 1
    ex.attempt_at = now
    ex.attempt_first_at = None
    is_first = entry.name not in ex.sent_to
    ex.sent_to.add(entry.name)
    ex.run = exception.Run.MAY_HAVE_RUN
    late = reachability_checks.expect_answer(ex, now)
    if ex.route.repeatable:
        ex.abandon = asyncio.get_running_loop().create_future()
    try:
        async with hedged_sends.send(
            ex, functools.partial(_open, ex, timeout_s=_head_timeout_s(ex, now))
        ) as reply:
            late.cancel()
            ex.abandon = None
            entry = registry.find(state.targets, ex.plan.lead) or entry
            now = asyncio.get_running_loop().time()
            reachability.record_answer(state.reachability, ex.attempt_at, now)
            answer = answers.read(ex, entry, reply, now)
            for record in _ANSWER_RECORDERS:
                record(ex, answer)
            reply_checks.check(ex, answer)
            await relay.relay(ex, reply, answer.facts)
        if answer.status != answers.UNAVAILABLE:
            _record_answer(ex, entry, answer)
    except exception.TargetUnreachableError:
        ex.sends -= 1
        if is_first:
            ex.sent_to.discard(entry.name)
        ex.run = run_before
        quarantines.withdraw_trial(ex, asyncio.get_running_loop().time())
        raise
    except exception.TargetRefusedError as error:
        ex.run = run_before
        rejections.record(ex, error, is_first=is_first)
        raise
    finally:
        late.cancel()
        ex.abandon = None
        inflight_table.end(state.inflight, ex.id)
        state.changed.set()


def _open(ex: exchange.Exchange, plan: plans.Plan, *, timeout_s: float | None):
    """Returns the context of an attempt by a plan.

    A second copy is no retry after a failure, so it has no timeout of its own,
    and while it is out, the first one is not given up.
    """
    now = asyncio.get_running_loop().time()
    is_first = plan is ex.plan
    return sender.send(
        ex.state.sender,
        registry.find(ex.state.targets, plan.lead).address,
        ex.http.method,
        ex.http.raw_path,
        _headers(ex, plan, now),
        ex.body,
        timeout_s=timeout_s if is_first else None,
        wait_on=functools.partial(hedged_sends.wait_on, ex),
        abandon=ex.abandon if is_first else None,
    )


def _head_timeout_s(ex: exchange.Exchange, now: float) -> float | None:
    """Returns the timeout for an answer's head in seconds, or None for none.

    A request that may run again is sent elsewhere while there is time for it.
    Any other one waits until its deadline.
    """
    if not ex.route.repeatable or len(ex.sent_to) >= ex.route.max_attempts:
        return None
    if ex.route.kind is routing.RouteKind.STREAM:
        return relay.first_event_timeout_s(ex)
    return (ex.deadline - now) * _PLAIN_TIMEOUT_SHARE


def _record_answer(
    ex: exchange.Exchange, entry: routing.TargetEntry, answer: answers.Answer
) -> None:
    now = asyncio.get_running_loop().time()
    target_health = ex.state.health.get(entry.name)
    if reply_checks.is_failure(answer):
        target_health = ex.state.health.setdefault(entry.name, health.Health())
        health.record_failure(target_health, now, health.BROKEN_PENALTY)
        ex.state.digest_due.set()
    elif target_health is not None and not ex.slow:
        health.record_success(target_health, now)
    quarantines.record_completion(
        ex,
        entry,
        now,
        has_run=reply_checks.shows_run(answer),
        is_success=answer.status < _FIRST_ERROR_STATUS,
    )
    ex.state.metrics.attempts.labels("answered").inc()


def _headers(ex: exchange.Exchange, plan: plans.Plan, now: float):
    priority = None
    if ex.head.prompt_tokens:
        is_long = ex.head.prompt_tokens > plans.SHORT_TOKENS
        priority = LONG_PRIORITY if is_long else SHORT_PRIORITY
        if ex.is_over_share:
            priority += OVER_SHARE_PRIORITY
    paths = reserve.reservation_paths(ex)
    helpers = tuple(
        registry.find(ex.state.targets, name).address + paths.get(name, "")
        for name in reserve.helpers_in_order(plan)
    )
    target_headers = headers.TargetHeaders(
        target=plan.lead,
        organisation=ex.organisation,
        time_left_s=ex.deadline - now,
        priority=priority,
        helpers=helpers,
        last_event_id=ex.last_event,
    )
    return headers.for_target(ex.http.headers.items(), target_headers)
