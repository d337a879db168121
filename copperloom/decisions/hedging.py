"""Decides when a second copy of a slow request is sent to another target.

Load: most requests are answered quickly, and a few wait many times as long at a
target that is silent, frozen or busy with something that no instance knows of.
They determine the slowest answers that callers see. A request that may run
more than once is therefore sent a second time once it has been out for longer
than nearly all recent requests of its kind. The first answer counts, and the
other copy is cancelled.

Copies are extra work on the targets. Each instance sends at most the operators'
share of its own requests, so all instances together keep the same share without
coordination, also during a partition. A copy is a retry and is taken from the
retry budget as well. None is sent while capacity is short, since it would delay
other requests by more than it gains.

The method is that of hedged requests (Dean and Barroso, The Tail at Scale,
2013): a delayed copy costs a few percent of the requests, while sending two
copies of each would double the load.
"""

import collections
import dataclasses
import math

__all__ = [
    "Hedging",
    "Policy",
    "Reason",
    "judge",
    "delay_s",
    "record_copy",
    "record_latency",
    "record_request",
]

# Latencies that are kept for each kind of request.
MAX_SAMPLES = 256
# Fewer samples do not determine a high quantile.
MIN_SAMPLES = 40
# Samples are dropped after this time, so that the quantile follows the load.
SAMPLE_AGE_S = 60.0
# Kinds of requests that are told apart; further ones get no copies.
MAX_KINDS = 64
# Requests and copies are counted over this time.
WINDOW_S = 10.0
# Utilisation of the targets above which no copies are sent.
MAX_BUSY = 0.6
# Lower bound of the delay. Shorter delays are within the noise of the network
# and the event loop.
MIN_DELAY_S = 0.02
# Share of the time until the deadline after which a copy can't answer in time.
MAX_DELAY_SHARE = 0.6


class Reason:
    """Why no copy is sent; labels of the metric."""

    BUDGET = "budget"
    BUSY = "busy"
    LATE = "late"
    SHARE = "share"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The operators' limits.

    Attributes:
        max_share: Copies per request; 0 sends none.
        quantile: Share of recent requests that were answered faster than the
            delay after which a copy is sent.
    """

    max_share: float = 0.0
    quantile: float = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    at: float
    latency_s: float


class Hedging:
    """What one instance knows of latencies and copies.

    Attributes:
        policy: The operators' limits.
        samples: Recent latencies, by kind of request.
        delays: The latest delay computed for a kind, with the number of samples
            recorded since.
        requests: Monotonic times of requests that may be copied.
        copies: Monotonic times of copies.
    """

    def __init__(self, policy: Policy):
        self.policy = policy
        self.samples: dict[str, collections.deque[_Sample]] = {}
        self.delays: dict[str, tuple[float, int]] = {}
        self.requests: collections.deque[float] = collections.deque()
        self.copies: collections.deque[float] = collections.deque()


# Samples recorded between two computations of a quantile, which sorts them.
_REFRESH_SAMPLES = 16


def record_latency(
    known: Hedging, kind: str, latency_s: float, now: float
) -> None:
    """Records the latency of an answered attempt of a kind of request."""
    samples = known.samples.get(kind)
    if samples is None:
        if len(known.samples) >= MAX_KINDS:
            return
        samples = collections.deque(maxlen=MAX_SAMPLES)
        known.samples[kind] = samples
    samples.append(_Sample(now, latency_s))
    delay, since = known.delays.get(kind, (math.inf, _REFRESH_SAMPLES))
    known.delays[kind] = (delay, since + 1)


def record_request(known: Hedging, now: float) -> None:
    """Counts a request that may be copied."""
    known.requests.append(now)
    _drop_old(known.requests, now)


def record_copy(known: Hedging, now: float) -> None:
    """Counts a copy."""
    known.copies.append(now)


def delay_s(known: Hedging, kind: str, now: float) -> float | None:
    """Returns the time after which a copy is considered, in seconds.

    Args:
        known: The instance's state.
        kind: The kind of request.
        now: Monotonic time.

    Returns:
        The quantile of recent latencies; None if there are too few of them, or
        if copies are switched off.
    """
    if known.policy.max_share <= 0:
        return None
    samples = known.samples.get(kind)
    if samples is None:
        return None
    while samples and now - samples[0].at > SAMPLE_AGE_S:
        samples.popleft()
    if len(samples) < MIN_SAMPLES:
        return None
    delay, since = known.delays[kind]
    if since >= _REFRESH_SAMPLES:
        delay = _quantile(samples, known.policy.quantile)
        known.delays[kind] = (delay, 0)
    return max(MIN_DELAY_S, delay)


def judge(
    known: Hedging,
    now: float,
    *,
    waited_s: float,
    left_s: float,
    busy: float,
    budget_left: float,
) -> str | None:
    """Decides whether a copy may be sent now.

    Args:
        known: The instance's state.
        now: Monotonic time.
        waited_s: Time that the first copy has been out.
        left_s: Time until the request's deadline.
        busy: Utilisation of the service's targets.
        budget_left: Retries that are left in the shared budget.

    Returns:
        None if it may be sent, otherwise the reason why not.
    """
    if busy > MAX_BUSY:
        return Reason.BUSY
    if waited_s > MAX_DELAY_SHARE * (waited_s + left_s):
        return Reason.LATE
    if budget_left < 1:
        return Reason.BUDGET
    _drop_old(known.requests, now)
    _drop_old(known.copies, now)
    allowed = known.policy.max_share * len(known.requests)
    if len(known.copies) + 1 > allowed:
        return Reason.SHARE
    return None


def _quantile(samples, quantile: float) -> float:
    ordered = sorted(s.latency_s for s in samples)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _drop_old(times: collections.deque[float], now: float) -> None:
    while times and now - times[0] > WINDOW_S:
        times.popleft()
