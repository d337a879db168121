"""Refuses work while the entry's configuration may be out of date."""

import asyncio

from copperloom import exception
from copperloom.controllers import config
from copperloom.filters import exchange

__all__ = ["require_current"]


async def require_current(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Passes a request on only if the configuration is known to be in force.

    A partitioned entry would otherwise apply an old preset, or send work to a
    retired target, after operators have seen that their change is in force.

    Raises:
        copperloom.exception.StaleConfigurationError: The configuration may be
            out of date, or none has been loaded.
    """
    if not ex.state.cfg_loaded:
        raise exception.StaleConfigurationError(
            "the entry has not loaded a configuration yet; try again later"
        )
    config.check_admission(ex.state, asyncio.get_running_loop().time())
    await nxt(ex)
