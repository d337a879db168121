"""Rate limits that targets name in their answers.

A target in need names the requests per second that it takes from all instances
together. Instances share what targets name; `limit_schedule` decides when each
request may be sent.
"""

import dataclasses

from copperloom.decisions import cold_start, sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "Limit",
    "Report",
    "TargetLimits",
    "drop_gone",
    "find",
    "merge",
    "record_named",
    "record_not_named",
    "to_share",
]

# Time for which it is remembered that a target no longer names a limit, so that
# older reports do not bring the limit back.
LIFTED_KEPT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What a target named last.

    Attributes:
        per_s: Requests per second; None if it no longer names a limit.
        revision: Number of changes, by which reports are ordered.
        named_at: Monotonic time at which it was last observed or reported.
        sharing: When it changed and was passed on.
    """

    per_s: float | None
    revision: int
    named_at: float
    sharing: Sharing


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A limit as another instance reports it.

    Attributes:
        per_s: Requests per second; None if it is no longer named.
        revision: Number of changes.
    """

    per_s: float | None
    revision: int


class TargetLimits:
    """The limits of all targets, by incarnation of the target.

    Attributes:
        limits: What the targets named last.
        schedules: As the owner of a limit: monotonic time of the next send.
        waits: As another instance: monotonic time before which the owner grants
            no send, from its latest reply.
        cold: The cold targets, which are scheduled in the same way.
    """

    def __init__(self, cold_bound: cold_start.Bound | None = None):
        self.limits: dict[str, Limit] = {}
        self.schedules: dict[str, float] = {}
        self.waits: dict[str, float] = {}
        self.cold = cold_start.ColdTargets(cold_bound)


def find(known: TargetLimits, incarnation: str) -> float | None:
    """Returns a target's limit in requests per second; None without one."""
    limit = known.limits.get(incarnation)
    return limit.per_s if limit is not None else None


def record_named(
    known: TargetLimits, incarnation: str, per_s: float, now: float
) -> bool:
    """Records an answer that names a limit; returns whether it has changed."""
    limit = known.limits.get(incarnation)
    if limit is not None and limit.per_s == per_s:
        known.limits[incarnation] = dataclasses.replace(limit, named_at=now)
        return False
    revision = limit.revision + 1 if limit is not None else 1
    _set(known, incarnation, Report(per_s, revision), now, forwards=True)
    return True


def record_not_named(
    known: TargetLimits, incarnation: str, begun_at: float, now: float
) -> bool:
    """Records an answer without a limit; returns whether this has lifted one.

    Args:
        known: The limits.
        incarnation: The target.
        begun_at: Monotonic time at which the request was sent. An answer to an
            earlier request than the one whose answer named the limit may be
            older than the limit.
        now: Monotonic time.
    """
    limit = known.limits.get(incarnation)
    if limit is None or limit.per_s is None or begun_at <= limit.named_at:
        return False
    report = Report(None, limit.revision + 1)
    _set(known, incarnation, report, now, forwards=True)
    return True


def merge(
    known: TargetLimits,
    incarnation: str,
    report: Report,
    now: float,
    *,
    forwards: bool,
) -> bool:
    """Merges a report; of equal revisions the lower limit counts.

    Args:
        known: The limits.
        incarnation: The target.
        report: What a peer knows.
        now: Monotonic time.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether the limit has changed.
    """
    limit = known.limits.get(incarnation)
    if limit is not None and not _is_newer(report, limit):
        return False
    _set(known, incarnation, report, now, forwards=forwards)
    return limit is None or limit.per_s != report.per_s


def _set(
    known: TargetLimits,
    incarnation: str,
    report: Report,
    now: float,
    *,
    forwards: bool,
) -> None:
    known.limits[incarnation] = Limit(
        report.per_s, report.revision, now, Sharing(now, forwards)
    )
    if report.per_s is None:
        _forget_schedule(known, incarnation)


def _is_newer(report: Report, limit: Limit) -> bool:
    if report.revision != limit.revision:
        return report.revision > limit.revision
    return _or_infinite(report.per_s) < _or_infinite(limit.per_s)


def _or_infinite(per_s: float | None) -> float:
    return float("inf") if per_s is None else per_s


def _forget_schedule(known: TargetLimits, incarnation: str) -> None:
    if incarnation in known.cold.colds:
        return
    known.schedules.pop(incarnation, None)
    known.waits.pop(incarnation, None)


def drop_gone(
    known: TargetLimits, registered: frozenset[str], now: float
) -> list[str]:
    """Drops the limits of targets that are gone; returns their names."""
    dropped = [
        incarnation
        for incarnation, limit in known.limits.items()
        if now - limit.sharing.changed_at > LIFTED_KEPT_S
        and (limit.per_s is None or incarnation not in registered)
    ]
    for incarnation in dropped:
        del known.limits[incarnation]
        _forget_schedule(known, incarnation)
    for incarnation in cold_start.drop_gone(known.cold, registered, now):
        if find(known, incarnation) is None:
            _forget_schedule(known, incarnation)
    return dropped


def to_share(
    known: TargetLimits, now: float, maximum: int, occasion: Occasion
) -> dict[str, Report]:
    """Selects the limits for a message, those that waited longest first.

    Args:
        known: The limits, which are marked as passed on.
        now: Monotonic time.
        maximum: Maximum number of limits.
        occasion: The kind of message.
    """
    due = sorted(
        (limit.sharing.broadcast_at, incarnation)
        for incarnation, limit in known.limits.items()
        if sharing.is_due(
            limit.sharing, now, occasion, lasts=limit.per_s is not None
        )
    )
    reports = {}
    for _, incarnation in due[:maximum]:
        limit = known.limits[incarnation]
        reports[incarnation] = Report(limit.per_s, limit.revision)
        known.limits[incarnation] = dataclasses.replace(
            limit, sharing=sharing.mark_shared(limit.sharing, now, occasion)
        )
    return reports
