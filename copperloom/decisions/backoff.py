"""Targets that reject requests and say when to retry.

A target that answers 503 with Retry-After must get no requests from the
instance that it answered until that time has passed. Others get answers of
their own, so nothing of this is shared. A hold belongs to one start of the
target.

It is no failure: a penalty would outlast a short hold, and fade before the end
of a long one.
"""

__all__ = ["Backoff", "hold", "is_held", "wait_s"]


class Backoff:
    """The holds that targets have asked this instance for.

    Attributes:
        until: Monotonic time until which a target must get no requests, by
            incarnation of the target.
    """

    def __init__(self):
        self.until: dict[str, float] = {}


def hold(
    known: Backoff, incarnation: str, retry_after_s: float, now: float
) -> None:
    """Records what a target asked for; of several holds the latest end counts.

    Args:
        known: The holds, from which ended ones are dropped.
        incarnation: The target.
        retry_after_s: Seconds for which it must get no requests.
        now: Monotonic time of its answer.
    """
    for name in [n for n, until in known.until.items() if until <= now]:
        del known.until[name]
    until = max(now + retry_after_s, known.until.get(incarnation, now))
    if until > now:
        known.until[incarnation] = until


def wait_s(known: Backoff, incarnation: str, now: float) -> float:
    """Returns the seconds until a target may get requests; 0 if it may now."""
    return max(0.0, known.until.get(incarnation, now) - now)


def is_held(known: Backoff, incarnation: str, now: float) -> bool:
    """Returns whether a target must get no requests now."""
    return wait_s(known, incarnation, now) > 0
