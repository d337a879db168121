"""Decides whether a request spills over to another data centre.

When a data centre has more requests than its engines have slots, a request
that waits for a slot misses its objective, while the detour to a data centre
with capacity is short. This holds for long prompts as well: beside other long
prefills, a further one would make all miss their objectives.
"""

import dataclasses
import random
from collections.abc import Iterable, Sequence

from copperloom.decisions import plans

__all__ = ["RemoteShard", "choose_remote", "meets_objective", "utilisation"]

# Utilisation of a shard above which requests spill over before they miss their
# objectives.
SPILL_ABOVE = 0.8
# Difference in utilisation that justifies a spill-over: the figures of other
# data centres are slightly out of date.
MIN_GAIN = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteShard:
    """Another data centre's shard of a service.

    Attributes:
        data_centre: Name of the data centre.
        owner: Name of the shard owner there.
        address: IP:port at which the owner receives datagrams.
        busy: Utilisation of the shard, see `utilisation`.
    """

    data_centre: str
    owner: str
    address: str
    busy: float


def utilisation(candidates: Iterable[plans.Candidate]) -> float:
    """Returns the utilisation of targets; 1 if all slots are taken.

    The mean prefill time in seconds is added, since an engine with a long
    prefill can't meet the objectives of other requests.
    """
    taken = slots = count = 0
    prefill_s = 0.0
    for candidate in candidates:
        count += 1
        taken += candidate.load.requests
        slots += candidate.slots
        prefill_s += sum(p.prefill_s for p in candidate.load.prefills)
    if not count:
        return 1.0
    return taken / max(1, slots) + prefill_s / count


def choose_remote(
    chosen: plans.Choice,
    prompt: plans.Prompt | None,
    busy: float,
    others: Sequence[RemoteShard],
    rng: random.Random,
) -> RemoteShard | None:
    """Returns the remote shard that should place the request, if any.

    The better of two random shards is taken: it is nearly the best, and
    concurrent requests don't all go to the same one.

    Args:
        chosen: The outcome in this data centre.
        prompt: The prompt of the request; None for plain services.
        busy: Utilisation of this data centre's shard.
        others: The other shards of the service.
        rng: Source of randomness.
    """
    if busy < SPILL_ABOVE and meets_objective(chosen, prompt):
        return None
    drawn = rng.sample(others, min(2, len(others)))
    best = min(drawn, key=lambda shard: shard.busy, default=None)
    if best is None or best.busy > busy - MIN_GAIN:
        return None
    return best


def meets_objective(chosen: plans.Choice, prompt: plans.Prompt | None) -> bool:
    """Returns whether a choice is a plan that meets the prompt's objective."""
    if not isinstance(chosen, plans.Plan):
        return False
    return prompt is None or chosen.first_token_s <= prompt.first_token_aim_s
