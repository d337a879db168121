"""The faults of a fake target."""

import enum

__all__ = ["Fault"]


class Fault(enum.Enum):
    """The faults that a target can inject into the answer to a request."""

    REFUSE = "refuse"
    MISDIRECTED = "misdirected"
    FAIL = "fail"
    UNSEALED = "unsealed"
    UNSEALED_LIMIT = "unsealed_limit"
    OTHERS_ANSWER = "others_answer"
    OTHERS_REFUSAL = "others_refusal"
    ENCODED = "encoded"
    TRUNCATE = "truncate"
    RESET_UNFRAMED = "reset_unframed"
    UNFRAMED = "unframed"
    UNFRAMED_HALF = "unframed_half"
    NO_CONTENT = "no_content"
    NOT_HTTP = "not_http"
    MUTE = "mute"
    RESET = "reset"
    BREAK = "break"
    HALF_EVENT = "half_event"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_LINE = "endless_line"
    ENDLESS_INTERIM = "endless_interim"
    ENDLESS_BODY = "endless_body"
    ENDLESS_CHUNKS = "endless_chunks"
    ENDLESS_SMALL_CHUNKS = "endless_small_chunks"
    ENDLESS_CHUNK_SIZE = "endless_chunk_size"
    ENDLESS_EXTENSION = "endless_extension"
    ENDLESS_TRAILERS = "endless_trailers"
    ENDLESS_REFUSAL = "endless_refusal"
    ENDLESS_EVENT = "endless_event"
    ENDLESS_EVENTS = "endless_events"
    ANNOUNCED = "announced"
