"""Compares the ways in which instances learn of each other's work.

Usage:
  control [--seeds=N] [--seconds=S] [--burst=X] [--sheet=NAME] [--instances=N]
          [--shards=N]

Options:
  --seeds N      Play the seeds 1 to N [default: 3].
  --seconds S    Length of each run in seconds [default: 20].
  --burst X      Factor of the rates between 5 and 15 s [default: 1.5].
  --sheet NAME   Name of the load [default: wroclaw-large].
  --instances N  Number of instances that place [default: 195].
  --shards N     Number of data centres that share the engines [default: 5].

An instance may know of its own work only, of the engines' load reports, of all
instances' work or of the work in its data centre; or an owner in each data
centre may place all requests. Prints, for each way, the share of the worth that
was served by kind and in all, and the messages between instances per request.
"""

import dataclasses
import math
import random
import statistics
import sys

import docopt

from copperloom.decisions import choice, planner
from copperloom.decisions.tests import emulator, sheets

__all__ = ["WAYS", "Way", "main", "messages", "play"]

_NEVER_S = math.inf
# Age of the engines' load reports when a request is placed.
_ENGINE_REPORT_S = 0.2
# Delay of reports between instances: batching of changes and the network.
_PEER_REPORT_S = 0.005
# Reported changes of a request: sent, first token, end.
_CHANGES = 3


@dataclasses.dataclass(frozen=True)
class Way:
    """How instances learn of each other's work.

    Attributes:
        report_delay_s: Time until an instance knows of another's placement, in
            seconds.
        divided: Whether each data centre uses its own engines only.
        owned: Whether one instance places all requests of a data centre.
    """

    report_delay_s: float
    divided: bool = False
    owned: bool = False


WAYS = {
    "alone": Way(_NEVER_S),
    "engine reports": Way(_ENGINE_REPORT_S),
    "all to all": Way(_PEER_REPORT_S),
    "within data centres": Way(_PEER_REPORT_S, divided=True),
    "owners": Way(0.0, divided=True, owned=True),
}


def messages(way: Way, instances: int, shards: int, owners: int) -> float:
    """Returns the number of messages between instances per request."""
    if way.owned:
        return 2 + _CHANGES * owners
    if way.report_delay_s >= _ENGINE_REPORT_S:
        return 0
    informed = instances // shards if way.divided else instances
    return _CHANGES * (informed - 1)


def play(
    way: Way,
    sheet: sheets.Sheet,
    seed: int,
    seconds: float,
    burst: float,
    *,
    instances: int,
    shards: int,
) -> dict[str, float]:
    """Returns the shares of served worth by kind and in all."""
    load = sheets.arrivals(sheet, random.Random(seed), seconds, burst)
    parts = shards if way.divided else 1
    served = []
    for part in range(parts):
        served += emulator.play(
            sheet.spec,
            sheet.engines // parts,
            load[part::parts],
            _sampled(sheet, random.Random(seed)),
            instances=1 if way.owned else max(1, instances // parts),
            report_delay_s=way.report_delay_s,
        )
    return sheets.worth_share(sheet, served)


def _sampled(sheet: sheets.Sheet, rng: random.Random) -> emulator.Placement:
    def place(prompt, candidates):
        drawn = rng.sample(candidates, len(candidates))
        return choice.choose(
            sheet.spec, prompt, planner.least_loaded(drawn, rng)
        )

    return place


def main(argv: list[str] | None = None) -> int:
    """Runs the command."""
    args = docopt.docopt(__doc__, argv)
    sheet = sheets.SHEETS[args["--sheet"]]
    instances, shards = int(args["--instances"]), int(args["--shards"])
    for name, way in WAYS.items():
        rows = [
            play(
                way,
                sheet,
                seed,
                float(args["--seconds"]),
                float(args["--burst"]),
                instances=instances,
                shards=shards,
            )
            for seed in range(1, int(args["--seeds"]) + 1)
        ]
        kinds = sorted({kind for row in rows for kind in row})
        shares = {
            k: statistics.fmean(r.get(k, 1.0) for r in rows) for k in kinds
        }
        text = " ".join(f"{k}={v:.3f}" for k, v in shares.items())
        sent = messages(way, instances, shards, owners=3)
        print(f"{name}: {text} messages={sent:.0f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
