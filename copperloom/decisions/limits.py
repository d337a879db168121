"""Organisations' token limits, shared between entries by demand.

The limit holds over all entries together, and no message is sent per request:
each entry fills its bucket at a share of the rate, and the share follows the
demand that the entries tell each other.
"""

import dataclasses

from copperloom import configuration

__all__ = ["Limits", "charge", "demand", "seconds_over", "shares"]

# Depth of a bucket in seconds of its rate: a burst of a page of requests
# passes, a minute's worth does not.
BURST_S = 2.0
# Demand is averaged over some digests, so that shares don't jump.
DEMAND_HALF_LIFE_S = 5.0
# An entry without demand of its own keeps a little, for the first request.
LEAST_SHARE = 0.02
IDLE_S = 60.0
KEEP_MOST = 2_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    left: float
    filled_at: float
    demand: float = 0.0
    demand_at: float = 0.0


class Limits:
    """Buckets of the organisations that asked lately.

    Attributes:
        buckets: By organisation.
        most: Number of buckets at which idle ones are dropped.
        shares: This entry's share of each limit; 1 where nothing is told.
    """

    def __init__(self):
        self.buckets: dict[str, _Bucket] = {}
        self.most = KEEP_MOST
        self.shares: dict[str, float] = {}


def seconds_over(
    limits: Limits, org: configuration.Organisation, cost: int, now: float
) -> float:
    """Returns how long the organisation must wait; 0 if it may go on.

    Made for one organisation that sends far more than it is allowed. A bucket
    may be overdrawn by one request, since a long prompt may be larger than
    any bucket and would else never pass; the debt delays the next.
    """
    if org.limit_tokens_per_s <= 0.0:
        return 0.0
    rate = org.limit_tokens_per_s * limits.shares.get(org.name, 1.0)
    bucket = _bucket(limits, org.name, rate, now)
    _count_demand(bucket, cost, now)
    if bucket.left > 0.0:
        return 0.0
    return max(0.05, -bucket.left / rate)


def charge(limits: Limits, organisation: str, cost: int) -> None:
    """Takes an admitted request's tokens from its bucket, if it has one."""
    bucket = limits.buckets.get(organisation)
    if bucket is not None:
        bucket.left -= cost


def demand(limits: Limits, now: float) -> dict[str, float]:
    """Returns the tokens a second that limited organisations ask for here."""
    found = {}
    for name, bucket in limits.buckets.items():
        value = bucket.demand * _faded(now - bucket.demand_at)
        if value > 0.0 and now - bucket.demand_at < IDLE_S:
            found[name] = value
    return found


def shares(
    own: dict[str, float], peers: list[dict[str, float]], entries: int
) -> dict[str, float]:
    """Returns this entry's share of each organisation's limit.

    Args:
        own: Tokens a second by organisation, of this entry.
        peers: The same of the peers heard from.
        entries: Entries in all; those not heard from are taken to ask for as
            much as the average of the others.
    """
    found = {}
    unheard = max(0, entries - 1 - len(peers))
    for name, value in own.items():
        heard = value + sum(p.get(name, 0.0) for p in peers)
        total = heard * (1.0 + unheard / (1.0 + len(peers)))
        if total > 0.0:
            found[name] = max(LEAST_SHARE, value / total)
    return found


def _bucket(limits: Limits, name: str, rate: float, now: float) -> _Bucket:
    bucket = limits.buckets.get(name)
    if bucket is None:
        if len(limits.buckets) >= limits.most:
            _drop_idle(limits, now)
        bucket = _Bucket(rate * BURST_S, now, 0.0, now)
        limits.buckets[name] = bucket
    filled = bucket.left + (now - bucket.filled_at) * rate
    bucket.left = min(rate * BURST_S, filled)
    bucket.filled_at = now
    return bucket


def _count_demand(bucket: _Bucket, cost: int, now: float) -> None:
    # The decayed sum of costs over its mean life is a rate.
    life_s = DEMAND_HALF_LIFE_S / 0.693
    kept = bucket.demand * _faded(now - bucket.demand_at)
    bucket.demand = kept + cost / life_s
    bucket.demand_at = now


def _faded(age_s: float) -> float:
    return 0.5 ** (age_s / DEMAND_HALF_LIFE_S)


def _drop_idle(limits: Limits, now: float) -> None:
    limits.buckets = {
        name: bucket
        for name, bucket in limits.buckets.items()
        if now - bucket.demand_at < IDLE_S
    }
    limits.most = max(KEEP_MOST, 2 * len(limits.buckets))
