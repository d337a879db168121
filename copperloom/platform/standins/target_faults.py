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
