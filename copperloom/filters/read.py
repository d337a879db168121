"""Reads body and headers of a request, within limits."""

import dataclasses
import math

import msgspec
from aiohttp import web

from copperloom import configuration, exception
from copperloom.filters import exchange

__all__ = [
    "KEY_HEADER",
    "NOT_REPEATABLE_HEADER",
    "RESUMABLE_HEADER",
    "TIME_LIMIT_HEADER",
    "ChatBody",
    "ChatMessage",
    "read_chat",
    "read_service",
    "set_deadline",
]

KEY_HEADER = "Idempotency-Key"
NOT_REPEATABLE_HEADER = "X-Copperloom-Not-Repeatable"
RESUMABLE_HEADER = "X-Copperloom-Resumable"
TIME_LIMIT_HEADER = "X-Copperloom-Time-Limit"

_LEAST_TIME_LIMIT_S = 0.05
_MOST_ANSWER_TOKENS = 1_000_000
_LONGEST_KEY = 200
_CHUNK_BYTES = 1 << 18


class ChatMessage(msgspec.Struct, frozen=True):
    """One message; its content is passed on unread.

    A Struct, since msgspec takes no raw field with a default in a data class.
    """

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


@dataclasses.dataclass(frozen=True, slots=True)
class ChatBody:
    """The parts of a chat-completions request that the entry looks at.

    Fields not named here, such as temperature, are accepted and ignored.
    """

    model: str
    messages: msgspec.Raw
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_DECODER = msgspec.json.Decoder(ChatBody)
_MESSAGES = msgspec.json.Decoder(list[ChatMessage])


async def read_chat(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.body, ex.chat, ex.deployment and ex.deadline."""
    set_deadline(ex, ex.state.settings.limits.max_time_limit_s)
    ex.body = await _body(ex)
    ex.chat = _decode(ex.body)
    _deployment(ex, ex.chat.model, configuration.TargetKind.ENGINE)
    _check_answer_length(ex.chat)
    await nxt(ex)


async def read_service(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.body, ex.deployment and ex.deadline."""
    set_deadline(ex, ex.state.settings.limits.max_time_limit_s)
    ex.body = await _body(ex)
    name = ex.http.match_info["name"]
    _deployment(ex, name, configuration.TargetKind.SERVICE)
    await nxt(ex)


async def _body(ex: exchange.Exchange) -> bytes:
    """Reads the body; a body over the limit is not read to its end."""
    limit = ex.state.settings.limits.body_bytes
    if (ex.http.content_length or 0) > limit:
        raise exception.BodyTooLargeError(f"over {limit} bytes")
    parts = []
    size = 0
    while True:
        part = await ex.http.content.read(_CHUNK_BYTES)
        if not part:
            return b"".join(parts)
        size += len(part)
        if size > limit:
            raise exception.BodyTooLargeError(f"over {limit} bytes")
        parts.append(part)


def _decode(body: bytes) -> ChatBody:
    try:
        chat = _DECODER.decode(body)
        found = _MESSAGES.decode(chat.messages)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise exception.MalformedRequestError(str(error)) from error
    if not found:
        raise exception.MalformedRequestError("messages is empty")
    return chat


def _check_answer_length(chat: ChatBody) -> None:
    for value in (chat.max_tokens, chat.max_completion_tokens):
        if value is not None and not 1 <= value <= _MOST_ANSWER_TOKENS:
            raise exception.MalformedRequestError(
                f"max_tokens must be 1 to {_MOST_ANSWER_TOKENS}"
            )


def _deployment(
    ex: exchange.Exchange, name: str, kind: configuration.TargetKind
) -> None:
    found = ex.cfg.deployments.get(name)
    if found is None or found.kind is not kind:
        raise exception.UnknownDeploymentError(f"no deployment {name!r}")
    allowed = found.organisations
    if allowed and ex.organisation.name not in allowed:
        raise exception.NotAuthorisedError()
    ex.deployment = found
    set_deadline(ex, found.time_limit_s)


def set_deadline(ex: exchange.Exchange, default_s: float) -> None:
    """Sets the deadline, and moves the time limit that the filters run under.

    Without the second, nothing ends a request whose target falls silent: its
    caller waits for hours. It is set before the body is read too, so that a
    slow upload counts.
    """
    ex.deadline = ex.arrived + _time_limit(ex, default_s)
    if ex.limit is not None:
        ex.limit.reschedule(ex.deadline)


def _time_limit(ex: exchange.Exchange, default_s: float) -> float:
    most = ex.state.settings.limits.max_time_limit_s
    text = ex.http.headers.get(TIME_LIMIT_HEADER)
    if text is None:
        return min(default_s, most)
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not _LEAST_TIME_LIMIT_S <= value <= most:
        raise exception.HeaderOutOfRangeError(
            f"{TIME_LIMIT_HEADER} must be {_LEAST_TIME_LIMIT_S} to {most} s"
        )
    return value


def idempotency_key(http: web.Request) -> str:
    """Returns the key of a request, "" if it has none."""
    key = http.headers.get(KEY_HEADER, "")
    if len(key) > _LONGEST_KEY or not key.isprintable():
        raise exception.HeaderOutOfRangeError(
            f"{KEY_HEADER} must be printable and at most {_LONGEST_KEY} long"
        )
    return key


def flag(http: web.Request, header: str) -> bool | None:
    """Returns a true/false header's value, None if it is not given."""
    text = http.headers.get(header)
    if text is None:
        return None
    word = text.strip().lower()
    if word not in ("true", "false"):
        raise exception.HeaderOutOfRangeError(f"{header}: true or false")
    return word == "true"
