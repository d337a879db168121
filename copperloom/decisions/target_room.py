"""What the targets of a service leave to a request now.

A target may have no room because of the rate limit that it names.
"""

import dataclasses
from collections.abc import Mapping

from copperloom.decisions import limit_schedule, target_limits

__all__ = ["Room", "find_room", "max_wait_s"]

# Share of its latency objective that a request waits for a limited target if
# others are not limited, and if all are.
WAIT_SHARE = 0.25
LIMITED_WAIT_SHARE = 1.0
# Share of its remaining time that it waits at most; the rest is for the answer,
# or for its caller to come back.
MAX_WAIT_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What the limits of its targets leave to a request.

    Attributes:
        waits_s: Seconds until the request may be sent, by name of the target.
        max_wait_s: Seconds that it can wait.
        all_limited: Whether all these targets are limited.
    """

    waits_s: dict[str, float]
    max_wait_s: float
    all_limited: bool

    @property
    def exhausted(self) -> tuple[str, ...]:
        """Names of the targets that leave no room in time."""
        return tuple(
            name
            for name, wait_s in self.waits_s.items()
            if wait_s > self.max_wait_s
        )


def max_wait_s(
    *, aim_s: float, waited_s: float, left_s: float, all_limited: bool
) -> float:
    """Returns how long a request can wait for a limited target, in seconds.

    Args:
        aim_s: Its latency objective, in seconds.
        waited_s: Time that it has waited already.
        left_s: Time until its deadline.
        all_limited: Whether all targets that it may be sent to are limited.
    """
    share = LIMITED_WAIT_SHARE if all_limited else WAIT_SHARE
    return max(0.0, min(share * aim_s - waited_s, MAX_WAIT_SHARE * left_s))


def find_room(
    known: target_limits.TargetLimits,
    incarnations: Mapping[str, str],
    now: float,
    *,
    aim_s: float,
    waited_s: float,
    left_s: float,
) -> Room:
    """Returns what the limits leave to a request.

    Args:
        known: The limits.
        incarnations: The targets that it may be sent to, by name.
        now: Monotonic time.
        aim_s: Its latency objective, in seconds.
        waited_s: Time that it has waited already.
        left_s: Time until its deadline.
    """
    all_limited = all(
        target_limits.find(known, incarnation) is not None
        for incarnation in incarnations.values()
    )
    return Room(
        waits_s={
            name: limit_schedule.earliest_send(known, incarnation, now) - now
            for name, incarnation in incarnations.items()
        },
        max_wait_s=max_wait_s(
            aim_s=aim_s,
            waited_s=waited_s,
            left_s=left_s,
            all_limited=all_limited,
        ),
        all_limited=all_limited,
    )
