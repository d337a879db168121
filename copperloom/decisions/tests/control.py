"""What callers get by how instances learn of each other's work, and its cost.

Usage:
  control [--seeds=N] [--seconds=S] [--burst=X] [--sheet=NAME] [--instances=N]
          [--shards=N]

Options:
  --seeds N      Seeds 1 to N are played [default: 3].
  --seconds S    Length of each play [default: 20].
  --burst X      Times the usual load between 5 and 15 s [default: 1.5].
  --sheet NAME   The load [default: wroclaw-large].
  --instances N  Instances that place [default: 195].
  --shards N     Data centres, each with its share of engines [default: 5].

Ways that are played: each instance by its own work alone; by the engines' own
word, as old as their reports; all told by all; all told within the data centre;
an owner in each data centre that places for all. Prints the share of the worth
that callers got, by kind and in all, and the messages between instances for
each request.
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
# Age of an engine's own word of its load.
_REPORT_S = 0.2
# Gathering of changes and the way of a datagram.
_TOLD_S = 0.005
# Changes of a request's work that are told: sent, first token, end.
_CHANGES = 3


@dataclasses.dataclass(frozen=True)
class Way:
    """How instances learn of each other's work.

    Attributes:
        told_after_s: Time until an instance knows what another has placed.
        divided: Whether each data centre places on its own engines only.
        owned: Whether one instance places for all.
    """

    told_after_s: float
    divided: bool = False
    owned: bool = False


WAYS = {
    "alone": Way(_NEVER_S),
    "engines' word": Way(_REPORT_S),
    "all to all": Way(_TOLD_S),
    "within data centres": Way(_TOLD_S, divided=True),
    "owners": Way(0.0, divided=True, owned=True),
}


def messages(way: Way, instances: int, shards: int, owners: int) -> float:
    """Returns the messages between instances for each request."""
    if way.owned:
        return 2 + _CHANGES * owners
    if way.told_after_s >= _REPORT_S:
        return 0
    told = instances // shards if way.divided else instances
    return _CHANGES * (told - 1)


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
    """Returns the shares of worth by kind and in all."""
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
            told_after_s=way.told_after_s,
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
    """Runs the tool."""
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
        said = " ".join(f"{k}={v:.3f}" for k, v in shares.items())
        sent = messages(way, instances, shards, owners=3)
        print(f"{name}: {said} messages={sent:.0f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
