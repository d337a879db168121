"""Which instance sends the requests of one that reaches no target.

Answers a load of requests that come to instances partitioned from all targets,
a few or most of the fleet, while others reach them.
"""

import dataclasses
import enum
import random
from collections.abc import Iterable

__all__ = ["Candidate", "Facts", "Refusal", "check_offer", "choose"]

# An instance relays so many requests at the same time, by processor time.
MAX_RELAYED_PER_CORE = 150
# The same for an instance with more callers than it can serve, which must not
# be the only one to serve any.
MAX_RELAYED_SHEDDING_PER_CORE = 16
# Cost of the network to another data centre, in requests in progress per core.
REMOTE_COST = 4.0
_SAMPLED = 3


class Refusal(enum.StrEnum):
    """Why an instance does not accept a request of a peer."""

    STALE = "stale"
    PARTITIONED = "partitioned"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What an instance knows of itself when it is offered a request.

    Attributes:
        is_current: Whether its routes are not older than those by which the
            request was admitted.
        reaches_targets: Whether it reaches targets.
        is_shedding: Whether it closes new connections unread.
        relayed: Requests of peers in progress.
        cores: Its processor time, in cores.
    """

    is_current: bool
    reaches_targets: bool
    is_shedding: bool
    relayed: int
    cores: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Another instance that may take a request.

    Attributes:
        name: Its name.
        is_local: Whether it is in the same data centre.
        is_preferred: Whether it sent a message recently, is not stopping, and
            has not just left an offer without effect.
        load: Its requests in progress, per core.
    """

    name: str
    is_local: bool
    is_preferred: bool
    load: float


def check_offer(facts: Facts) -> Refusal | None:
    """Returns why an offered request is refused; None if it is accepted."""
    if not facts.is_current:
        return Refusal.STALE
    if not facts.reaches_targets:
        return Refusal.PARTITIONED
    per_core = MAX_RELAYED_PER_CORE
    if facts.is_shedding:
        per_core = MAX_RELAYED_SHEDDING_PER_CORE
    if facts.relayed >= per_core * max(1.0, facts.cores):
        return Refusal.OVERLOADED
    return None


def choose(
    candidates: Iterable[Candidate], rng: random.Random
) -> Candidate | None:
    """Chooses the better one of some random candidates.

    Instances that are partitioned at the same time know the same loads, so the
    best one of all would get the requests of all of them. Those that are not
    preferred are chosen only if there are no others.
    """
    candidates = list(candidates)
    pool = [c for c in candidates if c.is_preferred] or candidates
    if not pool:
        return None
    sampled = rng.sample(pool, min(_SAMPLED, len(pool)))
    return min(sampled, key=_cost)


def _cost(candidate: Candidate) -> float:
    cost = candidate.load
    if not candidate.is_local:
        cost += REMOTE_COST
    return cost
