"""Refuses work while this instance can't know what is in force."""

import asyncio

from copperloom import exception
from copperloom.controllers import config
from copperloom.filters import exchange

__all__ = ["require_current"]


async def require_current(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Refuses with code 5006 unless the configuration may be acted upon.

    An entry that is cut off would go on under an old preset, or send work to
    a retired target, long after operators were told that their change is in
    force. It stops admitting before the promised time has passed.
    """
    if not ex.state.cfg_loaded:
        raise exception.StaleConfigurationError("no configuration yet")
    config.may_admit(ex.state, asyncio.get_running_loop().time())
    await nxt(ex)
