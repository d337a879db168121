"""Defines the other entries of the fleet as one entry knows them."""

import asyncio
import dataclasses
import random

from copperloom.logs import event
from copperloom.peers import client

__all__ = [
    "Member",
    "Membership",
    "is_silent",
    "list_interval",
    "list_interval_s",
    "list_is_fresh",
    "live",
    "spawn",
]

_NEVER = float("-inf")
# Number of entries that read the platform's list in each poll interval.
_LIST_READERS = 9
_LIST_GRACE_S = 10.0
# A single lost message doesn't make a member count as failed, since a new owner
# of its targets grants no memory for one reservation lifetime.
_FAILURE_THRESHOLD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Another entry. All times are monotonic seconds of this process.

    Attributes:
        instance: Name of its instance.
        address: IP:port where it listens for peers.
        data_centre: Its data centre; "" if unknown.
        boot: Random name of its process's run, as of `last_reply_at`; "" if it
            has never replied.
        leaving: Whether it or the platform reported that it is stopping.
        version: Greatest configuration version that it has reported.
        last_sent_at: Time at which a digest was last sent to it.
        last_reply_at: Latest time of sending a digest to which it replied.
        last_received_at: Time at which it last started an exchange of digests,
            or was discovered through another member.
        listed_at: Latest time at which the platform's list named it.
        failures: Unanswered calls since its last reply.
        known_members: Number of members that it knows, itself included.
        loads: (target, streams, prefill tokens) of its work in flight.
        demand: (organisation, tokens per second) that its callers request, for
            organisations with a limit.
    """

    instance: str
    address: str
    data_centre: str = ""
    boot: str = ""
    leaving: bool = False
    version: int = 0
    last_sent_at: float = _NEVER
    last_reply_at: float = _NEVER
    last_received_at: float = _NEVER
    listed_at: float = _NEVER
    failures: int = 0
    known_members: int = 1
    loads: tuple[tuple[str, int, int], ...] = ()
    demand: tuple[tuple[str, float], ...] = ()


class Membership:
    """The state of the membership controller besides the members themselves.

    Attributes:
        random: Generator for the choice of peers.
        channels: Connections to peers.
        tasks: Calls in progress by name, so that none runs twice at once.
        announced_at: Time at which this instance was last announced to the
            platform.
        list_requested_at: Time at which the platform's list was last requested.
        list_read_at: Time at which the latest successful request for the list
            was sent.
        listed_self: Whether the list has ever named this run of this entry.
        listed_draining: Targets that the list reports as draining.
        credit: Accumulated fraction of an exchange that is due.
        exchanges: Number of exchanges started at the regular rate.
    """

    def __init__(self, *, seed: str):
        self.random = random.Random(seed)
        self.channels = client.Channels()
        self.tasks: dict[str, asyncio.Task] = {}
        self.announced_at = _NEVER
        self.list_requested_at = _NEVER
        self.list_read_at = _NEVER
        self.listed_self = False
        self.listed_draining: frozenset[str] = frozenset()
        self.credit = 0.0
        self.exchanges = 0


def live(state, now: float) -> list[Member]:
    """Returns the members that are expected to reply."""
    silent_since = now - state.settings.membership.dead_s
    silent_since -= list_interval_s(state)
    return [
        m
        for m in state.members.values()
        if not m.leaving
        and m.failures < _FAILURE_THRESHOLD
        and max(m.last_reply_at, m.last_received_at, m.listed_at)
        >= silent_since
    ]


def list_interval_s(state) -> float:
    """Returns the seconds between this entry's reads of the list."""
    poll_s = state.settings.platform.instances_poll_s
    return list_interval(poll_s, len(state.members) + 1)


def list_interval(poll_s: float, entries: int) -> float:
    """Returns the seconds between one entry's reads of the platform's list.

    The size of the list grows with the fleet, so that reads by all entries at
    a fixed interval would exceed the traffic budget for control. The interval
    therefore grows with the fleet: the number of reads per interval stays that
    of a small fleet, and digests spread the contents of the list.

    Args:
        poll_s: The interval of the settings, in seconds.
        entries: Number of entries in the fleet.
    """
    return poll_s * max(1.0, entries / _LIST_READERS)


def list_is_fresh(state, now: float) -> bool:
    """Returns whether the latest read of the list is recent enough."""
    age_s = now - state.membership.list_read_at
    return age_s <= _LIST_GRACE_S + list_interval_s(state)


def is_silent(state, peer: Member, now: float) -> bool:
    """Returns whether a member is neither in contact nor listed any more.

    It has crashed or is partitioned from the fleet. In both cases it admits no
    work after confirm_s, so that no change has to wait for it.
    """
    last_seen = max(peer.last_reply_at, peer.last_received_at, peer.listed_at)
    limit_s = state.settings.membership.dead_s + list_interval_s(state)
    return bool(peer.failures and last_seen < now - limit_s)


def spawn(state, name: str, coroutine) -> None:
    """Runs a call in the background, unless one of that name is running."""
    tasks = state.membership.tasks
    if name in tasks:
        coroutine.close()
        return
    task = asyncio.create_task(coroutine)
    tasks[name] = task
    task.add_done_callback(lambda done: _on_done(tasks, name, done))


def _on_done(tasks: dict, name: str, task: asyncio.Task) -> None:
    tasks.pop(name, None)
    if not task.cancelled() and task.exception() is not None:
        error = repr(task.exception())
        event("call_failed", level="ERROR", call=name, error=error)
