"""Relays a target's answer to the caller, unchanged and in complete units."""

import asyncio
import math

from copperloom import exception, logs
from copperloom.decisions import (
    decode_rate,
    health,
    inflight_table,
    reachability,
    timeouts,
)
from copperloom.ingress import (
    exchange,
    long_answers,
    quarantines,
    responses,
    retry,
    sender,
    silence,
    target_speeds,
)
from copperloom.platform import headers

__all__ = ["first_event_timeout_s", "relay"]

_HOLD_BYTES = 1024 * 1024
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
    head = responses.Head(
        reply.status,
        reply.response.reason,
        headers.for_caller(reply.headers.items()),
    )
    if responses.is_stream(head):
        await _relay_stream(ex, reply, head)
    else:
        await _relay_plain(ex, reply, head)


async def _relay_plain(
    ex: exchange.Exchange, reply: sender.Reply, head: responses.Head
) -> None:
    body = await long_answers.read_body(ex, reply)
    now = asyncio.get_running_loop().time()
    target_speeds.observe(ex, head.status, now)
    responses.set_plain(ex, head, body, now)


async def _relay_stream(
    ex: exchange.Exchange, reply: sender.Reply, head: responses.Head
) -> None:
    """Relays events as they arrive, and only complete ones."""
    loop = asyncio.get_running_loop()
    bounds = long_answers.StreamBounds(ex)
    content = reply.response.content
    has_begun = False
    gaps = decode_rate.RecentGaps()
    while True:
        chunk = await _read(ex, content, _read_timeout_s(ex, has_begun))
        if not chunk:
            break
        complete = long_answers.add_events(bounds, chunk)
        if complete is None:
            await long_answers.pause(bounds)
            continue
        now = loop.time()
        if not has_begun:
            has_begun = True
            ex.attempt_first_at = now
            target_speeds.observe(ex, head.status, now)
            inflight_table.mark_decoding(ex.state.inflight, ex.id)
        else:
            decode_rate.record_gap(gaps, now - ex.last_at)
            _record_decode_rate(ex, gaps, now)
        reachability.record_progress(ex.state.reachability, now)
        quarantines.record_written(ex, now)
        await responses.send_events(ex, head, complete, now)
        await long_answers.pause(bounds)
    reply.check_complete()
    rest = long_answers.finish(bounds)
    await responses.end_stream(ex, head, loop.time(), rest=rest)


def _record_decode_rate(
    ex: exchange.Exchange, gaps: decode_rate.RecentGaps, now: float
) -> None:
    """Records a failure of the target if all recent gaps were long."""
    engine = exchange.engine(ex)
    if engine is None:
        return
    target_speeds.observe_gaps(ex, engine, gaps, now)
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
    if not ex.route.resumable or ex.has_unnumbered:
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
    while True:
        try:
            async with asyncio.timeout(timeout_s):
                return await content.readany()
        except TimeoutError as error:
            timeout_s = await _wait_on(ex)
            if timeout_s is None:
                raise exception.StreamBrokenError(
                    "target sent no more of its stream before the timeout",
                    is_silent=True,
                ) from error
        if timeout_s == math.inf:
            timeout_s = None


async def _wait_on(ex: exchange.Exchange) -> float | None:
    """Returns how much longer to wait, or None to give the stream up."""
    if ex.attempt_first_at is None:
        return await silence.wait_on(ex)
    return None if retry.may_give_up(ex) else math.inf
