"""Whether a target writes more slowly than its figures say.

Made for engines that turn slow for some seconds while they answer well: their
passes take three to five times as long, every answer there is late by its
pauses, and placement goes by figures that no longer hold. A reading beside an
answer makes one pause long; only a slow engine makes all of them long.
"""

import collections

from copperloom import routing
from copperloom.decisions import iterations

__all__ = ["RecentPauses", "is_slow", "record_pause"]

# Pauses in a row that must all be long: fewer meet readings by chance.
PAUSES = 3
# Times a full engine's pass; the engines' own spread is some hundredths.
SLOW_FACTOR = 1.7
# Share of an engine's memory that its writers mostly hold at a peak.
BUSY_SHARE = 0.25


class RecentPauses:
    """The latest pauses of one stream at one target.

    Attributes:
        pauses: In seconds, the latest last.
    """

    def __init__(self):
        self.pauses: collections.deque[float] = collections.deque(maxlen=PAUSES)


def record_pause(pace: RecentPauses, pause_s: float) -> None:
    """Notes the time between two events."""
    pace.pauses.append(pause_s)


def is_slow(
    pace: RecentPauses, engine: routing.EngineSpec, prompt_tokens: int
) -> bool:
    """Tells whether all of the latest pauses are longer than a full pass.

    Args:
        pace: The stream's pauses; forgotten if they were long, so that the
            next ones count anew.
        engine: Figures of the service's engines.
        prompt_tokens: Length of the stream's own prompt.
    """
    if len(pace.pauses) < PAUSES:
        return False
    context = int(engine.kv_tokens * BUSY_SHARE) + prompt_tokens
    full_s = iterations.iteration_s(engine, engine.slots, context)
    if min(pace.pauses) < SLOW_FACTOR * full_s:
        return False
    pace.pauses.clear()
    return True
