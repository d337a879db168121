"""Whether an entry may admit work under the configuration that it has.

The rule and why two sides of a cut can't disagree stand in
docs/design/configuration.md.
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
    """What one entry knows about its configuration.

    Attributes:
        loaded: Whether it has adopted any configuration.
        version: The version that it has.
        confirmed_at: Latest monotonic time at which that version is proved to
            have been the newest.
        told_version: Greatest version that any member told of.
        contacts: Members that answered lately, this one included.
        members: Members known, this one included.
        listed: Whether the platform's list has named this entry, and so is
            new enough to name the others too.
    """

    loaded: bool
    version: int
    confirmed_at: float
    told_version: int
    contacts: int
    members: int
    listed: bool = True


def has_majority(contacts: int, members: int) -> bool:
    """Returns whether the contacts are more than half of the members."""
    return 2 * contacts > members


def has_fleet_view(evidence: Evidence) -> bool:
    """Returns whether a majority of the members known means anything.

    An entry that has just started knows nobody and would take itself for the
    whole fleet, for as long as it is cut off.
    """
    return evidence.contacts > 1 or evidence.listed


def in_majority(evidence: Evidence) -> bool:
    """Returns whether the entry is in contact with more than half of all."""
    if not has_fleet_view(evidence):
        return False
    return has_majority(evidence.contacts, evidence.members)


def refusal_reason(
    evidence: Evidence, now: float, *, confirm_s: float
) -> str | None:
    """Decides whether new work may be admitted.

    Load: every request asks, so it is a comparison of numbers kept elsewhere.
    Harm prevented: an entry cut off from the platform and from those who see
    it would go on under limits, presets or targets that the operators have
    replaced, and its callers would see a change revert. Limits: confirm_s plus
    the time of one exchange stays under the promised 12 s; a majority is asked
    for, since any two majorities share a member that passes a version on, so
    that a platform that is down for all stops nobody.

    Args:
        evidence: What is known.
        now: Monotonic seconds.
        confirm_s: Age up to which a proof alone is enough.

    Returns:
        None if it may, else the reason.
    """
    if not evidence.loaded:
        return "no configuration yet"
    if now - evidence.confirmed_at <= confirm_s:
        return None
    if evidence.told_version > evidence.version:
        return (
            f"version {evidence.told_version} is in force and not fetched yet"
        )
    if not has_fleet_view(evidence):
        return "in contact with nobody and not named in any list of instances"
    if in_majority(evidence):
        return None
    return (
        f"no proof for {confirm_s:g} s that version {evidence.version} is the "
        f"newest, in contact with {evidence.contacts} of {evidence.members}"
    )
