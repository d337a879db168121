"""Retry budget: a share of recent successes may be spent on retries.

Made for a target that dies, or a fleet that is full: without a bound each
failure adds a request to those that fail, and the load grows just when
capacity shrinks. One retry per ten successes adds at most a tenth; the floor
lets a quiet entry retry at all.
"""

import dataclasses

__all__ = ["Budget", "earn", "spend"]

EARN_PER_SUCCESS = 0.1
MOST = 20.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Retries that may be spent now.

    Attributes:
        left: Retries left.
    """

    left: float = MOST


def earn(budget: Budget) -> None:
    """Counts a success."""
    budget.left = min(MOST, budget.left + EARN_PER_SUCCESS)


def spend(budget: Budget) -> bool:
    """Takes one retry from the budget; False if none is left."""
    if budget.left < 1.0:
        return False
    budget.left -= 1.0
    return True
