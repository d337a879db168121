"""Targets that said in their answers that they drain.

What a target says counts at once and by itself. Its row in the platform's table
may follow many seconds later; meanwhile rows that say that it is ready are
written, read and passed on. So notices are kept apart from the rows, by
incarnation of the target, and only a new start of the target ends one.

The operators' own interface has `target_drain` instead, whose targets may be
admitted again.
"""

import dataclasses
import math
from collections.abc import Container

from copperloom.decisions import sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "DrainNotices",
    "Notice",
    "drop_oldest_gone",
    "is_last_resort",
    "is_noted",
    "note",
    "to_share",
]

# Share of the drain time in which a target gets requests that no other target
# can take. The rest is for requests that are sent late.
LAST_RESORT_SHARE = 0.5
# Notices of targets that are not registered; their rows may come back.
MAX_GONE = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """When a target first said that it drains.

    Attributes:
        noted_at: Monotonic time at which this instance learnt it.
        last_resort_from: Monotonic time from which the target gets requests
            that no other one can take; -inf if it gets none.
        sharing: When it was passed on.
    """

    noted_at: float
    last_resort_from: float
    sharing: Sharing


class DrainNotices:
    """What one instance knows of draining targets.

    Attributes:
        last_resort_s: Time after a notice in which the target gets requests
            that no other target can take.
        notices: The notices, by incarnation of the target.
    """

    def __init__(self, drain_s: float = 0.0):
        self.last_resort_s = drain_s * LAST_RESORT_SHARE
        self.notices: dict[str, Notice] = {}


def note(
    known: DrainNotices,
    incarnation: str,
    now: float,
    *,
    forwards: bool,
    is_last_resort: bool = True,
) -> bool:
    """Records that a target drains; returns whether that is new.

    Args:
        known: The notices.
        incarnation: The target.
        now: Monotonic time.
        forwards: Whether this instance passes it on at once.
        is_last_resort: Whether it gets requests for a time that no other one
            can take.
    """
    if incarnation in known.notices:
        return False
    last_resort_from = now if is_last_resort else -math.inf
    known.notices[incarnation] = Notice(
        now, last_resort_from, Sharing(now, forwards)
    )
    return True


def is_noted(known: DrainNotices, incarnation: str) -> bool:
    """Returns whether a target has said that it drains."""
    return incarnation in known.notices


def is_last_resort(known: DrainNotices, incarnation: str, now: float) -> bool:
    """Returns whether a target gets requests that no other one can take."""
    notice = known.notices.get(incarnation)
    if notice is None:
        return False
    return now < notice.last_resort_from + known.last_resort_s


def drop_oldest_gone(
    known: DrainNotices, registered: Container[str]
) -> list[str]:
    """Bounds the notices of targets that are not registered.

    Returns:
        The dropped ones, by incarnation of the target.
    """
    # Notices are in the order of their times.
    gone = [name for name in known.notices if name not in registered]
    dropped = gone[: max(0, len(gone) - MAX_GONE)]
    for name in dropped:
        del known.notices[name]
    return dropped


def to_share(
    known: DrainNotices,
    ready: Container[str],
    now: float,
    maximum: int,
    occasion: Occasion,
) -> list[str]:
    """Selects notices for a message, those that waited longest first.

    Args:
        known: The notices, which are marked as passed on.
        ready: Incarnations whose rows say that they are ready. The rows of the
            others keep requests away without the notice.
        now: Monotonic time.
        maximum: Maximum number of notices.
        occasion: The kind of message.

    Returns:
        The targets, by incarnation.
    """
    due = sorted(
        (name not in ready, notice.sharing.broadcast_at, name)
        for name, notice in known.notices.items()
        if sharing.is_due(notice.sharing, now, occasion, lasts=name in ready)
    )
    selected = [name for _, _, name in due[:maximum]]
    for name in selected:
        notice = known.notices[name]
        known.notices[name] = dataclasses.replace(
            notice, sharing=sharing.mark_shared(notice.sharing, now, occasion)
        )
    return selected
