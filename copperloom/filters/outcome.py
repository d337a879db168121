"""Gives every request exactly one outcome within its time limit."""

import asyncio
import math

import msgspec
from aiohttp import web

from copperloom import exception, logs
from copperloom.daemons import metrics
from copperloom.filters import answers, deadline, exchange

__all__ = ["describe_unread", "error_body", "outcome", "reply_error"]

_OK = 0
_CALLER_GONE = 1


async def outcome(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Runs the inner filters under the deadline and replies to errors."""
    state = ex.state
    state.active += 1
    state.metrics.active.inc()
    code = _CALLER_GONE
    try:
        code = await _run_to_outcome(ex, nxt)
    finally:
        state.active -= 1
        state.metrics.active.dec()
        _record_outcome(ex, code)


async def _run_to_outcome(ex: exchange.Exchange, nxt: exchange.Next) -> int:
    """Runs the inner filters and returns the result code of the outcome."""
    try:
        await _within_deadline(ex, nxt)
        return _OK
    except ConnectionError:
        return _CALLER_GONE
    except exception.CopperloomError as error:
        # The frames of its traceback refer to all that was read of the request.
        await reply_error(ex, error.with_traceback(None))
        return error.code
    except Exception as error:
        # Without a reply to an unexpected error, the caller would see a
        # closed connection and not know whether the work ran.
        logs.event("fault", level="ERROR", request=ex.id, error=repr(error))
        internal = exception.CopperloomError(
            "unexpected internal error; give the request id to the operators",
            run=ex.run,
        )
        await reply_error(ex, internal)
        return internal.code


async def _within_deadline(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    ex.deadline_timer = deadline.Deadline(ex.deadline)
    try:
        await deadline.within(ex.deadline_timer, nxt(ex))
    except exception.TimeLimitPassedError as error:
        error.run = ex.run
        raise


async def reply_error(
    ex: exchange.Exchange, error: exception.CopperloomError
) -> None:
    """Sends an error as the response, or as the end of a started stream."""
    if error.run is exception.Run.NOT_RUN and ex.run is not error.run:
        # "Not run" holds only for the last attempt; an earlier attempt of
        # the same request reached a target.
        error.run = ex.run
    body = error_body(ex.id, error)
    if ex.response is not None:
        await answers.abort_answer(ex, body)
        return
    headers = {"X-Copperloom-Request": ex.id}
    if error.retry_after_s is not None:
        # Retry-After allows whole seconds only; the body has the exact time.
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    response = web.Response(
        status=error.status,
        body=body,
        headers=headers,
        content_type="application/json",
    )
    ex.response = response


def error_body(request_id: str, error: exception.CopperloomError) -> bytes:
    """Returns the JSON body that reports an error to a caller."""
    fields = {
        "code": error.code,
        "name": type(error).__name__.removesuffix("Error"),
        "type": type(error).__name__,
        "message": str(error),
        "run": error.run.value,
        "request": request_id,
    }
    if error.retry_after_s is not None:
        fields["retry_after_s"] = round(error.retry_after_s, 3)
    return msgspec.json.encode({"error": fields})


def describe_unread(
    error: exception.CopperloomError,
) -> tuple[dict[str, str], bytes]:
    """Returns headers and body for a request that was not read."""
    headers = {"Content-Type": "application/json"}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return headers, error_body("", error)


def _record_outcome(ex: exchange.Exchange, code: int) -> None:
    now = asyncio.get_running_loop().time()
    ex.state.metrics.requests.labels(code).inc()
    fields = {"request": ex.id, "code": code, "seconds": now - ex.arrived}
    if ex.organisation is not None:
        fields["organisation"] = ex.organisation.name
    if ex.request is not None:
        fields["deployment"] = ex.request.deployment
        fields["prompt_tokens"] = ex.request.prompt_tokens
    if ex.placement is not None:
        fields["target"] = ex.placement.targets[0]
    if ex.first_token_at is not None:
        first_token_s = ex.first_token_at - ex.arrived
        fields["first_token_s"] = first_token_s
        if ex.request is not None:
            length = metrics.length_class(ex.request.prompt_tokens)
            ex.state.metrics.first_token.labels(length).observe(first_token_s)
    fields["tokens"] = ex.tokens
    logs.event("outcome", **fields)
