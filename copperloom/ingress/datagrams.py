"""Messages that instances send each other as datagrams.

A digest holds all work in progress of its sender, so the next one replaces a
lost one. A placement request asks a shard owner where to place a request; if
it or its reply is lost, the sender asks another owner.
"""

import zlib

import msgspec

from copperloom import versions
from copperloom.decisions import inflight, placement_query, plans, spillover
from copperloom.ingress import wire_knowledge

__all__ = [
    "MAX_BYTES",
    "PlacementReply",
    "Digest",
    "Announcement",
    "PlacementRequest",
    "SendReply",
    "SendRequest",
    "WireWork",
    "decode",
    "decode_work",
    "encode",
    "encode_work",
    "read_reply",
    "make_reply",
]

# Keeps a datagram within the UDP limit of 64 KiB.
MAX_BYTES = 60_000
# Messages longer than one packet are compressed: a whole fleet may ask the same
# instance for its members at once.
_COMPRESS_ABOVE_BYTES = 1_400
_COMPRESSION_LEVEL = 1
# First byte of a zlib stream; no encoded message begins with it.
_ZLIB_HEADER = 0x78
# Bounds the memory that a forged datagram can take when decompressed.
_MAX_UNPACKED_BYTES = 1_000_000
_MS = 1000.0


class WireWork(msgspec.Struct, array_like=True):
    """One target's share of the work of a request, as it is sent.

    Attributes:
        target: Name of the target.
        prefill_ms: Expected prefill time in milliseconds.
        generates: Whether the target decodes the answer.
        tokens: Memory held there, in tokens.
        pause_ms: Inter-token objective in milliseconds.
        age_ms: Milliseconds since the work began.
        decoding: Whether the first token has come.
        worth: Value of the request in units of a short prompt.
        due_ms: Milliseconds from the start until the first token is due.
        is_split: Whether several engines share the prefill.
    """

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
    """Name and addresses of an instance.

    Attributes:
        instance: Its name.
        datagrams: IP:port for datagrams.
        calls: IP:port for gRPC calls, "" if it takes none.
        data_centre: Its data centre.
        cores: Its share of processor time, in cores.
    """

    instance: str
    datagrams: str
    calls: str
    data_centre: str
    cores: float


class Digest(msgspec.Struct, array_like=True, tag="d"):
    """The work in progress of an instance and the versions in force there.

    Attributes:
        sender: The instance that sends the digest.
        boot: Random name of this run of its process.
        sequence: Sequence number within that run.
        routes_version: Version of its routes.
        targets_version: Number of the version of its targets.
        draining: Whether it is stopping.
        table_unreachable: Whether it can't read a table of the platform.
        work: All its work in progress.
        penalties: Penalties of targets, by name.
        announced: Members that the receiver may not know yet.
        failures: Failures of targets that it has observed, by name.
        requests_members: Whether the reply should name the members that the
            sender needs to know.
        busy: Utilisation of the targets of its data centre, by service.
        fleet_size: Number of instances, as far as it knows.
        evidence: Evidence about requests whose targets crashed.
        evidence_loaded: Whether it knows the quarantines of earlier processes.
        limits: Rate limits that targets name.
        draining_targets: Incarnations of targets that said in their answers
            that they drain.
        reaches_none: Whether it reaches no target.
        evacuations: What it knows about evacuated data centres.
        cold: Targets that are or were cold.
        speeds: Times of attempts at targets, each sent once.
        holds: Milliseconds for which targets still reject requests of the
            sender, by incarnation of the target.
        short_services: Services for which requests wait in an order that it
            keeps.
        targets_era: Era of the version of its targets; None from an instance
            that knows no eras.
        store_era: Highest era of the platform's table service that it knows.
        targets_confirmed: Number of the version as of which its targets are
            complete; of the same era as theirs.
        targets_fingerprint: The hash of its targets' rows; None from an
            instance that knows no such hash.
        removals: Removed targets that an older copy of the table may bring
            back.
    """

    sender: Announcement
    boot: str
    sequence: int
    routes_version: int
    targets_version: int
    draining: bool
    table_unreachable: bool
    work: list[WireWork]
    penalties: dict[str, float]
    announced: list[Announcement]
    failures: dict[str, float] = {}
    requests_members: bool = False
    busy: dict[str, float] = {}
    fleet_size: int = 0
    evidence: list[wire_knowledge.WireEvidence] = []
    evidence_loaded: bool = False
    limits: list[wire_knowledge.WireLimit] = []
    draining_targets: list[str] = []
    reaches_none: bool = False
    evacuations: list[wire_knowledge.WireEvacuation] = []
    cold: list[wire_knowledge.WireCold] = []
    speeds: list[wire_knowledge.WireSpeed] = []
    holds: dict[str, int] = {}
    short_services: list[str] = []
    targets_era: int | None = None
    store_era: int | None = None
    targets_confirmed: int = 0
    targets_fingerprint: int | None = None
    removals: list[wire_knowledge.WireRemoval] = []


class PlacementRequest(msgspec.Struct, array_like=True, tag="q"):
    """Asks a shard owner where to place a request.

    Attributes:
        sender: Name of the instance that asks.
        datagrams: IP:port that the reply goes to.
        sequence: Sequence number of the last digest that the instance sent.
        call_id: Number that the reply repeats.
        query: The request to place.
    """

    sender: str
    datagrams: str
    sequence: int
    call_id: int
    query: placement_query.Query


class PlacementReply(msgspec.Struct, array_like=True, tag="a"):
    """Reply of a shard owner to a placement request.

    Attributes:
        call_id: Number of the placement request.
        owner: Name of the instance that decided.
        plan: The plan, if there is one.
        wait_s: Seconds until the request is placed again; 0 if not deferred.
        refused: Whether the request is refused.
        targets: Number of usable targets that the owner knows.
        targets_version: Number of the version of the targets that the decision
            is based on.
        staleness_s: Age of the oldest message of a peer that the decision
            relies on, in seconds.
        busy: Utilisation of the targets.
        remote: Shard of another data centre that has more capacity, if any.
        queued: Position in the waiting order, if its turn has not come.
        is_over_share: Whether its organisation is over its fair share.
        is_short: Whether requests had to wait for the shard recently.
        targets_era: Era of the version of the targets.
    """

    call_id: int
    owner: str
    plan: plans.Plan | None
    wait_s: float
    refused: bool
    targets: int
    targets_version: int
    staleness_s: float
    busy: float
    remote: spillover.RemoteShard | None
    queued: plans.Queued | None = None
    is_over_share: bool = False
    is_short: bool = False
    targets_era: int = 0


class SendRequest(msgspec.Struct, array_like=True, tag="s"):
    """Asks the owner of a target's rate limit when a request may be sent.

    Attributes:
        sender: Name of the instance that asks.
        datagrams: IP:port that the reply goes to.
        call_id: Number that the reply repeats.
        limit: The limit, as far as the sender knows.
        max_wait_ms: Time that the request can wait at most, in milliseconds.
        cold: The target, if the sender knows that it is cold.
    """

    sender: str
    datagrams: str
    call_id: int
    limit: wire_knowledge.WireLimit
    max_wait_ms: int
    cold: wire_knowledge.WireCold | None = None


class SendReply(msgspec.Struct, array_like=True, tag="g"):
    """Reply of a limit's owner to a send request.

    Attributes:
        call_id: Number of the send request.
        owner: Name of the instance that replies.
        delay_ms: Time after which the request may be sent, in milliseconds;
            None if it can't wait so long.
        next_ms: Time until the first send that is not yet granted.
    """

    call_id: int
    owner: str
    delay_ms: int | None
    next_ms: int


_Message = Digest | PlacementRequest | PlacementReply | SendRequest | SendReply
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Message)


def encode(message: _Message) -> bytes:
    """Encodes a message as a datagram."""
    data = _ENCODER.encode(message)
    if len(data) <= _COMPRESS_ABOVE_BYTES:
        return data
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode(data: bytes) -> _Message:
    """Decodes a datagram.

    Raises:
        Exception: One of `malformed.ERRORS`: the datagram holds no valid
            message.
    """
    return _DECODER.decode(_decompress(data))


def _decompress(data: bytes) -> bytes:
    if not data or data[0] != _ZLIB_HEADER:
        return data
    try:
        decompressor = zlib.decompressobj()
        return decompressor.decompress(data, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error


def encode_work(work: inflight.Work, now: float) -> WireWork:
    """Encodes work with times relative to now."""
    return WireWork(
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


def decode_work(wire: WireWork, now: float) -> inflight.Work:
    """Decodes a peer's work, with times by this instance's clock."""
    return inflight.Work(
        target=wire.target,
        prefill_s=wire.prefill_ms / _MS,
        generates=wire.generates,
        tokens=wire.tokens,
        pause_aim_s=wire.pause_ms / _MS,
        started_at=now - wire.age_ms / _MS,
        decoding=wire.decoding,
        worth=wire.worth,
        due_s=wire.due_ms / _MS,
        is_split=wire.is_split,
    )


def make_reply(
    query_id: int, decision: placement_query.Decision
) -> PlacementReply:
    """Builds the reply that holds a decision."""
    chosen = decision.choice
    wait_s = chosen.delay_s if isinstance(chosen, plans.Deferral) else 0.0
    queued = chosen if isinstance(chosen, plans.Queued) else None
    if queued is not None:
        chosen = None
    return PlacementReply(
        call_id=query_id,
        owner=decision.decided_by,
        plan=chosen if isinstance(chosen, plans.Plan | None) else chosen.plan,
        wait_s=wait_s,
        refused=isinstance(chosen, plans.Refusal),
        targets=decision.targets,
        targets_version=decision.targets_version.number,
        staleness_s=decision.staleness_s,
        busy=decision.busy,
        remote=decision.remote,
        queued=queued,
        is_over_share=decision.is_over_share,
        is_short=decision.is_short,
        targets_era=decision.targets_version.era,
    )


def read_reply(reply: PlacementReply) -> placement_query.Decision:
    """Returns the decision that a reply holds."""
    choice: plans.Choice = reply.queued or reply.plan
    if reply.refused:
        choice = plans.Refusal(reply.plan)
    elif reply.wait_s:
        choice = plans.Deferral(reply.wait_s, reply.plan)
    return placement_query.Decision(
        choice=choice,
        targets=reply.targets,
        targets_version=versions.Version(
            reply.targets_era, reply.targets_version
        ),
        decided_by=reply.owner,
        staleness_s=reply.staleness_s,
        busy=reply.busy,
        remote=reply.remote,
        is_over_share=reply.is_over_share,
        is_short=reply.is_short,
    )
