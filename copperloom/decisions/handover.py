"""Decides when an instance takes over the watch of the tables.

Answers the loss of all watchers at one moment: a change that is confirmed just
after it has to be known within seconds, long before the watchers count as gone
for other purposes. All instances rank the members alike, so the order in which
they take over needs no message.

Silence is counted only while this instance itself was running: after a freeze
it finds every member silent. In a large fleet an instance hears from few of the
members ranked before it. Each of those that it knows nothing of gets time to
take over first, and then says so; otherwise all would take over at once.
"""

import dataclasses
import math
from collections.abc import Sequence

from copperloom.decisions.members import MEMBER_TIMEOUT_S, Member

__all__ = [
    "Attention",
    "Policy",
    "awake_since",
    "silent",
    "takes_over",
    "tick",
]

# Time for which a member ranked before is given precedence if nothing is known
# of it: longer than a call and the message that follows it.
STEP_S = 0.1
MAX_PRECEDENCE_S = 3.0
# A member that was heard within this time and is silent now has been lost; of
# one that was not, nothing is known.
_RECENT_S = 2.0 * MEMBER_TIMEOUT_S
# A loop that is late by more than this was frozen or starved.
_MAX_LATENESS_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How many watchers there are.

    Attributes:
        watchers: Number of watchers, each of which counts until it has been
            silent for MEMBER_TIMEOUT_S.
        minimum: Number of watchers that were heard within `silence_s`; with
            fewer, others take over.
        silence_s: Longest regular time between two messages of a watcher, with
            one of them lost, in seconds.
    """

    watchers: int
    minimum: int
    silence_s: float


class Attention:
    """Since when this instance's loop has been running without a break.

    Attributes:
        ticked_at: Monotonic time of the latest tick.
        awake_since: Monotonic time of the end of the latest break.
    """

    def __init__(self):
        self.ticked_at = math.inf
        self.awake_since = -math.inf


def tick(attention: Attention, now: float, interval_s: float) -> None:
    """Records that the loop runs.

    Args:
        attention: The record.
        now: Monotonic time.
        interval_s: Longest regular time between two ticks, in seconds.
    """
    attention.awake_since = awake_since(attention, now, interval_s)
    attention.ticked_at = now


def awake_since(attention: Attention, now: float, interval_s: float) -> float:
    """Returns the time since which the loop runs; now if its tick is late."""
    if now - attention.ticked_at > interval_s + _MAX_LATENESS_S:
        return now
    return attention.awake_since


def takes_over(
    before: Sequence[Member], now: float, awake: float, policy: Policy
) -> bool:
    """Returns whether an instance watches the tables.

    Args:
        before: The members ranked before it.
        now: Monotonic time.
        awake: Monotonic time since which it has been running.
        policy: How many watchers there are.
    """
    if len(before) < policy.watchers:
        return True
    unknown = sum(
        not m.draining and now - m.last_received_at >= _RECENT_S for m in before
    )
    precedence_s = min(MAX_PRECEDENCE_S, unknown * STEP_S)

    def heard(limit_s: float) -> int:
        limit_s += precedence_s
        return len(before) - len(silent(before, now, awake, limit_s))

    return (
        heard(policy.silence_s) < policy.minimum
        or heard(MEMBER_TIMEOUT_S) < policy.watchers
    )


def silent(
    among: Sequence[Member], now: float, awake: float, limit_s: float
) -> list[Member]:
    """Lists the members that drain, or have been silent for too long.

    Args:
        among: The members.
        now: Monotonic time.
        awake: Monotonic time since which this instance has been running;
            earlier silence doesn't count.
        limit_s: Longest silence of a member that counts as live, in seconds.
    """
    since = now - limit_s
    return [
        m
        for m in among
        if m.draining or max(m.last_received_at, awake) <= since
    ]
