"""Plays the loads of the data sheets on emulated engines, by policy.

Usage:
  peaks [--seeds=N] [--seconds=S] [--burst=X] [--set=NAME=VALUE]... [SHEET...]

Options:
  --seeds N      Play the seeds 1 to N [default: 4].
  --seconds S    Length of each run in seconds [default: 20].
  --burst X      Factor of the rates between 5 and 15 s [default: 2.4].
  --set NAME=VALUE  Set a constant of copperloom.decisions, for example
                    planner.PACK_COST=0.

Prints, for each policy, the share of the worth that was served by kind and in
all, and the prefill time offered in the busiest four seconds relative to the
capacity of all engines. Both are means over the seeds.
"""

import importlib
import random
import statistics
import sys

import docopt

from copperloom.decisions.tests import emulator, sheets

__all__ = ["POLICIES", "main", "play", "play_seed", "set_constant"]

POLICIES = {
    "least_requests": emulator.least_requests,
    "copperloom": emulator.place_by_cost,
}
_WINDOW_S = 4.0


def play(
    sheet: sheets.Sheet, policy: str, seeds: int, seconds: float, burst: float
) -> dict[str, float]:
    """Returns the mean results over the seeds; see `play_seed`."""
    rows = [
        play_seed(sheet, policy, seed, seconds, burst)
        for seed in range(1, seeds + 1)
    ]
    names = sorted({name for row in rows for name in row})
    return {n: statistics.fmean(r.get(n, 1.0) for r in rows) for n in names}


def play_seed(
    sheet: sheets.Sheet,
    policy: str,
    seed: int,
    seconds: float,
    burst: float,
    **options,
) -> dict[str, float]:
    """Returns the shares of served worth and the offered load of one seed.

    Args:
        sheet: The fleet and its load.
        policy: Name of the policy.
        seed: Seed of the load.
        seconds: Length of the run, in seconds.
        burst: Factor of the rates during the burst.
        **options: Options of `emulator.play`.

    Returns:
        The shares by kind, in all as "all", and the load as "offered".
    """
    load = sheets.arrivals(sheet, random.Random(seed), seconds, burst)
    place = POLICIES[policy](sheet.spec)
    served = emulator.play(
        sheet.spec,
        sheet.engines,
        load,
        place,
        **options,
    )
    row = sheets.worth_share(sheet, served)
    return row | {"offered": sheets.offered(sheet, load, _WINDOW_S)}


def set_constant(text: str) -> None:
    """Sets a constant, given as MODULE.NAME=VALUE."""
    path, _, value = text.partition("=")
    module_name, _, constant = path.rpartition(".")
    module = importlib.import_module(f"copperloom.decisions.{module_name}")
    kind = type(getattr(module, constant))
    setattr(module, constant, kind(float(value)))


def main(argv: list[str] | None = None) -> int:
    """Runs the command."""
    args = docopt.docopt(__doc__, argv)
    for text in args["--set"]:
        set_constant(text)
    for name in args["SHEET"] or sheets.SHEETS:
        for policy in POLICIES:
            row = play(
                sheets.SHEETS[name],
                policy,
                int(args["--seeds"]),
                float(args["--seconds"]),
                float(args["--burst"]),
            )
            shares = " ".join(f"{k}={v:.3f}" for k, v in row.items())
            print(f"{name} {policy}: {shares}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
