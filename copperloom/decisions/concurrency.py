"""Adaptive limit of the streams that this entry keeps at one target.

Made for an engine that is offered more than it can prefill or hold: work that
waits at the engine can't be reordered, moved or refused any more, so it is
kept here, where the queue is fair and sees deadlines. The limit grows by
about one a round while first tokens come quickly and shrinks by a tenth
when they come late (additive increase, multiplicative decrease, as in
Chiu and Jain 1989), so that entries that share an engine converge to equal
shares without a message.
"""

import dataclasses

from copperloom.decisions import load

__all__ = ["Pace", "observe", "slowness"]

# Fixed part of a first token's time, as prompt tokens.
OVERHEAD_TOKENS = 500
LIMIT_LEAST = 1.0
LIMIT_MOST = 256.0
CUT = 0.9
# One cut for the answers of one round; a burst of late ones is one event.
CUT_INTERVAL_S = 0.5
# Late is this many times the quick time; see `Pace.quick_s`.
LATE_RATIO = {"first_token": 4.0, "slowdown": 2.5}
RATIO_GAIN = 0.2
# An old verdict on a target that gets no work fades, so that it returns.
RATIO_HALF_LIFE_S = 10.0
# The quick time is a low quantile (1 in 4), moved by small steps: a minimum
# would follow cache hits, a mean would follow congestion.
QUANTILE_STEP = 0.01
QUANTILE = 0.25
DEFAULT_QUICK_S = 1e-4


@dataclasses.dataclass(slots=True)
class Pace:
    """First-token times of one pool, per prompt token.

    Attributes:
        quick_s: Low quantile of seconds per token when little is in the way.
        median: Median over the pool of first-token time over quick time.
        samples: Times seen.
    """

    quick_s: float = DEFAULT_QUICK_S
    median: float = 1.0
    samples: int = 0


def observe(
    pace: Pace,
    tgt: load.TargetLoad,
    prompt_tokens: int,
    first_token_s: float,
    now: float,
    *,
    objective: str,
    adapt: bool = True,
) -> None:
    """Learns from one first-token time of short work.

    Args:
        pace: The pool's pace.
        tgt: The target.
        prompt_tokens: Tokens of the prompt.
        first_token_s: Seconds from sending to the first token.
        now: Monotonic seconds.
        objective: The preset's objective; "slowdown" keeps batches smaller,
            so that streams in progress are held up less.
        adapt: Whether the limit moves.
    """
    unit = max(first_token_s, 1e-6) / (prompt_tokens + OVERHEAD_TOKENS)
    _learn(pace, unit)
    ratio = unit / pace.quick_s
    if tgt.samples == 0:
        tgt.ratio = ratio
    tgt.ratio += RATIO_GAIN * (ratio - tgt.ratio)
    tgt.ratio_at = now
    tgt.samples += 1
    if adapt:
        _adapt(tgt, ratio > LATE_RATIO[objective] * pace.median, now)


def slowness(pace: Pace, tgt: load.TargetLoad, now: float) -> float:
    """Returns the target's first-token time over its pool's, at least 0.5."""
    if tgt.ratio <= 0.0:
        return 1.0
    faded = 0.5 ** ((now - tgt.ratio_at) / RATIO_HALF_LIFE_S)
    excess = tgt.ratio / max(pace.median, 1e-6) - 1.0
    return max(0.5, 1.0 + excess * faded)


def _learn(pace: Pace, unit: float) -> None:
    pace.samples += 1
    if pace.samples == 1:
        pace.quick_s = unit
    # The first samples move it faster, to leave a wrong start behind.
    step = max(QUANTILE_STEP, 0.5 / pace.samples)
    if unit > pace.quick_s:
        pace.quick_s *= 1.0 + step * QUANTILE
    else:
        pace.quick_s *= 1.0 - step * (1.0 - QUANTILE)
    above = unit / pace.quick_s > pace.median
    pace.median *= 1.0 + (step if above else -step)
    pace.median = max(1.0, pace.median)


def _adapt(tgt: load.TargetLoad, late: bool, now: float) -> None:
    if late and now - tgt.limit_cut_at >= CUT_INTERVAL_S:
        tgt.limit = max(LIMIT_LEAST, tgt.limit * CUT)
        tgt.limit_cut_at = now
    elif not late and tgt.streams * 2 >= tgt.limit:
        tgt.limit = min(LIMIT_MOST, tgt.limit + 1.0 / tgt.limit)
