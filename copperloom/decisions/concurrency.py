"""Adaptive limit of the requests that this instance has at one target.

Requests queued at an engine can no longer be reordered, moved or refused.
Beyond the limit they are therefore queued here, in fair order and with regard
to deadlines. The limit grows by a few streams per round while first tokens come
quickly, and shrinks by a tenth when they are slow (additive increase,
multiplicative decrease; Chiu and Jain 1989), so that instances that share an
engine converge to equal shares without communication.
"""

import dataclasses

from copperloom.decisions import load

__all__ = [
    "FirstTokenStats",
    "record_first_token",
    "record_residence",
    "slowness",
    "update_stats",
]

# Fixed cost of a first token, in prompt tokens.
OVERHEAD_TOKENS = 500
MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
LIMIT_CUT_FACTOR = 0.9
# At most one cut per interval: a burst of slow answers is one event.
LIMIT_CUT_INTERVAL_S = 0.5
# A first token is slow if it exceeds the pool's median by this factor and by
# this many seconds. The factor leaves room for prefix cache misses, which take
# four times as long without any queueing.
SLOW_RATIO = 4.0
SLOW_EXCESS_S = 0.5
# Streams added to the limit per round of quick answers.
LIMIT_GROWTH = 4.0
# An answer that takes more than this share of its time limit at the target
# counts as slow: with a large batch first tokens come soon, but decoding is
# slow.
MAX_RESIDENCE_SHARE = 0.7
RATIO_GAIN = 0.2
# The ratio of a target without new samples decays towards the pool's median, so
# that the target gets requests again.
RATIO_HALF_LIFE_S = 10.0
# The baseline is a low quantile, adjusted in small steps: a minimum would
# follow cache hits, a mean would follow congestion.
QUANTILE_STEP = 0.01
QUANTILE = 0.25
DEFAULT_BASELINE_S = 1e-4


@dataclasses.dataclass(slots=True)
class FirstTokenStats:
    """First-token times of one pool, per prompt token.

    Attributes:
        baseline_s: Seconds per token without congestion (a low quantile).
        median: Median over the pool of first-token time over baseline.
        samples: Number of times recorded.
    """

    baseline_s: float = DEFAULT_BASELINE_S
    median: float = 1.0
    samples: int = 0


def record_first_token(
    stats: FirstTokenStats,
    tgt: load.TargetLoad,
    prompt_tokens: int,
    first_token_s: float,
    now: float,
    *,
    adapt: bool = True,
) -> None:
    """Records the first-token time of a short request.

    Args:
        stats: First-token times of the pool.
        tgt: The target.
        prompt_tokens: Tokens of the prompt.
        first_token_s: Seconds from sending to the first token.
        now: Monotonic seconds.
        adapt: Whether the target's limit is adjusted.
    """
    s_per_token = update_stats(stats, prompt_tokens, first_token_s)
    ratio = s_per_token / stats.baseline_s
    if tgt.samples == 0:
        tgt.ratio = ratio
    tgt.ratio += RATIO_GAIN * (ratio - tgt.ratio)
    tgt.ratio_at = now
    tgt.samples += 1
    if adapt:
        median_s = first_token_s * stats.median / ratio
        is_slow = ratio > SLOW_RATIO * stats.median
        _adjust_limit(
            tgt, is_slow and first_token_s > median_s + SLOW_EXCESS_S, now
        )


def record_residence(
    tgt: load.TargetLoad, residence_s: float, time_limit_s: float, now: float
) -> None:
    """Cuts the limit if an answer took a large share of its time limit.

    Args:
        tgt: The target.
        residence_s: Seconds at the target.
        time_limit_s: The request's total time limit in seconds.
        now: Monotonic seconds.
    """
    if residence_s > MAX_RESIDENCE_SHARE * time_limit_s:
        _adjust_limit(tgt, True, now)


def slowness(stats: FirstTokenStats, tgt: load.TargetLoad, now: float) -> float:
    """Returns the target's slowness relative to its pool, at least 0.5."""
    if tgt.ratio <= 0.0:
        return 1.0
    decay = 0.5 ** ((now - tgt.ratio_at) / RATIO_HALF_LIFE_S)
    excess = tgt.ratio / max(stats.median, 1e-6) - 1.0
    return max(0.5, 1.0 + excess * decay)


def update_stats(
    stats: FirstTokenStats, prompt_tokens: int, first_token_s: float
) -> float:
    """Updates the statistics; returns the seconds per token."""
    s_per_token = max(first_token_s, 1e-6) / (prompt_tokens + OVERHEAD_TOKENS)
    stats.samples += 1
    if stats.samples == 1:
        stats.baseline_s = s_per_token
    # Larger steps at first correct a poor initial value.
    step = max(QUANTILE_STEP, 0.5 / stats.samples)
    if s_per_token > stats.baseline_s:
        stats.baseline_s *= 1.0 + step * QUANTILE
    else:
        stats.baseline_s *= 1.0 - step * (1.0 - QUANTILE)
    above = s_per_token / stats.baseline_s > stats.median
    stats.median *= 1.0 + (step if above else -step)
    stats.median = max(1.0, stats.median)
    return s_per_token


def _adjust_limit(tgt: load.TargetLoad, is_slow: bool, now: float) -> None:
    if is_slow and now - tgt.limit_cut_at >= LIMIT_CUT_INTERVAL_S:
        tgt.limit = max(MIN_LIMIT, tgt.limit * LIMIT_CUT_FACTOR)
        tgt.limit_cut_at = now
    elif not is_slow and tgt.streams * 2 >= tgt.limit:
        tgt.limit = min(MAX_LIMIT, tgt.limit + LIMIT_GROWTH / tgt.limit)
