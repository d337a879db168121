"""The platform's request and response headers.

No other module knows their names and formats. `read_head` parses the headers
of a caller, `for_target` builds the headers of a request to a target, and
`read_reply` parses the headers of a target's response.
"""

import dataclasses
import re
from collections.abc import Iterable, Mapping

import multidict

__all__ = [
    "EVENT_FIELDS",
    "ReplyFacts",
    "RequestHead",
    "TargetHeaders",
    "for_caller",
    "for_check",
    "for_order",
    "for_target",
    "read_head",
    "read_prompt_parts",
    "read_reply",
]

_REQUEST_ID = "Copperloom-Request-Id"
_DEADLINE = "Copperloom-Request-Deadline"
_API_KEY = "Copperloom-Key"
_TENANT = "Copperloom-Tenant"
_EXPECT_INSTANCE = "Copperloom-Expect-Instance"
_HELPERS = "Copperloom-Helpers"
_PRIORITY = "Copperloom-Request-Priority"
_TOKEN_COUNTS = "Copperloom-Token-Counts"
_LENGTH_HINT = "Copperloom-Length-Hint"
_PROMPT_PARTS = "copperloom-prompt-prefix"
_SEAL = "Copperloom-Response-Seal"
_NOT_EXECUTED = "Copperloom-Not-Executed"
_LOAD = "Copperloom-Instance-Load"
_AT_FAULT = "At-Server"
_COLD_MS = "Copperloom-Cold-Start-Ms"
_LAST_EVENT_ID = "Last-Event-Id"
_RETRY_AFTER = "retry-after"
_LIMIT = "server-limit"
_DRAINS = "server-leaving"
_DRAINS_VALUE = "1"

# Lines of events beside the fields that every event stream may have.
EVENT_FIELDS = frozenset([b"copperloom-weight-versions"])

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
# Set by this system only. A caller that sent them could impersonate an
# organisation, or make the target refuse its request.
_RESERVED = frozenset(
    h.lower()
    for h in (
        _API_KEY,
        _TENANT,
        _EXPECT_INSTANCE,
        _HELPERS,
        _PRIORITY,
        _DEADLINE,
        _LAST_EVENT_ID,
    )
)
_MS = 1000.0
_DECIMAL = re.compile(r"\d+\.?\d*|\.\d+", re.ASCII)
# Higher limits are of no consequence.
_MAX_LIMIT_PER_S = 1_000_000.0
_PART_ID = re.compile(r"[0-9a-f]{1,64}", re.ASCII)
# Further parts of a prompt are not told apart.
_MAX_PROMPT_PARTS = 64
# Longer times are malformed: they would take the target out for good.
_MAX_RETRY_AFTER_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The parsed headers of a caller's request.

    Attributes:
        id: Request id given by the caller; "" if none.
        time_left_s: Time until the caller's deadline, in seconds; None if not
            given.
        key: API key; "" if none.
        prompt_tokens: Tokens of the prompt; 0 if not given.
        max_tokens: Maximum tokens of the answer; 0 if not given.
        length_hint: The caller's estimate of the answer's tokens; 0 if none.
        last_event_id: Id of the event after which a stream resumes; "" for
            its start.
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
    """The headers that are added to the caller's for a target.

    Attributes:
        target: Name of the target that the request is meant for.
        organisation: Organisation that holds the API key; "" on public
            routes.
        time_left_s: Time until the caller's deadline, in seconds.
        priority: 0 (first) to 9; None omits the header.
        helpers: Helper engines that prefill parts of the prompt, as
            IP:port[/TICKET].
        last_event_id: Id of the event after which the stream resumes; "" for
            its start.
    """

    target: str
    organisation: str
    time_left_s: float
    priority: int | None = None
    helpers: tuple[str, ...] = ()
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyFacts:
    """The parsed headers of a target's response.

    Attributes:
        request: Id of the request that the response belongs to; "" if not
            given.
        sealed: Whether the response carries the target's signature.
        not_run: Whether the target reports that it did not run the request.
        running: Requests in progress at the target; None if it does not
            report its load.
        waiting: Requests queued at the target.
        retry_after_text: Time to wait before a retry, as sent; None if not
            given.
        retry_after_s: That time in seconds; None if it is not a valid one.
        at_fault: Helper engine that caused the failure of a split request;
            "" if none.
        encoded: Whether the body has a content encoding.
        limit_text: The limit that the target names, as sent; None if it names
            none.
        limit_per_s: That limit in requests per second, for all instances
            together; None if it is not a valid number.
        drains_text: What the target says about draining, as sent; None if it
            says nothing.
        drains: Whether that means that it drains.
        cold_s: How much longer the target is cold, in seconds; None if it says
            nothing valid.
    """

    request: str
    sealed: bool
    not_run: bool
    running: int | None
    waiting: int
    retry_after_text: str | None
    retry_after_s: float | None
    at_fault: str
    encoded: bool
    limit_text: str | None = None
    limit_per_s: float | None = None
    drains_text: str | None = None
    drains: bool = False
    cold_s: float | None = None


def read_head(headers: Mapping[str, str]) -> RequestHead:
    """Parses a caller's headers; malformed values count as not given."""
    prompt, _, answer = headers.get(_TOKEN_COUNTS, "").partition(",")
    time_left_ms = _parse_number(headers.get(_DEADLINE))
    return RequestHead(
        id=headers.get(_REQUEST_ID, ""),
        time_left_s=None if time_left_ms is None else time_left_ms / _MS,
        key=headers.get(_API_KEY, ""),
        prompt_tokens=int(_parse_number(prompt) or 0),
        max_tokens=int(_parse_number(answer) or 0),
        length_hint=int(_parse_number(headers.get(_LENGTH_HINT)) or 0),
        last_event_id=headers.get(_LAST_EVENT_ID, ""),
    )


def read_prompt_parts(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Parses the parts of a prompt that other requests may share.

    Returns:
        Their ids in order, each once, in lower case and without leading
        zeros; malformed entries and the request's own last part are left out.
    """
    entries = (_all_values(headers, _PROMPT_PARTS) or "").split(",")
    ids = [e.partition(":")[0].strip().lower() for e in entries[:-1]]
    valid = [i.lstrip("0") or "0" for i in ids if _PART_ID.fullmatch(i)]
    return tuple(dict.fromkeys(valid))[:_MAX_PROMPT_PARTS]


def for_target(
    given: Iterable[tuple[str, str]], added: TargetHeaders
) -> multidict.CIMultiDict[str]:
    """Builds the headers of a request to a target.

    Args:
        given: The caller's headers.
        added: The headers that this system sets.

    Returns:
        The caller's headers except hop-by-hop and reserved ones, followed by
        the headers that this system sets.
    """
    given = list(given)
    dropped = _HOP_BY_HOP | _RESERVED | _named_by_connection(given)
    out = multidict.CIMultiDict(
        (k, v) for k, v in given if k.lower() not in dropped
    )
    out[_DEADLINE] = str(max(1, int(added.time_left_s * _MS)))
    out[_EXPECT_INSTANCE] = added.target
    if added.organisation:
        out[_TENANT] = added.organisation
    if added.priority is not None:
        out[_PRIORITY] = str(added.priority)
    if added.helpers:
        out[_HELPERS] = ",".join(added.helpers)
    if added.last_event_id:
        out[_LAST_EVENT_ID] = added.last_event_id
    return out


def for_order(target: str) -> dict[str, str]:
    """Builds the headers of an order to a target."""
    return {_EXPECT_INSTANCE: target, "Content-Type": "application/json"}


def for_check(target: str) -> dict[str, str]:
    """Builds the headers of a check whether a target answers."""
    return {_EXPECT_INSTANCE: target}


def for_caller(
    given: Iterable[tuple[str, str]],
) -> multidict.CIMultiDict[str]:
    """Builds the headers of a response from those of a target."""
    given = list(given)
    dropped = _HOP_BY_HOP | _named_by_connection(given)
    return multidict.CIMultiDict(
        (k, v) for k, v in given if k.lower() not in dropped
    )


def read_reply(headers: Mapping[str, str]) -> ReplyFacts:
    """Parses the headers of a target's response."""
    running, waiting = _parse_load(headers.get(_LOAD))
    limit_text = _all_values(headers, _LIMIT)
    drains_text = _all_values(headers, _DRAINS)
    retry_after_text = _all_values(headers, _RETRY_AFTER)
    cold_ms = _parse_number(headers.get(_COLD_MS))
    return ReplyFacts(
        request=headers.get(_REQUEST_ID, ""),
        sealed=bool(headers.get(_SEAL)),
        not_run=_NOT_EXECUTED in headers,
        running=running,
        waiting=waiting,
        retry_after_text=retry_after_text,
        retry_after_s=_parse_retry_after(retry_after_text or ""),
        at_fault=headers.get(_AT_FAULT, ""),
        encoded="Content-Encoding" in headers,
        limit_text=limit_text,
        limit_per_s=_parse_limit(limit_text or ""),
        drains_text=drains_text,
        drains=_parse_drains(drains_text or ""),
        cold_s=None if cold_ms is None else cold_ms / _MS,
    )


def _all_values(headers: Mapping[str, str], name: str) -> str | None:
    """Returns all values of a header, separated by commas; None without any.

    Args:
        headers: The headers.
        name: Name of the header, in lower case.
    """
    values = [v for k, v in headers.items() if k.lower() == name]
    return ",".join(values) if values else None


def _parse_load(text: str | None) -> tuple[int | None, int]:
    """Parses "RUNNING,WAITING,SLOTS" into running and waiting requests."""
    parts = (text or "").split(",")
    if len(parts) < 2:
        return None, 0
    running, waiting = _parse_number(parts[0]), _parse_number(parts[1])
    if running is None or waiting is None:
        return None, 0
    return int(running), int(waiting)


def _parse_limit(text: str) -> float | None:
    """Parses the lowest of the limits in a list; None without a valid one."""
    valid = [min(number, _MAX_LIMIT_PER_S) for number in _parse_decimals(text)]
    return min(valid, default=None)


def _parse_drains(text: str) -> bool:
    """Returns whether all values in a list say that the target drains."""
    return {part.strip() for part in text.split(",")} == {_DRAINS_VALUE}


def _parse_retry_after(text: str) -> float | None:
    """Parses the longest of the times in a list; None without a valid one."""
    valid = [n for n in _parse_decimals(text) if n <= _MAX_RETRY_AFTER_S]
    return max(valid, default=None)


def _parse_decimals(text: str) -> list[float]:
    """Parses the decimal numbers in a list, and leaves out all other parts."""
    parts = map(str.strip, text.split(","))
    return [float(part) for part in parts if _DECIMAL.fullmatch(part)]


def _named_by_connection(given: list[tuple[str, str]]) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for k, v in given
        if k.lower() == "connection"
        for token in v.split(",")
    )


def _parse_number(text: str | None) -> float | None:
    """Parses a finite, non-negative number; returns None for other text."""
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    if value is None or not 0 <= value < float("inf"):
        return None
    return value
