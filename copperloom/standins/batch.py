"""Continuous batching of the engine stand-in, without input and output.

A step decodes one token of each running stream and prefills at most
`chunk_tokens` prompt tokens; prefill makes the step longer, so that a long
prompt slows the answers beside it, as on real engines. A stream takes the
memory of its prompt and its whole answer when it enters the batch and gives
it back when it is finished or cancelled, whether anybody reads it or not.
"""

import asyncio
import dataclasses
import enum
import random

from copperloom.standins import answers, cache, settings
from copperloom.targets import interface

__all__ = [
    "OVER",
    "Batch",
    "Stream",
    "StreamState",
    "add",
    "begin",
    "busy",
    "finish",
    "load",
    "remove",
]

_MS_PER_S = 1000


class StreamState(enum.StrEnum):
    """Where a stream is in its life; the last three hold no memory."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    HELD = "held"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    FAILED = "failed"


OVER = (StreamState.FINISHED, StreamState.CANCELLED, StreamState.FAILED)


@dataclasses.dataclass(eq=False, slots=True)
class Stream:
    """One stream.

    Attributes:
        name: Its name.
        owner: INSTANCE.BOOT that answers for it.
        organisation: Whose it is.
        mark: What all tokens of its answer carry.
        prompt_tokens: Tokens of its prompt.
        max_tokens: Tokens of its answer.
        priority: Greater goes first.
        prefix: For the cache.
        hold: Only fill the memory and hold it.
        order: Place in the order of arrival.
        state: Where it is.
        kv_tokens: Memory that it holds now.
        prefill_left: Prompt tokens (or their equal in time) to prefill.
        generated: Tokens generated.
        readers: Readers attached now; more than one only while one is
            being cut off.
        reader: Number of the newest reader; older ones are cut off.
        read_at: Time of the last read.
        over_at: Time at which it was over.
        changed: Set when there is something to read.
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
    order: int
    prefill_left: float
    read_at: float
    state: StreamState = StreamState.WAITING
    kv_tokens: int = 0
    generated: int = 0
    readers: int = 0
    reader: int = 0
    over_at: float = 0.0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Batch:
    """All that an engine loses when it dies.

    Attributes:
        spec: The engine's settings.
        streams: All streams by name, those over included.
        waiting: In the order in which they will enter the batch.
        prefilling: In the order in which they are prefilled.
        decoding: Streams that get a token each step.
        filled: Streams to hold, whose prefill ends with this step.
        kv_used: Memory in use, in tokens.
        cache: The prefix cache.
        arrivals: Streams ever added.
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
    """Takes a stream in, or returns None if there will be no room for it.

    Args:
        batch: The state.
        req: What was asked.
        now: Monotonic seconds.
        imported: KV tokens of other engines, to be taken in first.
    """
    spec = batch.spec
    wanted = req.prompt_tokens + (0 if req.hold else req.max_tokens)
    if wanted > spec.kv_tokens or len(batch.waiting) >= spec.max_waiting:
        return None
    if req.hold and batch.kv_used + wanted > spec.kv_tokens:
        # A part that waits would hold up the parts that have their memory.
        return None
    import_cost = imported / spec.import_tokens_per_s
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
        order=batch.arrivals,
        prefill_left=req.prompt_tokens
        + import_cost * spec.prefill_tokens_per_s,
        read_at=now,
    )
    batch.streams[stream.name] = stream
    batch.waiting.append(stream)
    batch.waiting.sort(key=_rank)
    return stream


def remove(
    batch: Batch, stream: Stream, state: StreamState, now: float
) -> None:
    """Ends a stream and gives its memory back; does nothing if it is over."""
    if stream.state in OVER:
        return
    for place in (batch.waiting, batch.prefilling, batch.decoding):
        if stream in place:
            place.remove(stream)
    batch.kv_used -= stream.kv_tokens
    stream.kv_tokens = 0
    stream.state = state
    stream.over_at = now
    stream.changed.set()


def busy(batch: Batch) -> bool:
    """Returns whether a step would do anything."""
    return bool(batch.waiting or batch.prefilling or batch.decoding)


def begin(batch: Batch, now: float) -> float:
    """Begins a step and returns the simulated seconds that it takes."""
    _enter(batch)
    spec = batch.spec
    prefilled = _prefill(batch, now)
    step_ms = spec.decode_ms + len(batch.decoding) * spec.decode_stream_ms
    return step_ms / _MS_PER_S + prefilled / spec.prefill_tokens_per_s


def finish(batch: Batch, now: float) -> None:
    """Ends the step: what it made can be read from now on."""
    for stream in batch.filled:
        if stream.state is StreamState.PREFILL:
            stream.state = StreamState.HELD
            stream.changed.set()
    batch.filled.clear()
    ended = []
    for stream in batch.decoding:
        stream.generated += 1
        stream.changed.set()
        if stream.generated >= stream.max_tokens:
            ended.append(stream)
    for stream in ended:
        remove(batch, stream, StreamState.FINISHED, now)


def load(batch: Batch, boot: str) -> interface.LoadReport:
    """Returns the load as it is now."""
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


def _rank(stream: Stream) -> tuple[int, int]:
    return (-stream.priority, stream.order)


def _enter(batch: Batch) -> None:
    """Moves streams into the batch while memory and places last."""
    spec = batch.spec
    entered = False
    while batch.waiting:
        running = len(batch.prefilling) + len(batch.decoding)
        stream = batch.waiting[0]
        answer = 0 if stream.hold else stream.max_tokens
        wanted = stream.prompt_tokens + answer
        if running >= spec.max_batch or batch.kv_used + wanted > spec.kv_tokens:
            break
        del batch.waiting[0]
        if cache.touch(batch.cache, stream.prefix):
            saved = min(spec.prefix_tokens, stream.prompt_tokens - 1)
            stream.prefill_left -= max(saved, 0)
        stream.kv_tokens = wanted
        stream.state = StreamState.PREFILL
        batch.kv_used += wanted
        batch.prefilling.append(stream)
        entered = True
    if entered:
        batch.prefilling.sort(key=_rank)


def _prefill(batch: Batch, now: float) -> float:
    """Prefills one chunk and returns its tokens.

    A stream whose prompt is done gets its first token with this same step.
    """
    budget = float(batch.spec.chunk_tokens)
    while batch.prefilling and budget > 0:
        stream = batch.prefilling[0]
        part = min(budget, stream.prefill_left)
        stream.prefill_left -= part
        budget -= part
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
