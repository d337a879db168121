"""The filters that every request passes, in order, in one list each."""

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


async def run(
    chain: tuple[exchange.Filter, ...], ex: exchange.Exchange
) -> None:
    """Passes a request through the filters, the first outermost."""
    await _call(chain, 0, ex)


async def _call(chain, index: int, ex: exchange.Exchange) -> None:
    if index == len(chain):
        return

    async def following(ex: exchange.Exchange) -> None:
        await _call(chain, index + 1, ex)

    await chain[index](ex, following)
