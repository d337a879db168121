"""A request as whoever places it needs to know it, and what becomes of it."""

import dataclasses

from copperloom.decisions import inflight, plans, shards, spillover

__all__ = ["Decision", "Query", "planned_work"]


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A request that is to be placed.

    Attributes:
        request: Its id.
        shard: Targets that it may go to.
        data_centre: Where the instance stands that will send it.
        prompt: Its prompt; None for requests of plain services.
        held_tokens: Memory that prompt and answer take at an engine.
        avoid: Targets that it is not sent to again.
        may_lead: Targets that may get it; None allows all.
        is_repeat: Whether it was sent before.
        is_away: Whether another data centre's owner has sent it on.
    """

    request: str
    shard: shards.Shard
    data_centre: str
    prompt: plans.Prompt | None = None
    held_tokens: int = 0
    avoid: tuple[str, ...] = ()
    may_lead: tuple[str, ...] | None = None
    is_repeat: bool = False
    is_away: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What becomes of a request now.

    Attributes:
        choice: The plan, a wait or a refusal; None: no target has room.
        targets: How many targets were looked at.
        targets_version: Version of the targets that it was decided by.
        decided_by: The instance that decided.
        staleness_s: Age of the oldest word of a peer that it goes by.
        busy: How busy the shard is, as `overflow.busyness` says.
        remote: Another data centre to ask, which has more room.
    """

    choice: plans.Choice
    targets: int
    targets_version: int
    decided_by: str
    staleness_s: float = 0.0
    busy: float = 0.0
    remote: spillover.RemoteShard | None = None


def planned_work(
    query: Query, plan: plans.Plan, now: float
) -> list[inflight.Work]:
    """Lists what a plan's targets will do, and hold, for the request."""
    prompt = query.prompt
    held = {hold.target: hold.tokens for hold in plan.holds}
    lead = inflight.Work(
        target=plan.lead,
        prefill_s=plan.part_s,
        generates=True,
        tokens=max(0, query.held_tokens - sum(held.values())),
        pause_aim_s=prompt.pause_aim_s if prompt else 0.0,
        started_at=now,
        worth=plans.worth(prompt.tokens if prompt else 0),
        due_s=prompt.first_token_aim_s - prompt.waited_s if prompt else 0.0,
        is_split=bool(plan.helpers),
    )
    parts = [
        dataclasses.replace(
            lead, target=name, generates=False, tokens=held.get(name, 0)
        )
        for name in plan.helpers
    ]
    return [lead, *parts]
