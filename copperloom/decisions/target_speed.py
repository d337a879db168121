"""How fast each target is, relative to the others of its service.

Load: targets of one service that differ in speed by a factor of 1.5 to 4, or
slow down when nearly full. A placement by work in progress alone gives each the
same number of requests, so a slow one makes its requests late while fast ones
have room.

A single time shows little: it includes the wait for other work, and a
prediction may be wrong for all targets. So only attempts at targets that were
known to have room count, a target's value is the median of several, and it is
compared with the median of all targets for requests of the same kind. Ratios
near 1 count as 1.
"""

import collections
import dataclasses
import math
import statistics

__all__ = [
    "Observation",
    "TargetSpeeds",
    "has_outliers",
    "log_ratio",
    "outliers",
    "ratio",
    "record",
    "take_unshared",
]

# Ratios between these bounds count as 1.
MIN_OUTLIER = 0.75
MAX_OUTLIER = 1.33
# Bounds of a ratio; a target that seems faster than that may be broken.
MIN_RATIO = 0.4
MAX_RATIO = 4.0
# Bound of a value, so that none exceeds the range of `math.exp`.
MAX_VALUE = 5.0
# Added to both times, so that differences of some milliseconds, which are due
# to the network and the processor, do not count.
NOISE_S = 0.02
# Observations of a target and kind of request that its median is taken of.
MAX_SAMPLES = 7
MIN_SAMPLES = 3
MAX_AGE_S = 30.0
# The logarithm of a ratio halves in this time without observations. Slow
# targets get few requests, so their recovery is found by this decay.
HALF_LIFE_S = 10.0
# Ratios are computed again at most this often.
REFRESH_S = 0.5
MAX_TARGETS = 300
MAX_KINDS = 6
# Own observations that wait for the next message; more are dropped.
MAX_UNSHARED = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """How the time of one attempt compares with the expected time.

    Attributes:
        target: Incarnation of the target.
        kind: The service and the kind of request; only observations of the
            same kind are compared.
        value: Logarithm of the observed time divided by the expected one, see
            `log_ratio`.
    """

    target: str
    kind: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Outlier:
    value: float
    observed_at: float


_Samples = collections.deque[tuple[float, float]]


class TargetSpeeds:
    """What one instance knows of the speeds of targets.

    Attributes:
        samples: Values of recent observations and their monotonic times, by
            incarnation of the target and kind of request. The targets are in
            the order of their latest observations.
        outliers: The targets that are faster or slower than others, by
            incarnation.
        unshared: Own observations that no message has held yet.
        is_stale: Whether there are observations that `outliers` leaves out.
        refreshed_at: Monotonic time at which `outliers` was computed.
    """

    def __init__(self):
        self.samples: dict[str, dict[str, _Samples]] = {}
        self.outliers: dict[str, _Outlier] = {}
        self.unshared: collections.deque[Observation] = collections.deque(
            maxlen=MAX_UNSHARED
        )
        self.is_stale = False
        self.refreshed_at = float("-inf")


def log_ratio(observed_s: float, expected_s: float = 0.0) -> float:
    """Returns the value of an observation.

    Args:
        observed_s: Time that the attempt took, in seconds.
        expected_s: Time that it should have taken; 0 if that is unknown but
            the same for all requests of its kind.
    """
    return math.log(
        (max(0.0, observed_s) + NOISE_S) / (max(0.0, expected_s) + NOISE_S)
    )


def record(
    known: TargetSpeeds,
    observation: Observation,
    now: float,
    *,
    is_own: bool = True,
) -> None:
    """Records an observation.

    Args:
        known: The speeds.
        observation: The observation.
        now: Monotonic time.
        is_own: Whether this instance made it, and so shares it.
    """
    if not math.isfinite(observation.value):
        return
    value = min(MAX_VALUE, max(-MAX_VALUE, observation.value))
    kinds = known.samples.pop(observation.target, {})
    known.samples[observation.target] = kinds
    if observation.kind not in kinds and len(kinds) >= MAX_KINDS:
        del kinds[next(iter(kinds))]
    samples = kinds.setdefault(
        observation.kind, collections.deque(maxlen=MAX_SAMPLES)
    )
    samples.append((value, now))
    if len(known.samples) > MAX_TARGETS:
        oldest = next(iter(known.samples))
        del known.samples[oldest]
        known.outliers.pop(oldest, None)
    if is_own:
        known.unshared.append(observation)
    known.is_stale = True


def has_outliers(known: TargetSpeeds, now: float) -> bool:
    """Returns whether any target may have a ratio other than 1."""
    _refresh(known, now)
    return bool(known.outliers)


def ratio(known: TargetSpeeds, target: str, now: float) -> float:
    """Returns the factor of a target's times relative to other targets.

    Args:
        known: The speeds.
        target: Incarnation of the target.
        now: Monotonic time.

    Returns:
        More than 1 for a slow target; 1 for one that is not known to differ.
    """
    _refresh(known, now)
    outlier = known.outliers.get(target)
    if outlier is None:
        return 1.0
    decay = 0.5 ** (max(0.0, now - outlier.observed_at) / HALF_LIFE_S)
    value = math.exp(outlier.value * decay)
    if MIN_OUTLIER < value < MAX_OUTLIER:
        return 1.0
    return min(MAX_RATIO, max(MIN_RATIO, value))


def outliers(known: TargetSpeeds, now: float) -> dict[str, float]:
    """Returns the ratios that differ from 1, by incarnation of the target."""
    _refresh(known, now)
    ratios = {name: ratio(known, name, now) for name in known.outliers}
    return {name: value for name, value in ratios.items() if value != 1.0}


def take_unshared(known: TargetSpeeds) -> list[Observation]:
    """Returns the own observations that no message has held, and clears them.

    Others get observations instead of ratios: in a large fleet no instance
    alone sees enough of one target, and an observation counts only once.
    """
    taken = list(known.unshared)
    known.unshared.clear()
    return taken


def _refresh(known: TargetSpeeds, now: float) -> None:
    if not known.is_stale or now - known.refreshed_at < REFRESH_S:
        return
    known.is_stale = False
    known.refreshed_at = now
    differences: dict[str, list[float]] = {}
    for kind, medians in _medians_by_kind(known, now).items():
        common = statistics.median(medians.values())
        for target, value in medians.items():
            if len(known.samples[target][kind]) < MIN_SAMPLES:
                continue
            differences.setdefault(target, []).append(value - common)
    known.outliers = {}
    for target, values in differences.items():
        value = statistics.median(values)
        if not math.log(MIN_OUTLIER) < value < math.log(MAX_OUTLIER):
            observed_at = _latest(known.samples[target])
            known.outliers[target] = _Outlier(value, observed_at)


def _medians_by_kind(
    known: TargetSpeeds, now: float
) -> dict[str, dict[str, float]]:
    """Returns the medians of all targets with samples; drops old samples."""
    medians: dict[str, dict[str, float]] = {}
    for target, kinds in list(known.samples.items()):
        for kind, samples in list(kinds.items()):
            while samples and now - samples[0][1] > MAX_AGE_S:
                samples.popleft()
            if not samples:
                del kinds[kind]
            else:
                value = statistics.median([value for value, _ in samples])
                medians.setdefault(kind, {})[target] = value
        if not kinds:
            del known.samples[target]
    return medians


def _latest(kinds: dict[str, _Samples]) -> float:
    return max(samples[-1][1] for samples in kinds.values())
