"""Decides whether a prompt is placed now or slightly later.

When long prompts arrive while others are in prefill, placing one at once
either delays the earlier ones (an engine processes the newest part first) or
leaves it to few engines that prefill it too slowly. A moment later more
engines may be free, so that all of the prompts meet their objectives.
"""

import dataclasses

from copperloom import routing
from copperloom.decisions import inflight, iterations, planner, plans

__all__ = ["predict_load", "defer_s"]

# A deferral is considered for prompts whose plan costs this share of their
# worth: most of that is lost by missed objectives, its own or those of others.
COSTLY_SHARE = 0.25
# Delays to evaluate, as shares of the time left until the first token is due.
# Each costs as much as a placement.
DELAY_SHARES = (0.2, 0.4)
# Share of the prompt's worth that a deferral must gain, since predictions are
# uncertain.
MIN_GAIN_SHARE = 0.3
# Upper bound of a deferral, since other requests may arrive meanwhile.
MAX_DELAY_S = 0.15


def defer_s(
    engine: routing.EngineSpec,
    prompt: plans.Prompt,
    candidates: list[plans.Candidate],
    plan: plans.Plan,
) -> float:
    """Returns how long to defer a prompt, in seconds; 0 to place it now.

    Args:
        engine: Figures of the service's engines.
        prompt: The prompt to be placed.
        candidates: The engines that may be used.
        plan: The best plan at present.
    """
    worth = plans.worth(prompt.tokens)
    if prompt.tokens <= plans.LONG_TOKENS or plan.cost < COSTLY_SHARE * worth:
        return 0.0
    left_s = prompt.first_token_aim_s - prompt.waited_s
    if left_s <= 0:
        return 0.0
    best_s = 0.0
    best_cost = plan.cost - MIN_GAIN_SHARE * worth
    for share in DELAY_SHARES:
        delay_s = share * left_s
        later = _plan_later(engine, prompt, candidates, delay_s)
        if later is None or later.first_token_s > prompt.first_token_aim_s:
            # A deferral doesn't help a prompt that misses its objective anyway.
            continue
        if later.cost < best_cost:
            best_s, best_cost = delay_s, later.cost
    return min(best_s, MAX_DELAY_S)


def _plan_later(engine, prompt, candidates, delay_s) -> plans.Plan | None:
    later = dataclasses.replace(prompt, waited_s=prompt.waited_s + delay_s)
    predicted = [
        dataclasses.replace(c, load=predict_load(engine, c.load, delay_s))
        for c in candidates
    ]
    return planner.plan_prompt(engine, later, predicted)


def predict_load(
    engine: routing.EngineSpec, load: inflight.TargetLoad, delay_s: float
) -> inflight.TargetLoad:
    """Predicts an engine's load some time later if no more work arrives.

    Args:
        engine: Figures of the engine.
        load: Its load at present.
        delay_s: Time from now, in seconds.
    """
    if not load.prefills:
        return load
    timeline = iterations.simulate(engine, load)
    prefills = []
    decodes = list(load.decodes)
    start_s = 0.0
    by_finish = sorted(
        zip(timeline.finish_s, load.prefills, strict=True), key=_finish_s
    )
    for finish_s, prefill in by_finish:
        if finish_s > delay_s:
            prefills.append(_remaining(prefill, start_s, finish_s, delay_s))
        elif prefill.pause_aim_s is not None:
            decodes.append(inflight.Decode(prefill.pause_aim_s, prefill.worth))
        start_s = finish_s
    return dataclasses.replace(
        load, prefills=tuple(prefills), decodes=tuple(decodes)
    )


def _finish_s(finish_and_prefill) -> float:
    return finish_and_prefill[0]


def _remaining(
    prefill: inflight.Prefill, start_s, finish_s, delay_s
) -> inflight.Prefill:
    """Returns the part of a prefill that remains after a delay."""
    left_s = finish_s - max(start_s, delay_s)
    return dataclasses.replace(
        prefill,
        age_s=0.0,
        prefill_s=min(prefill.prefill_s, left_s),
        due_s=prefill.due_s - delay_s,
    )
