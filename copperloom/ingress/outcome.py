"""Gives every request exactly one outcome within its time limit.

This outermost filter alone turns errors into responses. A 503 promises that
the request has not run and never will, so it is sent only if no attempt may
still run. Otherwise the status is 502, or 504 at the time limit.
"""

import asyncio

from aiohttp import web

from copperloom import exception, logs
from copperloom.filters import deadline
from copperloom.ingress import exchange, metrics, turn_taking

__all__ = ["outcome"]

# Statuses that say that a request has not run and never will.
_DENIES_RUN = frozenset({408, 421, 429, 503})
_TOO_MANY = 429
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504
# Statuses after which callers retry.
_RETRIED = (_TOO_MANY, _UNAVAILABLE, _BAD_GATEWAY, _GATEWAY_TIMEOUT)
# A full target often has capacity again after a few iterations.
_DEFAULT_RETRY_S = 0.2
_TIME_LIMIT_RETRY_S = 0.05


async def outcome(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Runs the other filters under the deadline and responds to errors."""
    state = ex.state
    state.active += 1
    state.exchanges.add(ex)
    state.metrics.active.inc()
    ex.limit = deadline.Deadline(ex.deadline)
    code = exception.CopperloomError.code
    ex.outcome = "caller_gone"
    try:
        code = await _settle(ex, nxt)
    finally:
        state.active -= 1
        state.exchanges.discard(ex)
        state.metrics.active.dec()
        _record(ex, code)


async def _settle(ex: exchange.Exchange, nxt: exchange.Next) -> int:
    try:
        await deadline.within(ex.limit, nxt(ex))
        ex.outcome = ex.outcome.replace("caller_gone", "answered")
        return 0
    except ConnectionError:
        return exception.CopperloomError.code
    except exception.CopperloomError as error:
        _refuse(ex, error)
        return error.code
    except Exception as error:
        # A closed connection would not tell the caller whether the request
        # ran.
        logs.event("fault", level="ERROR", request=ex.id, error=repr(error))
        internal = exception.CopperloomError(
            "internal error of this instance; its log has the details",
            run=ex.run,
        )
        _refuse(ex, internal)
        return internal.code


def _refuse(ex: exchange.Exchange, error: exception.CopperloomError) -> None:
    """Responds with an error, or aborts a stream that has begun."""
    ex.outcome = type(error).__name__.removesuffix("Error")
    ex.reason = str(error)
    # The frames of its traceback refer to the request and all that was read of
    # the answer, which would stay in memory until the next cyclic collection.
    ex.error = error.with_traceback(None)
    if ex.response is not None:
        # Without the last chunk, clients treat the stream as incomplete.
        if ex.http.transport is not None:
            ex.http.transport.abort()
        return
    status = _status(ex, error)
    if status in _RETRIED:
        turn_taking.record_refused(ex)
    headers = {"Copperloom-Error": str(error.code)}
    if status in (_UNAVAILABLE, _TOO_MANY):
        headers["Retry-After"] = f"{_retry_after(error):.3f}"
    ex.response = web.Response(
        status=status,
        text=f"{error.code} {error}\n",
        headers=headers,
    )


def _status(ex: exchange.Exchange, error: exception.CopperloomError) -> int:
    has_run = ex.run is not exception.Run.NOT_RUN
    denies_run = error.status in _DENIES_RUN
    if 400 <= error.status < 500 and not (denies_run and has_run):
        return error.status
    if ex.run is exception.Run.NOT_RUN:
        return _UNAVAILABLE
    if isinstance(error, exception.TimeLimitPassedError):
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def _retry_after(error: exception.CopperloomError) -> float:
    if error.retry_after_s is not None:
        return error.retry_after_s
    if isinstance(error, exception.TimeLimitPassedError):
        return _TIME_LIMIT_RETRY_S
    return _DEFAULT_RETRY_S


def _missed_objective(ex: exchange.Exchange, first_s: float) -> dict:
    """Returns log fields for the latency objective that was missed, if any."""
    if first_s > ex.route.target_latency_s:
        return {"late": "first", "aim_s": ex.route.target_latency_s}
    if ex.longest_gap_s > ex.route.pause_aim_s > 0:
        return {"late": "pause", "aim_s": ex.route.pause_aim_s}
    return {}


def _record(ex: exchange.Exchange, code: int) -> None:
    now = asyncio.get_running_loop().time()
    status = ex.response.status if ex.response is not None else 0
    ex.state.metrics.requests.labels(status, code).inc()
    fields = {
        "request": ex.id,
        "outcome": ex.outcome,
        "status": status,
        "code": code,
        "seconds": now - ex.arrived,
        "sends": ex.sends,
        "service": ex.service,
        "routes_version": ex.table_version,
    }
    if ex.reason:
        fields["reason"] = ex.reason
    if ex.quarantined_as or ex.digest:
        fields["digest"] = (ex.quarantined_as or ex.digest).hex()
    if ex.relayed_by:
        fields["relayed_by"] = ex.relayed_by
    if ex.relayed_to:
        fields["relayed_to"] = ex.relayed_to
    if ex.plan is not None:
        fields["target"] = ex.plan.lead
        fields["helpers"] = len(ex.plan.helpers)
    if ex.first_at is not None:
        first_byte_s = ex.first_at - ex.arrived
        fields["first_s"] = first_byte_s
        kind = ex.route.kind.value if ex.route else ""
        length = metrics.prompt_length(ex.head.prompt_tokens)
        ex.state.metrics.first_byte.labels(kind, length).observe(first_byte_s)
        fields |= _missed_objective(ex, first_byte_s)
    if ex.longest_gap_s:
        fields["pause_s"] = ex.longest_gap_s
        ex.state.metrics.longest_gap.observe(ex.longest_gap_s)
    if ex.head.prompt_tokens:
        fields["prompt_tokens"] = ex.head.prompt_tokens
    logs.event("outcome", **fields)
