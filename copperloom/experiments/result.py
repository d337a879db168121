"""Outcomes of a run: samples, their summary, and the JSON file of both.

Percentiles are those of an HDR histogram with two significant digits.
"""

import collections
import dataclasses
import pathlib

import msgspec
from hdrh import histogram

__all__ = [
    "BUCKETS",
    "LOST",
    "OK",
    "Result",
    "Sample",
    "Summary",
    "bucket",
    "percentile_s",
    "read",
    "summarise",
    "write",
]

OK = 0
# No answer and no error code within the time limit and its grace period.
LOST = -1
# An answer that ended normally but is incomplete or not the caller's.
WRONG = -2

# Upper bounds, in tokens, of the prompt lengths that results are grouped by.
BUCKETS = (4_000, 16_000, 100_000, 400_000, 1_000_000)
_HOUR_US = 3_600_000_000
_DIGITS = 2
_US = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The outcome of one request.

    All times count from the planned arrival, in seconds.

    Attributes:
        index: Its index in the arrivals.
        group: "short", "middle", "long" or "service".
        organisation: Name of the sender.
        prompt_tokens: Length of its prompt.
        answer_tokens: Number of tokens requested.
        code: 0 for a complete answer, an error code, or LOST or WRONG.
        run: Whether the request had run, as stated by the error; "" if there
            was no error.
        first_s: Time to the first token, or to the reply of a service.
        total_s: Time to the outcome.
        gap_s: Longest gap between two pieces of the answer.
        request: Request id that the entry assigned.
        entry: Address of the entry.
        problem: Description of an error, a loss or a wrong answer.
    """

    index: int
    group: str
    organisation: str
    prompt_tokens: int
    answer_tokens: int
    code: int
    run: str = ""
    first_s: float = 0.0
    total_s: float = 0.0
    gap_s: float = 0.0
    request: str = ""
    entry: str = ""
    problem: str = ""


@dataclasses.dataclass(frozen=True)
class Result:
    """The samples of one run.

    Attributes:
        mix: Name of the mix.
        policy: Label of the policy under test.
        seed: Seed of the arrivals.
        long: Whether the long prompts were sent.
        duration_s: Time over which requests arrived.
        samples: One sample for each request.
    """

    mix: str
    policy: str
    seed: int
    long: bool
    duration_s: float
    samples: list[Sample]


@dataclasses.dataclass(frozen=True)
class Summary:
    """The key figures of a run.

    Attributes:
        requests: Number of requests.
        outcomes: Number of requests by code; 0 for complete answers.
        lost: Requests without an outcome or with a wrong answer.
        goodput_tokens_per_s: Prompt and answer tokens of complete answers.
        goodput_requests_per_s: Complete answers.
        first_p50_s: Median time to first token by group.
        first_p99_s: 99th percentile of the same.
        bucket_p50_s: Median time to first token by bucket of prompt length.
        bucket_p99_s: 99th percentile of the same.
        gap_p99_s: 99th percentile of the longest gap within an answer.
        refusal_p99_s: 99th percentile of the time to a refusal.
        fairness: Jain's index over the share of each organisation's requested
            tokens that was served; 1 is perfectly even.
        worst_organisation: Highest 99th percentile of the time to first token
            of short prompts over organisations, divided by that of the
            median organisation.
    """

    requests: int
    outcomes: dict[int, int]
    lost: int
    goodput_tokens_per_s: float
    goodput_requests_per_s: float
    first_p50_s: dict[str, float]
    first_p99_s: dict[str, float]
    bucket_p50_s: dict[int, float]
    bucket_p99_s: dict[int, float]
    gap_p99_s: float
    refusal_p99_s: float
    fairness: float
    worst_organisation: float


def bucket(prompt_tokens: int) -> int:
    """Returns the upper bound of the bucket of a prompt length."""
    return next((b for b in BUCKETS if prompt_tokens <= b), BUCKETS[-1])


def percentile_s(values: list[float], percentile: float) -> float:
    """Returns a percentile of times in seconds; nan for an empty list."""
    if not values:
        return float("nan")
    hist = histogram.HdrHistogram(1, _HOUR_US, _DIGITS)
    for value in values:
        hist.record_value(min(max(1, round(value * _US)), _HOUR_US))
    return hist.get_value_at_percentile(percentile) / _US


def summarise(res: Result) -> Summary:
    """Returns the key figures of a run."""
    completed = [s for s in res.samples if s.code == OK]
    prompts = [s for s in completed if s.prompt_tokens]
    groups = _first_token_times(completed, lambda s: s.group)
    buckets = _first_token_times(prompts, lambda s: bucket(s.prompt_tokens))
    refusals = [s.total_s for s in res.samples if _is_refusal(s)]
    tokens = sum(s.prompt_tokens + s.answer_tokens for s in completed)
    return Summary(
        requests=len(res.samples),
        outcomes=dict(collections.Counter(s.code for s in res.samples)),
        lost=sum(s.code in (LOST, WRONG) for s in res.samples),
        goodput_tokens_per_s=tokens / res.duration_s,
        goodput_requests_per_s=len(completed) / res.duration_s,
        first_p50_s={k: percentile_s(v, 50) for k, v in groups.items()},
        first_p99_s={k: percentile_s(v, 99) for k, v in groups.items()},
        bucket_p50_s={k: percentile_s(v, 50) for k, v in buckets.items()},
        bucket_p99_s={k: percentile_s(v, 99) for k, v in buckets.items()},
        gap_p99_s=percentile_s([s.gap_s for s in prompts], 99),
        refusal_p99_s=percentile_s(refusals, 99),
        fairness=_fairness(res.samples),
        worst_organisation=_worst_organisation(prompts),
    )


def write(res: Result, path: str) -> None:
    """Writes a run and its summary as JSON."""
    value = {"result": res, "summary": summarise(res)}
    pathlib.Path(path).write_bytes(msgspec.json.encode(value))


def read(path: str) -> Result:
    """Reads a run from its JSON file.

    Raises:
        msgspec.ValidationError: The file is not the JSON of a run.
        OSError: The file can't be read.
    """
    value = msgspec.json.decode(
        pathlib.Path(path).read_bytes(), type=dict[str, msgspec.Raw]
    )
    return msgspec.json.decode(value["result"], type=Result)


def _is_refusal(sample: Sample) -> bool:
    return sample.code > OK and sample.run == "not_run"


def _first_token_times(samples: list[Sample], key) -> dict:
    times = collections.defaultdict(list)
    for sample in samples:
        times[key(sample)].append(sample.first_s)
    return dict(sorted(times.items()))


def _fairness(samples: list[Sample]) -> float:
    requested = collections.Counter()
    served = collections.Counter()
    for sample in samples:
        tokens = sample.prompt_tokens + sample.answer_tokens
        requested[sample.organisation] += tokens
        served[sample.organisation] += tokens * (sample.code == OK)
    shares = [
        served[name] / requested[name] for name in requested if requested[name]
    ]
    squares = sum(x * x for x in shares)
    if not squares:
        return float("nan")
    return sum(shares) ** 2 / (len(shares) * squares)


def _worst_organisation(prompts: list[Sample]) -> float:
    short = [s for s in prompts if s.group == "short"]
    by_organisation = _first_token_times(short, lambda s: s.organisation)
    percentiles = sorted(percentile_s(v, 99) for v in by_organisation.values())
    if not percentiles:
        return float("nan")
    return percentiles[-1] / percentiles[len(percentiles) // 2]
