"""What becomes of a prompt now: it is placed, held for a moment or refused."""

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
    """Decides what becomes of a prompt, as things are now.

    Args:
        engine: Figures of the service's engines.
        prompt: What is to be placed.
        candidates: The engines that may be used.
        may_lead: Names of those that may get the request; None allows all.
        is_repeat: Whether it was sent before: it has cost its caller time
            enough, so it is neither held nor refused.
    """
    plan = planner.plan_prompt(engine, prompt, candidates, may_lead=may_lead)
    if plan is None or is_repeat:
        return plan
    wait_s = deferral.defer_s(engine, prompt, candidates, plan)
    if wait_s:
        return plans.Deferral(wait_s, plan)
    return plans.Refusal(plan) if planner.is_refused(prompt, plan) else plan
