"""The interface of model engines and plain services.

Targets are used through a `Targets` record of functions, which a module for
their protocol builds, such as `copperloom.targets.http`. All functions except
`close` take the target's address. They raise `TargetUnreachableError` (no
connection: not run), `TargetRefusedError` (the target reports that it did not
run the work), `TargetFailedError` (ran and failed) or `StreamBrokenError`
(interrupted: may have run).
"""

import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable

__all__ = [
    "CacheEvent",
    "LoadReport",
    "Order",
    "Piece",
    "ServiceCall",
    "ServiceReply",
    "StreamInfo",
    "StreamOpen",
    "Targets",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOpen:
    """A request to an engine to start a stream.

    The entry names the stream, so that it can cancel it even if the reply is
    lost, or if the cancel arrives before the request.

    Attributes:
        stream: Unique name, INSTANCE.BOOT.SEQUENCE[.PART].
        owner: INSTANCE.BOOT of the entry that owns the stream.
        organisation: Organisation of the request; only it may resume the
            stream.
        deployment: Deployment name.
        model: Model name.
        messages: Chat messages (raw JSON).
        prompt_tokens: Estimated tokens of the prompt.
        max_tokens: Maximum number of tokens to generate.
        priority: Priority at the engine; greater goes first.
        prefix: Hash of the prompt's start, for the prefix cache.
        key: Idempotency key ("" if none), for the engine's own records.
        hold: Whether to only fill the KV memory and hold it for export (a part
            of a prompt that exceeds one engine's memory).
        imports: KV handles of other engines' parts (ADDRESS/STREAM).
    """

    stream: str
    owner: str
    organisation: str
    deployment: str
    model: str
    messages: bytes
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    prefix: str = ""
    key: str = ""
    hold: bool = False
    imports: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """A chunk of an answer.

    Attributes:
        stream: Name of the stream that the piece belongs to.
        offset: Tokens of the answer before this piece.
        text: Text of the piece.
        tokens: Tokens in the piece.
        final: Why the answer ended ("stop", "length"), or "" if more pieces
            follow; an answer without a final piece is incomplete.
    """

    stream: str
    offset: int
    text: str
    tokens: int = 1
    final: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamInfo:
    """A stream as its engine lists it.

    Attributes:
        stream: Name of the stream.
        owner: INSTANCE.BOOT of the entry that owns the stream.
        kv_tokens: KV memory that the stream occupies, in tokens.
        attached: Whether a client is reading the stream.
        idle_s: Seconds since a client last read the stream.
    """

    stream: str
    owner: str
    kv_tokens: int
    attached: bool
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's report of its load, which may lag behind.

    Attributes:
        boot: Boot id; changes when the engine restarts.
        kv_used: KV memory in use, in tokens.
        kv_tokens: KV memory in total, in tokens.
        running: Streams in the batch.
        waiting: Streams in the engine's queue.
        prefill_tokens: Prompt tokens that are waiting for prefill.
        age_s: Age of the figures, in seconds.
        leaving: Whether the target is draining and takes no new work.
        models: Names of the loaded models.
    """

    boot: str
    kv_used: int
    kv_tokens: int
    running: int
    waiting: int
    prefill_tokens: int
    age_s: float
    leaving: bool = False
    models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Sequence number; a gap means that events were lost.
        prefix: Hash of the prefix.
        stored: True if stored, False if removed.
    """

    sequence: int
    prefix: str
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A management order to an engine.

    Attributes:
        kind: "load_model", "load_adapter", "set_version" or "set_role".
        value: Name of what to load, or the value to set.
        fencing: Fencing number of the sender.
    """

    kind: str
    value: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Attributes:
        method: HTTP method.
        path: Path and query.
        body: Raw body.
        content_type: Content type of the body.
        request: Request id, sent as a header.
        key: Idempotency key ("" if none), sent as a header.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    request: str
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """A complete reply of a plain service."""

    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True)
class Targets:
    """The functions of a client of engines and services of one protocol.

    Attributes:
        open: (address, StreamOpen, *, timeout_s) -> async iterator of lists of
            Piece; the first list arrives with the first token.
        resume: (address, stream, offset, owner, organisation, *, timeout_s) ->
            the same from an offset on; owner becomes the stream's owner.
            Raises StreamUnknownError.
        cancel: (address, stream, *, timeout_s) -> None; returns once the
            engine has confirmed that the stream's memory is free and that a
            late start under this name will be refused.
        streams: (address, *, timeout_s) -> list of StreamInfo.
        load: (address, *, timeout_s) -> LoadReport.
        cache_events: (address, after, *, timeout_s) -> list of CacheEvent.
        order: (address, Order, *, timeout_s) -> None. Raises
            OrderRefusedError.
        call: (address, ServiceCall, *, timeout_s) -> ServiceReply.
        close: () -> None.
    """

    open: Callable[..., AsyncIterator[list[Piece]]]
    resume: Callable[..., AsyncIterator[list[Piece]]]
    cancel: Callable[..., Awaitable[None]]
    streams: Callable[..., Awaitable[list[StreamInfo]]]
    load: Callable[..., Awaitable[LoadReport]]
    cache_events: Callable[..., Awaitable[list[CacheEvent]]]
    order: Callable[..., Awaitable[None]]
    call: Callable[..., Awaitable[ServiceReply]]
    close: Callable[[], Awaitable[None]]
