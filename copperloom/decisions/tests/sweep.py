"""Compares variants of the decisions' constants on emulated engines.

Usage:
  sweep [--seeds=N] [--burst=X] [--jobs=N] [--sheet=NAME]... VARIANT...

Options:
  --seeds N     Play the seeds 1 to N with and without each variant
                [default: 6].
  --burst X     Factor of the rates between 5 and 15 of 20 s [default: 2.4].
  --jobs N      Number of parallel runs [default: 4].
  --sheet NAME  Name of a load; all if none is given.

A variant is a comma-separated list of constants such as planner.PACK_COST=0.
Prints, by variant and sheet, the mean difference in the share of served worth
over the seeds and its standard error, in thousandths.
"""

import concurrent.futures
import math
import multiprocessing
import statistics
import sys

import docopt

from copperloom.decisions.tests import peaks, sheets

__all__ = ["differences", "main", "mean_and_error"]

_SECONDS = 20.0
# Number of instances that place, and the delay of reports between them.
_INSTANCES = 8
_REPORT_DELAY_S = 0.0015
_BASELINE = ""


def _play(job: tuple[str, str, int, float]) -> float:
    """Plays one seed in a separate process; returns the share of worth."""
    variant, sheet, seed, burst = job
    for text in filter(None, variant.split(",")):
        peaks.set_constant(text)
    row = peaks.play_seed(
        sheets.SHEETS[sheet],
        "copperloom",
        seed,
        _SECONDS,
        burst,
        instances=_INSTANCES,
        report_delay_s=_REPORT_DELAY_S,
    )
    return row["all"]


def differences(
    variants: list[str], names: list[str], seeds: int, burst: float, jobs: int
) -> dict[tuple[str, str], list[float]]:
    """Returns the differences between variants and the baseline.

    Args:
        variants: The variants.
        names: Names of the sheets.
        seeds: Number of seeds.
        burst: Factor of the rates during the burst.
        jobs: Number of parallel runs.

    Returns:
        The differences of each seed, by variant and sheet.
    """
    seed_range = range(1, seeds + 1)
    runs = [
        (variant, name, seed, burst)
        for name in names
        for seed in seed_range
        for variant in (_BASELINE, *variants)
    ]
    # Each run has a fresh process, since a variant changes module constants.
    with concurrent.futures.ProcessPoolExecutor(
        jobs,
        mp_context=multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        worth = dict(zip(runs, pool.map(_play, runs), strict=True))
    return {
        (variant, name): [
            worth[variant, name, seed, burst]
            - worth[_BASELINE, name, seed, burst]
            for seed in seed_range
        ]
        for variant in variants
        for name in names
    }


def mean_and_error(values: list[float]) -> tuple[float, float]:
    """Returns the mean and its standard error."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, math.inf
    return mean, statistics.stdev(values) / math.sqrt(len(values))


def main(argv: list[str] | None = None) -> int:
    """Runs the command."""
    args = docopt.docopt(__doc__, argv)
    names = args["--sheet"] or list(sheets.SHEETS)
    variants = args["VARIANT"]
    found = differences(
        variants,
        names,
        int(args["--seeds"]),
        float(args["--burst"]),
        int(args["--jobs"]),
    )
    for variant in variants:
        cells = []
        for name in names:
            mean, error = mean_and_error(found[variant, name])
            cells.append(f"{name} {1000 * mean:+.0f}±{1000 * error:.0f}")
        print(f"{variant}: {', '.join(cells)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
