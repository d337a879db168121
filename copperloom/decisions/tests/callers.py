"""Simulated callers: their requests, and the outcomes that they observe."""

import dataclasses
import math
import random

from copperloom import configuration, messages
from copperloom.decisions.tests import engines

LIMIT_S = 20.0
LONG_LIMIT_S = 240.0
SHORT_TOKENS = 16_000


@dataclasses.dataclass
class Outcome:
    """The outcome of one request; `error` is "" if it was answered."""

    request: messages.Request
    error: str = "lost"
    first_s: float = math.inf
    total_s: float = math.inf
    decided_s: float = math.inf
    retry_after_s: float = 0.0
    outcomes: int = 0

    @property
    def short(self) -> bool:
        return self.request.prompt_tokens <= SHORT_TOKENS


def requests(
    seed,
    rate,
    seconds,
    *,
    long_share=0.02,
    organisations=10,
    large=0.3,
    hot=0.0,
    limit_s=LIMIT_S,
    start=0.0,
):
    """Draws open-loop arrivals of requests.

    Short prompts have 500 to 16,000 tokens, drawn from a lognormal
    distribution; long ones have 100,000 to a million, drawn log-uniformly. A
    long request replaces a drawn short one, so that a run without long
    requests has the same short ones.

    Args:
        seed: Seed of the random generator.
        rate: Requests per second.
        seconds: Length of the load, in seconds.
        long_share: Share of long requests.
        organisations: Number of organisations.
        large: Share of the requests of the largest organisation.
        hot: Share of the short requests that have the same prefix.
        limit_s: Time limit of short requests, in seconds.
        start: Time of the start, in seconds.
    """
    rng = random.Random(seed)
    now = start
    drawn = []
    while True:
        now += rng.expovariate(rate)
        if now > start + seconds:
            return drawn
        tokens = int(min(16_000, max(500, rng.lognormvariate(7.8, 0.8))))
        answer = rng.randint(20, 200)
        is_largest = rng.random() < large
        org = 0 if is_largest else rng.randrange(1, max(2, organisations))
        long_tokens = int(100_000 * 10 ** rng.random())
        is_long = rng.random() < long_share
        prefix = f"o{org}p{rng.randrange(4)}"
        if rng.random() < hot:
            prefix = "hot"
        drawn.append(
            make_request(
                f"s{seed}.{start}.{len(drawn)}",
                f"o{org}",
                long_tokens if is_long else tokens,
                answer,
                now,
                LONG_LIMIT_S if is_long else limit_s,
                "" if is_long else prefix,
            )
        )


def make_request(name, org, tokens, answer, now, limit_s, prefix=""):
    return messages.Request(
        name,
        org,
        1.0,
        "d",
        configuration.TargetKind.ENGINE,
        "m",
        tokens,
        answer,
        now,
        now + limit_s,
        1,
        prefix,
    )


def work_s(req):
    """Estimates the engine time that a request takes, in seconds."""
    return req.prompt_tokens * engines.PREFILL_S + req.max_tokens * (
        engines.STEP_S / 16 + engines.DECODE_S
    )


def rate_for(load, count, *, seed=99, long_share=0.02):
    """Returns the requests per second that cause a load at the engines.

    Args:
        load: Utilisation of the engines.
        count: Number of engines.
        seed: Seed of the sample of requests.
        long_share: Share of long requests.
    """
    drawn = requests(seed, 100.0, 100.0, long_share=long_share)
    mean = sum(map(work_s, drawn)) / len(drawn)
    return load * count / mean


def quantile(values, q):
    values = sorted(values)
    if not values:
        return math.inf
    return values[min(len(values) - 1, int(q * len(values)))]


@dataclasses.dataclass(frozen=True)
class Summary:
    """Statistics of a run; unanswered requests have infinite latency."""

    offered: int
    answered: int
    late: int
    refused: int
    lost: int
    long_answered: float
    first_p50: float
    first_p99: float
    total_p99: float
    goodput: float
    slowest_refusal_s: float


def summarise(outcomes, *, since=0.0, until=math.inf):
    """Summarises the requests that arrived between two times."""
    selected = [o for o in outcomes if since <= o.request.arrived < until]
    short = [o for o in selected if o.short]
    long = [o for o in selected if not o.short]
    answered = [o for o in selected if not o.error]
    late = [o for o in selected if o.error == "TimeLimitPassedError"]
    lost = [o for o in selected if o.outcomes != 1]
    refused = [
        o for o in selected if o.error and o not in late and o not in lost
    ]
    ok = [o for o in short if not o.error]
    tokens = sum(
        o.request.prompt_tokens + o.request.max_tokens for o in answered
    )
    span = max((o.request.arrived for o in selected), default=1.0) - since
    return Summary(
        len(selected),
        len(answered),
        len(late),
        len(refused),
        len(lost),
        sum(not o.error for o in long) / max(1, len(long)),
        quantile([o.first_s for o in short], 0.5),
        quantile([o.first_s for o in short], 0.99),
        quantile([o.total_s for o in ok], 0.99),
        tokens / span,
        max((o.decided_s for o in refused), default=0.0),
    )
