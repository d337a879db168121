"""Decides when an instance tells others what it knows.

Messages may be lost, and members may have been cut off. So what is new is
passed on often for a short time, and what lasts as long as it does.
"""

import dataclasses
import enum

__all__ = ["Occasion", "Sharing", "is_due", "mark_shared"]

FRESH_S = 1.0
FRESH_INTERVAL_S = 0.1
LASTING_INTERVAL_S = 1.0


class Occasion(enum.Enum):
    """The kinds of messages that pass on what an instance knows.

    Attributes:
        BROADCAST: A message to many members, at regular intervals.
        REPLY: A reply to one of many members, which all get one.
        START: A message to a member that may know nothing yet.
    """

    BROADCAST = "broadcast"
    REPLY = "reply"
    START = "start"


@dataclasses.dataclass(frozen=True, slots=True)
class Sharing:
    """When a piece of knowledge changed and was passed on.

    Attributes:
        changed_at: Monotonic time of its latest change.
        is_forwarded: Whether this instance passes on the change.
        broadcast_at: Monotonic time of its latest broadcast.
    """

    changed_at: float = float("-inf")
    is_forwarded: bool = False
    broadcast_at: float = float("-inf")


def is_due(
    sharing: Sharing, now: float, occasion: Occasion, *, lasts: bool
) -> bool:
    """Returns whether a message should hold a piece of knowledge.

    Args:
        sharing: Its state.
        now: Monotonic time.
        occasion: The kind of message.
        lasts: Whether it is in force, so that all instances need it.
    """
    if occasion is Occasion.START:
        return True
    since_s = now - sharing.broadcast_at
    is_fresh = sharing.is_forwarded and now - sharing.changed_at < FRESH_S
    if occasion is Occasion.REPLY:
        return is_fresh or lasts
    if is_fresh:
        return since_s >= FRESH_INTERVAL_S
    return lasts and since_s >= LASTING_INTERVAL_S


def mark_shared(sharing: Sharing, now: float, occasion: Occasion) -> Sharing:
    """Returns the state after a message; only broadcasts reach all members."""
    if occasion is not Occasion.BROADCAST:
        return sharing
    return dataclasses.replace(sharing, broadcast_at=now)
