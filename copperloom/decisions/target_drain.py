"""Which targets leave, though the signs of it come late and contradict.

A target may be named as leaving by the operators' configuration, by the
platform's list, by its own load report or by a peer. The first sign counts
and stays, since the platform's list lags: a view that is older than the sign
shows the target as healthy again. Only an admission by a later version of the
configuration ends it, which every entry learns in the same order.
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

# Longer than the platform's list and an engine's load report lag. Within this
# time after an admission their signs may be older than the admission.
LAG_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Admission:
    version: int
    at: float


class DrainState:
    """What one entry knows of leaving targets.

    Attributes:
        marks: Target to the configuration's version under which its leaving
            was learnt.
        seen: Targets that lagging sources name now, which holds only as long
            as they do.
        admissions: Target to its latest admission and when it was met here.
    """

    def __init__(self):
        self.marks: dict[str, int] = {}
        self.seen: frozenset[str] = frozenset()
        self.admissions: dict[str, _Admission] = {}


def mark_draining(dep: DrainState, target: str, version: int) -> None:
    """Takes in a sign that was learnt under a version, such as a peer's."""
    dep.marks[target] = max(version, dep.marks.get(target, 0))


def observe(
    dep: DrainState,
    names: frozenset[str],
    cfg: configuration.Configuration,
    now: float,
) -> None:
    """Takes in the targets that the lagging sources name as leaving now.

    Args:
        dep: The state.
        names: Targets that the platform's list or their own reports name.
        cfg: The configuration in force.
        now: Monotonic seconds.
    """
    _note_admissions(dep, cfg, now)
    dep.seen = names
    for name in names:
        admission = dep.admissions.get(name)
        if admission is None or now - admission.at > LAG_S:
            mark_draining(dep, name, cfg.version)


def draining_targets(
    dep: DrainState, cfg: configuration.Configuration
) -> frozenset[str]:
    """Returns the targets that get no new work.

    Load: asked when a sign or a version comes, not for each request. Harm
    prevented: work sent to a target that is about to go is cut or lost.
    """
    retired = {
        tgt.name
        for tgt in cfg.targets.values()
        if tgt.state is configuration.TargetState.RETIRED
    }
    return frozenset(retired) | dep.seen | frozenset(drain_marks(dep, cfg))


def drain_marks(
    dep: DrainState, cfg: configuration.Configuration
) -> dict[str, int]:
    """Returns the marks that no later admission ended."""
    return {
        name: version
        for name, version in dep.marks.items()
        if version >= _admitted(cfg, name)
    }


def is_superseded(dep: DrainState, target: str, at: float, now: float) -> bool:
    """Returns whether a sign of some time is overtaken by an admission.

    A sign that came within the lag after an admission may be older than it;
    once the lag is over it has to be given again to count.
    """
    admission = dep.admissions.get(target)
    if admission is None:
        return False
    return at <= admission.at + LAG_S < now


def prune(dep: DrainState, cfg: configuration.Configuration) -> None:
    """Forgets marks that are over, so that they don't gather for ever."""
    dep.marks = {
        name: version
        for name, version in drain_marks(dep, cfg).items()
        if name in cfg.targets or version >= cfg.version
    }
    for name in dep.admissions.keys() - cfg.targets.keys():
        del dep.admissions[name]


def _admitted(cfg: configuration.Configuration, name: str) -> int:
    tgt = cfg.targets.get(name)
    return tgt.admitted_version if tgt else 0


def _note_admissions(dep, cfg, now) -> None:
    for tgt in cfg.targets.values():
        known = dep.admissions.get(tgt.name)
        if known is None:
            # Met for the first time: signs about it are as good as any.
            met = _Admission(tgt.admitted_version, float("-inf"))
            dep.admissions[tgt.name] = met
        elif known.version < tgt.admitted_version:
            dep.admissions[tgt.name] = _Admission(tgt.admitted_version, now)
