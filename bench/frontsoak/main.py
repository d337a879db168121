"""Plays randomised schedules of faults against instances that run as processes.

Usage:
  frontsoak [--schedules=N] [--seed=N] [--seconds=S] [--fronts=N] [--targets=N]
            [--returns=N] [--crowds=N]

Options:
  --schedules N  How many schedules to play [default: 10].
  --seed N       Seed of the first one; the next ones count up. Left out, it
                 is drawn anew.
  --seconds S    Length of each [default: 8].
  --fronts N     Instances [default: 3].
  --targets N    Targets of each service [default: 3].
  --returns N    Returns of the table service from an older copy [default: 0].
  --crowds N     Crowds of clients that keep to no limit [default: 0].

The table service and the targets run in this process, on loopback and behind
proxies, and record every run of a request. Callers keep their connections while
processes are killed, paused, stopped and reloaded, links are delayed, reset,
cut in one direction or silenced, the table service fails, targets misbehave and
routes change.
"""

import asyncio
import secrets
import sys
import tempfile

import aiohttp
import docopt

from bench.frontsoak import (
    callers,
    checks,
    crowds,
    faults,
    findings,
    processes,
    returns,
    world,
)

__all__ = ["main", "play"]

# Exceeds the time in which targets must end the requests of callers that left.
_SETTLE_S = 0.7
_CALLERS_PER_INSTANCE = 3
_SEED_LIMIT = 1_000_000
_CRASHING_REQUESTS = 2


async def play(
    seed: int, sizes: world.Sizes, folder: str
) -> list[findings.Finding]:
    """Plays one schedule and returns the violations found.

    Args:
        seed: Seed of the schedule.
        sizes: Number of processes and callers, and duration.
        folder: Folder for the settings and logs of the instances.
    """
    async with aiohttp.ClientSession() as session:
        run = await world.open_world(seed, sizes, folder, session)
        try:
            call_tasks = [
                asyncio.ensure_future(callers.call_on(run, session, n))
                for n in range(sizes.callers)
            ]
            call_tasks += [
                asyncio.ensure_future(callers.repeat_crashing(run, session, n))
                for n in range(_CRASHING_REQUESTS)
            ]
            call_tasks.append(
                asyncio.ensure_future(callers.send_crashing_part(run, session))
            )
            restart_tasks = [
                asyncio.ensure_future(processes.keep(f)) for f in run.fronts
            ]
            await asyncio.gather(
                faults.inject_faults(run),
                returns.inject_returns(run, seed),
                crowds.inject_crowds(run, seed),
            )
            found = []
            if sizes.returns:
                found = await returns.check_configuration(run, session)
            run.stopping = True
            await asyncio.gather(*call_tasks)
            for task in restart_tasks:
                task.cancel()
            await asyncio.sleep(_SETTLE_S)
            return found + checks.check(run)
        finally:
            await world.close(run)


def main(argv: list[str] | None = None) -> int:
    """Plays the schedules; returns 1 if any of them found a violation."""
    args = docopt.docopt(__doc__, argv)
    first = int(args["--seed"] or secrets.randbelow(_SEED_LIMIT))
    fronts = int(args["--fronts"])
    sizes = world.Sizes(
        fronts=fronts,
        targets=int(args["--targets"]),
        callers=fronts * _CALLERS_PER_INSTANCE,
        seconds=float(args["--seconds"]),
        returns=int(args["--returns"]),
        crowds=int(args["--crowds"]),
    )
    failed = 0
    for seed in range(first, first + int(args["--schedules"])):
        folder = tempfile.mkdtemp(prefix=f"frontsoak-{seed}-")
        found = asyncio.run(play(seed, sizes, folder))
        failed += bool(found)
        print(f"seed {seed}: {len(found)} broken {found[:5]} logs {folder}")
    print(f"{failed} schedules broke something")
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
