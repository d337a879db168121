"""Bounds the deadlines of requests at an instance that is stopping.

The platform kills a stopping instance at the end of a grace period, which
would cut off its requests when their callers have no time left to retry. So
their deadlines are moved to that end, and a request whose answer would begin
later is refused at once.
"""

import asyncio

from copperloom import exception, logs
from copperloom.ingress import exchange
from copperloom.ingress.state import IngressState

__all__ = ["begin_draining", "bound_deadline", "check_time_left"]

# Other instances can take the request at once.
_RETRY_S = 0.0
# Reserved for sending the errors of requests that reach their deadline.
_FINAL_ERRORS_S = 0.1


def begin_draining(state: IngressState, until: float) -> None:
    """Bounds the deadlines of requests in progress and of later ones.

    Args:
        state: The instance's state.
        until: Monotonic time in seconds at which the instance ends.
    """
    state.draining = True
    state.drain_until = until - _FINAL_ERRORS_S
    for ex in state.exchanges:
        bound_deadline(ex)


def bound_deadline(ex: exchange.Exchange) -> None:
    """Lowers a request's deadline to the time at which the instance ends."""
    if ex.state.drain_until < ex.deadline:
        ex.deadline = ex.state.drain_until
        ex.limit.reschedule(ex.deadline)


def check_time_left(ex: exchange.Exchange) -> None:
    """Refuses a request whose answer would begin after the instance ends.

    Raises:
        copperloom.exception.DrainingError: The caller should retry, at another
            instance.
    """
    first_token_at = ex.arrived + ex.plan.first_token_s
    if first_token_at < ex.state.drain_until:
        return
    now = asyncio.get_running_loop().time()
    logs.event(
        "handed_back",
        request=ex.id,
        predicted_s=first_token_at - now,
        left_s=ex.state.drain_until - now,
        sends=ex.sends,
    )
    raise exception.DrainingError(
        "instance shuts down before the predicted first token; retry at once "
        "at another instance",
        run=ex.run,
        retry_after_s=_RETRY_S,
    )
