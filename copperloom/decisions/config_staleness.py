"""Decides whether an instance may admit work under its configuration.

The rule, and why the two sides of a network partition cannot disagree, are
described in docs/design/configuration.md.
"""

import dataclasses

__all__ = [
    "Evidence",
    "has_majority",
    "in_majority",
    "has_fleet_view",
    "refusal_reason",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What one instance knows about its configuration.

    Attributes:
        loaded: Whether it has adopted any configuration.
        version: The version that it has.
        confirmed_at: Latest monotonic time at which that version was confirmed
            to be the newest.
        reported_version: Highest version that any member reported.
        contacts: Members in recent contact, this one included.
        members: Known members, this one included.
        listed: Whether the platform's list names this instance, and so is
            recent enough to name the others too.
    """

    loaded: bool
    version: int
    confirmed_at: float
    reported_version: int
    contacts: int
    members: int
    listed: bool = True


def has_majority(contacts: int, members: int) -> bool:
    """Returns whether the contacts are more than half of the members."""
    return 2 * contacts > members


def has_fleet_view(evidence: Evidence) -> bool:
    """Returns whether a majority of the known members is meaningful.

    A partitioned instance that has just started knows no other member and
    would otherwise consider itself the whole fleet.
    """
    return evidence.contacts > 1 or evidence.listed


def in_majority(evidence: Evidence) -> bool:
    """Returns whether the instance is in contact with a majority."""
    if not has_fleet_view(evidence):
        return False
    return has_majority(evidence.contacts, evidence.members)


def refusal_reason(
    evidence: Evidence, now: float, *, confirm_s: float
) -> str | None:
    """Returns why new work may not be admitted, or None if it may.

    An instance that is partitioned from the platform and from its peers would
    keep using limits, presets or targets that the operators have replaced.
    Contact with a majority is enough while the platform is down for all: any
    two majorities share a member, which propagates a new version.

    Args:
        evidence: What the instance knows.
        now: Monotonic time, in seconds.
        confirm_s: Age in seconds up to which a confirmation is enough without
            a majority. Together with one exchange it has to stay below the
            time within which a change takes effect.

    Returns:
        None if work may be admitted, else the reason for the refusal.
    """
    if not evidence.loaded:
        return "no configuration yet"
    if now - evidence.confirmed_at <= confirm_s:
        return None
    if evidence.reported_version > evidence.version:
        return (
            f"version {evidence.reported_version} is in force "
            "but not fetched yet"
        )
    if not has_fleet_view(evidence):
        return "no contact with any member, and not in the platform's list"
    if in_majority(evidence):
        return None
    return (
        f"not confirmed for {confirm_s:g} s that version {evidence.version} is "
        f"the newest; in contact with {evidence.contacts} of {evidence.members}"
    )
