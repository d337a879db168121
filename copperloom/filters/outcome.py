"""Gives every request its one outcome, within its time limit."""

import asyncio
import math

import msgspec
from aiohttp import web

from copperloom import exception, logs
from copperloom.daemons import metrics
from copperloom.filters import answers, deadline, exchange

__all__ = ["error_body", "outcome", "reply_error"]

_OK = 0
_CALLER_GONE = 1


async def outcome(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Runs the other filters under the deadline and replies to errors."""
    state = ex.state
    state.active += 1
    state.metrics.active.inc()
    code = _CALLER_GONE
    try:
        code = await _settle(ex, nxt)
    finally:
        state.active -= 1
        state.metrics.active.dec()
        _account(ex, code)


async def _settle(ex: exchange.Exchange, nxt: exchange.Next) -> int:
    """Returns the result code of the one outcome."""
    try:
        await _within_deadline(ex, nxt)
        return _OK
    except ConnectionError:
        return _CALLER_GONE
    except exception.CopperloomError as error:
        await reply_error(ex, error)
        return error.code
    except Exception as error:
        # A fault of our own still is an outcome: without this the caller
        # would see a closed connection and not know whether the work ran.
        logs.event("fault", level="ERROR", request=ex.id, error=repr(error))
        known = exception.CopperloomError("internal error", run=ex.run)
        await reply_error(ex, known)
        return known.code


async def _within_deadline(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    ex.limit = deadline.Deadline(ex.deadline)
    try:
        await deadline.within(ex.limit, nxt(ex))
    except exception.TimeLimitPassedError as error:
        error.run = ex.run
        raise


async def reply_error(
    ex: exchange.Exchange, error: exception.CopperloomError
) -> None:
    """Sends an error as the response, or as the end of a begun stream."""
    if error.run is exception.Run.NOT_RUN and ex.run is not error.run:
        # An earlier attempt of the same request reached a target: the last
        # attempt's "not run" would be untrue for the request.
        error.run = ex.run
    body = error_body(ex.id, error)
    if ex.response is not None:
        await answers.break_off(ex, body)
        return
    headers = {"X-Copperloom-Request": ex.id}
    if error.retry_after_s is not None:
        # Retry-After counts whole seconds; the body has the exact time.
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    response = web.Response(
        status=error.status,
        body=body,
        headers=headers,
        content_type="application/json",
    )
    ex.response = response


def error_body(request_id: str, error: exception.CopperloomError) -> bytes:
    """Returns the JSON of an error as callers get it."""
    inner = {
        "code": error.code,
        "name": type(error).__name__.removesuffix("Error"),
        "type": type(error).__name__,
        "message": str(error),
        "run": error.run.value,
        "request": request_id,
    }
    if error.retry_after_s is not None:
        inner["retry_after_s"] = round(error.retry_after_s, 3)
    return msgspec.json.encode({"error": inner})


def _account(ex: exchange.Exchange, code: int) -> None:
    now = asyncio.get_running_loop().time()
    ex.state.metrics.requests.labels(code).inc()
    pairs = {"request": ex.id, "code": code, "seconds": now - ex.arrived}
    if ex.organisation is not None:
        pairs["organisation"] = ex.organisation.name
    if ex.request is not None:
        pairs["deployment"] = ex.request.deployment
        pairs["prompt_tokens"] = ex.request.prompt_tokens
    if ex.placement is not None:
        pairs["target"] = ex.placement.targets[0]
    if ex.first_token_at is not None:
        first = ex.first_token_at - ex.arrived
        pairs["first_token_s"] = first
        if ex.request is not None:
            length = metrics.length_class(ex.request.prompt_tokens)
            ex.state.metrics.first_token.labels(length).observe(first)
    pairs["tokens"] = ex.tokens
    logs.event("outcome", **pairs)
