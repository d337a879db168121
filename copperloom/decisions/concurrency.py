"""Adaptive limit of the streams that this entry keeps at one target.

Made for an engine that is offered more than it can prefill or hold: work that
waits at the engine can't be reordered, moved or refused any more, so it is
kept here, where the queue is fair and sees deadlines. The limit grows by
a few streams a round while first tokens come quickly and shrinks by a tenth
when they come late (additive increase, multiplicative decrease, as in
Chiu and Jain 1989), so that entries that share an engine converge to equal
shares without a message.
"""

import dataclasses

from copperloom.decisions import load

__all__ = ["FirstTokenStats", "ended", "learn", "observe", "slowness"]

# Fixed part of a first token's time, as prompt tokens.
OVERHEAD_TOKENS = 500
LIMIT_LEAST = 1.0
LIMIT_MOST = 256.0
CUT = 0.9
# One cut for the answers of one round; a burst of late ones is one event.
CUT_INTERVAL_S = 0.5
# Late is this many times the pool's median, and by so many seconds: a prompt
# whose prefix was not cached takes four times as long without any queue.
LATE_RATIO = 4.0
LATE_EXCESS_S = 0.5
# Streams added in a round of quick answers.
GROWTH = 4.0
# An answer that takes this share of its time limit at the target is late too:
# a large batch gives first tokens soon and every later one slowly.
LATE_SHARE = 0.7
RATIO_GAIN = 0.2
# An old verdict on a target that gets no work fades, so that it returns.
RATIO_HALF_LIFE_S = 10.0
# The quick time is a low quantile (1 in 4), moved by small steps: a minimum
# would follow cache hits, a mean would follow congestion.
QUANTILE_STEP = 0.01
QUANTILE = 0.25
DEFAULT_QUICK_S = 1e-4


@dataclasses.dataclass(slots=True)
class FirstTokenStats:
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
    pace: FirstTokenStats,
    tgt: load.TargetLoad,
    prompt_tokens: int,
    first_token_s: float,
    now: float,
    *,
    adapt: bool = True,
) -> None:
    """Learns from one first-token time of short work.

    Args:
        pace: The pool's pace.
        tgt: The target.
        prompt_tokens: Tokens of the prompt.
        first_token_s: Seconds from sending to the first token.
        now: Monotonic seconds.
        adapt: Whether the limit moves.
    """
    unit = learn(pace, prompt_tokens, first_token_s)
    ratio = unit / pace.quick_s
    if tgt.samples == 0:
        tgt.ratio = ratio
    tgt.ratio += RATIO_GAIN * (ratio - tgt.ratio)
    tgt.ratio_at = now
    tgt.samples += 1
    if adapt:
        usual_s = first_token_s * pace.median / ratio
        late = ratio > LATE_RATIO * pace.median
        _adapt(tgt, late and first_token_s > usual_s + LATE_EXCESS_S, now)


def ended(
    tgt: load.TargetLoad, stay_s: float, limit_s: float, now: float
) -> None:
    """Cuts the limit if an answer took a large share of its time limit.

    Args:
        tgt: The target.
        stay_s: Seconds at the target.
        limit_s: The request's whole time limit.
        now: Monotonic seconds.
    """
    if stay_s > LATE_SHARE * limit_s:
        _adapt(tgt, True, now)


def slowness(pace: FirstTokenStats, tgt: load.TargetLoad, now: float) -> float:
    """Returns the target's first-token time over its pool's, at least 0.5."""
    if tgt.ratio <= 0.0:
        return 1.0
    faded = 0.5 ** ((now - tgt.ratio_at) / RATIO_HALF_LIFE_S)
    excess = tgt.ratio / max(pace.median, 1e-6) - 1.0
    return max(0.5, 1.0 + excess * faded)


def learn(
    pace: FirstTokenStats, prompt_tokens: int, first_token_s: float
) -> float:
    """Learns from a first-token time; returns its seconds per token."""
    unit = max(first_token_s, 1e-6) / (prompt_tokens + OVERHEAD_TOKENS)
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
    return unit


def _adapt(tgt: load.TargetLoad, late: bool, now: float) -> None:
    if late and now - tgt.limit_cut_at >= CUT_INTERVAL_S:
        tgt.limit = max(LIMIT_LEAST, tgt.limit * CUT)
        tgt.limit_cut_at = now
    elif not late and tgt.streams * 2 >= tgt.limit:
        tgt.limit = min(LIMIT_MOST, tgt.limit + GROWTH / tgt.limit)
