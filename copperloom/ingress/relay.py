"""Relays a target's answer to the caller, unchanged and in complete units."""

import asyncio

from aiohttp import web

from copperloom import exception, logs
from copperloom.decisions import decode_rate, health, inflight_table, timeouts
from copperloom.ingress import events, exchange, quarantines, retry, sender
from copperloom.platform import headers

__all__ = ["first_event_timeout_s", "relay"]

_HOLD_BYTES = 1024 * 1024
_EVENT_STREAM = "text/event-stream"
# A silent stream is resumed at another target after this share of the time that
# callers wait before they abandon it. That is longer than any iteration of a
# working engine, since a needless resumption repeats a prefill, and leaves time
# for the other target.
STALL_SHARE = 0.75


async def relay(
    ex: exchange.Exchange, reply: sender.Reply, facts: headers.ReplyFacts
) -> None:
    """Relays one reply to the caller.

    Args:
        ex: The request.
        reply: The target's reply, with its body unread.
        facts: The values of the reply's headers.

    Raises:
        copperloom.exception.StreamBrokenError: The reply broke off, stalled,
            or can't continue the stream that the caller has begun to receive.
    """
    content_type = reply.headers.get("Content-Type", "")
    if reply.status < 300 and content_type.startswith(_EVENT_STREAM):
        await _relay_stream(ex, reply)
    else:
        await _relay_plain(ex, reply)


async def _relay_plain(ex: exchange.Exchange, reply: sender.Reply) -> None:
    chunks = []
    async for chunk in reply.response.content.iter_any():
        chunks.append(chunk)
    reply.check_complete()
    if ex.response is not None:
        # The caller has the start of a stream, which must not be mixed with a
        # plain answer.
        raise exception.StreamBrokenError(
            "target sent a plain answer instead of resuming the stream"
        )
    ex.first_at = asyncio.get_running_loop().time()
    ex.response = web.Response(
        status=reply.status,
        reason=reply.response.reason,
        body=b"".join(chunks),
        headers=headers.for_caller(reply.headers.items()),
    )


async def _relay_stream(ex: exchange.Exchange, reply: sender.Reply) -> None:
    """Relays events as they arrive, and only complete ones."""
    loop = asyncio.get_running_loop()
    splitter = events.Splitter()
    content = reply.response.content
    has_begun = False
    gaps = decode_rate.RecentGaps()
    while True:
        chunk = await _read(ex, content, _read_timeout_s(ex, has_begun))
        if not chunk:
            break
        complete = events.feed(splitter, chunk)
        if complete is None:
            continue
        now = loop.time()
        if not has_begun:
            has_begun = True
            ex.attempt_first_at = now
            inflight_table.mark_decoding(ex.state.inflight, ex.id)
        else:
            decode_rate.record_gap(gaps, now - ex.last_at)
            _record_decode_rate(ex, gaps, now)
        exchange.record_event(ex, now)
        ex.state.reachability.answered_at = now
        quarantines.record_written(ex, now)
        await _forward_events(ex, reply, complete)
    reply.check_complete()
    if splitter.rest:
        raise exception.StreamBrokenError(
            "target ended its stream in the middle of an event",
            connection_lost=True,
        )
    if ex.response is None:
        await _begin_response(ex, reply)
    await ex.response.write_eof()


def _record_decode_rate(
    ex: exchange.Exchange, gaps: decode_rate.RecentGaps, now: float
) -> None:
    """Records a failure of the target if all recent gaps were long."""
    engine = exchange.engine(ex)
    if engine is None:
        return
    if not decode_rate.is_slow(gaps, engine, ex.head.prompt_tokens):
        return
    ex.slow = True
    target_health = ex.state.health.setdefault(ex.plan.lead, health.Health())
    health.record_failure(target_health, now, health.SLOW_PENALTY)
    ex.state.digest_due.set()
    logs.event(
        "target_slow",
        request=ex.id,
        target=ex.plan.lead,
        penalty=target_health.points,
    )


def _read_timeout_s(ex: exchange.Exchange, has_begun: bool) -> float | None:
    """Returns the timeout for a stream's next bytes, or None for none.

    Only a stream that can be resumed is abandoned. Any other one continues
    until its deadline.
    """
    if not ex.route.resumable:
        return None
    if not has_begun:
        return first_event_timeout_s(ex)
    return STALL_SHARE * timeouts.abandon_after_s(
        ex.route.target_latency_s, ex.route.pause_aim_s
    )


def first_event_timeout_s(ex: exchange.Exchange) -> float:
    """Returns the timeout for a stream's first event in seconds."""
    waited_s = ex.placed_at - ex.arrived
    predicted_s = ex.plan.first_token_s - waited_s
    left_s = ex.route.target_latency_s - waited_s
    return timeouts.first_event_timeout_s(max(0.0, predicted_s), left_s)


async def _read(
    ex: exchange.Exchange, content, timeout_s: float | None
) -> bytes:
    """Reads available bytes; abandons a stalled stream only to retry it."""
    try:
        async with asyncio.timeout(timeout_s):
            return await content.readany()
    except TimeoutError as error:
        if retry.may_give_up(ex):
            raise exception.StreamBrokenError(
                "target sent no more of its stream before the timeout",
                is_silent=True,
            ) from error
    return await content.readany()


async def _forward_events(ex, reply, complete: events.Events) -> None:
    if ex.response is None:
        await _begin_response(ex, reply)
    await ex.response.write(complete.data)
    if complete.last_id:
        ex.last_event = complete.last_id


async def _begin_response(ex: exchange.Exchange, reply: sender.Reply) -> None:
    await exchange.begin_stream(
        ex,
        reply.status,
        reply.response.reason,
        headers.for_caller(reply.headers.items()),
    )
