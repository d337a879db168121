"""The platform's request and answer headers, met in this module alone.

`read_head` turns a caller's headers into a typed head; `for_target` makes the
headers that go to a target; `read_reply` says what a target's headers tell.
"""

import dataclasses
from collections.abc import Iterable, Mapping

import multidict

__all__ = [
    "ReplyFacts",
    "RequestHead",
    "TargetHeaders",
    "for_caller",
    "for_order",
    "for_target",
    "read_head",
    "read_reply",
]

_REQUEST_ID = "Copperloom-Request-Id"
_DEADLINE = "Copperloom-Request-Deadline"
_KEY = "Copperloom-Key"
_TENANT = "Copperloom-Tenant"
_EXPECT_INSTANCE = "Copperloom-Expect-Instance"
_HELPERS = "Copperloom-Helpers"
_PRIORITY = "Copperloom-Request-Priority"
_TOKENS = "Copperloom-Token-Counts"
_HINT = "Copperloom-Length-Hint"
_SEAL = "Copperloom-Response-Seal"
_NOT_EXECUTED = "Copperloom-Not-Executed"
_LOAD = "Copperloom-Instance-Load"
_AT_FAULT = "At-Server"
_LAST_EVENT_ID = "Last-Event-Id"
_RETRY_AFTER = "Retry-After"

_HOP_BY_HOP = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
# Set by this side only. A caller that could send them would choose its own
# organisation, or be refused by the target that it was placed at.
_OURS = frozenset(
    h.lower()
    for h in (
        _KEY,
        _TENANT,
        _EXPECT_INSTANCE,
        _HELPERS,
        _PRIORITY,
        _DEADLINE,
        _LAST_EVENT_ID,
    )
)
_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller's headers say.

    Attributes:
        id: Its name for this request; "" if it gave none.
        time_left_s: How long it waits; None if it did not say.
        key: API key, "" if none.
        prompt_tokens: Tokens of the prompt, 0 if not stated.
        max_tokens: Most tokens of the answer.
        length_hint: Its guess of the answer's tokens, 0 if none.
        last_event_id: Where a resumed stream goes on, "" from the start.
    """

    id: str
    time_left_s: float | None
    key: str
    prompt_tokens: int
    max_tokens: int
    length_hint: int
    last_event_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHeaders:
    """What this side tells a target besides the caller's own headers.

    Attributes:
        target: Name of the target that is meant.
        organisation: Name of the key's holder; "" on public routes.
        time_left_s: How long the caller still waits.
        priority: 0 to 9, 0 goes first; None sends none.
        helpers: Targets that read parts of the prompt: IP:port[/TICKET].
        last_event_id: Where the stream goes on, "" from the start.
    """

    target: str
    organisation: str
    time_left_s: float
    priority: int | None = None
    helpers: tuple[str, ...] = ()
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyFacts:
    """What a target's headers say of its answer.

    Attributes:
        request: The request that the answer belongs to, "" if not said.
        sealed: Whether the answer bears the target's signature.
        not_run: Whether the target says that it did not run the request.
        running: Requests it works on; None if it does not tell its load.
        waiting: Requests that wait there.
        retry_after_s: When it wants to be asked again, None if not said.
        at_fault: The helper that made a request in parts fail, "" if none.
        encoded: Whether the body is not as the target made it.
    """

    request: str
    sealed: bool
    not_run: bool
    running: int | None
    waiting: int
    retry_after_s: float | None
    at_fault: str
    encoded: bool


def read_head(headers: Mapping[str, str]) -> RequestHead:
    """Reads a caller's headers; what can't be read counts as not given."""
    prompt, _, answer = headers.get(_TOKENS, "").partition(",")
    left_ms = _number(headers.get(_DEADLINE))
    return RequestHead(
        id=headers.get(_REQUEST_ID, ""),
        time_left_s=None if left_ms is None else left_ms / _MS,
        key=headers.get(_KEY, ""),
        prompt_tokens=int(_number(prompt) or 0),
        max_tokens=int(_number(answer) or 0),
        length_hint=int(_number(headers.get(_HINT)) or 0),
        last_event_id=headers.get(_LAST_EVENT_ID, ""),
    )


def for_target(
    given: Iterable[tuple[str, str]], own: TargetHeaders
) -> multidict.CIMultiDict[str]:
    """Makes the headers of a request to a target.

    Args:
        given: The caller's headers.
        own: What this side sets.

    Returns:
        The caller's headers without those of one connection and without
        those that only this side may set, and then this side's.
    """
    given = list(given)
    dropped = _HOP_BY_HOP | _OURS | _named_by_connection(given)
    out = multidict.CIMultiDict(
        (k, v) for k, v in given if k.lower() not in dropped
    )
    out[_DEADLINE] = str(max(1, int(own.time_left_s * _MS)))
    out[_EXPECT_INSTANCE] = own.target
    if own.organisation:
        out[_TENANT] = own.organisation
    if own.priority is not None:
        out[_PRIORITY] = str(own.priority)
    if own.helpers:
        out[_HELPERS] = ",".join(own.helpers)
    if own.last_event_id:
        out[_LAST_EVENT_ID] = own.last_event_id
    return out


def for_order(target: str) -> dict[str, str]:
    """Makes the headers of an order that is meant for one target."""
    return {_EXPECT_INSTANCE: target, "Content-Type": "application/json"}


def for_caller(
    given: Iterable[tuple[str, str]],
) -> multidict.CIMultiDict[str]:
    """Makes the headers of an answer from a target's."""
    given = list(given)
    dropped = _HOP_BY_HOP | _named_by_connection(given)
    return multidict.CIMultiDict(
        (k, v) for k, v in given if k.lower() not in dropped
    )


def read_reply(headers: Mapping[str, str]) -> ReplyFacts:
    """Reads a target's headers."""
    running, waiting = _load(headers.get(_LOAD))
    return ReplyFacts(
        request=headers.get(_REQUEST_ID, ""),
        sealed=bool(headers.get(_SEAL)),
        not_run=_NOT_EXECUTED in headers,
        running=running,
        waiting=waiting,
        retry_after_s=_number(headers.get(_RETRY_AFTER)),
        at_fault=headers.get(_AT_FAULT, ""),
        encoded="Content-Encoding" in headers,
    )


def _load(text: str | None) -> tuple[int | None, int]:
    """Reads "RUNNING,WAITING,SLOTS"."""
    parts = (text or "").split(",")
    if len(parts) < 2:
        return None, 0
    running, waiting = _number(parts[0]), _number(parts[1])
    if running is None or waiting is None:
        return None, 0
    return int(running), int(waiting)


def _named_by_connection(given: list[tuple[str, str]]) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for k, v in given
        if k.lower() == "connection"
        for token in v.split(",")
    )


def _number(text: str | None) -> float | None:
    """Reads a finite number that is not negative, None if it is none."""
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    if value is None or not 0 <= value < float("inf"):
        return None
    return value
