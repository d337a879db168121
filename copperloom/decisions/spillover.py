"""When a request goes to the targets of another data centre.

Made for seconds in which one data centre has more callers than its engines
have slots, while others have room. Requests that wait for a slot come late; the
way to another data centre is a millisecond. Long prompts go too: where engines
read for seconds already, a further one makes all late.
"""

import dataclasses
import random
from collections.abc import Iterable, Sequence

from copperloom.decisions import plans

__all__ = ["RemoteShard", "utilisation", "choose_remote"]

# Above this share of what a shard can take, requests look elsewhere before
# they come late.
SPILL_ABOVE = 0.8
# What is known of another data centre is a second old; it must be less busy by
# so much.
MIN_GAIN = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteShard:
    """Another data centre's shard of a service.

    Attributes:
        data_centre: Its name.
        owner: The owner to ask there.
        address: IP:port of the owner for datagrams.
        busy: How busy it is, as `utilisation` says.
    """

    data_centre: str
    owner: str
    address: str
    busy: float


def utilisation(candidates: Iterable[plans.Candidate]) -> float:
    """Returns how busy targets are: 1 when all slots are taken.

    Reading counts as well, since engines that read for a second serve nobody
    else in time.
    """
    taken = slots = count = 0
    reading_s = 0.0
    for candidate in candidates:
        count += 1
        taken += candidate.load.requests
        slots += candidate.slots
        reading_s += sum(r.prefill_s for r in candidate.load.prefills)
    if not count:
        return 1.0
    return taken / max(1, slots) + reading_s / count


def choose_remote(
    chosen: plans.Choice,
    prompt: plans.Prompt | None,
    busy: float,
    others: Sequence[RemoteShard],
    rng: random.Random,
) -> RemoteShard | None:
    """Returns the other place to ask, if the request should not stay.

    Args:
        chosen: What would become of it here.
        prompt: Its prompt, if it has one.
        busy: How busy the shard is.
        others: The other shards of the service.
        rng: Source of the draw: the better of two is nearly the best, and does
            not draw all that leave at the same moment.
    """
    if busy < SPILL_ABOVE and _is_in_time(chosen, prompt):
        return None
    drawn = rng.sample(others, min(2, len(others)))
    best = min(drawn, key=lambda place: place.busy, default=None)
    if best is None or best.busy > busy - MIN_GAIN:
        return None
    return best


def _is_in_time(chosen: plans.Choice, prompt: plans.Prompt | None) -> bool:
    if not isinstance(chosen, plans.Plan):
        return False
    return prompt is None or chosen.first_token_s <= prompt.first_token_aim_s
