"""A retry budget that is earned by successful requests.

Without a bound, each failure adds a request to those that fail, and the load
grows just when capacity shrinks. The initial budget lets an instance with few
requests retry at all.
"""

import dataclasses

__all__ = ["Budget", "earn", "spend"]

EARN_PER_SUCCESS = 0.1
MAX_RETRIES = 20.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Retries that may be spent now.

    Attributes:
        left: Retries left.
    """

    left: float = MAX_RETRIES


def earn(budget: Budget) -> None:
    """Adds the retries earned by a successful request."""
    budget.left = min(MAX_RETRIES, budget.left + EARN_PER_SUCCESS)


def spend(budget: Budget) -> bool:
    """Takes one retry from the budget; returns False if none is left."""
    if budget.left < 1.0:
        return False
    budget.left -= 1.0
    return True
