"""Members that instances pass on to each other.

Whoever starts asks a few for the members that matter to it; those that became
known of late, and now and then any, are passed on with each digest. So a start
needs no call to the platform's table where one member answers.
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

# Members that became known of late are passed on for so long, some at a time.
RECENT_S = 15.0
MAX_RECENT = 10
# Most that an answer names: a data centre and the owners of the others.
MAX_RELEVANT = 200


def own_announcement(state: IngressState) -> datagrams.Announcement:
    """Returns what others need to know to reach this instance."""
    mine = state.settings
    return datagrams.Announcement(
        mine.instance,
        state.datagrams,
        mine.peers_listen,
        mine.data_centre,
        mine.cores,
    )


def recent_members(
    state: IngressState, now: float
) -> list[datagrams.Announcement]:
    """Picks members that others may not know of yet."""
    late = [
        m for m in state.members.values() if now - m.discovered_at < RECENT_S
    ]
    if len(late) > MAX_RECENT:
        late = state.rng.sample(late, MAX_RECENT)
    if not late and state.members:
        # One that all others forgot would stay unknown for ever.
        late = [state.rng.choice(list(state.members.values()))]
    return [_of(m) for m in late]


def relevant_members(
    state: IngressState, member: Member, now: float
) -> list[datagrams.Announcement]:
    """Picks the members that matter to one that has just started.

    All of its data centre, and those that may own the shards of others.
    """
    names = {
        m.instance
        for m in state.members.values()
        if m.data_centre == member.data_centre
    }
    for data_centre in {m.data_centre for m in state.members.values()}:
        order = placement_rpc.order_of(state, shards.Shard("", data_centre))
        names.update(order[: 2 * shards.OWNERS])
    names -= {member.instance, state.settings.instance}
    return [_of(state.members[n]) for n in sorted(names)][:MAX_RELEVANT]


def add_member(
    state: IngressState,
    introduced: datagrams.Announcement | catalog.MemberRow,
    now: float,
) -> Member | None:
    """Returns the member that is introduced, known from now on.

    Args:
        state: The instance's state.
        introduced: What a peer or the platform's table says of it.
        now: Monotonic time.

    Returns:
        The member; None if it is this instance.
    """
    name = introduced.instance
    if name == state.settings.instance:
        return None
    member = state.members.get(name)
    if member is None:
        member = Member(
            name,
            introduced.datagrams,
            introduced.calls,
            now,
            data_centre=introduced.data_centre,
            cores=introduced.cores,
        )
        state.members[name] = member
        logs.event("member_found", member=name)
    return member


def _of(member: Member) -> datagrams.Announcement:
    return datagrams.Announcement(
        member.instance,
        member.datagrams,
        member.calls,
        member.data_centre,
        member.cores,
    )
