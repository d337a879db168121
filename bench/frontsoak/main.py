"""Plays schedules of faults against instances as processes.

Usage:
  frontsoak [--schedules=N] [--seed=N] [--seconds=S] [--fronts=N] [--targets=N]

Options:
  --schedules N  How many schedules to play [default: 10].
  --seed N       Seed of the first one; the next ones count up. Left out, it
                 is drawn anew.
  --seconds S    Length of each [default: 8].
  --fronts N     Instances [default: 3].
  --targets N    Targets of each service [default: 3].

The table service and the targets run here, on loopback, each behind a proxy;
every run of a request is seen. Callers keep using their connections while
processes are killed, paused, stopped and reloaded, links are delayed, reset,
cut one way or silenced, the table fails, targets misbehave and routes change.
"""

import asyncio
import secrets
import sys
import tempfile

import aiohttp
import docopt

from bench.frontsoak import callers, checks, faults, processes, world

__all__ = ["main", "play"]

# Work that callers have left ends within half a second.
_LEAVE_S = 0.7
# Three callers for each instance.
_CALLERS = 3
_MOST_SEED = 1_000_000


async def play(
    seed: int, sizes: world.Sizes, folder: str
) -> list[checks.Finding]:
    """Plays one schedule; returns what was broken."""
    async with aiohttp.ClientSession() as session:
        run = await world.open_world(seed, sizes, folder, session)
        try:
            asking = [
                asyncio.ensure_future(callers.call_on(run, session, n))
                for n in range(sizes.callers)
            ]
            keeping = [
                asyncio.ensure_future(processes.keep(f)) for f in run.fronts
            ]
            await faults.disturb(run)
            run.stopping = True
            await asyncio.gather(*asking)
            for task in keeping:
                task.cancel()
            await asyncio.sleep(_LEAVE_S)
            return checks.check(run)
        finally:
            await world.close(run)


def main(argv: list[str] | None = None) -> int:
    """Plays schedules; returns how many broke something."""
    args = docopt.docopt(__doc__, argv)
    first = int(args["--seed"] or secrets.randbelow(_MOST_SEED))
    fronts = int(args["--fronts"])
    sizes = world.Sizes(
        fronts=fronts,
        targets=int(args["--targets"]),
        callers=fronts * _CALLERS,
        seconds=float(args["--seconds"]),
    )
    bad = 0
    for seed in range(first, first + int(args["--schedules"])):
        folder = tempfile.mkdtemp(prefix=f"frontsoak-{seed}-")
        found = asyncio.run(play(seed, sizes, folder))
        bad += bool(found)
        print(f"seed {seed}: {len(found)} broken {found[:5]} logs {folder}")
    print(f"{bad} schedules broke something")
    return min(bad, 1)


if __name__ == "__main__":
    sys.exit(main())
