"""Order of the requests that wait for a service, and who is refused.

The load: more requests than the targets have places for, for seconds. Without
an order the organisation that asks most often takes each place that gets free,
and requests wait until their deadline in vain.

Requests of organisations within their fair share come first, then those with
the higher priority, then callers that return after a refusal or failure, then
the earlier deadline. Each request asks again while it waits. It is granted once
fewer requests are ahead of it than there are free places, and refused as soon
as its turn can't come before its deadline.
"""

import bisect
import dataclasses
import math
import random

from copperloom.decisions import fair_share

__all__ = [
    "MAX_WAITING",
    "Request",
    "Room",
    "Turn",
    "WaitingOrder",
    "decide",
    "is_short",
    "position",
    "retry_after_s",
    "withdraw",
]

# Bounds the memory for one shard. Beyond it the last request of the
# organisation with the most waiting ones is dropped.
MAX_WAITING = 2_000
# A waiting request is dropped this long after the time at which it should have
# asked again.
SILENCE_S = 0.25
# Share of the predicted wait after which a request asks again, and its bounds.
RECHECK_SHARE = 0.25
MIN_RECHECK_S = 0.02
MAX_RECHECK_S = 0.3
# The same while no wait can be predicted.
UNKNOWN_RECHECK_S = 0.05
# Capacity counts as short this long after a request had to wait.
SHORT_S = 1.0
# Time constant of the rate of grants.
RATE_DECAY_S = 2.0
# Without this much shortage observed, the rate of grants is not known and
# nobody is refused.
MIN_OBSERVED_S = 0.3
# An observed rate is forgotten this long after the last shortage.
RATE_KEPT_S = 30.0
# Longest wait that is predicted.
MAX_WAIT_S = 60.0
# Bounds of the time that is kept for a granted request, as shares of its time
# limit; without a known rate of grants the third one is kept.
MIN_SERVICE_SHARE = 0.05
MAX_SERVICE_SHARE = 0.25
UNKNOWN_SERVICE_SHARE = 0.1
# Share of the possible wait that a request outside its share gets, since
# requests within theirs pass it, and that of one whose organisation is clearly
# over its share.
OUTSIDE_WAIT_SHARE = 0.7
OVER_WAIT_SHARE = 0.4
# Callers honour a Retry-After up to this share of their remaining time.
RETRY_SHARE = 1 / 3
_RETRY_JITTER = 0.25
_MIN_RETRY_S = 0.05
_SWEEP_S = 0.05
# Shares are computed at this interval, as they touch all organisations.
_SHARES_S = 0.005

# Sorts the requests of one organisation: priority, whether it is new,
# deadline, id.
_Key = tuple[int, bool, float, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that asks for a place.

    Attributes:
        id: Its id.
        organisation: Its organisation, "" if it has none.
        cost: Estimated cost, greater than 0.
        priority: Its priority; 0 is the highest.
        is_returned: Whether its caller was refused before.
        deadline: Monotonic time of its deadline.
    """

    id: str
    organisation: str
    cost: float
    priority: int
    is_returned: bool
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """The places at the targets that a request may use.

    Attributes:
        free: Free places.
        places: All places.
        can_start: Whether the request can be placed now.
    """

    free: int
    places: int
    can_start: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """The decision on a request.

    Attributes:
        is_granted: Whether the request may be sent.
        is_refused: Whether it is refused; it waits if neither is so.
        is_over_share: Whether its organisation is over its share while
            capacity is short.
        ahead: Number of requests ahead of it.
        wait_s: Predicted wait in seconds; 0 if not known.
        recheck_s: Time after which it should ask again, in seconds.
        used: Decayed usage of its organisation.
        share: Fair share; inf if there is no shortage.
    """

    is_granted: bool
    is_refused: bool = False
    is_over_share: bool = False
    ahead: int = 0
    wait_s: float = 0.0
    recheck_s: float = 0.0
    used: float = 0.0
    share: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    organisation: str
    key: _Key
    cost: float
    expires_at: float
    limit_s: float


class WaitingOrder:
    """The waiting requests of one shard, and the usage of it.

    Attributes:
        usage: Recent usage by organisation.
        priorities: Recent number of requests, by priority.
        waiting: The waiting requests by id.
        keys: Their sort keys in order, by organisation.
        costs: Sum of their costs, by organisation.
        short_at: Monotonic time at which a request last had to wait.
        observed_at: Monotonic time of the last decision.
        observed_s: Decayed time of shortage, in seconds.
        granted: Decayed number of grants in that time.
        share: Fair share, as last computed.
        within: Number of waiting requests that begin within the fair share, by
            organisation, as last computed.
        shared_at: Monotonic time at which these were computed.
        swept_at: Monotonic time at which silent requests were last dropped.
    """

    def __init__(self):
        self.usage = fair_share.Usage()
        self.priorities = fair_share.Usage()
        self.waiting: dict[str, _Waiting] = {}
        self.keys: dict[str, list[_Key]] = {}
        self.costs: dict[str, float] = {}
        self.short_at = -math.inf
        self.observed_at = -math.inf
        self.observed_s = 0.0
        self.granted = 0.0
        self.share = math.inf
        self.within: dict[str, int] = {}
        self.shared_at = -math.inf
        self.swept_at = -math.inf


def decide(
    order: WaitingOrder, request: Request, room: Room, now: float
) -> Turn:
    """Decides whether a request is granted, waits or is refused.

    The complexity is O(organisations * log(waiting requests)).

    Args:
        order: The waiting requests; the request joins or leaves them.
        request: The request.
        room: The places that it may use.
        now: Monotonic time.
    """
    _sweep(order, now)
    is_known = request.id in order.waiting
    if not is_known:
        fair_share.record_demand(
            order.usage, request.organisation, request.cost, now
        )
        priority = str(request.priority)
        fair_share.record_demand(order.priorities, priority, 1.0, now)
    has_others = len(order.waiting) > is_known
    _observe(order, now, is_waiting=bool(order.waiting) or not room.can_start)
    if room.can_start and not has_others and not is_short(order, now):
        return _grant(order, request, Turn(is_granted=True), now)
    if not is_known and not _insert(order, request, now):
        return _refused_when_full(order, request, room, now)
    turn = _turn(order, request, room, now, is_new=not is_known)
    if turn.is_granted:
        return _grant(order, request, turn, now)
    if turn.is_refused:
        withdraw(order, request.id)
    else:
        _keep(order, request, now + turn.recheck_s + SILENCE_S)
    return turn


def is_short(order: WaitingOrder, now: float) -> bool:
    """Returns whether a request had to wait recently."""
    return now - order.short_at < SHORT_S


def withdraw(order: WaitingOrder, request_id: str) -> None:
    """Removes a request that no longer waits."""
    entry = order.waiting.pop(request_id, None)
    if entry is None:
        return
    keys = order.keys[entry.organisation]
    del keys[bisect.bisect_left(keys, entry.key)]
    order.costs[entry.organisation] -= entry.cost
    if not keys:
        del order.keys[entry.organisation]
        del order.costs[entry.organisation]


def retry_after_s(wait_s: float, left_s: float, rng: random.Random) -> float:
    """Returns when a refused caller should retry, in seconds.

    Args:
        wait_s: Predicted time until its turn.
        left_s: Time left until its deadline.
        rng: Source of jitter, so that callers don't retry together.
    """
    most_s = max(_MIN_RETRY_S, left_s * RETRY_SHARE)
    if wait_s * (1 + _RETRY_JITTER) <= most_s:
        jittered_s = wait_s * rng.uniform(1.0, 1 + _RETRY_JITTER)
    else:
        jittered_s = most_s * rng.uniform(1 - _RETRY_JITTER, 1.0)
    return max(_MIN_RETRY_S, jittered_s)


def _turn(
    order: WaitingOrder,
    request: Request,
    room: Room,
    now: float,
    *,
    is_new: bool,
) -> Turn:
    _compute_shares(order, now)
    ahead, is_after = position(order, request.id)
    is_over = is_after and _exceeds_equal(order, request)
    used = fair_share.used(order.usage, request.organisation)
    left_s = max(0.0, request.deadline - now)
    rate = _grants_per_s(order)
    passing = _passing_per_s(order, request.priority) if is_after else 0.0
    wait_s = _wait_s(rate, room, ahead, left_s, passing)
    limit_s = order.waiting[request.id].limit_s
    latest_s = left_s - _service_s(rate, room, limit_s)
    is_granted = room.can_start and ahead < room.free and latest_s >= 0
    is_late = latest_s < 0
    if is_new and is_after:
        latest_s *= OVER_WAIT_SHARE if is_over else OUTSIDE_WAIT_SHARE
    is_late |= rate is not None and wait_s > latest_s
    return Turn(
        is_granted=is_granted,
        is_refused=is_late and not is_granted,
        is_over_share=is_over,
        ahead=ahead,
        wait_s=wait_s,
        recheck_s=_recheck_s(wait_s),
        used=used,
        share=order.share,
    )


def _exceeds_equal(order: WaitingOrder, request: Request) -> bool:
    return fair_share.exceeds_equal(order.usage, request.organisation)


def position(order: WaitingOrder, request_id: str) -> tuple[int, bool]:
    """Returns how many requests are ahead of a waiting one.

    Returns:
        Their number, and whether the request is over the fair share.
    """
    entry = order.waiting[request_id]
    ahead = bisect.bisect_left(order.keys[entry.organisation], entry.key)
    is_over = ahead >= _within_share(order, entry.organisation)
    for organisation, keys in order.keys.items():
        if organisation == entry.organisation:
            continue
        before = bisect.bisect_left(keys, entry.key)
        within = order.within.get(organisation, before)
        if is_over:
            ahead += within if within > before else before
        else:
            ahead += within if within < before else before
    return ahead, is_over


def _compute_shares(order: WaitingOrder, now: float) -> None:
    if now - order.shared_at < _SHARES_S:
        return
    order.shared_at = now
    order.share = fair_share.share(order.usage, order.costs, now)
    order.within = {name: _within_share(order, name) for name in order.keys}


def _within_share(order: WaitingOrder, organisation: str) -> int:
    """Returns how many waiting requests begin within the fair share."""
    count = len(order.keys[organisation])
    unused = order.share - fair_share.used(order.usage, organisation)
    if unused <= 0:
        return 0
    mean_cost = order.costs[organisation] / count
    if unused >= mean_cost * count:
        return count
    return min(count, math.ceil(unused / mean_cost))


def _wait_s(
    rate: float | None,
    room: Room,
    ahead: int,
    left_s: float,
    passing: float = 0.0,
) -> float:
    """Predicts the time until enough places have become free.

    Args:
        rate: Grants per second; None if not known.
        room: The places.
        ahead: Number of requests ahead.
        left_s: Time until the deadline, in seconds.
        passing: Requests per second that arrive and pass this one.
    """
    missing = max(0, ahead - room.free) + 1
    if rate is None:
        return 0.0
    # Requests hold their places until their deadlines at the longest.
    slowest = room.places / left_s if left_s > 0 else 0.0
    fastest = max(rate, slowest) - passing
    return min(MAX_WAIT_S, missing / fastest) if fastest > 0 else MAX_WAIT_S


def _passing_per_s(order: WaitingOrder, priority: int) -> float:
    """Returns the rate of requests with higher priorities."""
    higher = (
        count
        for other, count in order.priorities.demanded.items()
        if int(other) < priority
    )
    return sum(higher) / fair_share.DECAY_S


def _service_s(rate: float | None, room: Room, limit_s: float) -> float:
    """Returns the time that a granted request should have left at least.

    Args:
        rate: Grants per second; None if not known.
        room: The places.
        limit_s: Time limit of the request when it began to wait.
    """
    if not rate:
        return limit_s * UNKNOWN_SERVICE_SHARE
    # Little's law: mean time that a request holds its place.
    mean_s = max(0, room.places - room.free) / rate
    least_s = limit_s * MIN_SERVICE_SHARE
    most_s = limit_s * MAX_SERVICE_SHARE
    return min(most_s, max(least_s, mean_s))


def _recheck_s(wait_s: float) -> float:
    if not wait_s:
        return UNKNOWN_RECHECK_S
    return min(MAX_RECHECK_S, max(MIN_RECHECK_S, wait_s * RECHECK_SHARE))


def _observe(order: WaitingOrder, now: float, *, is_waiting: bool) -> None:
    """Advances the time of shortage up to now."""
    if now - order.short_at > RATE_KEPT_S:
        order.observed_s = order.granted = 0.0
    elapsed_s = now - order.observed_at
    if is_waiting:
        # Between two decisions further apart than this nobody waited.
        if now - order.short_at < MAX_RECHECK_S + SILENCE_S:
            factor = math.exp(-elapsed_s / RATE_DECAY_S)
            order.observed_s = order.observed_s * factor + elapsed_s
            order.granted *= factor
        order.short_at = now
    order.observed_at = now


def _grants_per_s(order: WaitingOrder) -> float | None:
    """Returns the rate of grants under shortage; None if it is not known."""
    if order.observed_s < MIN_OBSERVED_S:
        return None
    return order.granted / order.observed_s


def _grant(
    order: WaitingOrder, request: Request, turn: Turn, now: float
) -> Turn:
    withdraw(order, request.id)
    fair_share.record_served(
        order.usage, request.organisation, request.cost, now
    )
    if order.short_at == now:
        order.granted += 1
    return turn


def _insert(order: WaitingOrder, request: Request, now: float) -> bool:
    """Adds a request; returns False if there is no room for it."""
    key = (
        request.priority,
        not request.is_returned,
        request.deadline,
        request.id,
    )
    if len(order.waiting) >= MAX_WAITING:
        longest = max(order.keys, key=lambda name: len(order.keys[name]))
        last = order.keys[longest][-1]
        if longest == request.organisation and key > last:
            return False
        withdraw(order, last[-1])
    order.waiting[request.id] = _Waiting(
        request.organisation,
        key,
        request.cost,
        now + SILENCE_S,
        request.deadline - now,
    )
    bisect.insort(order.keys.setdefault(request.organisation, []), key)
    cost = order.costs.get(request.organisation, 0.0)
    order.costs[request.organisation] = cost + request.cost
    return True


def _refused_when_full(
    order: WaitingOrder, request: Request, room: Room, now: float
) -> Turn:
    ahead = len(order.waiting)
    left_s = max(0.0, request.deadline - now)
    share = fair_share.share(order.usage, order.costs, now)
    used = fair_share.used(order.usage, request.organisation)
    return Turn(
        is_granted=False,
        is_refused=True,
        is_over_share=used >= share and _exceeds_equal(order, request),
        ahead=ahead,
        wait_s=_wait_s(_grants_per_s(order), room, ahead, left_s),
        used=used,
        share=share,
    )


def _keep(order: WaitingOrder, request: Request, expires_at: float) -> None:
    entry = order.waiting[request.id]
    order.waiting[request.id] = dataclasses.replace(
        entry, expires_at=expires_at
    )


def _sweep(order: WaitingOrder, now: float) -> None:
    """Drops requests that have stopped asking."""
    if now - order.swept_at < _SWEEP_S:
        return
    order.swept_at = now
    silent = [i for i, e in order.waiting.items() if e.expires_at < now]
    for request_id in silent:
        withdraw(order, request_id)
