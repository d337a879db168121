"""Lets an instance that starts find the others before it acts like one of them.

An instance that knows nobody takes itself for a small fleet, whose members read
all tables themselves. Of hundreds that start at once each would.
"""

import asyncio
import contextlib

from copperloom import logs
from copperloom.ingress.state import IngressState

__all__ = ["wait_for_fleet"]

# Longer than an attempt to find the others, whose calls have their own
# timeouts.
_LIMIT_S = 5.0


async def wait_for_fleet(state: IngressState) -> None:
    """Waits until the first attempt to find the other instances has ended."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_LIMIT_S):
            await state.fleet_asked.wait()
    if not state.fleet_asked.is_set():
        logs.event("fleet_unknown", waited_s=_LIMIT_S)
