"""Outcomes of a run: samples, their summary, and the JSON file of both.

Percentiles come from hdrhistogram with two significant digits, so that those
of several seeds can be merged without keeping order.
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
# No outcome with a code within the time limit and its grace.
LOST = -1
# An answer that ended as if whole but was not the caller's whole answer.
WRONG = -2

# Upper ends of the prompt lengths that results are broken down by, in tokens.
BUCKETS = (4_000, 16_000, 100_000, 400_000, 1_000_000)
_HOUR_US = 3_600_000_000
_DIGITS = 2
_US = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What became of one request. All times count from its planned arrival.

    Attributes:
        index: Its index in the arrivals.
        group: "short", "middle", "long" or "service".
        organisation: Who sent it.
        prompt_tokens: Length of its prompt.
        answer_tokens: Tokens that it asked for.
        code: 0 for a whole answer, a result code, or LOST or WRONG.
        run: What the error said about having run; "" for none.
        first_s: Time to the first token (or to a service's reply).
        total_s: Time to the outcome.
        gap_s: Longest wait between two pieces.
        request: The request id that the entry gave.
        entry: Address that it was sent to.
        problem: What was wrong with a lost or wrong one.
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
    """One run.

    Attributes:
        mix: Name of the mix.
        policy: Label of what was tried.
        seed: Seed of the arrivals.
        long: Whether the long prompts were sent.
        duration_s: Time over which requests arrived.
        samples: One for each request sent.
    """

    mix: str
    policy: str
    seed: int
    long: bool
    duration_s: float
    samples: list[Sample]


@dataclasses.dataclass(frozen=True)
class Summary:
    """The figures of a run.

    Attributes:
        requests: Requests sent.
        outcomes: Requests by result code, 0 for whole answers.
        lost: Requests without an outcome, or with a wrong answer.
        goodput_tokens_per_s: Prompt and answer tokens of whole answers.
        goodput_requests_per_s: Whole answers.
        first_p50_s: Median time to first token by group.
        first_p99_s: 99th percentile of the same.
        bucket_p50_s: Median time to first token by upper prompt length.
        bucket_p99_s: 99th percentile of the same.
        gap_p99_s: 99th percentile of the longest wait within an answer.
        refusal_p99_s: 99th percentile of the time to a refusal.
        fairness: Jain's index of the organisations' served share of what
            they asked for, in tokens; 1 is even.
        worst_organisation: Greatest ratio of an organisation's short-prompt
            99th percentile to the median organisation's.
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
    """Returns the upper end of the range that a prompt length is in."""
    return next((b for b in BUCKETS if prompt_tokens <= b), BUCKETS[-1])


def percentile_s(values: list[float], percentile: float) -> float:
    """Returns a percentile of times in seconds; nan if there are none."""
    if not values:
        return float("nan")
    hist = histogram.HdrHistogram(1, _HOUR_US, _DIGITS)
    for value in values:
        hist.record_value(min(max(1, round(value * _US)), _HOUR_US))
    return hist.get_value_at_percentile(percentile) / _US


def summarise(res: Result) -> Summary:
    """Works out the figures of a run."""
    whole = [s for s in res.samples if s.code == OK]
    prompts = [s for s in whole if s.prompt_tokens]
    groups = _firsts(whole, lambda s: s.group)
    buckets = _firsts(prompts, lambda s: bucket(s.prompt_tokens))
    refusals = [s.total_s for s in res.samples if _is_refusal(s)]
    tokens = sum(s.prompt_tokens + s.answer_tokens for s in whole)
    return Summary(
        requests=len(res.samples),
        outcomes=dict(collections.Counter(s.code for s in res.samples)),
        lost=sum(s.code in (LOST, WRONG) for s in res.samples),
        goodput_tokens_per_s=tokens / res.duration_s,
        goodput_requests_per_s=len(whole) / res.duration_s,
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
    """Reads a run.

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


def _firsts(samples: list[Sample], name) -> dict:
    out = collections.defaultdict(list)
    for sample in samples:
        out[name(sample)].append(sample.first_s)
    return dict(sorted(out.items()))


def _fairness(samples: list[Sample]) -> float:
    asked = collections.Counter()
    served = collections.Counter()
    for sample in samples:
        tokens = sample.prompt_tokens + sample.answer_tokens
        asked[sample.organisation] += tokens
        served[sample.organisation] += tokens * (sample.code == OK)
    shares = [served[name] / asked[name] for name in asked if asked[name]]
    squares = sum(x * x for x in shares)
    if not squares:
        return float("nan")
    return sum(shares) ** 2 / (len(shares) * squares)


def _worst_organisation(prompts: list[Sample]) -> float:
    short = [s for s in prompts if s.group == "short"]
    firsts = _firsts(short, lambda s: s.organisation)
    tails = sorted(percentile_s(v, 99) for v in firsts.values())
    if not tails:
        return float("nan")
    return tails[-1] / tails[len(tails) // 2]
