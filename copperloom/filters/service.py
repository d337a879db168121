"""Passes a call on to a plain service."""

import asyncio

from aiohttp import web

from copperloom import exception
from copperloom.decisions import scheduler
from copperloom.filters import answers, exchange, once, schedule
from copperloom.targets.interface import ServiceCall, ServiceReply

__all__ = ["call"]


async def call(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Calls targets until one runs the work; sets ex.response."""
    while True:
        try:
            reply = await _attempt(ex)
            break
        except (
            exception.StaleConfigurationError,
            exception.TargetUnreachableError,
            exception.TargetRefusedError,
        ):
            await _again(ex)
        except exception.StreamBrokenError:
            if not ex.request.repeatable:
                raise
            await _again(ex)
    await _finish(ex, reply)
    await nxt(ex)


async def _again(ex: exchange.Exchange) -> None:
    now = asyncio.get_running_loop().time()
    failed = ex.placement.targets[0]
    scheduler.target_failed(ex.state.sched, failed, now)
    ex.state.metrics.retries.labels("service").inc()
    await schedule.place_again(ex, avoid=failed)


async def _attempt(ex: exchange.Exchange) -> ServiceReply:
    now = asyncio.get_running_loop().time()
    if now >= ex.deadline:
        raise exception.TimeLimitPassedError(run=ex.run)
    schedule.check_placement(ex)
    name = ex.placement.targets[0]
    target = ex.cfg.targets.get(name) or ex.state.cfg.targets.get(name)
    if target is None:
        raise exception.TargetUnreachableError(f"{name} is not configured")
    before = ex.run
    ex.run = exception.Run.MAY_HAVE_RUN
    try:
        return await ex.state.targets.call(
            target.address, _call(ex), timeout_s=ex.deadline - now
        )
    except (
        exception.TargetUnreachableError,
        exception.TargetRefusedError,
    ):
        ex.run = before
        raise


def _call(ex: exchange.Exchange) -> ServiceCall:
    path = "/" + ex.http.match_info["path"]
    if ex.http.query_string:
        path += "?" + ex.http.query_string
    return ServiceCall(
        method=ex.http.method,
        path=path,
        body=ex.body,
        content_type=ex.http.headers.get("Content-Type", ""),
        request=ex.id,
        key=ex.request.key,
    )


async def _finish(ex: exchange.Exchange, reply: ServiceReply) -> None:
    answers.note_first_token(ex)
    if ex.kept is not None:
        ex.kept.add(reply.body)
        ex.kept.status = reply.status
        ex.kept.content_type = reply.content_type or "application/octet-stream"
    await once.settle_done(ex)
    response = web.Response(
        status=reply.status,
        body=reply.body,
        headers=answers.stream_headers(ex),
    )
    if reply.content_type:
        response.headers["Content-Type"] = reply.content_type
    ex.response = response
