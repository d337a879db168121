"""The filters that every request passes, in order, in one list each."""

from copperloom import chains
from copperloom.filters import (
    estimate,
    exchange,
    fresh,
    identify,
    once,
    outcome,
    read,
    relay,
    resume,
    schedule,
    service,
)

__all__ = ["CHAT", "RESUME", "SERVICE", "run"]

# The outcome filter stands outermost: it alone turns errors into replies, so
# that a request can have no second outcome and none is left without one.
CHAT: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    identify.identify,
    fresh.fresh,
    read.read_chat,
    estimate.estimate_chat,
    once.once,
    schedule.schedule,
    relay.relay,
)

SERVICE: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    identify.identify,
    fresh.fresh,
    read.read_service,
    estimate.estimate_service,
    once.once,
    schedule.schedule,
    service.call,
)

RESUME: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    identify.identify,
    fresh.fresh,
    resume.resume,
)


run = chains.run
