"""Detects engines that decode more slowly than configured.

A degraded engine still responds, but every iteration takes a multiple of its
usual time, so that all its answers miss their inter-token objectives and
predictions are wrong. A prefill beside a decode lengthens one gap between
tokens; only a slow engine lengthens all of them.
"""

import collections

from copperloom import routing
from copperloom.decisions import iterations

__all__ = [
    "RecentGaps",
    "first_gaps_s",
    "is_slow",
    "record_gap",
    "usual_gaps_s",
]

# Successive gaps that must all be long; fewer could be due to prefills.
MIN_GAPS = 3
# Multiple of a full engine's iteration that counts as slow. The engines' own
# spread is some hundredths.
SLOW_FACTOR = 1.7
# Typical share of an engine's memory that decodes hold at a peak.
BUSY_SHARE = 0.25


class RecentGaps:
    """The latest gaps between tokens of one stream at one target.

    Attributes:
        gaps_s: The gaps in seconds, the latest last.
        count: Number of gaps so far.
    """

    def __init__(self):
        self.gaps_s: collections.deque[float] = collections.deque(
            maxlen=MIN_GAPS
        )
        self.count = 0


def record_gap(recent: RecentGaps, gap_s: float) -> None:
    """Records the time between two events, in seconds."""
    recent.gaps_s.append(gap_s)
    recent.count += 1


def first_gaps_s(recent: RecentGaps) -> float | None:
    """Returns MIN_GAPS times the least of a stream's first gaps, once there.

    Prefills lengthen only some of them. Later gaps give no value, so that each
    stream counts once.
    """
    if recent.count != MIN_GAPS:
        return None
    return MIN_GAPS * min(recent.gaps_s)


def usual_gaps_s(engine: routing.EngineSpec, prompt_tokens: int) -> float:
    """Predicts MIN_GAPS gaps between events at an engine with some work."""
    context = int(engine.kv_tokens * BUSY_SHARE) + prompt_tokens
    gap_s = iterations.iteration_s(engine, engine.slots // 2, context)
    return MIN_GAPS * gap_s


def is_slow(
    recent: RecentGaps, engine: routing.EngineSpec, prompt_tokens: int
) -> bool:
    """Returns whether all recent gaps exceed a full engine's iteration.

    Args:
        recent: The stream's gaps; cleared if they were long, so that the same
            gaps are not reported twice.
        engine: Figures of the service's engines.
        prompt_tokens: Tokens of the stream's prompt.
    """
    if len(recent.gaps_s) < MIN_GAPS:
        return False
    context = int(engine.kv_tokens * BUSY_SHARE) + prompt_tokens
    full_s = iterations.iteration_s(engine, engine.slots, context)
    if min(recent.gaps_s) < SLOW_FACTOR * full_s:
        return False
    recent.gaps_s.clear()
    return True
