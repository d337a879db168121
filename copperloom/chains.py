"""Passes a request through a list of filters, the first outermost.

A filter is a coroutine function of the exchange and of what follows; it calls
what follows once, or not at all if the request ends there.
"""

__all__ = ["run"]


async def run(chain, ex) -> None:
    """Passes an exchange through the filters of a chain."""
    await _call(chain, 0, ex)


async def _call(chain, index: int, ex) -> None:
    if index == len(chain):
        return

    async def following(ex) -> None:
        await _call(chain, index + 1, ex)

    await chain[index](ex, following)
