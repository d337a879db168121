"""Sends a request to targets until one gives its answer.

What may be sent again follows from the route: a request that may run once is
sent again only after a target's own word that it did not run it, or when no
connection was made. Every send after the first takes from the budget that all
instances share, and no request goes to more targets than its route allows.
"""

import asyncio

from copperloom import exception, logs, routing
from copperloom.decisions import (
    health,
    inflight_table,
    placement_query,
    plans,
    registry,
)
from copperloom.ingress import (
    exchange,
    placement,
    relay,
    reserve,
    retry,
    sender,
    stopping,
)
from copperloom.platform import headers

__all__ = ["forward"]

# Connections that could not be made cost no run, but each costs the caller
# CONNECT_S.
_MOST_UNREACHABLE = 4
# Engines admit 0 first. Short prompts go before long ones: the long one's
# reading is counted in seconds, the short one's in hundredths.
SHORT_PRIORITY = 1
LONG_PRIORITY = 6
_REFUSED_RETRY_S = 0.15
# Long answers end, and free their memory, about once a second.
_MEMORY_WAIT_S = 0.25
_MEMORY_RETRY_S = 1.0
# Share of the time left that a plain answer may take before it is asked for
# at another target: the second one has as long.
_PLAIN_PATIENCE = 0.45
# A plan with targets that leave is made anew once whoever made it may know.
_STALE_PAUSE_S = 0.01
_MISDIRECTED = 421
_SERVER_ERROR = 500


async def forward(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sends the request and relays the answer."""
    unreachable = 0
    while True:
        ex.plan = await placement.place(ex)
        ex.placed_at = asyncio.get_running_loop().time()
        stopping.check(ex)
        try:
            async with reserve.held(ex):
                if not _is_stale(ex):
                    await _attempt(ex)
                    break
            await asyncio.sleep(_STALE_PAUSE_S)
        except exception.CapacityExceededError as error:
            await _wait_for_memory(ex, error)
        except exception.TargetUnreachableError as error:
            unreachable += 1
            _failed(ex, error, health.UNREACHABLE)
            if unreachable >= _MOST_UNREACHABLE:
                raise
        except exception.TargetRefusedError as error:
            by_helper = _failed(ex, error, health.BROKEN)
            if not retry.take(ex, by_helper):
                error.retry_after_s = _REFUSED_RETRY_S
                raise
        except exception.StreamBrokenError as error:
            _failed(ex, error, health.BROKEN)
            if not ex.route.repeatable or not retry.take(ex):
                raise
    await nxt(ex)


async def _wait_for_memory(ex, error: exception.CapacityExceededError) -> None:
    """Waits a little before memory is asked for again.

    Nothing is held meanwhile, so that two requests which want the memory of
    the same engines can't wait for each other; the draw keeps them apart.
    """
    logs.event("memory_refused", request=ex.id, error=str(error))
    now = asyncio.get_running_loop().time()
    if now > ex.arrived + (ex.deadline - ex.arrived) * placement.WAIT_SHARE:
        error.retry_after_s = _MEMORY_RETRY_S
        raise error
    await asyncio.sleep(ex.state.rng.uniform(0.5, 1.5) * _MEMORY_WAIT_S)


def _failed(ex, error: exception.CopperloomError, points: float) -> bool:
    """Notes a failure; tells whether a helper is to blame."""
    now = asyncio.get_running_loop().time()
    culprit = getattr(error, "target", "") or ex.plan.lead
    by_helper = culprit != ex.plan.lead
    ex.avoid.add(culprit)
    if by_helper:
        points = health.UNREACHABLE
    known = ex.state.health.setdefault(culprit, health.Health())
    health.record_failure(known, now, points)
    # An owner would send the next peer's request to the same target.
    ex.state.digest_due.set()
    ex.state.metrics.attempts.labels(type(error).__name__).inc()
    logs.event(
        "attempt_failed",
        request=ex.id,
        target=ex.plan.lead,
        culprit=culprit,
        code=error.code,
        error=str(error),
        sends=ex.sends,
        last_event=ex.last_event,
    )
    return by_helper


def _is_stale(ex: exchange.Exchange) -> bool:
    """Tells whether a target of the plan has gone or leaves.

    Memory is reserved after the plan is made, and an owner may not have heard
    of a change yet; a target that leaves meanwhile must get no new work.
    """
    stale = set()
    for name in (ex.plan.lead, *ex.plan.helpers):
        entry = registry.find(ex.state.targets, name)
        if entry is None or entry.draining:
            stale.add(name)
    if stale:
        logs.event("plan_stale", request=ex.id, targets=",".join(sorted(stale)))
    ex.avoid |= stale
    return bool(stale)


async def _attempt(ex: exchange.Exchange) -> None:
    """Sends once; counts the work while it lasts."""
    state = ex.state
    entry = registry.find(state.targets, ex.plan.lead)
    now = asyncio.get_running_loop().time()
    if now >= ex.deadline:
        raise exception.TimeLimitPassedError(run=ex.run)
    work = placement_query.planned_work(
        placement.to_query(ex, now), ex.plan, now
    )
    inflight_table.begin(state.inflight, ex.id, work)
    before = ex.run
    ex.sends += 1
    new = entry.name not in ex.sent_to
    ex.sent_to.add(entry.name)
    ex.run = exception.Run.MAY_HAVE_RUN
    try:
        async with sender.send(
            state.sender,
            entry.address,
            ex.http.method,
            ex.http.raw_path,
            _headers(ex, now),
            ex.body,
            patience_s=_patience(ex, now),
            may_give_up=lambda: retry.may_give_up(ex),
        ) as reply:
            await relay.relay(ex, reply, _judge(ex, reply))
        _answered(ex, entry.name)
    except exception.TargetUnreachableError:
        ex.sends -= 1
        if new:
            ex.sent_to.discard(entry.name)
        ex.run = before
        raise
    except exception.TargetRefusedError:
        ex.run = before
        raise
    finally:
        inflight_table.end(state.inflight, ex.id)
        state.changed.set()


def _patience(ex: exchange.Exchange, now: float) -> float | None:
    """Returns the longest wait for the head of an answer.

    A request that may run again is tried elsewhere while time is left for
    it; one that may not waits for its answer to the end.
    """
    if not ex.route.repeatable or len(ex.sent_to) >= ex.route.max_attempts:
        return None
    if ex.route.kind is routing.RouteKind.STREAM:
        return relay.first_event_patience(ex)
    return (ex.deadline - now) * _PLAIN_PATIENCE


def _answered(ex: exchange.Exchange, target: str) -> None:
    known = ex.state.health.get(target)
    if known is not None and not ex.slow:
        health.record_success(known, asyncio.get_running_loop().time())
    ex.state.metrics.attempts.labels("answered").inc()


def _judge(ex: exchange.Exchange, reply: sender.Reply) -> headers.ReplyFacts:
    """Says whether a reply is the target's answer to this request.

    Raises:
        copperloom.exception.TargetRefusedError: It did not run it.
        copperloom.exception.StreamBrokenError: It is no answer to it, or one
            that is better asked for again.
    """
    facts = headers.read_reply(reply.headers)
    if facts.not_run or reply.status == _MISDIRECTED:
        error = exception.TargetRefusedError(f"status {reply.status}")
        error.target = _named(ex, facts.at_fault)
        raise error
    if facts.request and facts.request != ex.id:
        raise exception.StreamBrokenError("another request's answer")
    if facts.encoded:
        raise exception.StreamBrokenError("an encoded body")
    if reply.status < 300 and not facts.sealed:
        raise exception.StreamBrokenError("a success without its seal")
    if reply.status < _SERVER_ERROR:
        return facts
    again = ex.route.repeatable and len(ex.sent_to) < ex.route.max_attempts
    if again or not facts.sealed:
        raise exception.StreamBrokenError(f"status {reply.status}")
    return facts


def _named(ex: exchange.Exchange, at_fault: str) -> str:
    """Finds the helper that a refusal names, by name or address."""
    for name, entry in ex.state.targets.entries.items():
        if at_fault and at_fault in (name, entry.address):
            return name
    return ""


def _headers(ex: exchange.Exchange, now: float):
    priority = None
    if ex.head.prompt_tokens:
        long = ex.head.prompt_tokens > plans.SHORT_TOKENS
        priority = LONG_PRIORITY if long else SHORT_PRIORITY
    tickets = reserve.tickets(ex)
    helpers = tuple(
        registry.find(ex.state.targets, name).address + tickets.get(name, "")
        for name in reserve.in_order(ex.plan)
    )
    own = headers.TargetHeaders(
        target=ex.plan.lead,
        organisation=ex.organisation,
        time_left_s=ex.deadline - now,
        priority=priority,
        helpers=helpers,
        last_event_id=ex.last_event,
    )
    return headers.for_target(ex.http.headers.items(), own)
