"""Chooses the target of a request, waiting for a place if there is none."""

import asyncio

from copperloom import exception, logs
from copperloom.decisions import placement_query, plans, registry
from copperloom.ingress import exchange, placement_rpc

__all__ = ["place", "to_query"]

# Longest wait for a change before the targets are looked at again: peers'
# loads fade with time, without an event.
_LOOK_AGAIN_S = 0.05
# Share of the time left that a request may wait for a place: after that it
# could not be served any more, and its caller can use the rest elsewhere.
WAIT_SHARE = 0.6
# When to come back if no target of the service is known.
_NO_TARGET_RETRY_S = 0.5
_FULL_RETRY_S = 0.3
# Peaks of short prompts last for some seconds.
_TOO_DEAR_RETRY_S = 3.0
# The guess of an answer's length if the caller gives none.
_DEFAULT_ANSWER_TOKENS = 800


async def place(ex: exchange.Exchange) -> plans.Plan:
    """Returns where to send a request now.

    Raises:
        copperloom.exception.NoTargetError: No target is known.
        copperloom.exception.OverloadedError: All stayed full.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    give_up = begun + (ex.deadline - begun) * WAIT_SHARE
    while True:
        now = loop.time()
        usable = registry.usable_by_shard(ex.state.targets, ex.service, now)
        if not usable.targets:
            raise exception.NoTargetError(
                f"no target of {ex.service}", retry_after_s=_NO_TARGET_RETRY_S
            )
        ex.shard = placement_rpc.shard_of(ex.state, ex.service, usable)
        decided = await placement_rpc.decide(ex.state, to_query(ex, now), now)
        chosen = decided.choice
        if isinstance(chosen, plans.Plan):
            _tell(ex, decided, chosen, now - begun)
            return chosen
        if isinstance(chosen, plans.Refusal):
            raise _too_dear(ex, chosen.plan)
        if isinstance(chosen, plans.Deferral):
            _tell_wait(ex, chosen, now - begun)
            await asyncio.sleep(chosen.delay_s)
            continue
        if now >= give_up:
            raise exception.OverloadedError(
                f"all {decided.targets} targets of {ex.service} are full",
                retry_after_s=_FULL_RETRY_S,
            )
        await _wait(ex)


def to_query(ex: exchange.Exchange, now: float) -> placement_query.Query:
    """Returns what whoever places the request needs to know of it."""
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
        may_lead=_may_lead(ex),
        is_repeat=bool(ex.sends),
    )


def _too_dear(ex, plan: plans.Plan) -> exception.OverloadedError:
    stake = plans.worth(ex.head.prompt_tokens)
    return exception.OverloadedError(
        f"costs {plan.cost:.1f}, worth {stake:.1f}",
        retry_after_s=_TOO_DEAR_RETRY_S,
    )


def _may_lead(ex: exchange.Exchange) -> tuple[str, ...] | None:
    """Returns the targets that it may be sent to; None: any.

    When a helper made it fail, it may go once more to a target that has it
    already, though its route allows no further one.
    """
    if len(ex.sent_to) < ex.route.max_attempts:
        return None
    return tuple(ex.sent_to)


async def _wait(ex: exchange.Exchange) -> None:
    ex.state.changed.clear()
    try:
        async with asyncio.timeout(_LOOK_AGAIN_S):
            await ex.state.changed.wait()
    except TimeoutError:
        return


def _tell_wait(ex, wait: plans.Deferral, waited_s: float) -> None:
    logs.event(
        "place_waits",
        request=ex.id,
        service=ex.service,
        wait_s=wait.delay_s,
        waited_s=waited_s,
        cost=wait.plan.cost,
        predicted_s=wait.plan.first_token_s,
    )


def _tell(
    ex, decided: placement_query.Decision, plan: plans.Plan, waited_s: float
) -> None:
    ex.state.metrics.waited.labels(ex.route.kind.value).observe(waited_s)
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
        targets=decided.targets,
        targets_version=decided.targets_version,
        decided_by=decided.decided_by,
        busy=decided.busy,
        staleness_s=decided.staleness_s,
    )
