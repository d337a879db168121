"""Emulates callers of several organisations that wait for places."""

import dataclasses
import heapq
import itertools
import random

from copperloom.decisions import waiting_order

__all__ = ["Caller", "Outcome", "play"]


@dataclasses.dataclass(frozen=True)
class Caller:
    """The requests of one organisation.

    Attributes:
        organisation: Its name.
        per_s: Requests per second.
        priority: Their priority.
        begins_s: Time of the first request.
        ends_s: Time after which there are none.
        deadline_s: Time limit of a request.
        service_s: Time for which a request holds its place.
    """

    organisation: str
    per_s: float
    priority: int = 0
    begins_s: float = 0.0
    ends_s: float = 20.0
    deadline_s: float = 3.0
    service_s: float = 0.2


@dataclasses.dataclass
class Outcome:
    """What the requests of a caller got.

    Attributes:
        sent: Number of requests.
        served: Those that were granted in time to be served.
        refused_at_once: Those refused by the first decision.
        refused_later: Those refused or late after they had waited.
        over_share: Refusals for the share.
        waits_s: Waits of those served.
    """

    sent: int = 0
    served: int = 0
    refused_at_once: int = 0
    refused_later: int = 0
    over_share: int = 0
    waits_s: list[float] = dataclasses.field(default_factory=list)


def play(
    callers: list[Caller],
    places: int,
    *,
    new_owner_at: float | None = None,
    seed: int = 1,
) -> dict[Caller, Outcome]:
    """Plays the requests of all callers against a number of places.

    Args:
        callers: The callers.
        places: Requests that are served at once.
        new_owner_at: Time at which another owner without state takes over.
        seed: Seed of the arrivals.

    Returns:
        What each caller got.
    """
    rng = random.Random(seed)
    order = waiting_order.WaitingOrder()
    outcomes = {c: Outcome() for c in callers}
    numbers = itertools.count()
    events = [e for c in callers for e in _arrivals(c, rng, numbers)]
    heapq.heapify(events)
    free = places
    while events:
        now, number, caller, arrived = heapq.heappop(events)
        if caller is None:
            free += 1
            continue
        if new_owner_at is not None and now >= new_owner_at:
            order, new_owner_at = waiting_order.WaitingOrder(), None
        outcome = outcomes[caller]
        outcome.sent += now == arrived
        deadline = arrived + caller.deadline_s
        if now + caller.service_s > deadline:
            outcome.refused_later += 1
            continue
        request = waiting_order.Request(
            f"q{number}",
            caller.organisation,
            1.0,
            caller.priority,
            False,
            deadline,
        )
        room = waiting_order.Room(free, places, free > 0)
        turn = waiting_order.decide(order, request, room, now)
        if turn.is_granted:
            free -= 1
            outcome.served += 1
            outcome.waits_s.append(now - arrived)
            end = now + caller.service_s
            heapq.heappush(events, (end, next(numbers), None, 0.0))
        elif turn.is_refused:
            outcome.refused_at_once += now == arrived
            outcome.refused_later += now > arrived
            outcome.over_share += turn.is_over_share
        else:
            again = now + turn.recheck_s
            heapq.heappush(events, (again, number, caller, arrived))
    return outcomes


def _arrivals(caller: Caller, rng: random.Random, numbers) -> list[tuple]:
    now = caller.begins_s
    events = []
    while now < caller.ends_s:
        events.append((now, next(numbers), caller, now))
        now += rng.expovariate(caller.per_s)
    return events
