"""The retry budget that all instances share.

Retries add load just when capacity is lost. In each window, all instances
together may retry a ratio of their requests plus a fixed number. Each instance
spends the ratio of its own requests and an equal share of the fixed number, so
the total stays within the bound without coordination, also during a network
partition.
"""

import collections
import dataclasses
import math

__all__ = [
    "Budget",
    "BudgetPolicy",
    "left",
    "next_s",
    "record_request",
    "spend",
]

# Leaves a margin for instances that are not known yet, and for windows that
# are not aligned.
SAFE_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """The bound for all instances together.

    Attributes:
        ratio: Retries per request.
        window_s: Length of the window, in seconds.
        slack: Fixed number of retries per window, in addition to the ratio.
    """

    ratio: float
    window_s: float
    slack: float


class Budget:
    """Requests and retries of one instance, by service.

    Attributes:
        policy: The bound.
        requests: Monotonic times of requests, by service.
        retries: Monotonic times of retries, by service.
    """

    def __init__(self, policy: BudgetPolicy):
        self.policy = policy
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}


def record_request(budget: Budget, service: str, now: float) -> None:
    """Counts a request for a service."""
    _recent(budget, budget.requests, service, now).append(now)


def spend(budget: Budget, service: str, now: float, members: int) -> bool:
    """Takes one retry from the budget.

    Args:
        budget: The budget.
        service: Service that the retry would go to.
        now: Monotonic time.
        members: Instances that share the budget, this one included.

    Returns:
        Whether the retry may be sent.
    """
    if left(budget, service, now, members) < 1:
        return False
    budget.retries[service].append(now)
    return True


def left(budget: Budget, service: str, now: float, members: int) -> float:
    """Returns how many retries are left; the arguments are as in `spend`."""
    requests = _recent(budget, budget.requests, service, now)
    retries = _recent(budget, budget.retries, service, now)
    own = budget.policy.ratio * len(requests)
    shared = budget.policy.slack * SAFE_SHARE / max(1, members)
    return own + shared - len(retries)


def next_s(budget: Budget, service: str, now: float, members: int) -> float:
    """Predicts when a retry is left; the arguments are as in `spend`.

    Returns:
        Seconds from now, provided that as many requests come as before.
    """
    missing = math.ceil(1.0 - left(budget, service, now, members))
    retries = budget.retries[service]
    if missing <= 0:
        return 0.0
    if missing > len(retries):
        return math.inf
    return retries[missing - 1] + budget.policy.window_s - now


def _recent(budget, times, service, now) -> collections.deque[float]:
    recent = times.setdefault(service, collections.deque())
    while recent and now - recent[0] > budget.policy.window_s:
        recent.popleft()
    return recent
