"""Targets that reject requests and say when to retry.

A target that answers 503 with Retry-After must get no requests from the
instance that it answered until that time has passed. Others get answers of
their own, so such a hold binds only that instance; for the others it is a hint
to prefer other targets. A hold belongs to one start of the target.

It is no failure: a penalty would outlast a short hold, and fade before the end
of a long one.
"""

from copperloom.decisions import sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "Backoff",
    "hint",
    "hold",
    "is_held",
    "hinted_wait_s",
    "is_hinted",
    "to_share",
    "wait_s",
]

# A hint counts at most this long after its latest message: the target may
# accept requests of others earlier than those of its sender.
MAX_HINT_S = 3.0
MAX_HINTS = 300
_MS = 1000.0


class Backoff:
    """The holds that targets have asked this instance for.

    Attributes:
        until: Monotonic time until which a target must get no requests, by
            incarnation of the target.
        hinted: Monotonic time until which a target rejects requests of another
            instance, by incarnation of the target.
        shared: When each hold was passed on, by incarnation of the target.
    """

    def __init__(self):
        self.until: dict[str, float] = {}
        self.hinted: dict[str, float] = {}
        self.shared: dict[str, Sharing] = {}


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
        del known.shared[name]
    until = max(now + retry_after_s, known.until.get(incarnation, now))
    if until > now:
        known.until[incarnation] = until
        known.shared.setdefault(incarnation, Sharing(now, True))


def wait_s(known: Backoff, incarnation: str, now: float) -> float:
    """Returns the seconds until a target may get requests; 0 if it may now."""
    return max(0.0, known.until.get(incarnation, now) - now)


def is_held(known: Backoff, incarnation: str, now: float) -> bool:
    """Returns whether a target must get no requests now."""
    return wait_s(known, incarnation, now) > 0


def hint(known: Backoff, incarnation: str, left_s: float, now: float) -> bool:
    """Records that a target rejects requests of another instance.

    Args:
        known: The holds, from which ended hints are dropped.
        incarnation: The target.
        left_s: Seconds for which it rejects them.
        now: Monotonic time of the message.

    Returns:
        Whether that is new.
    """
    for name in [n for n, until in known.hinted.items() if until <= now]:
        del known.hinted[name]
    is_new = incarnation not in known.hinted
    if left_s <= 0 or (is_new and len(known.hinted) >= MAX_HINTS):
        return False
    until = now + min(left_s, MAX_HINT_S)
    known.hinted[incarnation] = max(until, known.hinted.get(incarnation, now))
    return is_new


def is_hinted(known: Backoff, incarnation: str, now: float) -> bool:
    """Returns whether a target rejects requests of this or other instances."""
    return hinted_wait_s(known, incarnation, now) > 0


def hinted_wait_s(known: Backoff, incarnation: str, now: float) -> float:
    """Returns the seconds until a target is expected to accept requests."""
    hinted_s = known.hinted.get(incarnation, now) - now
    return max(hinted_s, wait_s(known, incarnation, now))


def to_share(
    known: Backoff, now: float, maximum: int, occasion: Occasion
) -> dict[str, int]:
    """Selects own holds for a message, which are marked as passed on.

    Hints are not passed on: only the instance that a target rejected knows for
    how long.

    Args:
        known: The holds.
        now: Monotonic time.
        maximum: Maximum number of holds.
        occasion: The kind of message.

    Returns:
        Milliseconds left, by incarnation of the target.
    """
    due = [
        name
        for name, until in known.until.items()
        if until > now
        and sharing.is_due(known.shared[name], now, occasion, lasts=True)
    ][:maximum]
    for name in due:
        known.shared[name] = sharing.mark_shared(
            known.shared[name], now, occasion
        )
    return {name: int((known.until[name] - now) * _MS) for name in due}
