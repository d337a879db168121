"""Builds the request that the scheduler works with."""

import xxhash

from copperloom import messages
from copperloom.filters import exchange, read

__all__ = ["estimate_chat", "estimate_service"]

# The lookup of a shorter cached prefix costs more than the prefill it saves.
_PREFIX_BYTES = 4096
# HTTP defines these methods as idempotent.
_IDEMPOTENT_METHODS = frozenset(["GET", "HEAD", "PUT", "DELETE", "OPTIONS"])


async def estimate_chat(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.request, with tokens estimated from the size of the prompt."""
    raw = bytes(ex.chat.messages)
    limits = ex.state.settings.limits
    max_tokens = ex.chat.max_completion_tokens or ex.chat.max_tokens
    not_repeatable = read.parse_flag(ex.http, read.NOT_REPEATABLE_HEADER)
    ex.request = _build_request(
        ex,
        prompt_tokens=max(1, int(len(raw) / limits.bytes_per_token)),
        max_tokens=max_tokens or limits.default_max_tokens,
        prefix=_prefix_hash(raw),
        repeatable=not not_repeatable,
    )
    await nxt(ex)


async def estimate_service(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.request; a service call counts as one token in each direction."""
    not_repeatable = read.parse_flag(ex.http, read.NOT_REPEATABLE_HEADER)
    if not_repeatable is None:
        not_repeatable = ex.http.method not in _IDEMPOTENT_METHODS
    ex.request = _build_request(
        ex,
        prompt_tokens=1,
        max_tokens=1,
        prefix="",
        repeatable=not not_repeatable,
    )
    await nxt(ex)


def _build_request(
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


def _prefix_hash(raw: bytes) -> str:
    if len(raw) < _PREFIX_BYTES:
        return ""
    return xxhash.xxh64_hexdigest(raw[:_PREFIX_BYTES])
