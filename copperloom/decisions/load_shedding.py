"""Which new connections are served, and which are closed unread.

Answers a load of new connections to one instance that is beyond what its
processor can read and serve: callers that are refused at once try another
instance, while each request that is read beyond that delays all others. The
measure is the event loop's own progress, so it holds for any machine and any
cost of requests. A queue that stands is told from a burst, as by controlled
delay of packets (Nichols and Jacobson, 2012): only the former is cut short.
"""

import dataclasses

__all__ = ["Load", "accepts", "is_expired", "is_shedding", "smooth"]

# A connection may wait so long until it is read.
MAX_WAIT_S = 0.5
# A queue that was not empty for this time is no burst, and only connections
# that will wait less long join it.
STANDING_S = 0.3
STANDING_WAIT_S = 0.1
# The same while connections are being shed, so that it does not begin and end
# with each request.
SHEDDING_WAIT_S = 0.05
# Shedding ends this long after the last connection that was closed.
QUIET_S = 1.0
# Weight of the latest sample of the pace.
_SAMPLE_WEIGHT = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load of an instance when a connection is opened.

    Attributes:
        pending: Connections that wait to be read.
        standing_s: Time for which some have waited without interruption.
        is_shedding: Whether connections are being shed.
        pace_s: Time between two connections that are read, in seconds.
        has_descriptor: Whether another connection may be open.
        bytes_left: Memory that requests may still take, in bytes.
    """

    pending: int
    standing_s: float
    is_shedding: bool
    pace_s: float
    has_descriptor: bool
    bytes_left: int


def accepts(load: Load) -> bool:
    """Returns whether a new connection will be read soon enough."""
    if not load.has_descriptor or load.bytes_left <= 0:
        return False
    limit_s = MAX_WAIT_S
    if load.is_shedding:
        limit_s = SHEDDING_WAIT_S
    elif load.standing_s >= STANDING_S:
        limit_s = STANDING_WAIT_S
    return load.pending * load.pace_s <= limit_s


def is_expired(waited_s: float) -> bool:
    """Returns whether a connection has waited too long to be read."""
    return waited_s > MAX_WAIT_S


def smooth(pace_s: float, sample_s: float) -> float:
    """Returns the pace after another sample."""
    return pace_s + _SAMPLE_WEIGHT * (sample_s - pace_s)


def is_shedding(shed_at: float, now: float) -> bool:
    """Returns whether connections are being shed.

    Args:
        shed_at: Monotonic time at which one was last closed unread.
        now: Monotonic time.
    """
    return now - shed_at < QUIET_S
