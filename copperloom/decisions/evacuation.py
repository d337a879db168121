"""The data centres that operators evacuate.

Answers the load of requests, retries, resumed streams, parts of prompts,
reservations and checks that would go on to targets of a data centre after the
operators' row says that it gets nothing new, also at instances that can't read
that row. Each row has the version of the transaction that wrote or removed it.
The higher version wins, so reports may come late, often, and in any order.

The table may return from an older copy. An evacuation that it lacks then stays
in force for a time in which operators write its row again.
"""

import dataclasses
import math
from collections.abc import Container, Iterable

from copperloom import versions
from copperloom.decisions import sharing
from copperloom.decisions.sharing import Occasion, Sharing

__all__ = [
    "Change",
    "Evacuations",
    "Report",
    "active",
    "end_lapsed",
    "is_name",
    "missed_ends",
    "record",
    "record_whole",
    "to_share",
]

# Time for which the end of an evacuation is passed on.
TOMBSTONE_S = 60.0
# Data centres without targets that are remembered, and the length of their
# names: keeps all reports within a part of a datagram.
MAX_KNOWN = 100
MAX_NAME_LENGTH = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a row, or its removal, says about a data centre.

    Attributes:
        data_centre: Name of the data centre.
        version: Version of the row or of its removal.
        active: Whether the data centre is evacuated.
    """

    data_centre: str
    version: versions.Version
    active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A report that was new.

    Attributes:
        report: The report.
        was_active: Whether the data centre was evacuated before.
    """

    report: Report
    was_active: bool

    @property
    def has_begun(self) -> bool:
        """Whether the evacuation begins with this report."""
        return self.report.active and not self.was_active

    @property
    def has_ended(self) -> bool:
        """Whether the evacuation ends with this report."""
        return self.was_active and not self.report.active


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    report: Report
    sharing: Sharing


class Evacuations:
    """What one instance knows of evacuations.

    Attributes:
        known: The latest report and when it was passed on, by data centre.
            Ends of evacuations stay known, so that an older copy of the table
            can't bring an evacuation back.
        read_version: Version of the table when it was last read as a whole.
        lapsing: Ends of evacuations that an older copy lacks, and the monotonic
            time at which they count, by data centre.
    """

    def __init__(self):
        self.known: dict[str, _Known] = {}
        self.read_version = versions.NONE
        self.lapsing: dict[str, tuple[Report, float]] = {}


def is_name(text: str) -> bool:
    """Returns whether a text may be the name of a data centre."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


def active(evacuations: Evacuations) -> frozenset[str]:
    """Returns the data centres that are evacuated."""
    return frozenset(
        name for name, known in evacuations.known.items() if known.report.active
    )


def record(
    evacuations: Evacuations,
    reports: Iterable[Report],
    now: float,
    *,
    forwards: bool,
    with_targets: Container[str] = (),
) -> list[Change]:
    """Records reports that are newer than what is known.

    Args:
        evacuations: What is known.
        reports: The reports.
        now: Monotonic time.
        forwards: Whether this instance passes on at once what is new to it.
        with_targets: Data centres that have targets. They are recorded even if
            MAX_KNOWN others are.

    Returns:
        What has changed.
    """
    changes = []
    for report in reports:
        known = evacuations.known.get(report.data_centre)
        if not is_name(report.data_centre):
            continue
        if known is not None and known.report.version >= report.version:
            continue
        if known is None and not _has_room(evacuations, report, with_targets):
            continue
        was_active = known is not None and known.report.active
        evacuations.known[report.data_centre] = _Known(
            report, Sharing(now, forwards)
        )
        changes.append(Change(report, was_active))
    return changes


def missed_ends(
    evacuations: Evacuations, told: Iterable[Report]
) -> list[Report]:
    """Returns the ends of evacuations that peers still take for active.

    The row of an evacuation that is older than the last read of the whole
    table, and that is not known from it, had been removed.

    Args:
        evacuations: What is known.
        told: What peers report.
    """
    read = evacuations.read_version
    if len(evacuations.known) >= MAX_KNOWN:
        return []
    return [
        Report(report.data_centre, read, False)
        for report in told
        if report.active
        and report.data_centre not in evacuations.known
        and report.version.era == read.era
        and report.version <= read
    ]


def _has_room(
    evacuations: Evacuations, report: Report, with_targets: Container[str]
) -> bool:
    """Returns whether one more is kept; drops the oldest end for it."""
    known = evacuations.known
    if len(known) < MAX_KNOWN:
        return True
    ends = [k.report for k in known.values() if not k.report.active]
    if report.active and ends:
        oldest = min(ends, key=lambda end: end.version)
        del known[oldest.data_centre]
        return True
    return report.active and report.data_centre in with_targets


def record_whole(
    evacuations: Evacuations,
    reports: Iterable[Report],
    version: versions.Version,
    now: float,
    *,
    lapse_at: float = -math.inf,
    with_targets: Container[str] = (),
) -> list[Change]:
    """Records all rows of the table as of a version.

    An evacuation whose row is missing has ended, unless its row is newer than
    the table that was read. If its row is of an earlier era, it ends later (see
    `end_lapsed`).

    Args:
        evacuations: What is known.
        reports: What the rows say.
        version: Version of the table.
        now: Monotonic time.
        lapse_at: Monotonic time until which operators may write rows of an
            earlier era again.
        with_targets: Data centres that have targets.

    Returns:
        What has changed.
    """
    reports = list(reports)
    present = {report.data_centre for report in reports}
    ended = []
    for name in active(evacuations) - present:
        end = Report(name, version, False)
        era = evacuations.known[name].report.version.era
        if era < version.era and now < lapse_at:
            evacuations.lapsing[name] = end, lapse_at
        else:
            ended.append(end)
    changes = record(
        evacuations,
        [*reports, *ended],
        now,
        forwards=True,
        with_targets=with_targets,
    )
    evacuations.read_version = max(evacuations.read_version, version)
    return changes


def end_lapsed(evacuations: Evacuations, now: float) -> list[Change]:
    """Ends evacuations whose rows were not written again in time.

    Args:
        evacuations: What is known.
        now: Monotonic time.

    Returns:
        What has changed.
    """
    ends = [end for end, at in evacuations.lapsing.values() if at <= now]
    for end in ends:
        del evacuations.lapsing[end.data_centre]
    return record(evacuations, ends, now, forwards=True)


def to_share(
    evacuations: Evacuations, now: float, occasion: Occasion
) -> list[Report]:
    """Selects the reports for a message, and marks them as passed on.

    Every message names the evacuations in force, which are few: an instance
    that has just started must know them before its first request, whichever
    message reaches it first. Ends follow the rules of `sharing`.

    Args:
        evacuations: What is known.
        now: Monotonic time.
        occasion: The kind of message.
    """
    selected = []
    for name, known in evacuations.known.items():
        lasts = now < known.sharing.changed_at + TOMBSTONE_S
        if not known.report.active and not sharing.is_due(
            known.sharing, now, occasion, lasts=lasts
        ):
            continue
        selected.append(known.report)
        evacuations.known[name] = dataclasses.replace(
            known, sharing=sharing.mark_shared(known.sharing, now, occasion)
        )
    return selected
