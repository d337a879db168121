"""HTML report of runs with tables and curves."""

import html
import io
import pathlib

from copperloom.experiments import compare, result

__all__ = ["write"]

_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)
_STYLE = "body{font-family:sans-serif}pre{background:#f4f4f4;padding:1em}"


def write(results: list[result.Result], path: str) -> None:
    """Writes a page with the curves of all runs and a comparison of each.

    Args:
        results: The runs; the first is the baseline of the comparisons.
        path: Path of the page.
    """
    parts = [f"<style>{_STYLE}</style>", "<h1>copperloom-load</h1>"]
    for group in ("short", "middle", "long", "service"):
        parts.append(_curve(results, group))
    for res in results[1:]:
        table = "\n".join(compare.compare(results[0], res))
        parts.append(f"<pre>{html.escape(table)}</pre>")
    page = "<!doctype html><meta charset=utf-8>" + "\n".join(parts)
    pathlib.Path(path).write_text(page)


def _curve(results: list[result.Result], group: str) -> str:
    # Imported on demand: loading it is slow, and only this report uses it.
    from matplotlib import figure

    fig = figure.Figure(figsize=(8, 4))
    axes = fig.add_subplot()
    for res in results:
        first_token_times = [
            s.first_s
            for s in res.samples
            if s.group == group and s.code == result.OK
        ]
        values = [
            result.percentile_s(first_token_times, p) for p in _PERCENTILES
        ]
        label = f"{res.policy} seed {res.seed}" + ("" if res.long else " alone")
        axes.plot(values, _PERCENTILES, marker=".", label=label)
    axes.set_xscale("log")
    axes.set_xlabel(f"time to first token, {group} (s)")
    axes.set_ylabel("percent answered by then")
    axes.legend(fontsize="small")
    svg = io.StringIO()
    fig.savefig(svg, format="svg")
    return svg.getvalue()[svg.getvalue().index("<svg") :]
