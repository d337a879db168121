"""Comparison of two runs, and the slowdown caused by long prompts."""

import dataclasses

from copperloom.experiments import result

__all__ = ["Slowdown", "compare", "figures", "slowdown"]

_SHORT = "short"


@dataclasses.dataclass(frozen=True, slots=True)
class Slowdown:
    """The slowdown of short prompts in a run with long prompts.

    Attributes:
        p50: Ratio of the median times to first token.
        p99: Ratio of the 99th percentiles.
        paired_p50: Median of the ratios of single prompts.
        paired_p99: 99th percentile of the ratios of single prompts.
        pairs: Number of prompts answered in both runs.
    """

    p50: float
    p99: float
    paired_p50: float
    paired_p99: float
    pairs: int


def slowdown(mixed: result.Result, alone: result.Result) -> Slowdown:
    """Returns the slowdown between two runs of the same mix and seed.

    Args:
        mixed: The run with long prompts.
        alone: The run of the same mix and seed without them.

    Raises:
        ValueError: The runs differ in mix or seed.
    """
    if (mixed.mix, mixed.seed) != (alone.mix, alone.seed):
        raise ValueError("the runs differ in mix or seed")
    mixed_s = _short_first_token_times(mixed)
    alone_s = _short_first_token_times(alone)
    ratios = [
        mixed_s[i] / max(alone_s[i], 1e-6) for i in mixed_s if i in alone_s
    ]
    return Slowdown(
        p50=_ratio(mixed_s, alone_s, 50),
        p99=_ratio(mixed_s, alone_s, 99),
        paired_p50=result.percentile_s(ratios, 50),
        paired_p99=result.percentile_s(ratios, 99),
        pairs=len(ratios),
    )


def compare(a: result.Result, b: result.Result) -> list[str]:
    """Returns the lines of a table of two runs, with the ratio of B to A."""
    summaries = result.summarise(a), result.summarise(b)
    lines = [
        f"A: {a.mix} {a.policy} seed {a.seed} long {a.long}",
        f"B: {b.mix} {b.policy} seed {b.seed} long {b.long}",
        f"{'figure':36}{'A':>12}{'B':>12}{'B/A':>8}",
    ]
    rows = [_figures_by_name(s) for s in summaries]
    for name in rows[0] | rows[1]:
        lines.append(
            _comparison_line(name, rows[0].get(name), rows[1].get(name))
        )
    return lines


def figures(summary: result.Summary) -> list[str]:
    """Returns the lines of a table of one run."""
    return [f"{k:36}{_format(v)}" for k, v in _figures_by_name(summary).items()]


def _short_first_token_times(res: result.Result) -> dict[int, float]:
    return {
        s.index: s.first_s
        for s in res.samples
        if s.group == _SHORT and s.code == result.OK
    }


def _ratio(a: dict[int, float], b: dict[int, float], percent: float) -> float:
    baseline = result.percentile_s(list(b.values()), percent)
    return result.percentile_s(list(a.values()), percent) / baseline


def _figures_by_name(summary: result.Summary) -> dict[str, float]:
    values = {"requests": summary.requests, "lost": summary.lost}
    for code, count in sorted(summary.outcomes.items()):
        values[f"outcome {code}"] = count
    for name, value in summary.first_p50_s.items():
        values[f"first token p50, {name} (s)"] = value
    for name, value in summary.first_p99_s.items():
        values[f"first token p99, {name} (s)"] = value
    for name, value in summary.bucket_p99_s.items():
        values[f"first token p99, to {name} tokens (s)"] = value
    for name in (
        "goodput_tokens_per_s",
        "goodput_requests_per_s",
        "gap_p99_s",
        "refusal_p99_s",
        "fairness",
        "worst_organisation",
    ):
        values[name] = getattr(summary, name)
    return values


def _comparison_line(name: str, a: float | None, b: float | None) -> str:
    ratio = f"{b / a:8.2f}" if a and b else f"{'-':>8}"
    return f"{name:36}{_format(a)}{_format(b)}{ratio}"


def _format(value: float | None) -> str:
    if value is None:
        return f"{'-':>12}"
    if isinstance(value, int):
        return f"{value:12d}"
    return f"{value:12.4g}"
