"""The ordered filters of each kind of request."""

from copperloom import chains
from copperloom.filters import (
    estimate,
    exchange,
    idempotency,
    identify,
    outcome,
    read,
    relay,
    resume,
    schedule,
    service,
    staleness,
)

__all__ = ["CHAT", "RESUME", "SERVICE", "run"]

# The outcome filter is the outermost one and alone turns errors into replies,
# so that each request gets exactly one outcome.
CHAT: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    identify.identify,
    staleness.require_current,
    read.read_chat,
    estimate.estimate_chat,
    idempotency.run_once,
    schedule.schedule,
    relay.relay,
)

SERVICE: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    identify.identify,
    staleness.require_current,
    read.read_service,
    estimate.estimate_service,
    idempotency.run_once,
    schedule.schedule,
    service.call,
)

RESUME: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    identify.identify,
    staleness.require_current,
    resume.resume,
)


run = chains.run
