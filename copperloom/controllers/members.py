"""Keeps contact with the other entries.

Whom there is comes from the platform's lagging list and from whoever makes
contact. What a member says is taken as of the time it was asked, so that a
message that was held up, or a process that was paused, proves nothing newer.
"""

import asyncio
import dataclasses
import random

from copperloom import exception
from copperloom.controllers import config, fetch, leaving
from copperloom.decisions import scheduler
from copperloom.logs import event
from copperloom.peers import client, digest, peers_pb2
from copperloom.platform import interface

__all__ = [
    "Member",
    "Membership",
    "ask",
    "ask_all",
    "call",
    "close",
    "is_gone",
    "live",
    "note_request",
    "spawn",
    "step",
]

_NEVER = float("-inf")
# Every fourth digest goes to another data centre, so that versions cross even
# if the platform's service does not.
_FAR_EVERY = 4
_EXCHANGE_S = 1.0
# A member that crashed is counted this long, so that a cut-off part of the
# fleet does not take itself for the whole of it.
_FORGET_S = 600.0
_LIST_FRESH_S = 10.0
_LOADS_FRESH_S = 6.0


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


class Membership:
    """What the controller keeps besides the members themselves.

    Attributes:
        random: Generator for whom to ask.
        channels: Connections to peers.
        tasks: Calls under way by name, so that no call is made twice at once.
        looked_at: When reading the platform's list was last begun.
        listed_at: When a reading that worked was begun.
        listed_leaving: Targets that the list names as leaving.
        rounds: Steps made.
    """

    def __init__(self, *, seed: str):
        self.random = random.Random(seed)
        self.channels = client.Channels()
        self.tasks: dict[str, asyncio.Task] = {}
        self.looked_at = _NEVER
        self.listed_at = _NEVER
        self.listed_leaving: frozenset[str] = frozenset()
        self.rounds = 0


async def step(state, now: float) -> None:
    """Tells a few members the digest and takes in what came since.

    Calls run beside it, each with a time limit, so that a silent peer or
    platform holds up no other.
    """
    membership = state.membership
    membership.rounds += 1
    if now - membership.looked_at >= state.settings.platform.instances_poll_s:
        membership.looked_at = now
        spawn(state, "list", _look(state, now))
    for member in _choose(state, now):
        spawn(state, f"ask {member.instance}", ask(state, member.instance))
    _forget(state, now)
    _set_loads(state, now)
    leaving.refresh(state, now)
    if fetch.wanted(state):
        spawn(state, "fetch", fetch.run(state))


def live(state, now: float) -> list[Member]:
    """Returns the members that may be expected to answer."""
    silent_since = now - state.settings.membership.dead_s
    return [
        m
        for m in state.members.values()
        if not m.leaving
        and not m.failures
        and max(m.heard_at, m.told_at, m.listed_at) >= silent_since
    ]


def is_gone(state, owner: str, seen_at: float, now: float) -> bool:
    """Returns whether a run of an entry has ended for certain or by silence.

    A run is gone if its instance answered as another run after this one was
    seen: an instance runs once at a time. A run that is only silent may be
    paused; what it left is given up after dead_s, and since streams have
    unique names, a run that wakes up later finds its own gone and no other's.

    Args:
        state: The entry's state.
        owner: INSTANCE.BOOT.
        seen_at: Monotonic time at which something of this run was seen first.
        now: Monotonic seconds.
    """
    if owner == state.owner:
        return False
    instance, _, boot = owner.rpartition(".")
    if instance == state.settings.entry.instance:
        return True
    member = state.members.get(instance)
    silent_since = now - state.settings.membership.dead_s
    if member is None:
        return seen_at < silent_since
    if member.boot and member.boot != boot:
        return member.heard_at > seen_at
    last = max(member.heard_at, member.told_at, seen_at)
    return member.failures > 0 and last < silent_since


async def ask(state, instance: str) -> None:
    """Exchanges digests with one member."""
    member = state.members.get(instance)
    if member is None:
        return
    now = asyncio.get_running_loop().time()
    state.members[instance] = dataclasses.replace(member, asked_at=now)
    try:
        reply = await client.call(
            state.membership.channels,
            member.address,
            "Exchange",
            digest.make(state, now),
            timeout_s=_exchange_s(state),
        )
    except exception.PeerUnavailableError:
        reply = None
    member = state.members.get(instance)
    if member is None:
        return
    if reply is None or reply.instance != instance:
        # Nobody, or another instance that got its address.
        failures = member.failures + 1
        state.members[instance] = dataclasses.replace(member, failures=failures)
        return
    _note_reply(state, member, reply, now)


async def ask_all(state, instances: list[str]) -> None:
    """Exchanges digests with many members at once."""
    await asyncio.gather(*(ask(state, name) for name in instances))


def note_request(state, told: peers_pb2.Digest, now: float) -> None:
    """Takes in the digest of a member that asked.

    It may have been under way for long, so it proves no contact, no run and
    no confirmation; versions and departures stay true however late.
    """
    if told.instance == state.settings.entry.instance:
        return
    member = state.members.get(told.instance)
    if member is None:
        member = Member(told.instance, told.address, told.data_centre)
        event("member_met", member=told.instance, address=told.address)
    # A new run may listen elsewhere; a message from the one before would only
    # cost one failed call.
    state.members[told.instance] = dataclasses.replace(
        member,
        address=told.address,
        leaving=member.leaving or told.leaving,
        version=max(member.version, told.config_version),
        told_at=now,
        loads=_loads_of(told),
    )
    _note_departures(state, told, now)
    if fetch.wanted(state):
        spawn(state, "fetch", fetch.run(state))


async def call(state, instance: str, method: str, message, *, timeout_s: float):
    """Calls a method of a member's Peers service.

    Raises:
        copperloom.exception.PeerUnavailableError: Unknown or silent.
    """
    member = state.members.get(instance)
    if member is None:
        raise exception.PeerUnavailableError(f"{instance} is not known")
    return await client.call(
        state.membership.channels,
        member.address,
        method,
        message,
        timeout_s=timeout_s,
    )


async def close(state) -> None:
    """Ends all calls and connections."""
    tasks = list(state.membership.tasks.values())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    client.close(state.membership.channels)


def spawn(state, name: str, coroutine) -> None:
    """Runs a call beside the step, unless the same one is under way."""
    tasks = state.membership.tasks
    if name in tasks:
        coroutine.close()
        return
    task = asyncio.create_task(coroutine)
    tasks[name] = task
    task.add_done_callback(lambda done: _ended(tasks, name, done))


def _exchange_s(state) -> float:
    return min(_EXCHANGE_S, state.settings.membership.suspect_s / 3)


def _ended(tasks: dict, name: str, task: asyncio.Task) -> None:
    tasks.pop(name, None)
    if not task.cancelled() and task.exception() is not None:
        error = repr(task.exception())
        event("call_failed", level="ERROR", call=name, error=error)


def _note_reply(state, member: Member, reply, asked_at: float) -> None:
    if asked_at < member.heard_at:
        return
    if member.boot and member.boot != reply.boot:
        event("member_restarted", member=member.instance, boot=reply.boot)
    state.members[member.instance] = dataclasses.replace(
        member,
        boot=reply.boot,
        data_centre=reply.data_centre,
        leaving=reply.leaving,
        version=reply.config_version,
        heard_at=asked_at,
        failures=0,
        known_members=reply.known_members,
        loads=_loads_of(reply),
    )
    if state.cfg_loaded and reply.config_version <= state.cfg.version:
        # If an older version was the newest then, this one came after.
        config.confirm(state, digest.confirmed_at(reply, asked_at))
    _note_departures(state, reply, asked_at)
    _note_peers(state, reply, asked_at)


def _loads_of(told) -> tuple[tuple[str, int, int], ...]:
    return tuple((t.target, t.streams, t.prefill_tokens) for t in told.loads)


def _note_departures(state, told, now: float) -> None:
    for departure in told.leaving_targets:
        leaving.mark(state, departure.target, departure.version, now)


def _note_peers(state, reply, now: float) -> None:
    """Meets members through another, if the platform's list is out of reach.

    Otherwise the list decides, so that peers don't tell each other for ever
    of a member that has gone.
    """
    if now - state.membership.listed_at <= _LIST_FRESH_S:
        return
    for peer in reply.peers:
        own = peer.instance == state.settings.entry.instance
        if not own and peer.instance not in state.members:
            state.members[peer.instance] = Member(
                peer.instance, peer.address, peer.data_centre, told_at=now
            )


async def _look(state, now: float) -> None:
    """Tells the platform of this instance and reads its list."""
    own = state.settings.entry
    timeout_s = state.settings.platform.timeout_s
    row = interface.InstanceRow(
        own.instance,
        "entry",
        state.peers_address,
        own.data_centre,
        state.draining,
    )
    try:
        await state.platform.announce(row, timeout_s=timeout_s)
        rows = await state.platform.instances(timeout_s=timeout_s)
    except exception.CopperloomError as error:
        event("list_failed", code=error.code)
        return
    state.membership.listed_at = now
    leaving.note_list(state, rows)
    for row in rows:
        if row.kind == "entry" and row.name != own.instance:
            _note_row(state, row, now)


def _note_row(state, row: interface.InstanceRow, now: float) -> None:
    member = state.members.get(row.name)
    if member is None:
        if row.leaving:
            return
        member = Member(row.name, row.address, row.data_centre)
    elif member.failures and row.address != member.address:
        # The list lags, so it is believed only where the address known fails.
        member = dataclasses.replace(member, address=row.address)
    state.members[row.name] = dataclasses.replace(
        member, listed_at=now, leaving=member.leaving or row.leaving
    )


def _choose(state, now: float) -> list[Member]:
    """Chooses whom to ask in this step, those asked longest ago first.

    Load: 20 members in a data centre, 370 in all; a digest to each of them
    would cost 100 KB a second. Harm prevented: versions, departures and loads
    that travel too slowly. Limits: the fan-out of the settings; all members
    that were not heard lately are asked only while this entry has no proof of
    its configuration, since only then it has to know whether it is in contact
    with more than half of them.
    """
    own = state.settings.membership
    unproved = now - state.confirmed_at > own.confirm_s / 2
    members = sorted(state.members.values(), key=lambda m: m.asked_at)
    if unproved or not state.cfg_loaded:
        return [m for m in members if m.asked_at <= now - own.suspect_s / 3]
    here = state.settings.entry.data_centre
    near = [m for m in members if m.data_centre == here]
    far = [m for m in members if m.data_centre != here]
    fanout = own.exchange_fanout
    begin = state.membership.rounds * fanout
    turns = range(begin, begin + fanout)
    wanted_far = sum(1 for turn in turns if turn % _FAR_EVERY == 0)
    chosen = far[: max(wanted_far, fanout - len(near))]
    return chosen + near[: fanout - len(chosen)]


def _forget(state, now: float) -> None:
    """Drops members that left, and those long neither listed nor heard."""
    own = state.settings.membership
    list_is_fresh = now - state.membership.listed_at <= _LIST_FRESH_S
    for member in list(state.members.values()):
        last = max(member.heard_at, member.told_at)
        silent_s = now - max(last, member.listed_at)
        gone = member.leaving and now - last > own.dead_s
        if gone or (list_is_fresh and silent_s > _FORGET_S):
            del state.members[member.instance]
            event("member_forgotten", member=member.instance)
    addresses = {m.address for m in state.members.values()}
    client.prune(state.membership.channels, addresses)


def _set_loads(state, now: float) -> None:
    loads: dict[str, tuple[int, int]] = {}
    for member in state.members.values():
        if max(member.heard_at, member.told_at) < now - _LOADS_FRESH_S:
            continue
        for target, streams, tokens in member.loads:
            had = loads.get(target, (0, 0))
            loads[target] = (had[0] + streams, had[1] + tokens)
    scheduler.set_peer_loads(state.sched, loads, now)
