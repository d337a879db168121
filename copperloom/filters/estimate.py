"""Makes the request that the decisions see."""

import xxhash

from copperloom import messages
from copperloom.filters import exchange, read

__all__ = ["estimate_chat", "estimate_service"]

# A prefix shorter than this is cheaper to compute again than to look for.
_PREFIX_BYTES = 4096
# By HTTP's own rules a repeat of these has the effect of one.
_IDEMPOTENT_METHODS = frozenset(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"])


async def estimate_chat(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.request with the tokens estimated from the prompt's bytes."""
    raw = bytes(ex.chat.messages)
    limits = ex.state.settings.limits
    wanted = ex.chat.max_completion_tokens or ex.chat.max_tokens
    not_repeatable = read.flag(ex.http, read.NOT_REPEATABLE_HEADER)
    ex.request = _request(
        ex,
        prompt_tokens=max(1, int(len(raw) / limits.bytes_per_token)),
        max_tokens=wanted or limits.default_max_tokens,
        prefix=_prefix(raw),
        repeatable=not not_repeatable,
    )
    await nxt(ex)


async def estimate_service(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.request; a service call counts as one token each way."""
    not_repeatable = read.flag(ex.http, read.NOT_REPEATABLE_HEADER)
    if not_repeatable is None:
        not_repeatable = ex.http.method not in _IDEMPOTENT_METHODS
    ex.request = _request(
        ex,
        prompt_tokens=1,
        max_tokens=1,
        prefix="",
        repeatable=not not_repeatable,
    )
    await nxt(ex)


def _request(
    ex: exchange.Exchange,
    *,
    prompt_tokens: int,
    max_tokens: int,
    prefix: str,
    repeatable: bool,
) -> messages.Request:
    return messages.Request(
        id=ex.id,
        organisation=ex.organisation.name,
        weight=ex.organisation.weight,
        deployment=ex.deployment.name,
        kind=ex.deployment.kind,
        model=ex.deployment.model,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        arrived=ex.arrived,
        deadline=ex.deadline,
        version=ex.cfg.version,
        prefix=prefix,
        key=read.idempotency_key(ex.http),
        repeatable=repeatable,
    )


def _prefix(raw: bytes) -> str:
    if len(raw) < _PREFIX_BYTES:
        return ""
    return xxhash.xxh64_hexdigest(raw[:_PREFIX_BYTES])
