"""What engines and plain services give, as the rest of the package sees it.

Targets are met through a `Targets` record of functions, made for a protocol
by a module such as `copperloom.targets.http`. All functions take the target's
address. They raise `TargetUnreachableError` (no connection: not run),
`TargetRefusedError` (its own word that it was not run), `TargetFailedError`
(ran and failed) or `StreamBrokenError` (broke off: may have run).
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
    """Asks an engine to start a stream under a name that the entry chose.

    Attributes:
        stream: Unique name, INSTANCE.BOOT.SEQUENCE[.PART]; a cancel with it
            works even if the reply to this was lost, and also if it arrives
            before this.
        owner: INSTANCE.BOOT of the entry that answers for it.
        organisation: Whose it is; only they may resume it.
        deployment: Deployment name.
        model: Model name.
        messages: The chat messages (raw JSON).
        prompt_tokens: The entry's estimate.
        max_tokens: Most tokens to generate.
        priority: Greater goes first at the engine.
        prefix: Hash of the prompt's start, for the prefix cache.
        key: The idempotency key ("" if none), for the engine's own records.
        hold: Only fill the KV memory and hold it for export (a part of a
            prompt that is larger than one engine).
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
    """Part of an answer.

    Attributes:
        stream: The stream's name; a piece of another stream is an error.
        offset: Tokens before this piece.
        text: Its text.
        tokens: Tokens in it.
        final: "" or why the answer ended ("stop", "length"); an answer
            without a final piece is not whole.
    """

    stream: str
    offset: int
    text: str
    tokens: int = 1
    final: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamInfo:
    """An engine's own account of one stream.

    Attributes:
        stream: Its name.
        owner: INSTANCE.BOOT that answers for it.
        kv_tokens: KV memory that it holds.
        attached: Whether somebody reads it now.
        idle_s: Seconds since somebody last read it.
    """

    stream: str
    owner: str
    kv_tokens: int
    attached: bool
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's lagging report.

    Attributes:
        boot: Changes when the engine restarts.
        kv_used: KV tokens in use.
        kv_tokens: KV tokens in all.
        running: Streams in the batch.
        waiting: Streams waiting at the engine.
        prefill_tokens: Prompt tokens that still wait for prefill.
        age_s: How old the figures are.
        leaving: The target's own word that it takes no new work.
        models: Models loaded.
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
    """A prefix was stored in an engine's cache or removed from it.

    Attributes:
        sequence: Grows by one an event; a gap means that events were lost.
        prefix: Hash of the prefix.
        stored: True if stored, False if removed.
    """

    sequence: int
    prefix: str
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        kind: "load_model", "load_adapter", "set_version" or "set_role".
        value: What to load or set.
        fencing: The fencing number of whoever gives it.
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
        content_type: Of the body.
        request: Request id, passed on as a header.
        key: Idempotency key ("" if none), passed on as a header.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    request: str
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """A plain service's whole reply."""

    status: int
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True)
class Targets:
    """Engines and services of one protocol as a record of functions.

    Attributes:
        open: (address, StreamOpen, *, timeout_s) -> async iterator of lists of
            Piece; the first list comes with the first token.
        resume: (address, stream, offset, owner, organisation, *, timeout_s) ->
            the same from an offset on; owner takes the stream over. Raises
            StreamUnknownError.
        cancel: (address, stream, *, timeout_s) -> None; returns once the
            engine confirmed that the stream's memory is free and that a late
            start under this name will be refused.
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
