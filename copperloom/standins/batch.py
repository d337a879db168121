"""Continuous batching of the engine stand-in, without any I/O.

An iteration decodes one token of each running stream and prefills at most
`chunk_tokens` prompt tokens. Prefill lengthens the iteration, so a long prompt
slows down the answers in the same batch, as on real engines. A stream reserves
KV memory for its prompt and its whole answer when it enters the batch, and
releases it when it finishes or is cancelled, whether a client reads it or not.
"""

import asyncio
import dataclasses
import enum
import random

from copperloom.standins import answers, cache, settings
from copperloom.targets import interface

__all__ = [
    "ENDED_STATES",
    "Batch",
    "Stream",
    "StreamState",
    "add",
    "begin_iteration",
    "finish_iteration",
    "has_work",
    "load",
    "remove",
]

_MS_PER_S = 1000


class StreamState(enum.StrEnum):
    """State of a stream; those in `ENDED_STATES` occupy no KV memory."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    HELD = "held"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


ENDED_STATES = (StreamState.FINISHED, StreamState.CANCELLED, StreamState.FAILED)


@dataclasses.dataclass(eq=False, slots=True)
class Stream:
    """A stream of the engine.

    Attributes:
        name: Unique name of the stream.
        owner: INSTANCE.BOOT of the entry that owns the stream.
        organisation: Organisation that the stream belongs to.
        mark: Digest of the prompt; part of each token of the answer.
        prompt_tokens: Length of the prompt, in tokens.
        max_tokens: Length of the answer, in tokens.
        priority: Streams with a greater priority go first.
        prefix: Hash of the prompt's start, for the prefix cache.
        hold: Whether to only prefill the prompt and hold its KV memory.
        arrival_number: Position in the order of arrival.
        prefill_left: Work left to prefill, in prompt tokens; includes the
            import of KV memory, converted by its duration.
        last_read_at: When a client last read the stream (monotonic seconds).
        state: State of the stream.
        kv_tokens: KV memory that the stream occupies, in tokens.
        generated: Tokens generated so far.
        readers: Number of attached readers; more than one only until a
            superseded reader is disconnected.
        latest_reader: Number of the latest reader, which supersedes the
            earlier ones.
        ended_at: When the stream ended (monotonic seconds).
        changed: Set when a reader has something to do.
    """

    name: str
    owner: str
    organisation: str
    mark: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    prefix: str
    hold: bool
    arrival_number: int
    prefill_left: float
    last_read_at: float
    state: StreamState = StreamState.WAITING
    kv_tokens: int = 0
    generated: int = 0
    readers: int = 0
    latest_reader: int = 0
    ended_at: float = 0.0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Batch:
    """Streams, KV memory and prefix cache of an engine.

    Attributes:
        spec: Settings of the engine.
        streams: All streams by name, including those that have ended.
        waiting: Queued streams, in the order in which they enter the batch.
        prefilling: Streams in prefill, in the order of their prefill.
        decoding: Streams that get one token per iteration.
        filled: Streams to hold whose prefill completes with this iteration.
        kv_used: KV memory in use, in tokens.
        cache: The prefix cache.
        arrivals: Number of streams added so far.
    """

    def __init__(self, spec: settings.EngineSection, rng: random.Random):
        self.spec = spec
        self.streams: dict[str, Stream] = {}
        self.waiting: list[Stream] = []
        self.prefilling: list[Stream] = []
        self.decoding: list[Stream] = []
        self.filled: list[Stream] = []
        self.kv_used = 0
        self.cache = cache.PrefixCache(
            spec.cache_tokens // spec.prefix_tokens, spec.event_loss, rng
        )
        self.arrivals = 0


def add(
    batch: Batch, req: interface.StreamOpen, now: float, *, imported: int = 0
) -> Stream | None:
    """Queues a stream.

    Args:
        batch: The batch to add the stream to.
        req: The request that opens the stream.
        now: Monotonic time in seconds.
        imported: KV tokens to import from other engines before prefill.

    Returns:
        The stream, or None if it is refused for lack of KV memory or because
        the queue is full.
    """
    spec = batch.spec
    needed_tokens = req.prompt_tokens + (0 if req.hold else req.max_tokens)
    if needed_tokens > spec.kv_tokens or len(batch.waiting) >= spec.max_waiting:
        return None
    if req.hold and batch.kv_used + needed_tokens > spec.kv_tokens:
        # Parts of one prompt that wait for memory on some engines while
        # they occupy it on others could block each other.
        return None
    import_s = imported / spec.import_tokens_per_s
    batch.arrivals += 1
    stream = Stream(
        name=req.stream,
        owner=req.owner,
        organisation=req.organisation,
        mark=answers.digest(req.organisation, req.deployment, req.messages),
        prompt_tokens=req.prompt_tokens,
        max_tokens=req.max_tokens,
        priority=req.priority,
        prefix=req.prefix,
        hold=req.hold,
        arrival_number=batch.arrivals,
        prefill_left=req.prompt_tokens + import_s * spec.prefill_tokens_per_s,
        last_read_at=now,
    )
    batch.streams[stream.name] = stream
    batch.waiting.append(stream)
    batch.waiting.sort(key=_queue_key)
    return stream


def remove(
    batch: Batch, stream: Stream, state: StreamState, now: float
) -> None:
    """Ends a stream and releases its memory, unless it has already ended."""
    if stream.state in ENDED_STATES:
        return
    for queue in (batch.waiting, batch.prefilling, batch.decoding):
        if stream in queue:
            queue.remove(stream)
    batch.kv_used -= stream.kv_tokens
    stream.kv_tokens = 0
    stream.state = state
    stream.ended_at = now
    stream.changed.set()


def has_work(batch: Batch) -> bool:
    """Returns whether there are streams that wait or run."""
    return bool(batch.waiting or batch.prefilling or batch.decoding)


def begin_iteration(batch: Batch, now: float) -> float:
    """Starts an iteration and returns its duration in simulated seconds."""
    _admit(batch)
    spec = batch.spec
    prefilled_tokens = _prefill(batch, now)
    iteration_ms = spec.decode_ms + len(batch.decoding) * spec.decode_stream_ms
    return (
        iteration_ms / _MS_PER_S + prefilled_tokens / spec.prefill_tokens_per_s
    )


def finish_iteration(batch: Batch, now: float) -> None:
    """Ends the iteration and makes its tokens available to readers."""
    for stream in batch.filled:
        if stream.state is StreamState.PREFILL:
            stream.state = StreamState.HELD
            stream.changed.set()
    batch.filled.clear()
    finished = []
    for stream in batch.decoding:
        stream.generated += 1
        stream.changed.set()
        if stream.generated >= stream.max_tokens:
            finished.append(stream)
    for stream in finished:
        remove(batch, stream, StreamState.FINISHED, now)


def load(batch: Batch, boot: str) -> interface.LoadReport:
    """Returns a report of the present load."""
    return interface.LoadReport(
        boot=boot,
        kv_used=batch.kv_used,
        kv_tokens=batch.spec.kv_tokens,
        running=len(batch.prefilling) + len(batch.decoding),
        waiting=len(batch.waiting),
        prefill_tokens=int(
            sum(s.prefill_left for s in batch.waiting + batch.prefilling)
        ),
        age_s=0.0,
    )


def _queue_key(stream: Stream) -> tuple[int, int]:
    return (-stream.priority, stream.arrival_number)


def _admit(batch: Batch) -> None:
    """Moves waiting streams into the batch as far as there is capacity."""
    spec = batch.spec
    admitted = False
    while batch.waiting:
        running = len(batch.prefilling) + len(batch.decoding)
        stream = batch.waiting[0]
        answer_tokens = 0 if stream.hold else stream.max_tokens
        needed_tokens = stream.prompt_tokens + answer_tokens
        if (
            running >= spec.max_batch
            or batch.kv_used + needed_tokens > spec.kv_tokens
        ):
            break
        del batch.waiting[0]
        if cache.touch(batch.cache, stream.prefix):
            cached_tokens = min(spec.prefix_tokens, stream.prompt_tokens - 1)
            stream.prefill_left -= max(cached_tokens, 0)
        stream.kv_tokens = needed_tokens
        stream.state = StreamState.PREFILL
        batch.kv_used += needed_tokens
        batch.prefilling.append(stream)
        admitted = True
    if admitted:
        batch.prefilling.sort(key=_queue_key)


def _prefill(batch: Batch, now: float) -> float:
    """Prefills up to one chunk and returns the tokens prefilled.

    A stream whose prefill completes gets its first token in this iteration.
    """
    budget = float(batch.spec.chunk_tokens)
    while batch.prefilling and budget > 0:
        stream = batch.prefilling[0]
        chunk = min(budget, stream.prefill_left)
        stream.prefill_left -= chunk
        budget -= chunk
        if stream.prefill_left > 0:
            break
        del batch.prefilling[0]
        cache.store(batch.cache, stream.prefix, now)
        if stream.hold:
            batch.filled.append(stream)
        else:
            stream.state = StreamState.DECODE
            batch.decoding.append(stream)
    return batch.spec.chunk_tokens - budget
