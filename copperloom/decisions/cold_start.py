"""Targets that are cold after a start, and how much one instance sends to them.

A cold target bears few requests per second from all instances together, and
more of them crash it. The load is a target, or all targets of a data centre at
once, that return cold while hundreds of requests per second arrive.

Cold targets are scheduled like targets that name a rate limit (see
`limit_schedule`). Two instances may consider themselves the owner of a target,
and requests that were granted evenly may arrive bunched. So each owner grants
at most the rate r with 2 * (1 + COMPRESSED_WINDOW_S * r) <= bound.
"""

import dataclasses
import math
from collections.abc import Container

from copperloom.decisions import sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "Bound",
    "Cold",
    "ColdTargets",
    "Report",
    "Start",
    "drop_gone",
    "end",
    "extend",
    "granted_share",
    "is_cold",
    "merge",
    "owner_rate_per_s",
    "record_contact",
    "record_failure",
    "record_first_read",
    "report_of",
    "to_share",
    "unreached",
]

# Instances that may consider themselves the owner of a target at once.
CONCURRENT_OWNERS = 2
# Sends of this time may arrive within one second: a grant is used within
# GRANT_LIFE_S, and a connection takes up to 0.35 s.
COMPRESSED_WINDOW_S = 1.5
GRANT_LIFE_S = 0.15
# A target is still tried where the bound leaves no room for two owners.
MIN_RATE_PER_S = 0.2
# Instances that hear only a minority grant their part of this share. They
# cannot coordinate, so their sends coincide at random.
MINORITY_SHARE = 0.5
# The same end, as learnt from different messages, differs by their delays.
TOLERANCE_S = 0.25
# Longer times are malformed: they would take a target out for good.
MAX_COLD_S = 3600.0
# Time for which ended records are kept, so that older reports change nothing.
ENDED_KEPT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """The platform's rule for cold targets.

    Attributes:
        over: Factor on the rate that a cold target bears.
        slack: Requests per second in addition.
    """

    over: float = 1.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """What the operators say about cold targets of a service.

    Attributes:
        per_s: Requests per second that a cold target bears; 0 if its targets
            are never cold.
        duration_s: Time for which a target is cold after a start, in seconds.
    """

    per_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cold:
    """What is known of one start of a target.

    Attributes:
        until: Monotonic time until which it is cold; inf if it has not been
            reached since it failed and may have started again.
        start: Figures of its service.
        revision: Number of changes, by which reports are ordered; 0 for a
            registration that was there before this instance.
        sharing: When it changed and was passed on.
    """

    until: float
    start: Start
    revision: int
    sharing: Sharing


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A cold target as another instance reports it.

    Attributes:
        left_s: Seconds for which it is still cold; inf until it is reached.
        start: Figures of its service.
        revision: Number of changes.
    """

    left_s: float
    start: Start
    revision: int


class ColdTargets:
    """The cold targets.

    Attributes:
        bound: The platform's rule.
        colds: Cold targets and those that were cold, by incarnation.
    """

    def __init__(self, bound: Bound | None = None):
        self.bound = bound or Bound()
        self.colds: dict[str, Cold] = {}


def is_cold(known: ColdTargets, incarnation: str, now: float) -> bool:
    """Returns whether a target is cold."""
    cold = known.colds.get(incarnation)
    return cold is not None and now < cold.until


def unreached(known: ColdTargets) -> list[str]:
    """Lists the targets that have not been reached since they failed."""
    return [name for name, c in known.colds.items() if math.isinf(c.until)]


def owner_rate_per_s(known: ColdTargets, incarnation: str) -> float:
    """Returns the rate at which one owner grants sends to a cold target."""
    per_s = known.colds[incarnation].start.per_s
    allowed = per_s * known.bound.over + known.bound.slack
    safe = (allowed / CONCURRENT_OWNERS - 1.0) / COMPRESSED_WINDOW_S
    return max(MIN_RATE_PER_S, min(safe, per_s))


def granted_share(heard: int, members: int) -> float:
    """Returns the share of the rate that an instance grants.

    Args:
        heard: Instances that it hears, itself included.
        members: Instances that it knows, itself included.
    """
    if 2 * heard > members:
        return 1.0
    return MINORITY_SHARE * heard / members


def extend(
    known: ColdTargets,
    incarnation: str,
    start: Start,
    left_s: float,
    now: float,
) -> bool:
    """Records that a target is cold; of several ends the latest counts.

    Args:
        known: The cold targets.
        incarnation: The target.
        start: Figures of its service.
        left_s: Seconds for which it is still cold.
        now: Monotonic time.

    Returns:
        Whether that has changed what is known.
    """
    if start.per_s <= 0.0 or left_s <= 0.0:
        return False
    until = now + min(left_s, MAX_COLD_S)
    cold = known.colds.get(incarnation)
    if cold is not None and until <= cold.until + TOLERANCE_S:
        return False
    _set(known, incarnation, until, start, now)
    return True


def record_first_read(
    known: ColdTargets,
    incarnation: str,
    start: Start,
    left_s: float,
    now: float,
) -> None:
    """Records a registration that was there before this instance.

    It may be long out of date, so what peers know replaces it.
    """
    if start.per_s <= 0.0 or left_s <= 0.0 or incarnation in known.colds:
        return
    until = now + min(left_s, MAX_COLD_S)
    known.colds[incarnation] = Cold(until, start, 0, Sharing(now, False))


def record_failure(
    known: ColdTargets, incarnation: str, start: Start, now: float
) -> bool:
    """Records a failed connection, after which a target may start again.

    Returns:
        Whether that has changed what is known.
    """
    cold = known.colds.get(incarnation)
    if start.per_s <= 0.0 or start.duration_s <= 0.0:
        return False
    if cold is not None and math.isinf(cold.until):
        return False
    _set(known, incarnation, math.inf, start, now)
    return True


def record_contact(
    known: ColdTargets,
    incarnation: str,
    left_s: float | None,
    begun_at: float,
    now: float,
) -> bool:
    """Records the first answer of a target that had failed.

    Args:
        known: The cold targets.
        incarnation: The target.
        left_s: Seconds for which it says that it is cold; None if it does not.
        begun_at: Monotonic time at which the request was sent. An answer to an
            earlier request than the failure may precede the new start.
        now: Monotonic time.

    Returns:
        Whether that has changed what is known.
    """
    cold = known.colds.get(incarnation)
    if cold is None or not math.isinf(cold.until):
        return False
    if begun_at <= cold.sharing.changed_at:
        return False
    if left_s is None:
        left_s = cold.start.duration_s
    until = now + min(left_s, MAX_COLD_S)
    _set(known, incarnation, until, cold.start, now)
    return True


def end(
    known: ColdTargets, incarnation: str, begun_at: float, now: float
) -> bool:
    """Records that a target is no longer cold, by its own word.

    Args:
        known: The cold targets.
        incarnation: The target.
        begun_at: Monotonic time at which it was asked.
        now: Monotonic time.

    Returns:
        Whether that has changed what is known.
    """
    cold = known.colds.get(incarnation)
    if cold is None or now >= cold.until:
        return False
    if begun_at <= cold.sharing.changed_at:
        return False
    _set(known, incarnation, now, cold.start, now)
    return True


def _set(
    known: ColdTargets,
    incarnation: str,
    until: float,
    start: Start,
    now: float,
) -> None:
    before = known.colds.get(incarnation)
    revision = before.revision + 1 if before is not None else 1
    known.colds[incarnation] = Cold(until, start, revision, Sharing(now, True))


def merge(
    known: ColdTargets,
    incarnation: str,
    report: Report,
    now: float,
    *,
    forwards: bool,
) -> bool:
    """Merges a report; of equal revisions the later end counts.

    Args:
        known: The cold targets.
        incarnation: The target.
        report: What a peer knows.
        now: Monotonic time.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether that has changed what is known.
    """
    until = now + report.left_s
    cold = known.colds.get(incarnation)
    if cold is not None:
        is_newer = report.revision > cold.revision
        is_later = until > cold.until + TOLERANCE_S
        if not is_newer and (report.revision < cold.revision or not is_later):
            return False
    known.colds[incarnation] = Cold(
        until, report.start, report.revision, Sharing(now, forwards)
    )
    return True


def drop_gone(
    known: ColdTargets, registered: Container[str], now: float
) -> list[str]:
    """Drops records that are of no more use; returns their incarnations."""
    dropped = [
        name
        for name, cold in known.colds.items()
        if now - cold.sharing.changed_at > ENDED_KEPT_S
        and (now > cold.until + ENDED_KEPT_S or name not in registered)
    ]
    for name in dropped:
        del known.colds[name]
    return dropped


def to_share(
    known: ColdTargets, now: float, maximum: int, occasion: Occasion
) -> dict[str, Report]:
    """Selects records for a message, those that waited longest first.

    Args:
        known: The cold targets, which are marked as passed on.
        now: Monotonic time.
        maximum: Maximum number of records.
        occasion: The kind of message.
    """
    due = sorted(
        (cold.sharing.broadcast_at, name)
        for name, cold in known.colds.items()
        if cold.revision
        and sharing.is_due(cold.sharing, now, occasion, lasts=now < cold.until)
    )
    reports = {}
    for _, name in due[:maximum]:
        cold = known.colds[name]
        reports[name] = report_of(cold, now)
        known.colds[name] = dataclasses.replace(
            cold, sharing=sharing.mark_shared(cold.sharing, now, occasion)
        )
    return reports


def report_of(cold: Cold, now: float) -> Report:
    """Returns what is reported of a target."""
    return Report(max(0.0, cold.until - now), cold.start, cold.revision)
