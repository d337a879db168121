"""Reservations of engine memory for long requests, granted by owners.

Each engine has one owner, which keeps its reservations: a live entry of the
engine's data centre, chosen by rendezvous hashing. Entries may have different
views of the membership, so two of them may both act as the owner for a while.
A new owner therefore grants nothing for one reservation lifetime and until it
has read the engine's list of streams, and the engine refuses what does not
fit. A wrong view causes delay but never overcommits memory.
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
    "grant_reservation",
    "owned_engines",
    "owner_of",
    "release",
    "release_reservations",
    "reserve",
    "step",
]

_CALL_TIMEOUT_S = 1.0
_STREAMS_TIMEOUT_S = 1.0
# A stream is named REQUEST-ATTEMPT.PART, a reservation only REQUEST, so that a
# second attempt is not counted twice.
_ATTEMPT_SUFFIX = re.compile(r"-\d+(\.\w+)?$")


def owner_of(state, target: str, now: float) -> str:
    """Returns the instance that keeps a target's reservations.

    It is one of the live members in the target's data centre, for low latency,
    or of all live members if there are none there.
    """
    tgt = state.cfg.targets.get(target)
    centre = tgt.data_centre if tgt else ""
    return _choose_owner(_instances_in(_candidates(state, now), centre), target)


def owned_engines(state, now: float) -> dict[str, configuration.Target]:
    """Returns the engines that this entry owns, by name.

    Equivalent to calling `owner_of` for each engine, but lists the members
    only once and hashes only the engines that this entry may own, since
    large fleets make the repeated listing expensive.
    """
    own = state.settings.entry.instance
    candidates = _candidates(state, now)
    owned = {}
    for tgt in state.cfg.targets.values():
        if tgt.kind is not configuration.TargetKind.ENGINE:
            continue
        names = _instances_in(candidates, tgt.data_centre)
        if own in names and _choose_owner(names, tgt.name) == own:
            owned[tgt.name] = tgt
    return owned


async def step(state, now: float) -> None:
    """Updates the ledgers of owned engines and renews held reservations."""
    engines = owned_engines(state, now)
    for target in state.book.ledgers.keys() - engines.keys():
        reservation.close_target(state.book, target)
        event("owner_closed", target=target)
    for name, tgt in engines.items():
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
        *(_update_streams(state, tgt) for tgt in engines.values()),
        *(_renew(state, placement) for placement in list(state.held.values())),
    )


async def reserve(state, placement: messages.Placement, now: float) -> None:
    """Reserves memory at all targets of a placement, or at none.

    The owners are called in the order of the target names. Otherwise two
    placements on the same engines could each reserve some of them and both be
    refused.

    Raises:
        copperloom.exception.CapacityExceededError: A target lacks memory.
        copperloom.exception.PeerUnavailableError: An owner did not reply, or
            is no longer the owner of the target.
    """
    state.held[placement.request.id] = placement
    try:
        for target, tokens in _sorted_targets(placement):
            await _reserve_one(state, placement, target, tokens, now)
    except BaseException:
        # BaseException, since a cancelled request must not keep reservations.
        await release(state, placement)
        raise


async def release(state, placement: messages.Placement) -> None:
    """Releases a placement's reservations; calls owners in the background.

    A reservation whose owner cannot be reached ends when it expires.
    """
    state.held.pop(placement.request.id, None)
    for target in placement.targets:
        state.releases.setdefault(target, set()).add(placement.request.id)
    member.spawn(state, "release", _flush(state))


def grant_reservation(
    state, req: peers_pb2.ReserveRequest, now: float
) -> peers_pb2.ReserveReply:
    """Grants or renews a reservation as the target's owner.

    A request for zero tokens renews. The lifetime is limited by this entry's
    own setting.
    """
    if owner_of(state, req.target, now) != state.settings.entry.instance:
        return peers_pb2.ReserveReply(not_owner=True)
    ttl_s = min(req.ttl_ms / 1000, state.settings.targets.reservation_s)
    if not req.tokens:
        renewed = reservation.renew(
            state.book, req.target, req.stream, ttl_s, now
        )
        return peers_pb2.ReserveReply(granted=renewed)
    result = reservation.reserve(
        state.book, req.target, req.stream, req.tokens, ttl_s, now
    )
    return peers_pb2.ReserveReply(
        granted=result.granted,
        not_owner=result.not_owner,
        retry_after_ms=int(result.retry_after_s * 1000),
    )


def release_reservations(state, req: peers_pb2.ReleaseRequest) -> None:
    """Releases reservations as the target's owner."""
    reservation.release(state.book, req.target, req.streams)


def _sorted_targets(placement: messages.Placement) -> list[tuple[str, int]]:
    return sorted(zip(placement.targets, placement.tokens, strict=True))


def _candidates(state, now: float) -> dict[str | None, list[str]]:
    """Returns live instances by data centre; None maps to all of them."""
    own = state.settings.entry
    live = [(m.instance, m.data_centre) for m in member.live(state, now)]
    if not state.draining or not live:
        live.append((own.instance, own.data_centre))
    by_centre: dict[str | None, list[str]] = {None: [name for name, _ in live]}
    for name, centre in live:
        by_centre.setdefault(centre, []).append(name)
    return by_centre


def _instances_in(
    candidates: dict[str | None, list[str]], centre: str
) -> list[str]:
    return candidates.get(centre) or candidates[None]


def _choose_owner(names: list[str], target: str) -> str:
    """Returns the owner by rendezvous hashing, the same at all entries."""
    return max(
        names, key=lambda n: xxhash.xxh64_intdigest(f"{n}/{target}".encode())
    )


async def _reserve_one(state, placement, target, tokens, now) -> None:
    reply = await _call_owner(state, placement, target, tokens, now)
    if reply.granted:
        return
    if reply.not_owner:
        raise exception.PeerUnavailableError(
            f"nothing was reserved at {target}: its owner is changing"
        )
    raise exception.CapacityExceededError(
        f"{target} has no free memory for {tokens} tokens",
        retry_after_s=max(reply.retry_after_ms / 1000, 0.05),
    )


async def _call_owner(state, placement, target, tokens, now):
    owner = owner_of(state, target, now)
    req = peers_pb2.ReserveRequest(
        instance=state.settings.entry.instance,
        boot=state.boot,
        target=target,
        stream=placement.request.id,
        tokens=tokens,
        ttl_ms=int(state.settings.targets.reservation_s * 1000),
    )
    if owner == state.settings.entry.instance:
        return grant_reservation(state, req, now)
    return await digest_exchange.call(
        state, owner, "Reserve", req, timeout_s=_CALL_TIMEOUT_S
    )


async def _renew(state, placement: messages.Placement) -> None:
    """Renews a placement's reservations, without restoring lost ones.

    A renewal that creates a reservation could arrive after its release and
    block the memory until it expires. It is not needed either: the owner
    counts running streams by the engine's list.
    """
    now = asyncio.get_running_loop().time()
    for target in sorted(placement.targets):
        with contextlib.suppress(exception.PeerUnavailableError):
            await _call_owner(state, placement, target, 0, now)


async def _update_streams(state, tgt: configuration.Target) -> None:
    """Updates the ledger with the streams that the engine lists."""
    try:
        streams = await state.targets.streams(
            tgt.address, timeout_s=_STREAMS_TIMEOUT_S
        )
    except exception.CopperloomError as error:
        event("account_unknown", target=tgt.name, code=error.code)
        return
    now = asyncio.get_running_loop().time()
    reservation.update_streams(
        state.book,
        tgt.name,
        _merge_attempts(streams),
        now,
        short_tokens=state.cfg.preset.short_prompt_tokens,
    )


def _merge_attempts(
    streams: list[interface.StreamInfo],
) -> list[interface.StreamInfo]:
    merged: dict[str, interface.StreamInfo] = {}
    for info in streams:
        name = _ATTEMPT_SUFFIX.sub("", info.stream)
        earlier = merged[name].kv_tokens if name in merged else 0
        merged[name] = interface.StreamInfo(
            name,
            info.owner,
            earlier + info.kv_tokens,
            info.attached,
            info.idle_s,
        )
    return list(merged.values())


async def _flush(state) -> None:
    """Sends pending releases, one call per target, until none are left."""
    while state.releases:
        target, streams = state.releases.popitem()
        now = asyncio.get_running_loop().time()
        owner = owner_of(state, target, now)
        req = peers_pb2.ReleaseRequest(target=target, streams=sorted(streams))
        if owner == state.settings.entry.instance:
            release_reservations(state, req)
            continue
        with contextlib.suppress(exception.PeerUnavailableError):
            await digest_exchange.call(
                state, owner, "Release", req, timeout_s=_CALL_TIMEOUT_S
            )
