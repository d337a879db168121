"""The other instances: who is heard, who owns a shard, who is told and asked.

In a small fleet each instance hears all others. In a larger one each hears
the owners of the shards that it uses and of its own data centre, which answer
whoever tells them something. Nobody needs a list of the living: an owner that
stays silent is passed over for the next one in the order that all share.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from copperloom.decisions import shards

__all__ = [
    "REPLY_INTERVAL_S",
    "MEMBER_TIMEOUT_S",
    "Member",
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

# Members that are told something answer once a second at least: two lost
# messages in a row are borne.
MEMBER_TIMEOUT_S = 3.0
# Whoever tells something hears from the member that was told at least so often.
REPLY_INTERVAL_S = 0.9
# A member that has left a message without an answer for so long is not told
# more; after the second time it is tried again.
SKIP_AFTER_S = 2.2
SKIP_S = 6.0
# An owner that left a question unanswered is asked after the others for so
# long, or until it is heard: each question to a frozen one costs a caller the
# time until the next owner is asked.
SUSPECT_S = 1.0


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance.

    Attributes:
        instance: Its name.
        datagrams: IP:port for datagrams.
        calls: IP:port for calls, "" if it takes none.
        discovered_at: Monotonic time at which it became known.
        last_received_at: Monotonic time of its last message; -inf if none came.
        boot: The run of its process that was heard last.
        data_centre: Where it stands, "" if it has not said so yet.
        cores: Its share of processor time, in cores.
        routes_version: Version of the routes that it has.
        targets_version: Version of the targets that it has.
        draining: Whether it is stopping.
        table_unreachable: Whether the platform's table does not answer it.
        last_sent_at: Monotonic time at which it was told something last.
        unanswered_since: Monotonic time of the first message that it has not
            answered; inf if there is none.
        suspect_until: Monotonic time until which others are asked sooner.
        busy: How busy the targets of its data centre are, by service; told by
            owners only.
        busy_at: Monotonic time at which it told that.
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
    targets_version: int = 0
    draining: bool = False
    table_unreachable: bool = False
    last_sent_at: float = -math.inf
    unanswered_since: float = math.inf
    suspect_until: float = -math.inf
    busy: dict[str, float] = dataclasses.field(default_factory=dict)
    busy_at: float = -math.inf


def record_sent(member: Member, now: float) -> None:
    """Notes that a message went to it, to which it should answer.

    One that spoke within ANSWER_S need not: it has told what it knows, and
    speaks again only when it is told something later.
    """
    member.last_sent_at = now
    if now - member.last_received_at < REPLY_INTERVAL_S:
        return
    if now - member.unanswered_since > SKIP_AFTER_S + SKIP_S:
        member.unanswered_since = now
    member.unanswered_since = min(member.unanswered_since, now)


def record_reply_sent(member: Member, now: float) -> None:
    """Notes that a message of its was answered; it owes nothing for that."""
    member.last_sent_at = now


def record_received(member: Member, now: float) -> None:
    """Notes that a message came from it."""
    member.last_received_at = now
    member.unanswered_since = math.inf
    member.suspect_until = -math.inf


def record_query_timeout(member: Member, now: float) -> None:
    """Notes that a question to it was not answered in time."""
    member.suspect_until = now + SUSPECT_S


def is_live(member: Member, now: float) -> bool:
    """Tells whether it was heard of late and is not stopping."""
    return (
        now - member.last_received_at < MEMBER_TIMEOUT_S and not member.draining
    )


def is_skipped(member: Member, now: float) -> bool:
    """Tells whether it has left messages unanswered and is let be."""
    silent_s = now - member.unanswered_since
    return SKIP_AFTER_S < silent_s < SKIP_AFTER_S + SKIP_S


def live(members: Mapping[str, Member], now: float) -> list[Member]:
    """Lists the members that were heard of late."""
    return [m for m in members.values() if is_live(m, now)]


def count_sharing(members: Mapping[str, Member], now: float) -> int:
    """Counts the instances that may spend of what all share, this one too.

    In a large fleet few of those that live are heard, so all count that are
    known of.
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
    """Orders all instances that may own a shard, this one included.

    Args:
        members: The others.
        own: This instance.
        own_data_centre: Where it stands.
        shard: What is owned.

    Returns:
        Names; where nobody stands in the shard's data centre, all may own it.
    """
    by_data_centre = {own_data_centre: [own]}
    for member in members.values():
        found = by_data_centre.setdefault(member.data_centre, [])
        found.append(shards.Instance(member.instance, member.cores))
    near = by_data_centre.get(shard.data_centre)
    if near is not None and shard.data_centre:
        return shards.rank(shard.data_centre, near)
    return _ranked_everywhere(
        shard.service or shard.data_centre, by_data_centre
    )


def _ranked_everywhere(
    key: str, by_data_centre: Mapping[str, list[shards.Instance]]
) -> list[str]:
    """Orders instances of all data centres, first the owners of each of them.

    In a large fleet an instance knows the members of its own data centre and
    the owners of the others. Ranked all alike, those that only some know would
    come first there, and each data centre would find another order.
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
    """Tells whether this instance is among the first that live.

    Nobody is taken for dead before it has had the time to speak: of hundreds
    that start at the same moment each has heard nobody, and all would take
    themselves for owners.

    Args:
        order: Names from `rank_owners`.
        members: The others.
        own: This instance.
        now: Monotonic time.
        owners: How many there are.
        listening_since: Monotonic time at which this instance began to listen.
    """
    if own not in order:
        return False
    before = order[: order.index(own)]
    if now - listening_since < MEMBER_TIMEOUT_S:
        return len(before) < owners
    return sum(is_live(members[n], now) for n in before) < owners


def owners_to_notify(
    order: Iterable[str], members: Mapping[str, Member], own: str, now: float
) -> list[Member]:
    """Lists the owners that should hear of work at a shard.

    The first that live, and those before them that may have begun to: an
    instance that has just started again has to hear of all work before it is
    asked.
    """
    told = []
    heard = 0
    for name in order:
        if name == own:
            heard += 1
        elif not (members[name].draining or is_skipped(members[name], now)):
            told.append(members[name])
            heard += is_live(members[name], now)
        if heard >= shards.OWNERS or len(told) >= 2 * shards.OWNERS:
            break
    return told


def owners_to_query(
    order: Iterable[str], members: Mapping[str, Member], own: str, now: float
) -> list[Member]:
    """Lists the owners that may be asked to place, the first one first."""
    others = (members[n] for n in order if n != own)
    found = [m for m in others if is_live(m, now)][: shards.OWNERS]
    return sorted(found, key=lambda m: now < m.suspect_until)
