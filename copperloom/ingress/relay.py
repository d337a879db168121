"""Passes a target's answer on to the caller, unchanged and only if whole."""

import asyncio

from aiohttp import web

from copperloom import exception, logs
from copperloom.decisions import decode_rate, health, inflight_table, timeouts
from copperloom.ingress import events, exchange, retry, sender
from copperloom.platform import headers

__all__ = ["first_event_patience", "relay"]

# A plain answer longer than this goes out in pieces; below it is held until
# it is whole, so that one that breaks off can be asked for again.
_HOLD_BYTES = 1024 * 1024
_EVENT_STREAM = "text/event-stream"
# Share of the silence after which callers leave at which a stream that stands
# still is taken up at another target: long enough for any pass of an engine
# that works (a long prompt that is read again costs others seconds), with time
# left for the other one.
STALL_SHARE = 0.75


async def relay(
    ex: exchange.Exchange, reply: sender.Reply, facts: headers.ReplyFacts
) -> None:
    """Relays one reply.

    Raises:
        copperloom.exception.StreamBrokenError: It broke off.
    """
    content_type = reply.headers.get("Content-Type", "")
    if reply.status < 300 and content_type.startswith(_EVENT_STREAM):
        await _stream(ex, reply)
    else:
        await _whole(ex, reply)


async def _whole(ex: exchange.Exchange, reply: sender.Reply) -> None:
    parts = []
    async for part in reply.response.content.iter_any():
        parts.append(part)
    reply.check_whole()
    if ex.response is not None:
        # The stream had begun at another target; this is no part of it.
        raise exception.StreamBrokenError("no stream to go on with")
    ex.first_at = asyncio.get_running_loop().time()
    ex.response = web.Response(
        status=reply.status,
        reason=reply.response.reason,
        body=b"".join(parts),
        headers=headers.for_caller(reply.headers.items()),
    )


async def _stream(ex: exchange.Exchange, reply: sender.Reply) -> None:
    """Relays whole events as they come; half an event is never passed on."""
    loop = asyncio.get_running_loop()
    splitter = events.Splitter()
    content = reply.response.content
    begun = False
    written = decode_rate.RecentPauses()
    while True:
        chunk = await _read(ex, content, _patience(ex, begun))
        if not chunk:
            break
        whole = events.feed(splitter, chunk)
        if whole is None:
            continue
        now = loop.time()
        if not begun:
            begun = True
            inflight_table.mark_decoding(ex.state.inflight, ex.id)
        else:
            decode_rate.record_pause(written, now - ex.last_at)
            _note_pace(ex, written, now)
        _note_event(ex, now)
        await _pass_on(ex, reply, whole)
    reply.check_whole()
    if splitter.rest:
        raise exception.StreamBrokenError("ended within an event")
    if ex.response is None:
        await _begin(ex, reply)
    await ex.response.write_eof()


def _note_event(ex: exchange.Exchange, now: float) -> None:
    if ex.first_at is None:
        ex.first_at = now
    else:
        ex.longest_pause_s = max(ex.longest_pause_s, now - ex.last_at)
    ex.last_at = now


def _note_pace(
    ex: exchange.Exchange, written: decode_rate.RecentPauses, now: float
) -> None:
    """Holds it against a target if it writes slowly all the while."""
    engine = exchange.engine(ex)
    if engine is None:
        return
    if not decode_rate.is_slow(written, engine, ex.head.prompt_tokens):
        return
    ex.slow = True
    known = ex.state.health.setdefault(ex.plan.lead, health.Health())
    health.record_failure(known, now, health.SLOW)
    ex.state.digest_due.set()
    logs.event(
        "target_slow",
        request=ex.id,
        target=ex.plan.lead,
        penalty=known.points,
    )


def _patience(ex: exchange.Exchange, begun: bool) -> float | None:
    """Returns the longest silence that a stream may keep; None: any.

    Only one that may be resumed is given up: any other goes on until the
    time limit.
    """
    if not ex.route.resumable:
        return None
    if not begun:
        return first_event_patience(ex)
    return STALL_SHARE * timeouts.abandon_after_s(
        ex.route.target_latency_s, ex.route.pause_aim_s
    )


def first_event_patience(ex: exchange.Exchange) -> float:
    """Returns the longest wait for a stream's first event, in seconds."""
    waited_s = ex.placed_at - ex.arrived
    predicted_s = ex.plan.first_token_s - waited_s
    left_s = ex.route.target_latency_s - waited_s
    return timeouts.first_event_timeout_s(max(0.0, predicted_s), left_s)


async def _read(
    ex: exchange.Exchange, content, patience_s: float | None
) -> bytes:
    """Reads what has come; gives a silent stream up only for another one."""
    try:
        async with asyncio.timeout(patience_s):
            return await content.readany()
    except TimeoutError as error:
        if retry.may_give_up(ex):
            raise exception.StreamBrokenError("stands still") from error
    return await content.readany()


async def _pass_on(ex, reply, whole: events.Events) -> None:
    if ex.response is None:
        await _begin(ex, reply)
    await ex.response.write(whole.data)
    if whole.last_id:
        ex.last_event = whole.last_id


async def _begin(ex: exchange.Exchange, reply: sender.Reply) -> None:
    response = web.StreamResponse(
        status=reply.status,
        reason=reply.response.reason,
        headers=headers.for_caller(reply.headers.items()),
    )
    if ex.state.draining:
        response.force_close()
    ex.response = response
    await response.prepare(ex.http)
