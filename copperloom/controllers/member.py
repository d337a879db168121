"""The other entries, as one entry knows them."""

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
# Entries of a fleet that read the platform's list in each interval.
_LIST_READERS = 9
_LIST_LATE_S = 10.0
# One lost message is no failure of a member: a change of owner costs the
# lifetime of a reservation.
_FAILURES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Another entry.

    Attributes:
        instance: Its name.
        address: IP:port where it listens for peers.
        data_centre: Where it stands.
        boot: Its run, as of heard_at; "" if it never answered.
        leaving: Whether it or the platform said that it goes.
        version: Greatest version of the configuration that this boot told.
        asked_at: Latest time at which it was asked.
        heard_at: Latest time of asking that it answered.
        told_at: Latest time a message came from it.
        listed_at: Latest time that the platform's list named it.
        failures: Askings without answer since the last answer.
        known_members: How many members it knows.
        loads: (target, streams, prefill tokens) that it has in flight.
        demand: (organisation, tokens a second) that it is asked for, of
            organisations with a limit.
    """

    instance: str
    address: str
    data_centre: str = ""
    boot: str = ""
    leaving: bool = False
    version: int = 0
    asked_at: float = _NEVER
    heard_at: float = _NEVER
    told_at: float = _NEVER
    listed_at: float = _NEVER
    failures: int = 0
    known_members: int = 1
    loads: tuple[tuple[str, int, int], ...] = ()
    demand: tuple[tuple[str, float], ...] = ()


class Membership:
    """What the controller keeps besides the members themselves.

    Attributes:
        random: Generator for whom to ask.
        channels: Connections to peers.
        tasks: Calls under way by name, so that no call is made twice at once.
        announced_at: When this instance was last announced.
        looked_at: When reading the platform's list was last begun.
        listed_at: When a reading that worked was begun.
        listed_self: Whether a reading named this boot of this instance.
        listed_leaving: Targets that the list names as leaving.
        credit: Part of an exchange that is due.
        turns: Exchanges begun in the ordinary way.
    """

    def __init__(self, *, seed: str):
        self.random = random.Random(seed)
        self.channels = client.Channels()
        self.tasks: dict[str, asyncio.Task] = {}
        self.announced_at = _NEVER
        self.looked_at = _NEVER
        self.listed_at = _NEVER
        self.listed_self = False
        self.listed_leaving: frozenset[str] = frozenset()
        self.credit = 0.0
        self.turns = 0


def live(state, now: float) -> list[Member]:
    """Returns the members that may be expected to answer."""
    silent_since = now - state.settings.membership.dead_s
    silent_since -= list_interval_s(state)
    return [
        m
        for m in state.members.values()
        if not m.leaving
        and m.failures < _FAILURES
        and max(m.heard_at, m.told_at, m.listed_at) >= silent_since
    ]


def list_interval_s(state) -> float:
    """Returns the seconds between this entry's readings of the list."""
    poll_s = state.settings.platform.instances_poll_s
    return list_interval(poll_s, len(state.members) + 1)


def list_interval(poll_s: float, entries: int) -> float:
    """Returns the seconds between one entry's readings of the list.

    Load: the list of 370 entries is about 38 KB, with their targets four
    times that. Harm prevented: read by each entry every 2 s it takes ten
    times the budget for control, or more. Limits: about as many entries read
    it at any time as are in a small fleet; what one of them learns, digests
    pass on.

    Args:
        poll_s: The interval in the settings.
        entries: Entries in the fleet.
    """
    return poll_s * max(1.0, entries / _LIST_READERS)


def list_is_fresh(state, now: float) -> bool:
    """Returns whether the list was read as lately as it should have been."""
    age_s = now - state.membership.listed_at
    return age_s <= _LIST_LATE_S + list_interval_s(state)


def is_silent(state, peer: Member, now: float) -> bool:
    """Returns whether a member is neither heard nor listed any more.

    It has crashed or is cut off; in both cases it admits nothing after
    confirm_s, so nobody needs to wait for it.
    """
    last = max(peer.heard_at, peer.told_at, peer.listed_at)
    limit_s = state.settings.membership.dead_s + list_interval_s(state)
    return bool(peer.failures and last < now - limit_s)


def spawn(state, name: str, coroutine) -> None:
    """Runs a call beside the step, unless the same one is under way."""
    tasks = state.membership.tasks
    if name in tasks:
        coroutine.close()
        return
    task = asyncio.create_task(coroutine)
    tasks[name] = task
    task.add_done_callback(lambda done: _ended(tasks, name, done))


def _ended(tasks: dict, name: str, task: asyncio.Task) -> None:
    tasks.pop(name, None)
    if not task.cancelled() and task.exception() is not None:
        error = repr(task.exception())
        event("call_failed", level="ERROR", call=name, error=error)
