"""Schedules the sends to targets that name a rate limit or are cold.

One instance, the limit's owner, schedules all sends to a target, evenly spaced.
Shares of the limit for each instance would fail: with hundreds of instances a
share is far less than one request, and the demand differs.

Two instances may consider themselves the owner while members join, die or are
cut off. Each grants at most `rate_per_s(limit)`, so that even two together stay
below one and a half times the limit and five requests in four seconds:
2 * (1 + 4 * (0.75 * limit + 0.25)) = 6 * limit + 4.

Cold targets have a bound and a rate of their own (see `cold_start`). For a cold
target that names a limit, the lower rate counts.
"""

import dataclasses

from copperloom.decisions import cold_start, target_limits

__all__ = [
    "Grant",
    "earliest_send",
    "is_scheduled",
    "rate_per_s",
    "record_wait",
    "schedule",
]

# See the bound for two owners above.
SAFE_SHARE = 0.75
SAFE_RATE_PER_S = 0.25
# Rate at which a target that takes no requests is still asked whether it does.
PROBE_RATE_PER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The reply of a limit's owner.

    Attributes:
        delay_s: Seconds after which the request may be sent; None if that is
            later than asked for.
        next_s: Seconds until the first time that is not yet granted.
    """

    delay_s: float | None
    next_s: float


def rate_per_s(limit_per_s: float) -> float:
    """Returns the rate at which one owner grants sends to a target."""
    safe = SAFE_SHARE * limit_per_s + SAFE_RATE_PER_S
    return min(safe, max(limit_per_s, PROBE_RATE_PER_S))


def is_scheduled(
    known: target_limits.TargetLimits, incarnation: str, now: float
) -> bool:
    """Returns whether sends to a target need a grant."""
    if target_limits.find(known, incarnation) is not None:
        return True
    return cold_start.is_cold(known.cold, incarnation, now)


def schedule(
    known: target_limits.TargetLimits,
    incarnation: str,
    now: float,
    max_wait_s: float,
    *,
    share: float = 1.0,
    first_turn: float = 0.0,
) -> Grant:
    """Schedules a send, as the owner of the limit.

    Sends are evenly spaced. This leaves no room for bursts, which the bound for
    two owners has none for either.

    Args:
        known: The limits.
        incarnation: The target.
        now: Monotonic time.
        max_wait_s: Seconds that the request can wait at most.
        share: Share of a cold target's rate that this instance grants.
        first_turn: Share of an interval after which a new owner grants the
            first send to a cold target. It differs between instances, which
            may all become owners at once when they are cut off.
    """
    rate = _owner_rate_per_s(known, incarnation, now, share)
    if rate is None:
        return Grant(0.0, 0.0)
    if cold_start.is_cold(known.cold, incarnation, now):
        known.schedules.setdefault(incarnation, now + first_turn / rate)
    at = max(now, known.schedules.get(incarnation, now))
    if at - now > max_wait_s:
        return Grant(None, at - now)
    next_at = at + 1.0 / rate
    known.schedules[incarnation] = next_at
    return Grant(at - now, next_at - now)


def _owner_rate_per_s(
    known: target_limits.TargetLimits,
    incarnation: str,
    now: float,
    share: float,
) -> float | None:
    rates = []
    limit_per_s = target_limits.find(known, incarnation)
    if limit_per_s is not None:
        rates.append(rate_per_s(limit_per_s))
    if cold_start.is_cold(known.cold, incarnation, now):
        rate = cold_start.owner_rate_per_s(known.cold, incarnation)
        rates.append(share * rate)
    return min(rates, default=None)


def record_wait(
    known: target_limits.TargetLimits,
    incarnation: str,
    next_s: float,
    now: float,
) -> None:
    """Records the time before which the owner grants no send."""
    if is_scheduled(known, incarnation, now):
        known.waits[incarnation] = now + next_s


def earliest_send(
    known: target_limits.TargetLimits, incarnation: str, now: float
) -> float:
    """Returns when a send may be granted: `now` if that is not known."""
    if not is_scheduled(known, incarnation, now):
        return now
    own = known.schedules.get(incarnation, now)
    return max(now, own, known.waits.get(incarnation, now))
