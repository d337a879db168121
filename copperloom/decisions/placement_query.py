"""Placement queries to shard owners, and their replies."""

import dataclasses

from copperloom import versions
from copperloom.decisions import inflight, plans, shards, spillover

__all__ = ["Decision", "Query", "planned_work"]


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A request that is to be placed.

    Attributes:
        request: Id of the request.
        shard: The shard whose targets may be used.
        data_centre: Data centre of the instance that will send the request.
        prompt: Its prompt; None for requests of plain services.
        held_tokens: Memory that prompt and answer need at an engine, in
            tokens.
        avoid: Targets that must not get the request again.
        may_lead: Targets that may be the lead; None allows all.
        is_repeat: Whether the request was sent before.
        is_away: Whether the owner of another data centre forwarded it.
        excluded: Targets that the sender knows to take no requests now.
        data_centres: The data centres whose targets may be used; None for all.
        is_probe: Whether only the utilisation of the targets is asked for.
        organisation: Its organisation, "" if it has none.
        priority: Its priority; 0 is the highest.
        returned: Whether its caller was refused before and retries.
        deadline_s: Time left until its deadline, in seconds.
        digest: Its request digest while capacity is short, by which the owner
            recognises a caller that it refused; empty otherwise.
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
    excluded: tuple[str, ...] = ()
    data_centres: frozenset[str] | None = None
    is_probe: bool = False
    organisation: str = ""
    priority: int = 0
    returned: bool = False
    deadline_s: float = 0.0
    digest: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The reply to a placement query.

    Attributes:
        choice: A plan, a deferral, a refusal or a position in the waiting
            order; None if no target has a free slot and enough memory.
        targets: Number of targets considered.
        targets_version: Version of the target table used.
        decided_by: Name of the instance that decided.
        staleness_s: Age of the oldest peer report used, in seconds.
        busy: Utilisation of the shard, see `spillover.utilisation`.
        remote: A less utilised shard in another data centre that should get
            the query instead; None if there is none.
        is_over_share: Whether its organisation is over its fair share while
            capacity is short.
        is_short: Whether requests had to wait for the shard recently.
    """

    choice: plans.Choice
    targets: int
    targets_version: versions.Version
    decided_by: str
    staleness_s: float = 0.0
    busy: float = 0.0
    remote: spillover.RemoteShard | None = None
    is_over_share: bool = False
    is_short: bool = False


def planned_work(
    query: Query, plan: plans.Plan, now: float
) -> list[inflight.Work]:
    """Returns the work and memory at each target of a plan.

    Args:
        query: The request.
        plan: Its placement.
        now: Monotonic time.
    """
    prompt = query.prompt
    reserved = {hold.target: hold.tokens for hold in plan.holds}
    lead = inflight.Work(
        target=plan.lead,
        prefill_s=plan.part_s,
        generates=True,
        tokens=max(0, query.held_tokens - sum(reserved.values())),
        pause_aim_s=prompt.pause_aim_s if prompt else 0.0,
        started_at=now,
        worth=plans.worth(prompt.tokens if prompt else 0),
        due_s=prompt.first_token_aim_s - prompt.waited_s if prompt else 0.0,
        is_split=bool(plan.helpers),
    )
    parts = [
        dataclasses.replace(
            lead, target=name, generates=False, tokens=reserved.get(name, 0)
        )
        for name in plan.helpers
    ]
    return [lead, *parts]
