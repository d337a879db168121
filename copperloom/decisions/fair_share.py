"""Max-min fair shares of a service's capacity, by organisation.

The load: organisations that together ask for more than the targets can do, of
which one asks for many times as much as each of the others. Without shares the
others would be refused in proportion to the load of the large one.

Usage and demand decay exponentially. The fair share is the level at which
demands must be cut so that their sum equals what was served: an organisation
that asks for less keeps all of it, and what it leaves is lent to the others.
"""

import math
from collections.abc import Mapping

__all__ = [
    "Usage",
    "exceeds_equal",
    "record_demand",
    "record_served",
    "share",
    "used",
]

# Time constant of the decay. Shares follow a change of the load in this time.
DECAY_S = 4.0
# Interval at which the decay is applied, which touches all organisations.
_DECAY_STEP_S = 0.1
# The least used ones are dropped beyond this number; they then count as
# organisations without usage.
MAX_ORGANISATIONS = 256
# Usage that exceeds the equal share by less may be chance.
OVER_RATIO = 1.25
# Relative rounding error of sums that are compared.
_TOLERANCE = 1e-6
# Share of the largest demand below which an organisation is dropped.
_NEGLIGIBLE = 1e-4


class Usage:
    """What organisations recently asked for and got of one service.

    Attributes:
        demanded: Decayed cost of all requests, by organisation.
        served: Decayed cost of the granted requests, by organisation.
        decayed_at: Monotonic time up to which the decay is applied.
    """

    def __init__(self):
        self.demanded: dict[str, float] = {}
        self.served: dict[str, float] = {}
        self.decayed_at = -math.inf


def record_demand(
    usage: Usage, organisation: str, cost: float, now: float
) -> None:
    """Counts a request that an organisation sent."""
    _decay(usage, now)
    usage.demanded[organisation] = usage.demanded.get(organisation, 0.0) + cost
    if len(usage.demanded) > MAX_ORGANISATIONS:
        _drop_least(usage, organisation)


def record_served(
    usage: Usage, organisation: str, cost: float, now: float
) -> None:
    """Counts a request that was granted, whose demand is counted already."""
    _decay(usage, now)
    usage.served[organisation] = used(usage, organisation) + cost


def used(usage: Usage, organisation: str) -> float:
    """Returns the decayed cost of what an organisation got."""
    return usage.served.get(organisation, 0.0)


def exceeds_equal(usage: Usage, organisation: str) -> bool:
    """Returns whether an organisation got clearly more than an equal share.

    The shares are equal among the organisations with recent demand.
    """
    equal = sum(usage.served.values()) / max(1, len(usage.demanded))
    return used(usage, organisation) > equal * OVER_RATIO


def share(usage: Usage, waiting: Mapping[str, float], now: float) -> float:
    """Returns the fair share of an organisation that asks for more than that.

    Args:
        usage: Recent demand and usage.
        waiting: Cost of the waiting requests, by organisation.
        now: Monotonic time.

    Returns:
        The share as a decayed cost; inf if all demands were met, or if
        nothing was served yet.
    """
    _decay(usage, now)
    left = sum(usage.served.values())
    if left <= 0:
        return math.inf
    demands = _demands(usage, waiting)
    for met, demand in enumerate(demands):
        equal = left / (len(demands) - met)
        if demand > equal * (1 + _TOLERANCE):
            return equal
        left -= demand
    return math.inf


def _demands(usage: Usage, waiting: Mapping[str, float]) -> list[float]:
    """Returns the demands in ascending order."""
    names = usage.demanded.keys() | usage.served.keys() | waiting.keys()
    return sorted(
        max(
            usage.demanded.get(name, 0.0),
            usage.served.get(name, 0.0) + waiting.get(name, 0.0),
        )
        for name in names
    )


def _decay(usage: Usage, now: float) -> None:
    elapsed_s = now - usage.decayed_at
    if elapsed_s < _DECAY_STEP_S:
        return
    usage.decayed_at = now
    factor = math.exp(-elapsed_s / DECAY_S)
    least = max(usage.demanded.values(), default=0.0) * factor * _NEGLIGIBLE
    usage.demanded = _scaled(usage.demanded, factor, least)
    usage.served = _scaled(usage.served, factor, least)


def _scaled(
    amounts: dict[str, float], factor: float, least: float
) -> dict[str, float]:
    return {n: a * factor for n, a in amounts.items() if a * factor > least}


def _drop_least(usage: Usage, kept: str) -> None:
    names = (n for n in usage.demanded if n != kept)
    least = min(names, key=lambda n: (used(usage, n), usage.demanded[n]))
    del usage.demanded[least]
    usage.served.pop(least, None)
