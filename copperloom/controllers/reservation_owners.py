"""Consent of an engine's owner to long work.

One entry of the engine's data centre keeps the engine's reservations, chosen
by rendezvous hash over the members that are live. Two entries may both think
that they own an engine for a while, since each has its own view; the book
opens late and looks at the engine's own account first, and the engine refuses
what does not fit, so that a wrong view costs time, not memory.
"""

import asyncio
import contextlib
import re

import xxhash

from copperloom import configuration, exception, messages
from copperloom.controllers import digest_exchange, member
from copperloom.decisions import reservation
from copperloom.logs import event
from copperloom.peers import peers_pb2
from copperloom.targets import interface

__all__ = [
    "give_back",
    "grant",
    "owned",
    "owner_of",
    "release",
    "reserve",
    "step",
]

_CALL_S = 1.0
_STREAMS_S = 1.0
# Streams are named by their request, -ATTEMPT and .PART; reservations by the
# request alone, so that a second attempt does not count twice.
_ATTEMPT = re.compile(r"-\d+(\.\w+)?$")


def owner_of(state, target: str, now: float) -> str:
    """Returns the instance that keeps a target's reservations.

    Live members of the target's data centre come first, since they have the
    shortest way to it; all members if there are none.
    """
    tgt = state.cfg.targets.get(target)
    centre = tgt.data_centre if tgt else ""
    return _choose(_names_for(_candidates(state, now), centre), target)


def owned(state, now: float) -> dict[str, configuration.Target]:
    """Returns the engines that this entry owns, by name.

    Load: 1,400 targets and 370 members, every few seconds. Harm prevented:
    `owner_of` for each target goes through all members each time, which alone
    took more than the processor time allowed for control. The members are
    gone through once, and only targets are hashed that this entry may own.
    """
    own = state.settings.entry.instance
    candidates = _candidates(state, now)
    found = {}
    for tgt in state.cfg.targets.values():
        if tgt.kind is not configuration.TargetKind.ENGINE:
            continue
        names = _names_for(candidates, tgt.data_centre)
        if own in names and _choose(names, tgt.name) == own:
            found[tgt.name] = tgt
    return found


async def step(state, now: float) -> None:
    """Opens and closes books as owners change, and renews what is in flight."""
    mine = owned(state, now)
    for target in state.book.ledgers.keys() - mine.keys():
        reservation.close_target(state.book, target)
        event("owner_closed", target=target)
    for name, tgt in mine.items():
        if name not in state.book.ledgers:
            event("owner_opened", target=name)
        reservation.open_target(
            state.book,
            name,
            tgt.kv_tokens,
            state.cfg.preset.long_share,
            state.settings.targets.reservation_s,
            now,
        )
    reservation.expire(state.book, now)
    if state.releases:
        member.spawn(state, "release", _flush(state))
    await asyncio.gather(
        *(_look(state, tgt) for tgt in mine.values()),
        *(_renew(state, placement) for placement in list(state.held.values())),
    )


async def reserve(state, placement: messages.Placement, now: float) -> None:
    """Asks the owners of all targets for memory; all of them or none.

    The targets are asked in the order of their names: two groups that want
    the same engines in different orders would else each hold half and both
    be refused.

    Raises:
        copperloom.exception.CapacityExceededError: An owner has no memory.
        copperloom.exception.PeerUnavailableError: An owner gave no answer, or
            another entry owns the target by now.
    """
    state.held[placement.request.id] = placement
    try:
        for target, tokens in _in_order(placement):
            await _reserve_one(state, placement, target, tokens, now)
    except BaseException:
        # Also when the caller went away: what was granted must not stay.
        await release(state, placement)
        raise


async def release(state, placement: messages.Placement) -> None:
    """Gives reservations back; the calls to owners run beside.

    An owner that can't be told loses the reservation by its expiry.
    """
    state.held.pop(placement.request.id, None)
    for target in placement.targets:
        state.releases.setdefault(target, set()).add(placement.request.id)
    member.spawn(state, "release", _flush(state))


def grant(
    state, asked: peers_pb2.ReserveRequest, now: float
) -> peers_pb2.ReserveReply:
    """Answers as the owner; the owner's limit on life applies."""
    if owner_of(state, asked.target, now) != state.settings.entry.instance:
        return peers_pb2.ReserveReply(not_owner=True)
    ttl_s = min(asked.ttl_ms / 1000, state.settings.targets.reservation_s)
    if not asked.tokens:
        held = reservation.renew(
            state.book, asked.target, asked.stream, ttl_s, now
        )
        return peers_pb2.ReserveReply(granted=held)
    given = reservation.reserve(
        state.book, asked.target, asked.stream, asked.tokens, ttl_s, now
    )
    return peers_pb2.ReserveReply(
        granted=given.granted,
        not_owner=given.not_owner,
        retry_after_ms=int(given.retry_after_s * 1000),
    )


def give_back(state, asked: peers_pb2.ReleaseRequest) -> None:
    """Takes reservations back as the owner."""
    reservation.release(state.book, asked.target, asked.streams)


def _in_order(placement: messages.Placement) -> list[tuple[str, int]]:
    return sorted(zip(placement.targets, placement.tokens, strict=True))


def _candidates(state, now: float) -> dict[str | None, list[str]]:
    """Returns live instances by data centre, and all of them under None."""
    own = state.settings.entry
    found = [(m.instance, m.data_centre) for m in member.live(state, now)]
    if not state.draining or not found:
        found.append((own.instance, own.data_centre))
    out: dict[str | None, list[str]] = {None: [name for name, _ in found]}
    for name, centre in found:
        out.setdefault(centre, []).append(name)
    return out


def _names_for(
    candidates: dict[str | None, list[str]], centre: str
) -> list[str]:
    return candidates.get(centre) or candidates[None]


def _choose(names: list[str], target: str) -> str:
    """Chooses by rendezvous hash, so that all entries choose alike."""
    return max(
        names, key=lambda n: xxhash.xxh64_intdigest(f"{n}/{target}".encode())
    )


async def _reserve_one(state, placement, target, tokens, now) -> None:
    reply = await _ask_owner(state, placement, target, tokens, now)
    if reply.granted:
        return
    if reply.not_owner:
        raise exception.PeerUnavailableError(f"owner of {target} is changing")
    raise exception.CapacityExceededError(
        f"{target} has no memory for {tokens} tokens",
        retry_after_s=max(reply.retry_after_ms / 1000, 0.05),
    )


async def _ask_owner(state, placement, target, tokens, now):
    owner = owner_of(state, target, now)
    ask = peers_pb2.ReserveRequest(
        instance=state.settings.entry.instance,
        boot=state.boot,
        target=target,
        stream=placement.request.id,
        tokens=tokens,
        ttl_ms=int(state.settings.targets.reservation_s * 1000),
    )
    if owner == state.settings.entry.instance:
        return grant(state, ask, now)
    return await digest_exchange.call(
        state, owner, "Reserve", ask, timeout_s=_CALL_S
    )


async def _renew(state, placement: messages.Placement) -> None:
    """Prolongs reservations; what an owner has lost stays lost.

    A renewal that made them again could overtake a release, and the memory
    would be refused to others until it runs out. Work that was sent is in the
    engine's account, so its owner needs no reservation to count it.
    """
    now = asyncio.get_running_loop().time()
    for target in sorted(placement.targets):
        with contextlib.suppress(exception.PeerUnavailableError):
            await _ask_owner(state, placement, target, 0, now)


async def _look(state, tgt: configuration.Target) -> None:
    """Takes in the engine's own account of its streams."""
    try:
        streams = await state.targets.streams(tgt.address, timeout_s=_STREAMS_S)
    except exception.CopperloomError as error:
        event("account_unknown", target=tgt.name, code=error.code)
        return
    now = asyncio.get_running_loop().time()
    reservation.seen(
        state.book,
        tgt.name,
        _by_request(streams),
        now,
        short_tokens=state.cfg.preset.short_prompt_tokens,
    )


def _by_request(
    streams: list[interface.StreamInfo],
) -> list[interface.StreamInfo]:
    merged: dict[str, interface.StreamInfo] = {}
    for info in streams:
        name = _ATTEMPT.sub("", info.stream)
        had = merged[name].kv_tokens if name in merged else 0
        merged[name] = interface.StreamInfo(
            name,
            info.owner,
            had + info.kv_tokens,
            info.attached,
            info.idle_s,
        )
    return list(merged.values())


async def _flush(state) -> None:
    """Sends releases, gathered by target, until none are left."""
    while state.releases:
        target, streams = state.releases.popitem()
        now = asyncio.get_running_loop().time()
        owner = owner_of(state, target, now)
        ask = peers_pb2.ReleaseRequest(target=target, streams=sorted(streams))
        if owner == state.settings.entry.instance:
            give_back(state, ask)
            continue
        with contextlib.suppress(exception.PeerUnavailableError):
            await digest_exchange.call(
                state, owner, "Release", ask, timeout_s=_CALL_S
            )
