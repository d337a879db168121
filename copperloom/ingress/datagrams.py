"""The messages that instances send each other as datagrams.

A digest tells all of its sender's work, so that a lost one is made good by the
next; a question asks an owner for a placement, an answer gives it. Lost ones
are asked again.
"""

import zlib

import msgspec

from copperloom.decisions import inflight, placement_query, plans, spillover

__all__ = [
    "MOST_BYTES",
    "PlacementReply",
    "Digest",
    "Announcement",
    "PlacementRequest",
    "RawWork",
    "decode",
    "decode_work",
    "encode",
    "encode_work",
    "read_reply",
    "make_reply",
]

# Below the size that loopback and Ethernet links take in few fragments.
MOST_BYTES = 60_000
# Longer ones are packed: what does not fit one packet fills the links of those
# that are asked for members by a whole fleet at once.
_PACK_ABOVE_BYTES = 1_400
_PACKING_LEVEL = 1
# First byte of what zlib makes; none of the messages begins with it.
_PACKED = 0x78
# Far more than any message has; bounds what a forged one can make of itself.
_MOST_UNPACKED_BYTES = 1_000_000
_MS = 1000.0


class RawWork(msgspec.Struct, array_like=True):
    """A share of a request's work; times in milliseconds."""

    target: str
    prefill_ms: int
    generates: bool
    tokens: int
    pause_ms: int
    age_ms: int
    decoding: bool
    worth: float
    due_ms: int
    is_split: bool


class Announcement(msgspec.Struct, array_like=True):
    """A member that is passed on to those that may not know it."""

    instance: str
    datagrams: str
    calls: str
    data_centre: str
    cores: float


class Digest(msgspec.Struct, array_like=True, tag="d"):
    """What an instance has in progress and goes by."""

    sender: Announcement
    boot: str
    sequence: int
    routes_version: int
    targets_version: int
    draining: bool
    table_unreachable: bool
    work: list[RawWork]
    penalties: dict[str, float]
    joined: list[Announcement]
    failures: dict[str, float] = {}
    wants_members: bool = False
    busy: dict[str, float] = {}
    fleet_size: int = 0


class PlacementRequest(msgspec.Struct, array_like=True, tag="q"):
    """Where should this request go?"""

    asker: str
    datagrams: str
    sequence: int
    number: int
    query: placement_query.Query


class PlacementReply(msgspec.Struct, array_like=True, tag="a"):
    """What becomes of the request that was asked about."""

    number: int
    owner: str
    plan: plans.Plan | None
    wait_s: float
    refused: bool
    targets: int
    targets_version: int
    staleness_s: float
    busy: float
    remote: spillover.RemoteShard | None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Digest | PlacementRequest | PlacementReply)


def encode(message: Digest | PlacementRequest | PlacementReply) -> bytes:
    """Makes a datagram."""
    data = _ENCODER.encode(message)
    if len(data) <= _PACK_ABOVE_BYTES:
        return data
    return zlib.compress(data, _PACKING_LEVEL)


def decode(data: bytes) -> Digest | PlacementRequest | PlacementReply:
    """Reads a datagram.

    Raises:
        msgspec.MsgspecError: It is none of the messages.
    """
    return _DECODER.decode(_unpacked(data))


def _unpacked(data: bytes) -> bytes:
    if not data or data[0] != _PACKED:
        return data
    try:
        unpacking = zlib.decompressobj()
        return unpacking.decompress(data, _MOST_UNPACKED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error


def encode_work(work: inflight.Work, now: float) -> RawWork:
    """Makes work independent of this instance's clock."""
    return RawWork(
        target=work.target,
        prefill_ms=int(work.prefill_s * _MS),
        generates=work.generates,
        tokens=work.tokens,
        pause_ms=int(work.pause_aim_s * _MS),
        age_ms=int((now - work.started_at) * _MS),
        decoding=work.decoding,
        worth=round(work.worth, 2),
        due_ms=int(work.due_s * _MS),
        is_split=work.is_split,
    )


def decode_work(raw: RawWork, now: float) -> inflight.Work:
    """Puts a peer's work on this instance's clock."""
    return inflight.Work(
        target=raw.target,
        prefill_s=raw.prefill_ms / _MS,
        generates=raw.generates,
        tokens=raw.tokens,
        pause_aim_s=raw.pause_ms / _MS,
        started_at=now - raw.age_ms / _MS,
        decoding=raw.decoding,
        worth=raw.worth,
        due_s=raw.due_ms / _MS,
        is_split=raw.is_split,
    )


def make_reply(
    number: int, decided: placement_query.Decision
) -> PlacementReply:
    """Makes the answer that gives a decision."""
    chosen = decided.choice
    wait_s = chosen.delay_s if isinstance(chosen, plans.Deferral) else 0.0
    return PlacementReply(
        number=number,
        owner=decided.decided_by,
        plan=chosen if isinstance(chosen, plans.Plan | None) else chosen.plan,
        wait_s=wait_s,
        refused=isinstance(chosen, plans.Refusal),
        targets=decided.targets,
        targets_version=decided.targets_version,
        staleness_s=decided.staleness_s,
        busy=decided.busy,
        remote=decided.remote,
    )


def read_reply(answer: PlacementReply) -> placement_query.Decision:
    """Returns the decision that an answer gives."""
    choice: plans.Choice = answer.plan
    if answer.refused:
        choice = plans.Refusal(answer.plan)
    elif answer.wait_s:
        choice = plans.Deferral(answer.wait_s, answer.plan)
    return placement_query.Decision(
        choice=choice,
        targets=answer.targets,
        targets_version=answer.targets_version,
        decided_by=answer.owner,
        staleness_s=answer.staleness_s,
        busy=answer.busy,
        remote=answer.remote,
    )
