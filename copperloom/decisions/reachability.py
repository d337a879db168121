"""Whether this instance reaches targets, by what its own attempts show.

A target that fails alone has a fault of its own. If attempts at many targets
fail and none is answered, either the targets have ended or the network between
them and this instance is partitioned.
"""

import dataclasses
import math

from copperloom import routing

__all__ = ["Failure", "Reachability", "record_answer", "record_failure"]


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """The latest failure of a connection to a target.

    Attributes:
        at: Monotonic time of the failure.
        is_silent: Whether the target was silent until a timeout, instead of
            refusing or resetting the connection.
        target: The target.
    """

    at: float
    is_silent: bool
    target: routing.TargetEntry


class Reachability:
    """What the attempts of one instance show.

    Attributes:
        answered_at: Monotonic time of the latest answer of any target.
        failures: Failures after which no later attempt was answered, by name
            of the target.
    """

    def __init__(self):
        self.answered_at = -math.inf
        self.failures: dict[str, Failure] = {}


def record_answer(known: Reachability, begun_at: float, now: float) -> None:
    """Records that a target has answered.

    An answer on a connection that was opened before a failure does not show
    that new connections succeed.

    Args:
        known: What is known.
        begun_at: Monotonic time at which the attempt began.
        now: Monotonic time.
    """
    known.answered_at = now
    known.failures = {
        name: failure
        for name, failure in known.failures.items()
        if failure.at > begun_at
    }


def record_failure(
    known: Reachability,
    target: routing.TargetEntry,
    now: float,
    *,
    is_silent: bool,
) -> None:
    """Records that a connection to a target failed."""
    known.failures[target.name] = Failure(now, is_silent, target)
