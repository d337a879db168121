"""Batches the tokens of fast streams.

The CPU cost of reading from an engine and writing to a caller hardly depends
on the number of tokens, and is the main cost of an entry. A stream whose tokens
arrive faster than the maximum delay is therefore read less often. A slower
stream is read as its tokens arrive, since a delay would batch nothing. The
first token is never delayed.
"""

import asyncio

__all__ = ["TokenRate", "delay_s", "wait"]

# A delay pays only if it batches more than one token per read.
_MIN_TOKENS = 1.5
# Weight of the newest gap in the moving average, which follows a change of the
# rate within a few reads.
_NEWEST_WEIGHT = 0.3


class TokenRate:
    """The rate at which the tokens of a stream arrive.

    Attributes:
        max_delay_s: Maximum time for which a token may be delayed, in seconds.
        last_read_at: Monotonic time of the last read, in seconds.
        token_gap_s: Moving average of the gap between tokens, in seconds.
    """

    def __init__(self, max_delay_s: float):
        self.max_delay_s = max_delay_s
        self.last_read_at: float | None = None
        self.token_gap_s = float("inf")


def delay_s(rate: TokenRate, tokens: int, now: float) -> float:
    """Returns the delay before the next read in seconds, 0 for none.

    Args:
        rate: Rate of the stream; updated.
        tokens: Tokens of the read that has just ended.
        now: Monotonic time, in seconds.
    """
    last_read_at, rate.last_read_at = rate.last_read_at, now
    if last_read_at is None or not tokens:
        return 0.0
    gap_s = (now - last_read_at) / tokens
    if rate.token_gap_s == float("inf"):
        rate.token_gap_s = gap_s
    else:
        rate.token_gap_s += _NEWEST_WEIGHT * (gap_s - rate.token_gap_s)
    if rate.token_gap_s * _MIN_TOKENS > rate.max_delay_s:
        return 0.0
    return rate.max_delay_s


async def wait(rate: TokenRate, tokens: int) -> None:
    """Waits before the next read if that batches tokens."""
    wait_s = delay_s(rate, tokens, asyncio.get_running_loop().time())
    if wait_s:
        await asyncio.sleep(wait_s)
