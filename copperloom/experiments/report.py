"""HTML report of runs: one page with tables and curves."""

import html
import io
import pathlib

from copperloom.experiments import compare, result

__all__ = ["write"]

_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)
_STYLE = "body{font-family:sans-serif}pre{background:#f4f4f4;padding:1em}"


def write(results: list[result.Result], path: str) -> None:
    """Writes a page with each run's curves, and tables against the first.

    Args:
        results: The runs; the first is the one compared with.
        path: Where to write the page.
    """
    parts = [f"<style>{_STYLE}</style>", "<h1>copperloom-load</h1>"]
    for group in ("short", "middle", "long", "service"):
        parts.append(_curve(results, group))
    for other in results[1:]:
        table = "\n".join(compare.compare(results[0], other))
        parts.append(f"<pre>{html.escape(table)}</pre>")
    page = "<!doctype html><meta charset=utf-8>" + "\n".join(parts)
    pathlib.Path(path).write_text(page)


def _curve(results: list[result.Result], group: str) -> str:
    # Imported here: it takes longer than all the rest, and only the report
    # needs it.
    from matplotlib import figure

    fig = figure.Figure(figsize=(8, 4))
    axes = fig.add_subplot()
    for res in results:
        firsts = [
            s.first_s
            for s in res.samples
            if s.group == group and s.code == result.OK
        ]
        values = [result.percentile_s(firsts, p) for p in _PERCENTILES]
        label = f"{res.policy} seed {res.seed}" + ("" if res.long else " alone")
        axes.plot(values, _PERCENTILES, marker=".", label=label)
    axes.set_xscale("log")
    axes.set_xlabel(f"time to first token, {group} (s)")
    axes.set_ylabel("percent answered by then")
    axes.legend(fontsize="small")
    out = io.StringIO()
    fig.savefig(out, format="svg")
    return out.getvalue()[out.getvalue().index("<svg") :]
