"""Liveness of the other instances, and which of them own a shard.

In a small fleet each instance exchanges updates with all others. In a larger
one it does so with the owners of the shards that it uses and of its own data
centre, which reply to each update. No list of live members is agreed upon: an
owner that does not reply is skipped in favour of the next one in a ranking
that all instances compute alike.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from copperloom import versions
from copperloom.decisions import shards

__all__ = [
    "REPLY_INTERVAL_S",
    "MEMBER_TIMEOUT_S",
    "Member",
    "is_heard",
    "is_live",
    "is_skipped",
    "live",
    "record_reply_sent",
    "record_received",
    "record_sent",
    "record_query_timeout",
    "is_owner",
    "rank_owners",
    "count_sharing",
    "owners_to_query",
    "owners_to_notify",
]

# Members reply to updates at least once a second, so two consecutive lost
# messages are tolerated.
MEMBER_TIMEOUT_S = 3.0
# A member that receives updates replies at least at this interval.
REPLY_INTERVAL_S = 0.9
# A member that has not replied for SKIP_AFTER_S gets no updates for SKIP_S.
# Then it is tried again, since a network partition may have healed.
SKIP_AFTER_S = 2.2
SKIP_S = 6.0
# After a query timeout an owner is queried last for this duration, or until a
# message from it arrives: each query to a frozen owner delays a request by the
# query timeout.
SUSPECT_S = 1.0


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance.

    Attributes:
        instance: Its name.
        datagrams: IP:port for datagrams.
        calls: IP:port for RPCs, "" if it accepts none.
        discovered_at: Monotonic time at which it became known.
        last_received_at: Monotonic time of its last message; -inf if there
            was none.
        boot: Identifier of its process's latest start, from its last message.
        data_centre: Its data centre, "" if not known yet.
        cores: Its share of processor time, in cores.
        routes_version: Version of the routes that it has.
        targets_version: Version of the targets that it has.
        targets_confirmed: Version as of which these are complete.
        targets_fingerprint: The hash of their rows; None if it names none.
        draining: Whether it is shutting down.
        table_unreachable: Whether it cannot reach the platform's table
            service.
        last_sent_at: Monotonic time of the last message to it.
        unanswered_since: Monotonic time of the first message to which it has
            not replied; inf if there is none.
        suspect_until: Monotonic time until which other owners are queried
            first.
        busy: Utilisation of the targets of its data centre, by service; sent
            by owners only.
        busy_at: Monotonic time at which `busy` was received.
        reaches_none: Whether it reaches no target.
        relayed: Requests that this instance relays through it.
        relay_refused_until: Monotonic time until which others are asked first
            to relay a request.
    """

    instance: str
    datagrams: str
    calls: str
    discovered_at: float
    last_received_at: float = -math.inf
    boot: str = ""
    data_centre: str = ""
    cores: float = 1.0
    routes_version: int = 0
    targets_version: versions.Version = versions.NONE
    targets_confirmed: versions.Version = versions.NONE
    targets_fingerprint: int | None = None
    draining: bool = False
    table_unreachable: bool = False
    last_sent_at: float = -math.inf
    unanswered_since: float = math.inf
    suspect_until: float = -math.inf
    busy: dict[str, float] = dataclasses.field(default_factory=dict)
    busy_at: float = -math.inf
    reaches_none: bool = False
    relayed: int = 0
    relay_refused_until: float = -math.inf


def record_sent(member: Member, now: float) -> None:
    """Records a message to a member, to which it should reply.

    A member that sent a message within REPLY_INTERVAL_S is not expected to
    reply, since it limits how often it does.
    """
    member.last_sent_at = now
    if now - member.last_received_at < REPLY_INTERVAL_S:
        return
    if now - member.unanswered_since > SKIP_AFTER_S + SKIP_S:
        member.unanswered_since = now
    member.unanswered_since = min(member.unanswered_since, now)


def record_reply_sent(member: Member, now: float) -> None:
    """Records a reply to a member; a reply calls for no further reply."""
    member.last_sent_at = now


def record_received(member: Member, now: float) -> None:
    """Records a message from a member."""
    member.last_received_at = now
    member.unanswered_since = math.inf
    member.suspect_until = -math.inf


def record_query_timeout(member: Member, now: float) -> None:
    """Records that a placement query to a member timed out."""
    member.suspect_until = now + SUSPECT_S


def is_heard(member: Member, now: float) -> bool:
    """Returns whether a member sent a message recently."""
    return now - member.last_received_at < MEMBER_TIMEOUT_S


def is_live(member: Member, now: float) -> bool:
    """Returns whether a member sent a message recently and is not draining."""
    return is_heard(member, now) and not member.draining


def is_skipped(member: Member, now: float) -> bool:
    """Returns whether updates to an unresponsive member are suspended."""
    silent_s = now - member.unanswered_since
    return SKIP_AFTER_S < silent_s < SKIP_AFTER_S + SKIP_S


def live(members: Mapping[str, Member], now: float) -> list[Member]:
    """Lists the live members."""
    return [m for m in members.values() if is_live(m, now)]


def count_sharing(members: Mapping[str, Member], now: float) -> int:
    """Counts the instances that share a fleet-wide budget, this one included.

    In a large fleet an instance receives messages from only a few of the
    others, so it counts all known members instead of the live ones.
    """
    if shards.has_owners(len(members) + 1):
        return len(members) + 1
    return len(live(members, now)) + 1


def rank_owners(
    members: Mapping[str, Member],
    own: shards.Instance,
    own_data_centre: str,
    shard: shards.Shard,
) -> list[str]:
    """Ranks the instances that may own a shard, this one included.

    Args:
        members: The other instances.
        own: This instance.
        own_data_centre: Data centre of this instance.
        shard: The shard.

    Returns:
        Names of the instances in the shard's data centre; of all instances if
        there are none in it.
    """
    by_data_centre = {own_data_centre: [own]}
    for member in members.values():
        instances = by_data_centre.setdefault(member.data_centre, [])
        instances.append(shards.Instance(member.instance, member.cores))
    local = by_data_centre.get(shard.data_centre)
    if local is not None and shard.data_centre:
        return shards.rank(shard.data_centre, local)
    return _ranked_everywhere(
        shard.service or shard.data_centre, by_data_centre
    )


def _ranked_everywhere(
    key: str, by_data_centre: Mapping[str, list[shards.Instance]]
) -> list[str]:
    """Ranks instances of all data centres, the owners of each of them first.

    In a large fleet an instance knows the members of its own data centre and
    only the owners of the others. In a single ranking, members known in only
    one data centre could come first there, and the data centres would disagree
    on the owners.
    """
    owners = []
    others = []
    for data_centre, instances in by_data_centre.items():
        first = shards.rank(data_centre, instances)[: shards.OWNERS]
        owners += [i for i in instances if i.name in first]
        others += [i for i in instances if i.name not in first]
    return shards.rank(key, owners) + shards.rank(key, others)


def is_owner(
    order: list[str],
    members: Mapping[str, Member],
    own: str,
    now: float,
    *,
    owners: int = shards.OWNERS,
    listening_since: float = -math.inf,
) -> bool:
    """Returns whether this instance is among the first live ones in a ranking.

    Just after the start all members count as live: when many instances start
    together none has received a message yet, and each would consider itself an
    owner.

    Args:
        order: Names from `rank_owners`.
        members: The other instances.
        own: Name of this instance.
        now: Monotonic time.
        owners: Number of owners of a shard.
        listening_since: Monotonic time at which this instance began to receive
            messages.
    """
    if own not in order:
        return False
    ranked_before = order[: order.index(own)]
    if now - listening_since < MEMBER_TIMEOUT_S:
        return len(ranked_before) < owners
    return sum(is_live(members[n], now) for n in ranked_before) < owners


def owners_to_notify(
    order: Iterable[str], members: Mapping[str, Member], own: str, now: float
) -> list[Member]:
    """Lists the members that should receive updates on work at a shard.

    These are the first live members, and members ranked before them that are
    not skipped: an instance that has just restarted needs the work in progress
    before it is queried.
    """
    recipients = []
    live_count = 0
    for name in order:
        if name == own:
            live_count += 1
        elif not (members[name].draining or is_skipped(members[name], now)):
            recipients.append(members[name])
            live_count += is_live(members[name], now)
        if live_count >= shards.OWNERS or len(recipients) >= 2 * shards.OWNERS:
            break
    return recipients


def owners_to_query(
    order: Iterable[str], members: Mapping[str, Member], own: str, now: float
) -> list[Member]:
    """Lists the owners to send placement queries to, in order of preference."""
    others = (members[n] for n in order if n != own)
    found = [m for m in others if is_live(m, now)][: shards.OWNERS]
    return sorted(found, key=lambda m: now < m.suspect_until)
