"""Waiting orders of all shards, and which services lack capacity.

An order is kept only if the configuration names several organisations:
otherwise nobody has a share that another one could take.
"""

from collections.abc import Iterable

from copperloom import routing
from copperloom.decisions import iterations, plans, shards, waiting_order

__all__ = [
    "Turns",
    "cost",
    "is_kept",
    "is_returned",
    "is_short",
    "order_of",
    "record_refused",
    "record_short",
    "short_services",
]

# Refused requests whose callers are recognised when they return.
MAX_REFUSED = 1_000
# Lower bound of the cost of a prompt, in seconds of an engine.
_MIN_COST_S = 1e-4


class Turns:
    """The waiting orders of one instance.

    Attributes:
        orders: Waiting orders by shard.
        short_until: Monotonic time until which capacity counts as short, by
            service; by this instance's and its peers' observations.
        refused: Monotonic deadlines of refused requests, by request digest.
        table: The routes that `is_kept` was computed for.
        is_kept: Whether orders are kept.
    """

    def __init__(self):
        self.orders: dict[shards.Shard, waiting_order.WaitingOrder] = {}
        self.short_until: dict[str, float] = {}
        self.refused: dict[bytes, float] = {}
        self.table: routing.RoutingTable | None = None
        self.is_kept = False


def is_kept(turns: Turns, table: routing.RoutingTable) -> bool:
    """Returns whether the configuration calls for waiting orders."""
    if turns.table is not table:
        names = {holder.name for holder in table.organisations.values()}
        turns.is_kept = len(names) > 1
        turns.table = table
    return turns.is_kept


def order_of(turns: Turns, shard: shards.Shard) -> waiting_order.WaitingOrder:
    """Returns the waiting order of a shard."""
    return turns.orders.setdefault(shard, waiting_order.WaitingOrder())


def cost(engine: routing.EngineSpec | None, prompt: plans.Prompt | None):
    """Returns the cost of a request in the unit of its service's shares.

    It is the engine time in seconds for a prompt, and 1 for a plain request.
    Decoding answers share an engine, so each is counted by its slot.
    """
    if engine is None or prompt is None:
        return 1.0
    decode_s = prompt.answer_tokens * engine.step_s / max(1, engine.slots)
    prefill_s = iterations.prefill_s(engine, prompt.tokens)
    return max(_MIN_COST_S, prefill_s + decode_s)


def record_short(turns: Turns, services: Iterable[str], now: float) -> None:
    """Records that requests have to wait for these services."""
    for service in services:
        turns.short_until[service] = now + waiting_order.SHORT_S


def is_short(turns: Turns, service: str, now: float) -> bool:
    """Returns whether capacity of a service was short recently."""
    return turns.short_until.get(service, now) > now


def short_services(turns: Turns, now: float) -> list[str]:
    """Lists the services for which requests wait in orders kept here."""
    return [
        shard.service
        for shard, order in turns.orders.items()
        if order.waiting and waiting_order.is_short(order, now)
    ]


def record_refused(turns: Turns, digest: bytes, deadline: float) -> None:
    """Records a refused request, whose caller may return before a deadline."""
    turns.refused.pop(digest, None)
    turns.refused[digest] = deadline
    if len(turns.refused) > MAX_REFUSED:
        del turns.refused[next(iter(turns.refused))]


def is_returned(turns: Turns, digest: bytes, now: float) -> bool:
    """Returns whether an equal request was refused within its deadline."""
    return turns.refused.get(digest, now) > now
