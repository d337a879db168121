"""Which new connections are served, and which are closed unread.

Answers a load of new connections to one instance that is beyond what its
processor can read and serve: callers that are refused at once try another
instance, while each request that is read beyond that delays all others. The
measure is the event loop's own progress, so it holds for any machine and any
cost of requests. A queue that stands is told from a burst, as by controlled
delay of packets (Nichols and Jacobson, 2012): only the former is cut short.
"""

import dataclasses

__all__ = ["Load", "accepts", "is_expired", "is_over", "smooth"]

# A connection of a burst may wait so long until it is read.
BURST_WAIT_S = 0.5
# A queue that was not empty for this time is no burst, and connections may wait
# less long.
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
        pace_s: Time between two connections that are read, in seconds.
        descriptors_left: Descriptors that may still be opened.
        body_bytes_left: Memory that bodies may still take, in bytes.
    """

    pending: int
    standing_s: float
    pace_s: float
    descriptors_left: int
    body_bytes_left: int


def accepts(load: Load, *, is_shedding: bool) -> bool:
    """Returns whether a new connection will be read soon enough.

    Args:
        load: The load.
        is_shedding: Whether connections were closed lately.
    """
    if load.descriptors_left <= 0 or load.body_bytes_left <= 0:
        return False
    limit_s = SHEDDING_WAIT_S if is_shedding else _max_wait_s(load.standing_s)
    return load.pending * load.pace_s <= limit_s


def is_expired(waited_s: float, standing_s: float) -> bool:
    """Returns whether a connection has waited too long to be read.

    Args:
        waited_s: Time for which it has waited, in seconds.
        standing_s: Time for which some have waited without interruption.
    """
    return waited_s > _max_wait_s(standing_s)


def _max_wait_s(standing_s: float) -> float:
    return BURST_WAIT_S if standing_s < STANDING_S else STANDING_WAIT_S


def smooth(pace_s: float, sample_s: float) -> float:
    """Returns the pace after another sample."""
    return pace_s + _SAMPLE_WEIGHT * (sample_s - pace_s)


def is_over(shed_at: float, now: float) -> bool:
    """Returns whether shedding has ended, given when it last closed one."""
    return now - shed_at >= QUIET_S
