"""Runs a chain of filters around an exchange, the first one outermost.

A filter is a coroutine function that takes the exchange and the rest of the
chain. It awaits the rest once, or not at all if it ends the request itself.
"""

__all__ = ["run"]


async def run(chain, ex) -> None:
    """Runs the filters of a chain on an exchange."""
    await _call(chain, 0, ex)


async def _call(chain, index: int, ex) -> None:
    if index == len(chain):
        return

    async def following(ex) -> None:
        await _call(chain, index + 1, ex)

    await chain[index](ex, following)
