"""Comparison of two runs, and the slowdown that long prompts cause."""

import dataclasses

from copperloom.experiments import result

__all__ = ["Slowdown", "compare", "figures", "slowdown"]

_SHORT = "short"


@dataclasses.dataclass(frozen=True, slots=True)
class Slowdown:
    """How much slower short prompts are with long ones about.

    Attributes:
        p50: Ratio of the median times to first token.
        p99: Ratio of the 99th percentiles.
        paired_p50: Median of each prompt's own ratio.
        paired_p99: 99th percentile of each prompt's own ratio.
        pairs: Prompts answered in both runs.
    """

    p50: float
    p99: float
    paired_p50: float
    paired_p99: float
    pairs: int


def slowdown(mixed: result.Result, alone: result.Result) -> Slowdown:
    """Compares short prompts with those of the same seed without long ones.

    Args:
        mixed: The run with long prompts.
        alone: The run of the same mix and seed without them.

    Raises:
        ValueError: The runs are not of the same mix and seed.
    """
    if (mixed.mix, mixed.seed) != (alone.mix, alone.seed):
        raise ValueError("the runs are not of the same mix and seed")
    with_long = _short_firsts(mixed)
    without = _short_firsts(alone)
    ratios = [
        with_long[i] / max(without[i], 1e-6) for i in with_long if i in without
    ]
    return Slowdown(
        p50=_ratio(with_long, without, 50),
        p99=_ratio(with_long, without, 99),
        paired_p50=result.percentile_s(ratios, 50),
        paired_p99=result.percentile_s(ratios, 99),
        pairs=len(ratios),
    )


def compare(a: result.Result, b: result.Result) -> list[str]:
    """Returns a table of two runs' figures, with the ratio of B to A."""
    sums = result.summarise(a), result.summarise(b)
    lines = [
        f"A: {a.mix} {a.policy} seed {a.seed} long {a.long}",
        f"B: {b.mix} {b.policy} seed {b.seed} long {b.long}",
        f"{'figure':36}{'A':>12}{'B':>12}{'B/A':>8}",
    ]
    rows = [_figures(s) for s in sums]
    for name in rows[0] | rows[1]:
        lines.append(_line(name, rows[0].get(name), rows[1].get(name)))
    return lines


def figures(summary: result.Summary) -> list[str]:
    """Returns a table of one run's figures."""
    return [f"{k:36}{_show(v)}" for k, v in _figures(summary).items()]


def _short_firsts(res: result.Result) -> dict[int, float]:
    return {
        s.index: s.first_s
        for s in res.samples
        if s.group == _SHORT and s.code == result.OK
    }


def _ratio(a: dict[int, float], b: dict[int, float], percent: float) -> float:
    lower = result.percentile_s(list(b.values()), percent)
    return result.percentile_s(list(a.values()), percent) / lower


def _figures(summary: result.Summary) -> dict[str, float]:
    out = {"requests": summary.requests, "lost": summary.lost}
    for code, count in sorted(summary.outcomes.items()):
        out[f"outcome {code}"] = count
    for name, value in summary.first_p50_s.items():
        out[f"first token p50, {name} (s)"] = value
    for name, value in summary.first_p99_s.items():
        out[f"first token p99, {name} (s)"] = value
    for name, value in summary.bucket_p99_s.items():
        out[f"first token p99, to {name} tokens (s)"] = value
    for name in (
        "goodput_tokens_per_s",
        "goodput_requests_per_s",
        "gap_p99_s",
        "refusal_p99_s",
        "fairness",
        "worst_organisation",
    ):
        out[name] = getattr(summary, name)
    return out


def _line(name: str, a: float | None, b: float | None) -> str:
    ratio = f"{b / a:8.2f}" if a and b else f"{'-':>8}"
    return f"{name:36}{_show(a)}{_show(b)}{ratio}"


def _show(value: float | None) -> str:
    if value is None:
        return f"{'-':>12}"
    if isinstance(value, int):
        return f"{value:12d}"
    return f"{value:12.4g}"
