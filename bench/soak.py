"""Runs randomised schedules of faults and checks the promises.

Run as `python -m bench.soak`.

Usage:
  soak [options]

Options:
  --schedules N  How many schedules. [default: 100]
  --seed S       First seed; schedule i has the seed S/i. [default: 1]
  --first I      Number of the first schedule, to run one again. [default: 0]
  --seconds T    Stop beginning schedules after this time. [default: 3600]

Prints each broken promise with the schedule's seed; exit status 1 if any.
"""

import asyncio
import collections
import sys
import time
import unittest

import aiohttp
import docopt

from bench import schedules
from copperloom import history
from copperloom.tests import systems, trials

__all__ = ["main", "run_schedule"]

# A new system now and then: the stand-ins keep all that ever ran, and asking
# them would take longer and longer.
_SCHEDULES_A_SYSTEM = 25
_SPREAD_OVER = 60


class _Totals:
    """What the whole soak saw."""

    def __init__(self):
        self.schedules = 0
        self.broken = 0
        self.failed = 0
        self.outcomes = collections.Counter()
        self.kinds = collections.Counter()


def main(argv: list[str] | None = None) -> int:
    """Runs the soak."""
    args = docopt.docopt(__doc__, argv)
    first = int(args["--first"])
    end = first + int(args["--schedules"])
    give_up = time.monotonic() + float(args["--seconds"])
    begun = time.monotonic()
    totals = _Totals()
    number = first
    while number < end and time.monotonic() < give_up:
        last = min(end, number + _SCHEDULES_A_SYSTEM)
        number = asyncio.run(
            _batch(args["--seed"], number, last, give_up, totals)
        )
    took_s = time.monotonic() - begun
    print(
        f"{totals.schedules} schedules in {took_s:.0f} s, "
        f"{totals.broken} broken promises, {totals.failed} not run to the end"
    )
    print("outcomes", dict(sorted(totals.outcomes.items())))
    print("faults", dict(sorted(totals.kinds.items())))
    return 1 if totals.broken or totals.failed else 0


async def _batch(seed, first, last, give_up, totals) -> int:
    """Runs schedules on one system; returns the next one's number."""
    case = unittest.TestCase()
    system = start_system(case)
    before = history.History()
    try:
        for number in range(first, last):
            if time.monotonic() > give_up:
                return number
            name = f"{seed}/{number}"
            if not await _one(case, system, name, before, totals):
                # What a broken promise left behind must not count twice.
                return number + 1
        return last
    finally:
        case.doCleanups()


def start_system(case) -> systems.System:
    """Starts a system for schedules."""
    return systems.start_system(
        case,
        entries=3,
        engines=2,
        services=2,
        proxies=("platform", "engines", "services"),
    )


async def _one(case, system, name, before, totals) -> bool:
    """Runs one schedule; returns whether the system can go on."""
    schedule = schedules.draw(name)
    totals.schedules += 1
    totals.kinds.update(step.kind for step in schedule.steps)
    try:
        trial = await run_schedule(case, system, schedule, before)
    except (AssertionError, TimeoutError, OSError) as error:
        totals.failed += 1
        print(f"seed {name}: not run to the end: {error!r}", flush=True)
        print(f"  {schedule}")
        return False
    broken = history.check(trial.history)
    totals.broken += len(broken)
    totals.outcomes.update(c.outcome.value for c in trial.history.calls)
    for one in broken:
        print(f"seed {name}: {one.promise}: {one.detail}", flush=True)
    if broken:
        print(f"  {schedule}")
        _print_logs(system, broken)
    return not broken


def _print_logs(system: systems.System, broken) -> None:
    """Prints the log lines of the requests that broke promises."""
    requests = {one.detail.split()[0] for one in broken}
    processes = system.entries | system.targets()
    for process in processes.values():
        for line in process.log().splitlines():
            if any(request in line for request in requests):
                print(f"  {process.name}: {line}")


async def run_schedule(
    case, system, schedule, before: history.History
) -> trials.Trial:
    """Runs one schedule and returns its trial, with the runs collected.

    Args:
        case: Gets the clean-ups.
        system: A running system.
        schedule: What to run.
        before: Keeps what later schedules on this system are judged by too.
    """
    # Sent over fresh connections, as by callers on poor networks.
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        trial = trials.Trial(system, session, history.History())
        for name in ("reads", "accepted"):
            kept = getattr(before, name)
            del kept[:-_SPREAD_OVER]
            setattr(trial.history, name, kept)
        await schedules.run(case, trial, schedule)
        await trials.memory_back(trial)
        trials.collect_runs(trial)
        return trial


if __name__ == "__main__":
    sys.exit(main())
