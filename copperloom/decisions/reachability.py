"""Whether this instance reaches targets, by what its own attempts show.

A target that fails alone has a fault of its own. If attempts at many targets
fail and none is answered, either the targets have ended or the network between
them and this instance is partitioned; peers know which. A few checks of other
targets decide it soon after the first failures, and after that find out when
targets answer again.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from copperloom import routing

__all__ = [
    "Failure",
    "Reachability",
    "begin_loss",
    "choose_checked",
    "end_loss",
    "is_regained",
    "is_silent",
    "reaches_none",
    "record_answer",
    "record_check",
    "record_failure",
    "record_progress",
    "unconfirmed",
]

# Failures of so many targets, of several services and data centres if there
# are any, are no fault of one target, service or data centre.
MIN_TARGETS = 3
MIN_SERVICES = 2
MIN_DATA_CENTRES = 2
# Targets that are checked at the same time after a failure.
CHECKED = 3
# Older failures tell nothing about the network now.
FRESH_S = 5.0
# Targets have to answer for this time before requests are sent to them again;
# for longer if the previous loss ended only a short time before.
REGAIN_S = 0.4
FLAPPING_REGAIN_S = 1.2
FLAPPING_S = 5.0
MIN_ANSWERS = 2


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
        answered_at: Monotonic time of the latest answer, or part of one, of any
            target.
        failures: Failures after which no later attempt was answered, by name
            of the target.
        is_checking: Whether targets are being checked after a failure.
        checked_at: Monotonic time at which the latest round of checks ended.
        lost_at: Monotonic time since which no target is reached; inf if any
            is.
        ended_at: Monotonic time at which the previous loss ended.
        answers_since: During a loss, monotonic time since which all checks
            were answered; inf if the latest one was not.
        answers: Number of checks answered since then.
    """

    def __init__(self):
        self.answered_at = -math.inf
        self.failures: dict[str, Failure] = {}
        self.is_checking = False
        self.checked_at = -math.inf
        self.lost_at = math.inf
        self.ended_at = -math.inf
        self.answers_since = math.inf
        self.answers = 0

    @property
    def is_lost(self) -> bool:
        """Whether no target is reached."""
        return self.lost_at < math.inf


def record_answer(known: Reachability, begun_at: float, now: float) -> None:
    """Records that a target has answered.

    An answer on a connection that was opened before a failure does not show
    that new connections succeed.

    Args:
        known: What is known.
        begun_at: Monotonic time at which the attempt began.
        now: Monotonic time.
    """
    record_progress(known, now)
    if known.failures:
        known.failures = {
            name: failure
            for name, failure in known.failures.items()
            if failure.at > begun_at
        }


def record_progress(known: Reachability, now: float) -> None:
    """Records a part of an answer on a connection that may be an old one."""
    known.answered_at = now


def record_failure(
    known: Reachability,
    target: routing.TargetEntry,
    now: float,
    *,
    is_silent: bool,
) -> None:
    """Records that a connection to a target failed."""
    known.failures[target.name] = Failure(now, is_silent, target)


def unconfirmed(known: Reachability) -> frozenset[str]:
    """Returns the targets whose failures may be the fault of the network.

    Other instances must not learn of them as faults of the targets before an
    answer shows that this instance reaches others.
    """
    return frozenset(known.failures)


def choose_checked(
    known: Reachability,
    targets: Iterable[routing.TargetEntry],
    rng: random.Random,
    limit: int = CHECKED,
) -> list[routing.TargetEntry]:
    """Chooses targets to check, of as many services and places as possible.

    Args:
        known: What is known; targets that have not failed come first.
        targets: The registered targets.
        rng: Random number generator.
        limit: Maximum number of targets.
    """
    left = list(targets)
    rng.shuffle(left)
    failed = [f.target for f in known.failures.values()]
    services = {t.service for t in failed}
    places = {t.data_centre for t in failed}
    chosen = []
    while left and len(chosen) < limit:
        best = min(
            left,
            key=lambda t: (
                t.name in known.failures,
                t.service in services,
                t.data_centre in places,
            ),
        )
        left.remove(best)
        chosen.append(best)
        services.add(best.service)
        places.add(best.data_centre)
    return chosen


def reaches_none(
    known: Reachability, targets: Iterable[routing.TargetEntry], now: float
) -> bool:
    """Returns whether the failures show that no target is reached.

    Args:
        known: What is known, after a round of checks.
        targets: The registered targets.
        now: Monotonic time.
    """
    targets = list(targets)
    since = _counts_since(known, now)
    failed = [
        t
        for t in targets
        if t.name in known.failures and known.failures[t.name].at >= since
    ]
    if len(targets) < 2:
        return False
    return (
        _covers(failed, targets, "name", MIN_TARGETS)
        and _covers(failed, targets, "service", MIN_SERVICES)
        and _covers(failed, targets, "data_centre", MIN_DATA_CENTRES)
    )


def _covers(
    failed: list[routing.TargetEntry],
    targets: list[routing.TargetEntry],
    attribute: str,
    least: int,
) -> bool:
    """Returns whether failures differ in an attribute as far as targets do."""
    values = {getattr(t, attribute) for t in failed}
    known_values = {getattr(t, attribute) for t in targets}
    return len(values) >= min(least, len(known_values))


def _counts_since(known: Reachability, now: float) -> float:
    """Returns the monotonic time from which failures count.

    A network that loses packets does so on all connections. Targets that have
    too much work let new requests wait as well, but answer others.
    """
    fresh_since = now - FRESH_S
    if is_silent(known):
        return max(fresh_since, known.answered_at)
    return fresh_since


def is_silent(known: Reachability) -> bool:
    """Returns whether connections fail by silence.

    Open connections then hang as well; those to targets that refuse or reset
    new ones may live on.
    """
    failures = known.failures.values()
    return sum(f.is_silent for f in failures) * 2 > len(failures)


def begin_loss(known: Reachability, now: float) -> None:
    """Records that no target is reached from now on."""
    known.lost_at = now
    known.answers_since = math.inf
    known.answers = 0


def record_check(known: Reachability, now: float, *, answered: bool) -> None:
    """Records the result of a check during a loss."""
    if not answered:
        known.answers_since = math.inf
        known.answers = 0
        return
    known.answers_since = min(known.answers_since, now)
    known.answers += 1


def is_regained(known: Reachability, now: float) -> bool:
    """Returns whether targets have answered for long enough."""
    is_flapping = known.lost_at - known.ended_at < FLAPPING_S
    least_s = FLAPPING_REGAIN_S if is_flapping else REGAIN_S
    is_long = now - known.answers_since >= least_s
    return known.answers >= MIN_ANSWERS and is_long


def end_loss(known: Reachability, now: float) -> None:
    """Records that targets are reached again."""
    known.lost_at = math.inf
    known.ended_at = now
    known.failures = {}
