"""Gathers tokens of a fast stream for some milliseconds.

Made for an entry's share of the peak, thousands of tokens a second. Each
wake, read and write costs tens of microseconds of processor time whatever it
carries, which makes them the entry's main cost. A stream whose tokens come
faster than the gathering time is read less often; a slower one is read as its
tokens come, since waiting would only add wakes. The first token is never held.
"""

import asyncio

__all__ = ["TokenRate", "delay_s", "pause"]

# Gathering pays from about two tokens a read on.
_LEAST_TOKENS = 1.5
# Weight of the newest spacing: a few reads are enough to follow a change.
_NEWEST = 0.3


class TokenRate:
    """How fast a stream's tokens come.

    Attributes:
        gather_s: Longest time for which a token may be held, in seconds.
        last: Monotonic time of the last read.
        spacing_s: Smoothed seconds between tokens.
    """

    def __init__(self, gather_s: float):
        self.gather_s = gather_s
        self.last: float | None = None
        self.spacing_s = float("inf")


def delay_s(pace: TokenRate, tokens: int, now: float) -> float:
    """Returns how long to wait before the next read, 0 for not at all."""
    last, pace.last = pace.last, now
    if last is None or not tokens:
        return 0.0
    spacing_s = (now - last) / tokens
    if pace.spacing_s == float("inf"):
        pace.spacing_s = spacing_s
    else:
        pace.spacing_s += _NEWEST * (spacing_s - pace.spacing_s)
    if pace.spacing_s * _LEAST_TOKENS > pace.gather_s:
        return 0.0
    return pace.gather_s


async def pause(pace: TokenRate, tokens: int) -> None:
    """Waits before the next read, if that gathers tokens."""
    wait_s = delay_s(pace, tokens, asyncio.get_running_loop().time())
    if wait_s:
        await asyncio.sleep(wait_s)
