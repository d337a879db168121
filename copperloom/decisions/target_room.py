"""What the targets of a service leave to a request now.

A target may have no room because of the rate limit that it names, or because it
asked for no requests for a time. A request waits only as long as it can afford;
if no target has room by then, it is refused at once.
"""

import dataclasses
from collections.abc import Mapping

from copperloom.decisions import backoff, limit_schedule, target_limits

__all__ = ["Room", "find_room", "max_wait_s"]

# Share of its latency objective that a request waits for a target if others
# have no reason to make it wait, and if all have.
WAIT_SHARE = 0.25
ALL_WAIT_SHARE = 1.0
# Share of its remaining time that it waits at most; the rest is for the answer,
# or for its caller to come back.
MAX_WAIT_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What its targets leave to a request.

    Attributes:
        waits_s: Seconds until the request may be sent, by name of the target.
        max_wait_s: Seconds that it can wait.
        held: Names of the targets that are held.
        all_limited: Whether all targets name limits or are cold.
    """

    waits_s: dict[str, float]
    max_wait_s: float
    held: frozenset[str]
    all_limited: bool

    @property
    def exhausted(self) -> tuple[str, ...]:
        """Names of the targets that leave no room in time."""
        return tuple(
            name
            for name, wait_s in self.waits_s.items()
            if wait_s > self.max_wait_s
        )

    @property
    def first_s(self) -> float:
        """Seconds until the first target has room."""
        return min(self.waits_s.values())

    @property
    def none_in_time(self) -> bool:
        """Whether no target has room in time."""
        return len(self.exhausted) == len(self.waits_s)

    @property
    def hold_s(self) -> float:
        """Seconds for which all targets are held or exhausted."""
        blocked = self.held.union(self.exhausted)
        return self.first_s if blocked >= self.waits_s.keys() else 0.0


def max_wait_s(
    *, aim_s: float, waited_s: float, left_s: float, all_constrained: bool
) -> float:
    """Returns how long a request can wait for a target, in seconds.

    Args:
        aim_s: Its latency objective, in seconds.
        waited_s: Time that it has waited already.
        left_s: Time until its deadline.
        all_constrained: Whether all targets that it may be sent to are limited
            or held.
    """
    share = ALL_WAIT_SHARE if all_constrained else WAIT_SHARE
    return max(0.0, min(share * aim_s - waited_s, MAX_WAIT_SHARE * left_s))


def find_room(
    limits: target_limits.TargetLimits,
    holds: backoff.Backoff,
    incarnations: Mapping[str, str],
    now: float,
    *,
    aim_s: float,
    waited_s: float,
    left_s: float,
) -> Room:
    """Returns what its targets leave to a request.

    Args:
        limits: The rate limits and cold targets.
        holds: The holds that targets have asked for.
        incarnations: The targets that it may be sent to, by name.
        now: Monotonic time.
        aim_s: Its latency objective, in seconds.
        waited_s: Time that it has waited already.
        left_s: Time until its deadline.
    """
    limited = {
        name
        for name, incarnation in incarnations.items()
        if limit_schedule.is_scheduled(limits, incarnation, now)
    }
    held = {
        name
        for name, incarnation in incarnations.items()
        if backoff.is_held(holds, incarnation, now)
    }
    return Room(
        waits_s={
            name: max(
                limit_schedule.earliest_send(limits, incarnation, now) - now,
                backoff.wait_s(holds, incarnation, now),
            )
            for name, incarnation in incarnations.items()
        },
        max_wait_s=max_wait_s(
            aim_s=aim_s,
            waited_s=waited_s,
            left_s=left_s,
            all_constrained=limited | held == incarnations.keys(),
        ),
        held=frozenset(held),
        all_limited=limited == incarnations.keys(),
    )
