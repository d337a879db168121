"""Whether a prompt is placed now or soon.

Made for prompts of 150,000 tokens and more that come while others of the kind
are being read. An engine reads the newest part first, so placed at once it
makes the earlier ones late, or is left to one engine that reads it alone for
six seconds, twice the time that it has. A second later five engines are free
and read it in one more.
"""

import dataclasses

from copperloom import routing
from copperloom.decisions import inflight, iterations, planner, plans

__all__ = ["predict_load", "defer_s"]

# Waiting is weighed for prompts whose plan costs this share of their worth:
# most of it is lost by being late, or by making others late.
COSTLY_SHARE = 0.25
# Moments looked at, in shares of the time left until the first token is due.
# Each costs as much as a placement.
MOMENTS = (0.2, 0.4)
# What is predicted for later is less sure: waiting must gain this share.
SURE_GAIN = 0.3
# Placement is looked at again after so long at the latest: more may come.
STEP_S = 0.15


def defer_s(
    engine: routing.EngineSpec,
    prompt: plans.Prompt,
    candidates: list[plans.Candidate],
    plan: plans.Plan,
) -> float:
    """Returns how long to wait before the prompt is placed; 0 for not at all.

    Args:
        engine: Figures of the service's engines.
        prompt: What is to be placed.
        candidates: The engines that may be used.
        plan: The best plan as things are now.
    """
    stake = plans.worth(prompt.tokens)
    if prompt.tokens <= plans.LONG_TOKENS or plan.cost < COSTLY_SHARE * stake:
        return 0.0
    left_s = prompt.first_token_aim_s - prompt.waited_s
    if left_s <= 0:
        return 0.0
    best_s = 0.0
    best_cost = plan.cost - SURE_GAIN * stake
    for share in MOMENTS:
        later_s = share * left_s
        then = _plan_later(engine, prompt, candidates, later_s)
        if then is None or then.first_token_s > prompt.first_token_aim_s:
            # Late either way: it is placed or refused at once.
            continue
        if then.cost < best_cost:
            best_s, best_cost = later_s, then.cost
    return min(best_s, STEP_S)


def _plan_later(engine, prompt, candidates, later_s) -> plans.Plan | None:
    later = dataclasses.replace(prompt, waited_s=prompt.waited_s + later_s)
    free = [
        dataclasses.replace(c, load=predict_load(engine, c.load, later_s))
        for c in candidates
    ]
    return planner.plan_prompt(engine, later, free)


def predict_load(
    engine: routing.EngineSpec, load: inflight.TargetLoad, by_s: float
) -> inflight.TargetLoad:
    """Predicts an engine's load some time later, if nothing more comes."""
    if not load.prefills:
        return load
    time = iterations.simulate(engine, load)
    readers = []
    writers = list(load.decodes)
    start_s = 0.0
    by_end = sorted(zip(time.finish_s, load.prefills, strict=True), key=_end)
    for done_s, reader in by_end:
        if done_s > by_s:
            readers.append(_remaining(reader, start_s, done_s, by_s))
        elif reader.pause_aim_s is not None:
            writers.append(inflight.Decode(reader.pause_aim_s, reader.worth))
        start_s = done_s
    return dataclasses.replace(
        load, prefills=tuple(readers), decodes=tuple(writers)
    )


def _end(item) -> float:
    return item[0]


def _remaining(
    reader: inflight.Prefill, start_s, done_s, by_s
) -> inflight.Prefill:
    """Returns what is left of a reading."""
    left_s = done_s - max(start_s, by_s)
    return dataclasses.replace(
        reader,
        age_s=0.0,
        prefill_s=min(reader.prefill_s, left_s),
        due_s=reader.due_s - by_s,
    )
