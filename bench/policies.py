"""Compares all policies on a mix with real processes, and prints a table.

Usage:
  policies MIX [options]

Options:
  --seeds=LIST     Seeds, comma-separated [default: 1,2,3].
  --only=LIST      Labels of the variants to run, comma-separated.
  --rate=R         Requests a second in place of the mix's.
  --seconds=S      Duration in place of the mix's.
  --entries=N      Entries in place of the mix's.
  --output=FOLDER  Also write each result as JSON.

Each variant and seed runs on new processes and gets the same arrivals twice,
with and without the long prompts. The figures are medians over the seeds.
"""

import asyncio
import dataclasses
import pathlib
import statistics
import sys

import docopt

from bench import fleet
from copperloom import settings
from copperloom.decisions import policies
from copperloom.experiments import compare, load, mixes, plan, result

__all__ = ["main", "variants"]

_COLUMNS = (
    "short p50 s",
    "short p99 s",
    "slow p50",
    "slow p99",
    "middle p99 s",
    "long p99 s",
    "Mtok/s",
    "whole",
    "refused",
    "failed",
    "lost",
    "fairness",
    "refusal p99 s",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The results of one variant with one seed.

    Attributes:
        mixed: Result with the long prompts.
        alone: Result without the long prompts.
    """

    mixed: result.Result
    alone: result.Result


def variants() -> list[plan.Variant]:
    """Returns all policies, and the full one without each mechanism."""
    found = [plan.Variant(name) for name in policies.POLICIES]
    for name in sorted(policies.MECHANISMS):
        found.append(plan.Variant("copperloom", (name,)))
    return found


def run(mix: mixes.LoadSettings, variant: plan.Variant, seed: int) -> Outcome:
    """Runs one variant with one seed, with and without long prompts."""
    with fleet.Cleanups() as cleanups:
        system = fleet.start(cleanups, mix, variant, seed=seed)
        runs = [
            asyncio.run(
                load.offer(
                    mix,
                    system.addresses(),
                    seed=seed,
                    long=long,
                    policy=variant.label(),
                    expected=load.expected_of_standins(mix),
                )
            )
            for long in (True, False)
        ]
    return Outcome(*runs)


def figures(outcome: Outcome) -> dict[str, float]:
    """Returns the figures of one outcome by column."""
    summary = result.summarise(outcome.mixed)
    slow = compare.slowdown(outcome.mixed, outcome.alone)
    samples = outcome.mixed.samples
    refused = sum(s.code > 0 and s.run == "not_run" for s in samples)
    failed = sum(s.code > 0 and s.run != "not_run" for s in samples)
    nan = float("nan")
    values = (
        summary.first_p50_s.get("short", nan),
        summary.first_p99_s.get("short", nan),
        slow.p50,
        slow.p99,
        summary.first_p99_s.get("middle", nan),
        summary.first_p99_s.get("long", nan),
        summary.goodput_tokens_per_s / 1e6,
        summary.outcomes.get(result.OK, 0),
        refused,
        failed,
        summary.lost,
        summary.fairness,
        summary.refusal_p99_s,
    )
    return dict(zip(_COLUMNS, values, strict=True))


def medians(rows: list[dict[str, float]]) -> dict[str, float]:
    """Returns the median of each column over the seeds."""
    return {c: statistics.median(row[c] for row in rows) for c in _COLUMNS}


def main() -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__)
    mix = _mix(args)
    seeds = [int(s) for s in args["--seeds"].split(",")]
    only = args["--only"].split(",") if args["--only"] else None
    print(
        f"mix {mix.load.name}: {mix.load.rate_per_s:g} requests/s for "
        f"{mix.load.duration_s:g} s, seeds {args['--seeds']}, "
        f"{mix.cluster.entries} entries, {mix.cluster.engines} engines, "
        f"time scale {mix.cluster.time_scale:g}"
    )
    print(f"{'policy':26}" + "".join(f"{c:>14}" for c in _COLUMNS), flush=True)
    for variant in variants():
        if only is not None and variant.label() not in only:
            continue
        rows = [
            _run_seed(mix, variant, seed, args["--output"]) for seed in seeds
        ]
        values = medians(rows)
        cells = "".join(f"{values[c]:14.3g}" for c in _COLUMNS)
        print(f"{variant.label():26}{cells}", flush=True)


def _run_seed(mix, variant, seed: int, folder: str | None) -> dict[str, float]:
    outcome = run(mix, variant, seed)
    if folder:
        for name, res in (("mixed", outcome.mixed), ("alone", outcome.alone)):
            label = variant.label().replace(" ", "")
            path = pathlib.Path(folder, f"{label}-{seed}-{name}.json")
            result.write(res, str(path))
    return figures(outcome)


def _mix(args: dict) -> mixes.LoadSettings:
    """Returns the mix with the changes of the command line."""
    mix = settings.load_or_exit(args["MIX"], mixes.LoadSettings)
    load_changes, cluster_changes = {}, {}
    if args["--rate"]:
        load_changes["rate_per_s"] = float(args["--rate"])
    if args["--seconds"]:
        load_changes["duration_s"] = float(args["--seconds"])
    if args["--entries"]:
        cluster_changes["entries"] = int(args["--entries"])
    return dataclasses.replace(
        mix,
        load=dataclasses.replace(mix.load, **load_changes),
        cluster=dataclasses.replace(mix.cluster, **cluster_changes),
    )


if __name__ == "__main__":
    sys.exit(main())
