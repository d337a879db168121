"""Token rate limits of organisations, divided between instances by demand.

A limit holds for all instances together, without a message per request: each
instance fills a token bucket at its share of the rate, and the share follows
the demand that the instances report to each other.
"""

import dataclasses

from copperloom import configuration

__all__ = ["Limits", "charge", "demand", "excess_wait_s", "shares"]

# Capacity of a bucket, in seconds of its rate: enough for a short burst of
# requests. A page of requests passes, a minute's worth does not.
BURST_S = 2.0
# Demand is averaged over several digests, so that shares change smoothly.
DEMAND_HALF_LIFE_S = 5.0
# An instance with little demand keeps this share for its next requests.
MIN_SHARE = 0.02
IDLE_S = 60.0
MAX_BUCKETS = 2_000


@dataclasses.dataclass(slots=True)
class _Bucket:
    left: float
    filled_at: float
    demand: float = 0.0
    demand_at: float = 0.0


class Limits:
    """Buckets of the organisations that sent requests recently.

    Attributes:
        buckets: The buckets, by organisation.
        max_buckets: Number of buckets at which idle ones are dropped.
        shares: This instance's share of each limit, by organisation; 1 for
            those not named.
    """

    def __init__(self):
        self.buckets: dict[str, _Bucket] = {}
        self.max_buckets = MAX_BUCKETS
        self.shares: dict[str, float] = {}


def excess_wait_s(
    limits: Limits, org: configuration.Organisation, cost: int, now: float
) -> float:
    """Returns how long the organisation must wait; 0 if it may send.

    A bucket may be overdrawn by one request, since a long prompt may exceed
    the bucket's capacity and would otherwise be refused forever. The debt
    delays the next request.
    """
    if org.limit_tokens_per_s <= 0.0:
        return 0.0
    rate = org.limit_tokens_per_s * limits.shares.get(org.name, 1.0)
    bucket = _bucket(limits, org.name, rate, now)
    _record_demand(bucket, cost, now)
    if bucket.left > 0.0:
        return 0.0
    return max(0.05, -bucket.left / rate)


def charge(limits: Limits, organisation: str, cost: int) -> None:
    """Takes an admitted request's tokens from its organisation's bucket."""
    bucket = limits.buckets.get(organisation)
    if bucket is not None:
        bucket.left -= cost


def demand(limits: Limits, now: float) -> dict[str, float]:
    """Returns the demand at this instance by organisation, in tokens/s."""
    found = {}
    for name, bucket in limits.buckets.items():
        value = bucket.demand * _decay(now - bucket.demand_at)
        if value > 0.0 and now - bucket.demand_at < IDLE_S:
            found[name] = value
    return found


def shares(
    own: dict[str, float], peers: list[dict[str, float]], instances: int
) -> dict[str, float]:
    """Returns this instance's share of each organisation's limit.

    Args:
        own: Demand at this instance by organisation, in tokens/s.
        peers: The same for each peer that reported it.
        instances: Number of all instances; those that did not report are
            assumed to have the average demand of the others.
    """
    found = {}
    unreported = max(0, instances - 1 - len(peers))
    for name, value in own.items():
        reported = value + sum(p.get(name, 0.0) for p in peers)
        total = reported * (1.0 + unreported / (1.0 + len(peers)))
        if total > 0.0:
            found[name] = max(MIN_SHARE, value / total)
    return found


def _bucket(limits: Limits, name: str, rate: float, now: float) -> _Bucket:
    bucket = limits.buckets.get(name)
    if bucket is None:
        if len(limits.buckets) >= limits.max_buckets:
            _drop_idle(limits, now)
        bucket = _Bucket(rate * BURST_S, now, 0.0, now)
        limits.buckets[name] = bucket
    filled = bucket.left + (now - bucket.filled_at) * rate
    bucket.left = min(rate * BURST_S, filled)
    bucket.filled_at = now
    return bucket


def _record_demand(bucket: _Bucket, cost: int, now: float) -> None:
    # An exponentially decaying sum divided by its mean lifetime is a rate.
    mean_lifetime_s = DEMAND_HALF_LIFE_S / 0.693
    decayed = bucket.demand * _decay(now - bucket.demand_at)
    bucket.demand = decayed + cost / mean_lifetime_s
    bucket.demand_at = now


def _decay(age_s: float) -> float:
    return 0.5 ** (age_s / DEMAND_HALF_LIFE_S)


def _drop_idle(limits: Limits, now: float) -> None:
    limits.buckets = {
        name: bucket
        for name, bucket in limits.buckets.items()
        if now - bucket.demand_at < IDLE_S
    }
    limits.max_buckets = max(MAX_BUCKETS, 2 * len(limits.buckets))
