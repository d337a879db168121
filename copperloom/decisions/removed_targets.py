"""Targets that were removed from the platform's table.

The table service may return from an older copy in which a removed target is
registered. Its row there is no sign of life. A registration that the target
wrote after its removal is one: it is a later start of the target, or has a
higher sequence number, or a higher version of the same era. A target whose row
in the copy hides that it lives answers a check.
"""

import dataclasses

from copperloom import routing, versions

__all__ = [
    "Removal",
    "RemovedTargets",
    "forget",
    "is_outdated",
    "mark_back",
    "merge",
    "record",
    "to_share",
]

# Later removals than these are more than an older copy lacks.
MAX_REMOVALS = 1000
# Time for which others are told that a target is back.
BACK_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a target.

    Attributes:
        name: Name of the target.
        born_ms: Its start, in ms since the epoch.
        sequence: Sequence number of its last registration before.
        version: Version of the table in which it was removed.
        is_back: Whether the target has answered a check since then.
    """

    name: str
    born_ms: int
    sequence: int
    version: versions.Version
    is_back: bool = False


class RemovedTargets:
    """What one instance knows of removed targets.

    Attributes:
        removals: The removals by name of the target, oldest first.
        held: Registered targets whose rows are older than their removals, by
            name.
        told_at: Monotonic time at which it was last of use to tell others
            that a target is back, by name.
    """

    def __init__(self):
        self.removals: dict[str, Removal] = {}
        self.held: dict[str, routing.TargetEntry] = {}
        self.told_at: dict[str, float] = {}


def record(
    known: RemovedTargets,
    name: str,
    entry: routing.TargetEntry | None,
    version: versions.Version,
) -> None:
    """Records that a target was removed from the table.

    Args:
        known: What is known.
        name: Name of the target.
        entry: Its last registration; None if it is not known.
        version: Version of the table in which it was removed.
    """
    known.held.pop(name, None)
    known.told_at.pop(name, None)
    before = known.removals.pop(name, None)
    if entry is not None:
        removal = Removal(name, entry.born_ms, entry.sequence, version)
    elif before is not None:
        removal = dataclasses.replace(before, version=version, is_back=False)
    else:
        return
    _keep(known, removal)


def is_outdated(
    known: RemovedTargets,
    entry: routing.TargetEntry,
    version: versions.Version,
) -> bool:
    """Returns whether a registration is older than the target's removal.

    Args:
        known: What is known.
        entry: The registration.
        version: Version of its row.
    """
    removal = known.removals.get(entry.name)
    if removal is None or removal.is_back:
        return False
    if version.era == removal.version.era:
        return version < removal.version
    return (entry.born_ms, entry.sequence) <= (
        removal.born_ms,
        removal.sequence,
    )


def forget(known: RemovedTargets, name: str) -> None:
    """Forgets the removal of a target that has registered again."""
    known.removals.pop(name, None)
    known.held.pop(name, None)
    known.told_at.pop(name, None)


def mark_back(known: RemovedTargets, name: str) -> None:
    """Records that a removed target has answered a check."""
    removal = known.removals.get(name)
    if removal is not None:
        known.removals[name] = dataclasses.replace(removal, is_back=True)


def merge(known: RemovedTargets, told: Removal, now: float) -> bool:
    """Merges what a peer knows of a removal; returns whether it is new.

    Args:
        known: What is known.
        told: The removal.
        now: Monotonic time.
    """
    own = known.removals.get(told.name)
    if own is not None:
        if _is_same_start(own, told) and own.is_back and not told.is_back:
            # The peer has not heard of it.
            known.told_at[told.name] = now
            return False
        if _order(told) <= _order(own):
            return False
    if told.is_back:
        known.told_at[told.name] = now
    _keep(known, told)
    return True


def _keep(known: RemovedTargets, removal: Removal) -> None:
    """Keeps a removal as the latest; forgets the oldest beyond the bound."""
    known.removals.pop(removal.name, None)
    known.removals[removal.name] = removal
    if len(known.removals) > MAX_REMOVALS:
        forget(known, next(iter(known.removals)))


def _is_same_start(own: Removal, told: Removal) -> bool:
    return (own.born_ms, own.sequence) == (told.born_ms, told.sequence)


def _order(removal: Removal) -> tuple:
    return (
        removal.born_ms,
        removal.sequence,
        removal.is_back,
        removal.version,
    )


def to_share(known: RemovedTargets, now: float, maximum: int) -> list[Removal]:
    """Selects the removals that peers need.

    These are removals that an older copy of the table hides, and targets that
    are back although peers may hold them.

    Args:
        known: What is known.
        now: Monotonic time.
        maximum: Maximum number of removals.
    """
    for name, told_at in list(known.told_at.items()):
        if now >= told_at + BACK_S:
            del known.told_at[name]
    names = [*known.told_at, *known.held]
    found = [known.removals[n] for n in names if n in known.removals]
    return found[:maximum]
