"""The budget of repeats, which all instances share.

Made for a target or fleet that fails: each failure that is sent once more adds
load just when capacity is gone. All instances together may repeat a ratio of
their requests and a fixed number besides in each window. Nobody counts for
all of them, so each spends only the ratio of its own requests and an equal
part of the fixed number: the sum then stays within the bound without a word
between them, also while they can't hear each other.
"""

import collections
import dataclasses

__all__ = ["Budget", "BudgetPolicy", "left", "record_request", "spend"]

# Instances that are not known of also spend; and windows are not aligned.
SAFE_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """The bound for all instances together.

    Attributes:
        ratio: Repeats for each request.
        window_s: The window.
        slack: Repeats in a window besides.
    """

    ratio: float
    window_s: float
    slack: float


class Budget:
    """What one instance has spent, by service.

    Attributes:
        terms: The bound.
        requests: Monotonic times of requests, by service.
        repeats: Monotonic times of repeats, by service.
    """

    def __init__(self, terms: BudgetPolicy):
        self.terms = terms
        self.requests: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}


def record_request(budget: Budget, service: str, now: float) -> None:
    """Counts a request for a service."""
    _recent(budget, budget.requests, service, now).append(now)


def spend(budget: Budget, service: str, now: float, members: int) -> bool:
    """Takes one repeat from the budget.

    Args:
        budget: The budget.
        service: Service that the repeat would go to.
        now: Monotonic time.
        members: Instances that share the budget, this one included.

    Returns:
        Whether the repeat may be sent.
    """
    if left(budget, service, now, members) < 1:
        return False
    budget.repeats[service].append(now)
    return True


def left(budget: Budget, service: str, now: float, members: int) -> float:
    """Returns how many repeats may still be sent; arguments as of `spend`."""
    requests = _recent(budget, budget.requests, service, now)
    repeats = _recent(budget, budget.repeats, service, now)
    own = budget.terms.ratio * len(requests)
    shared = budget.terms.slack * SAFE_SHARE / max(1, members)
    return own + shared - len(repeats)


def _recent(budget, times, service, now) -> collections.deque[float]:
    kept = times.setdefault(service, collections.deque())
    while kept and now - kept[0] > budget.terms.window_s:
        kept.popleft()
    return kept
