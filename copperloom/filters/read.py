"""Reads and validates the body and the headers of a request."""

import dataclasses
import math

import msgspec
from aiohttp import web

from copperloom import configuration, exception
from copperloom.filters import exchange
from copperloom.utils import malformed

__all__ = [
    "IDEMPOTENCY_KEY_HEADER",
    "NOT_REPEATABLE_HEADER",
    "RESUMABLE_HEADER",
    "TIME_LIMIT_HEADER",
    "ChatBody",
    "ChatMessage",
    "read_chat",
    "read_service",
    "set_deadline",
]

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
NOT_REPEATABLE_HEADER = "X-Copperloom-Not-Repeatable"
RESUMABLE_HEADER = "X-Copperloom-Resumable"
TIME_LIMIT_HEADER = "X-Copperloom-Time-Limit"

_MIN_TIME_LIMIT_S = 0.05
_MAX_ANSWER_TOKENS = 1_000_000
_MAX_KEY_LENGTH = 200
_READ_BYTES = 1 << 18


class ChatMessage(msgspec.Struct, frozen=True):
    """One chat message; its content is passed on without decoding.

    This is a Struct because msgspec does not support a raw field with a
    default in a data class.
    """

    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


@dataclasses.dataclass(frozen=True, slots=True)
class ChatBody:
    """The fields of a chat-completions request that the entry uses.

    Other fields, such as temperature, are accepted and ignored.
    """

    model: str
    messages: msgspec.Raw
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_BODY_DECODER = msgspec.json.Decoder(ChatBody)
_MESSAGES_DECODER = msgspec.json.Decoder(list[ChatMessage])


async def read_chat(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets the body, chat, deployment and deadline of a chat request."""
    set_deadline(ex, ex.state.settings.limits.max_time_limit_s)
    ex.body = await _read_body(ex)
    ex.chat = _decode_chat(ex.body)
    _set_deployment(ex, ex.chat.model, configuration.TargetKind.ENGINE)
    _check_answer_length(ex.chat)
    await nxt(ex)


async def read_service(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets the body, deployment and deadline of a service call."""
    set_deadline(ex, ex.state.settings.limits.max_time_limit_s)
    ex.body = await _read_body(ex)
    name = ex.http.match_info["name"]
    _set_deployment(ex, name, configuration.TargetKind.SERVICE)
    await nxt(ex)


async def _read_body(ex: exchange.Exchange) -> bytes:
    """Reads the body, and stops once it exceeds the limit."""
    limit = ex.state.settings.limits.body_bytes
    if (ex.http.content_length or 0) > limit:
        raise exception.BodyTooLargeError(
            f"the request body is larger than the limit of {limit} bytes"
        )
    chunks = []
    size = 0
    while True:
        chunk = await ex.http.content.read(_READ_BYTES)
        if not chunk:
            return b"".join(chunks)
        size += len(chunk)
        if size > limit:
            raise exception.BodyTooLargeError(
                f"the request body is larger than the limit of {limit} bytes"
            )
        chunks.append(chunk)


def _decode_chat(body: bytes) -> ChatBody:
    try:
        chat = _BODY_DECODER.decode(body)
        chat_messages = _MESSAGES_DECODER.decode(chat.messages)
    except malformed.ERRORS as error:
        raise exception.MalformedRequestError(str(error)) from error
    if not chat_messages:
        raise exception.MalformedRequestError(
            "messages must hold at least one message, but is empty"
        )
    return chat


def _check_answer_length(chat: ChatBody) -> None:
    for value in (chat.max_tokens, chat.max_completion_tokens):
        if value is not None and not 1 <= value <= _MAX_ANSWER_TOKENS:
            raise exception.MalformedRequestError(
                "max_tokens and max_completion_tokens must be from 1 to"
                f" {_MAX_ANSWER_TOKENS}"
            )


def _set_deployment(
    ex: exchange.Exchange, name: str, kind: configuration.TargetKind
) -> None:
    deployment = ex.cfg.deployments.get(name)
    if deployment is None or deployment.kind is not kind:
        raise exception.UnknownDeploymentError(
            "no deployment for this kind of request is configured under the"
            f" name {name!r}"
        )
    allowed = deployment.organisations
    if allowed and ex.organisation.name not in allowed:
        raise exception.NotAuthorisedError()
    ex.deployment = deployment
    set_deadline(ex, deployment.time_limit_s)


def set_deadline(ex: exchange.Exchange, default_s: float) -> None:
    """Sets the deadline and moves its timer.

    The timer ends a request whose target stops responding. It is also set
    before the body is read, so that a slow upload counts towards the limit.

    Args:
        ex: The request.
        default_s: Time limit if the caller sets none, in seconds.

    Raises:
        copperloom.exception.HeaderOutOfRangeError: The caller's time limit is
            out of range.
    """
    ex.deadline = ex.arrived + _time_limit_s(ex, default_s)
    if ex.deadline_timer is not None:
        ex.deadline_timer.reschedule(ex.deadline)


def _time_limit_s(ex: exchange.Exchange, default_s: float) -> float:
    max_s = ex.state.settings.limits.max_time_limit_s
    text = ex.http.headers.get(TIME_LIMIT_HEADER)
    if text is None:
        return min(default_s, max_s)
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not _MIN_TIME_LIMIT_S <= value <= max_s:
        raise exception.HeaderOutOfRangeError(
            f"{TIME_LIMIT_HEADER} must be a number from"
            f" {_MIN_TIME_LIMIT_S} to {max_s} seconds"
        )
    return value


def idempotency_key(http: web.Request) -> str:
    """Returns the idempotency key of a request, or "" if it has none."""
    key = http.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > _MAX_KEY_LENGTH or not key.isprintable():
        raise exception.HeaderOutOfRangeError(
            f"{IDEMPOTENCY_KEY_HEADER} must be printable, at most"
            f" {_MAX_KEY_LENGTH} characters long"
        )
    return key


def parse_flag(http: web.Request, header: str) -> bool | None:
    """Returns the value of a true/false header, or None if it is absent."""
    text = http.headers.get(header)
    if text is None:
        return None
    value = text.strip().lower()
    if value not in ("true", "false"):
        raise exception.HeaderOutOfRangeError(f"{header} must be true or false")
    return value == "true"
