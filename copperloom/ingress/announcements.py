"""Selects the members that instances announce to each other.

An instance that starts asks a few others for the members that it needs to
know, and calls the platform's table only if none of them replies. Digests also
announce members that were discovered recently.
"""

from copperloom import logs
from copperloom.decisions import shards
from copperloom.ingress import datagrams, placement_rpc
from copperloom.ingress.state import IngressState, Member
from copperloom.platform import catalog

__all__ = [
    "recent_members",
    "relevant_members",
    "own_announcement",
    "add_member",
]

# Members are announced for this duration after their discovery, at most
# MAX_RECENT in one digest.
RECENT_S = 15.0
MAX_RECENT = 10
# Members in one reply: those of a data centre and the owners of the others.
MAX_RELEVANT = 200


def own_announcement(state: IngressState) -> datagrams.Announcement:
    """Returns the announcement of this instance."""
    own = state.settings
    return datagrams.Announcement(
        own.instance,
        state.datagrams,
        own.peers_listen,
        own.data_centre,
        own.cores,
    )


def recent_members(
    state: IngressState, now: float
) -> list[datagrams.Announcement]:
    """Selects members that others may not know yet."""
    recent = [
        m for m in state.members.values() if now - m.discovered_at < RECENT_S
    ]
    if len(recent) > MAX_RECENT:
        recent = state.rng.sample(recent, MAX_RECENT)
    if not recent and state.members:
        # A member that the others have removed would stay unknown otherwise.
        recent = [state.rng.choice(list(state.members.values()))]
    return [_announcement(m) for m in recent]


def relevant_members(
    state: IngressState, member: Member, now: float
) -> list[datagrams.Announcement]:
    """Selects the members that an instance needs to know after its start.

    These are all members of its data centre, and those that may own the shards
    of the other data centres.
    """
    names = {
        m.instance
        for m in state.members.values()
        if m.data_centre == member.data_centre
    }
    for data_centre in {m.data_centre for m in state.members.values()}:
        order = placement_rpc.owner_order(state, shards.Shard("", data_centre))
        names.update(order[: 2 * shards.OWNERS])
    names -= {member.instance, state.settings.instance}
    return [_announcement(state.members[n]) for n in sorted(names)][
        :MAX_RELEVANT
    ]


def add_member(
    state: IngressState,
    announced: datagrams.Announcement | catalog.MemberRow,
    now: float,
) -> Member | None:
    """Adds an announced member unless it is known already.

    Args:
        state: The instance's state.
        announced: Its announcement by a peer, or its row in the platform's
            table.
        now: Monotonic time.

    Returns:
        The member; None if it is this instance.
    """
    name = announced.instance
    if name == state.settings.instance:
        return None
    member = state.members.get(name)
    if member is None:
        member = Member(
            name,
            announced.datagrams,
            announced.calls,
            now,
            data_centre=announced.data_centre,
            cores=announced.cores,
        )
        state.members[name] = member
        logs.event("member_found", member=name)
    return member


def _announcement(member: Member) -> datagrams.Announcement:
    return datagrams.Announcement(
        member.instance,
        member.datagrams,
        member.calls,
        member.data_centre,
        member.cores,
    )
