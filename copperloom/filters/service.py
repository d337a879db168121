"""Forwards a call to a plain service."""

import asyncio

from aiohttp import web

from copperloom import exception
from copperloom.filters import answers, exchange, idempotency, schedule
from copperloom.targets.interface import ServiceCall, ServiceReply

__all__ = ["call"]


async def call(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Tries placements until one completes, and sets ex.response."""
    while True:
        try:
            reply = await _attempt(ex)
            break
        except (
            exception.StaleConfigurationError,
            exception.TargetUnreachableError,
            exception.TargetRefusedError,
        ) as error:
            await schedule.fail_over(ex, error)
        except exception.StreamBrokenError as error:
            if not ex.request.repeatable:
                raise
            await schedule.fail_over(ex, error)
    await _respond(ex, reply)
    await nxt(ex)


async def _attempt(ex: exchange.Exchange) -> ServiceReply:
    now = asyncio.get_running_loop().time()
    if now >= ex.deadline:
        raise exception.TimeLimitPassedError(run=ex.run)
    schedule.check_placement(ex)
    target = schedule.lead_target(ex)
    previous_run = ex.run
    ex.run = exception.Run.MAY_HAVE_RUN
    try:
        return await ex.state.targets.call(
            target.address, _build_call(ex), timeout_s=ex.deadline - now
        )
    except (
        exception.TargetUnreachableError,
        exception.TargetRefusedError,
    ):
        ex.run = previous_run
        raise


def _build_call(ex: exchange.Exchange) -> ServiceCall:
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


async def _respond(ex: exchange.Exchange, reply: ServiceReply) -> None:
    answers.record_first_token(ex)
    if ex.stored_answer is not None:
        ex.stored_answer.add(reply.body)
        ex.stored_answer.status = reply.status
        ex.stored_answer.content_type = (
            reply.content_type or "application/octet-stream"
        )
    await idempotency.record_completion(ex)
    response = web.Response(
        status=reply.status,
        body=reply.body,
        headers=answers.stream_headers(ex),
    )
    if reply.content_type:
        response.headers["Content-Type"] = reply.content_type
    ex.response = response
