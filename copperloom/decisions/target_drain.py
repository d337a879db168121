"""Determines the draining targets from delayed and conflicting reports.

A target may be reported as draining by the operators' configuration, by the
platform's list, by its own load report or by a peer. The first report counts
and is kept, since the platform's list lags and may show the target as healthy
again. Only an admission by a later version of the configuration ends it:
all instances learn the versions in the same order.
"""

import dataclasses

from copperloom import configuration

__all__ = [
    "DrainState",
    "draining_targets",
    "mark_draining",
    "drain_marks",
    "prune",
    "observe",
    "is_superseded",
]

# Upper bound of the lag of the platform's list and of load reports. Within this
# time after an admission, their reports may be older than the admission.
LAG_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Admission:
    version: int
    at: float


class DrainState:
    """The reports of draining targets that one instance knows of.

    Attributes:
        marks: Configuration version under which a target was reported as
            draining, by target.
        reported: Targets that lagging sources report now; they count only as
            long as they are reported.
        admissions: Latest admission by target, and when it was learnt.
    """

    def __init__(self):
        self.marks: dict[str, int] = {}
        self.reported: frozenset[str] = frozenset()
        self.admissions: dict[str, _Admission] = {}


def mark_draining(drain: DrainState, target: str, version: int) -> None:
    """Records a report under a configuration version, such as a peer's."""
    drain.marks[target] = max(version, drain.marks.get(target, 0))


def observe(
    drain: DrainState,
    names: frozenset[str],
    cfg: configuration.Configuration,
    now: float,
) -> None:
    """Records the targets that lagging sources now report as draining.

    Args:
        drain: The state.
        names: Targets that the platform's list or their own load reports name.
        cfg: The configuration in force.
        now: Monotonic time, in seconds.
    """
    _record_admissions(drain, cfg, now)
    drain.reported = names
    for name in names:
        admission = drain.admissions.get(name)
        if admission is None or now - admission.at > LAG_S:
            mark_draining(drain, name, cfg.version)


def draining_targets(
    drain: DrainState, cfg: configuration.Configuration
) -> frozenset[str]:
    """Returns the targets that get no new work.

    Work sent to a target that is about to stop would be cut off or lost.
    """
    retired = {
        tgt.name
        for tgt in cfg.targets.values()
        if tgt.state is configuration.TargetState.RETIRED
    }
    return (
        frozenset(retired) | drain.reported | frozenset(drain_marks(drain, cfg))
    )


def drain_marks(
    drain: DrainState, cfg: configuration.Configuration
) -> dict[str, int]:
    """Returns the marks that no later admission has ended."""
    return {
        name: version
        for name, version in drain.marks.items()
        if version >= _admitted_version(cfg, name)
    }


def is_superseded(
    drain: DrainState, target: str, at: float, now: float
) -> bool:
    """Returns whether an admission supersedes a report received at a time.

    A report received within LAG_S after an admission may be older than the
    admission; after that time it counts only if it is repeated.
    """
    admission = drain.admissions.get(target)
    if admission is None:
        return False
    return at <= admission.at + LAG_S < now


def prune(drain: DrainState, cfg: configuration.Configuration) -> None:
    """Removes marks that have ended, so that they do not accumulate."""
    drain.marks = {
        name: version
        for name, version in drain_marks(drain, cfg).items()
        if name in cfg.targets or version >= cfg.version
    }
    for name in drain.admissions.keys() - cfg.targets.keys():
        del drain.admissions[name]


def _admitted_version(cfg: configuration.Configuration, name: str) -> int:
    tgt = cfg.targets.get(name)
    return tgt.admitted_version if tgt else 0


def _record_admissions(drain, cfg, now) -> None:
    for tgt in cfg.targets.values():
        known = drain.admissions.get(tgt.name)
        if known is None:
            # Not known to be recent, so it does not delay reports.
            first = _Admission(tgt.admitted_version, float("-inf"))
            drain.admissions[tgt.name] = first
        elif known.version < tgt.admitted_version:
            drain.admissions[tgt.name] = _Admission(tgt.admitted_version, now)
