"""Decides whether a prompt is placed, deferred or refused."""

from copperloom import routing
from copperloom.decisions import deferral, planner, plans

__all__ = ["choose"]


def choose(
    engine: routing.EngineSpec,
    prompt: plans.Prompt,
    candidates: list[plans.Candidate],
    *,
    may_lead: frozenset[str] | None = None,
    is_repeat: bool = False,
) -> plans.Choice:
    """Returns the outcome of placing a prompt now.

    Args:
        engine: Figures of the service's engines.
        prompt: The prompt to be placed.
        candidates: The engines that may be used.
        may_lead: Names of the engines that may be the lead; None allows all.
        is_repeat: Whether the request was sent before; it has already been
            delayed, so it is neither deferred nor refused.
    """
    plan = planner.plan_prompt(engine, prompt, candidates, may_lead=may_lead)
    if plan is None or is_repeat:
        return plan
    delay_s = deferral.defer_s(engine, prompt, candidates, plan)
    if delay_s:
        return plans.Deferral(delay_s, plan)
    return plans.Refusal(plan) if planner.is_refused(prompt, plan) else plan
