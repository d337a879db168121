"""Sends a second copy of a slow request, and takes the first good answer.

Only requests that may run more than once get a copy, and streams only before
their first event. `copperloom.decisions.hedging` decides when.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from copperloom import exception, logs
from copperloom.decisions import (
    budget,
    health,
    hedging,
    inflight_table,
    limit_schedule,
    members,
    placement_query,
    plans,
    registry,
    turns,
)
from copperloom.ingress import (
    exchange,
    metrics,
    placement,
    placement_rpc,
    quarantines,
    sender,
    silence,
    target_backoff,
    target_room,
)

__all__ = ["Open", "send", "wait_on"]

# Opens an attempt by a plan; its context yields the reply's head.
Open = Callable[
    [plans.Plan], contextlib.AbstractAsyncContextManager[sender.Reply]
]
# Interval at which a timeout is looked at again while a second copy is out.
_RECHECK_S = 0.25
_MISDIRECTED = 421
_SERVER_ERROR = 500
_FIRST_ERROR_STATUS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """One of the two copies of a request.

    Attributes:
        plan: Its placement.
        stack: Holds its connection open.
        task: Waits for the head of its answer.
        sent_at: Monotonic time at which it was sent.
    """

    plan: plans.Plan
    stack: contextlib.AsyncExitStack
    task: asyncio.Task
    sent_at: float


@contextlib.asynccontextmanager
async def send(
    ex: exchange.Exchange, open_: Open
) -> AsyncIterator[sender.Reply]:
    """Sends a request by its plan, and once more if its answer is slow.

    If the second copy's answer is taken, its plan becomes the plan of the
    request. The other copy is cancelled at once, which makes its target stop.

    Args:
        ex: The request, with its plan.
        open_: Opens an attempt.

    Raises:
        copperloom.exception.CopperloomError: As the attempts do. If both fail,
            the error is that of a copy that may have run.
    """
    known = ex.state.hedging
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    delay_s = None
    if _may_copy(ex):
        hedging.record_request(known, sent_at)
        delay_s = hedging.delay_s(known, _kind(ex), sent_at)
    if delay_s is None:
        async with open_(ex.plan) as reply:
            _record_latency(ex, reply, sent_at)
            yield reply
        return
    copies = [_start(ex.plan, open_)]
    try:
        await asyncio.wait({copies[0].task}, timeout=delay_s)
        if not copies[0].task.done():
            plan = await _plan_copy(ex, sent_at, delay_s)
            if plan is not None and not copies[0].task.done():
                copies.append(_start(plan, open_))
        winner = await _first_answer(ex, copies)
        for copy in copies:
            if copy is not winner:
                await _cancel(ex, copy)
        _adopt(ex, winner, copies)
        async with winner.stack:
            reply = winner.task.result()
            _record_latency(ex, reply, winner.sent_at)
            yield reply
    finally:
        ex.is_copied = False
        for copy in copies:
            await _cancel(ex, copy)
        inflight_table.end(ex.state.inflight, _copy_id(ex))


async def wait_on(ex: exchange.Exchange) -> float | None:
    """Returns how much longer to wait, as `silence.wait_on` does.

    While a second copy is out, the first one is not given up.
    """
    if ex.is_copied:
        return _RECHECK_S
    return await silence.wait_on(ex)


def _may_copy(ex: exchange.Exchange) -> bool:
    return (
        ex.state.hedging.policy.max_share > 0
        and ex.route.repeatable
        and ex.response is None
        and not ex.plan.helpers
        and not ex.reservation
        and not ex.trial[0]
        and len(ex.sent_to) < ex.route.max_attempts
    )


def _kind(ex: exchange.Exchange) -> str:
    length = metrics.prompt_length(ex.head.prompt_tokens)
    return f"{ex.service}/{ex.route.kind.value}/{length}"


def _copy_id(ex: exchange.Exchange) -> str:
    return f"{ex.id}/copy"


def _start(plan: plans.Plan, open_: Open) -> _Copy:
    stack = contextlib.AsyncExitStack()
    task = asyncio.ensure_future(stack.enter_async_context(open_(plan)))
    return _Copy(plan, stack, task, asyncio.get_running_loop().time())


async def _plan_copy(
    ex: exchange.Exchange, sent_at: float, delay_s: float
) -> plans.Plan | None:
    """Returns the placement of a second copy, or None if there must be none."""
    now = asyncio.get_running_loop().time()
    denied = _judge(ex, sent_at, now, 0.0)
    if turns.is_short(ex.state.turns, ex.service, now):
        denied = hedging.Reason.BUSY
    plan = None
    busy = 0.0
    if denied is None:
        query = placement.to_query(ex, now, target_room.excluded(ex, now))
        query = dataclasses.replace(
            query, avoid=(*query.avoid, ex.plan.lead), is_repeat=True
        )
        decision = await placement_rpc.decide(ex.state, query, now)
        busy = decision.busy
        plan = _usable(ex, decision.choice)
        now = asyncio.get_running_loop().time()
        denied = _judge(ex, sent_at, now, busy)
        if plan is None:
            denied = denied or "no_target"
    if denied is None and _is_quarantined(ex, now):
        denied = "quarantined"
    if denied is None and not _spend(ex, now):
        denied = hedging.Reason.BUDGET
    _log(
        ex,
        "not_sent" if denied else "sent",
        reason=denied or "slow",
        copy_target=plan.lead if plan else "",
        waited_s=now - sent_at,
        delay_s=delay_s,
        busy=busy,
    )
    if denied is not None:
        return None
    hedging.record_copy(ex.state.hedging, now)
    work = placement_query.planned_work(query, plan, now)
    inflight_table.begin(ex.state.inflight, _copy_id(ex), work)
    ex.sends += 1
    ex.sent_to.add(plan.lead)
    ex.is_copied = True
    return plan


def _is_quarantined(ex: exchange.Exchange, now: float) -> bool:
    """Returns whether a request was quarantined after its first send."""
    try:
        quarantines.check(ex, now, is_sent=True)
    except (
        exception.RequestQuarantinedError,
        exception.PartQuarantinedError,
    ):
        return True
    return False


def _usable(ex: exchange.Exchange, choice: plans.Choice) -> plans.Plan | None:
    """Returns a plan that may be used for a copy, else None.

    A copy in parts would take several engines. One for a target that is cold or
    names a limit would take the place of another request.
    """
    if not isinstance(choice, plans.Plan) or choice.helpers or choice.holds:
        return None
    if choice.lead == ex.plan.lead or choice.lead in ex.avoid:
        return None
    state = ex.state
    now = asyncio.get_running_loop().time()
    entry = registry.find(state.targets, choice.lead)
    if entry is None or target_backoff.is_held(state, entry.name, now):
        return None
    if not registry.is_usable(state.targets, entry, now, ex.data_centres):
        return None
    incarnation = registry.incarnation(entry)
    if limit_schedule.is_scheduled(state.limits, incarnation, now):
        return None
    return choice


def _judge(
    ex: exchange.Exchange, sent_at: float, now: float, busy: float
) -> str | None:
    sharing = members.count_sharing(ex.state.members, now)
    return hedging.judge(
        ex.state.hedging,
        now,
        waited_s=now - sent_at,
        left_s=ex.deadline - now,
        busy=busy,
        budget_left=budget.left(ex.state.budget, ex.service, now, sharing),
    )


def _spend(ex: exchange.Exchange, now: float) -> bool:
    sharing = members.count_sharing(ex.state.members, now)
    return budget.spend(ex.state.budget, ex.service, now, sharing)


async def _first_answer(ex: exchange.Exchange, copies: list[_Copy]) -> _Copy:
    """Returns the first copy with a good answer, or the last one that ended.

    Raises:
        copperloom.exception.CopperloomError: All copies failed.
    """
    pending = list(copies)
    errors = []
    while True:
        await asyncio.wait(
            {c.task for c in pending}, return_when=asyncio.FIRST_COMPLETED
        )
        for copy in [c for c in pending if c.task.done()]:
            pending.remove(copy)
            error = copy.task.exception()
            if error is None and (not pending or _is_good(copy)):
                return copy
            if error is not None:
                errors.append(error)
                ex.plan = pending[0].plan if pending else copy.plan
            ex.is_copied = False
            if pending:
                _record_failure(ex, copy, error)
        if not pending:
            raise _most_severe(errors)


def _is_good(copy: _Copy) -> bool:
    status = copy.task.result().status
    return status < _SERVER_ERROR and status != _MISDIRECTED


def _most_severe(errors: list[BaseException]) -> BaseException:
    """Returns an error of a copy that may have run, if there is one."""
    for error in errors:
        if getattr(error, "run", None) is not exception.Run.NOT_RUN:
            return error
    return errors[-1]


def _record_failure(ex, copy: _Copy, error: BaseException | None) -> None:
    now = asyncio.get_running_loop().time()
    known = ex.state.health.setdefault(copy.plan.lead, health.Health())
    health.record_failure(known, now)
    ex.avoid.add(copy.plan.lead)
    _log(ex, "failed", copy_target=copy.plan.lead, error=str(error or ""))


def _adopt(ex: exchange.Exchange, winner: _Copy, copies: list[_Copy]) -> None:
    """Makes the winning copy the request's only attempt."""
    if len(copies) == 1:
        return
    is_second = winner is copies[1]
    _log(
        ex,
        "won" if is_second else "lost",
        copy_target=copies[1].plan.lead,
        copy_s=asyncio.get_running_loop().time() - copies[1].sent_at,
    )
    inflight_table.end(ex.state.inflight, _copy_id(ex))
    if is_second:
        now = asyncio.get_running_loop().time()
        ex.plan = winner.plan
        work = placement_query.planned_work(
            placement.to_query(ex, now), winner.plan, winner.sent_at
        )
        inflight_table.end(ex.state.inflight, ex.id)
        inflight_table.begin(ex.state.inflight, ex.id, work)


async def _cancel(ex: exchange.Exchange, copy: _Copy) -> None:
    """Closes a copy's connection; does nothing if it is closed already."""
    copy.task.cancel()
    await asyncio.wait({copy.task})
    try:
        await copy.stack.aclose()
    except exception.CopperloomError as error:
        _log(ex, "closed", copy_target=copy.plan.lead, error=str(error))


def _record_latency(
    ex: exchange.Exchange, reply: sender.Reply, sent_at: float
) -> None:
    if reply.status >= _FIRST_ERROR_STATUS or ex.response is not None:
        return
    now = asyncio.get_running_loop().time()
    hedging.record_latency(ex.state.hedging, _kind(ex), now - sent_at, now)


def _log(ex: exchange.Exchange, result: str, **fields) -> None:
    ex.state.metrics.hedges.labels(result).inc()
    logs.event(
        "hedge",
        request=ex.id,
        result=result,
        target=ex.plan.lead,
        **fields,
    )
