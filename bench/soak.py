"""Runs randomised schedules of faults and checks the guarantees to callers.

Run as `python -m bench.soak`.

Usage:
  soak [options]

Options:
  --schedules N  How many schedules. [default: 100]
  --seed S       First seed; schedule i has the seed S/i. [default: 1]
  --first I      Number of the first schedule, to run one again. [default: 0]
  --seconds T    Stop beginning schedules after this time. [default: 3600]

Prints each violated guarantee with the seed of its schedule. The exit status is
1 if a guarantee was violated or a schedule could not be completed.
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

# Bounds the records that the stand-ins keep of the requests that they ran: all
# of them are read after each schedule.
_SCHEDULES_PER_SYSTEM = 25
# Bounds the configuration records that are kept for later schedules.
_MAX_KEPT_RECORDS = 60


class _Totals:
    """Counts over all schedules of a soak."""

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
    deadline = time.monotonic() + float(args["--seconds"])
    started = time.monotonic()
    totals = _Totals()
    number = first
    while number < end and time.monotonic() < deadline:
        last = min(end, number + _SCHEDULES_PER_SYSTEM)
        number = asyncio.run(
            _run_on_one_system(args["--seed"], number, last, deadline, totals)
        )
    took_s = time.monotonic() - started
    print(
        f"{totals.schedules} schedules in {took_s:.0f} s, "
        f"{totals.broken} broken promises, {totals.failed} not run to the end"
    )
    print("outcomes", dict(sorted(totals.outcomes.items())))
    print("faults", dict(sorted(totals.kinds.items())))
    return 1 if totals.broken or totals.failed else 0


async def _run_on_one_system(seed, first, last, deadline, totals) -> int:
    """Runs schedules on one system until one fails or time is up.

    Returns:
        The number of the schedule to run next.
    """
    case = unittest.TestCase()
    system = start_system(case)
    before = history.History()
    try:
        for number in range(first, last):
            if time.monotonic() > deadline:
                return number
            name = f"{seed}/{number}"
            if not await _run_and_check(case, system, name, before, totals):
                # A new system keeps later schedules free of its effects.
                return number + 1
        return last
    finally:
        case.doCleanups()


def start_system(case) -> systems.System:
    """Starts a system that schedules can run on."""
    return systems.start_system(
        case,
        entries=3,
        engines=2,
        services=2,
        proxies=("platform", "engines", "services"),
    )


async def _run_and_check(case, system, name, before, totals) -> bool:
    """Runs one schedule; returns whether it completed without violations."""
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
    violations = history.check(trial.history)
    totals.broken += len(violations)
    totals.outcomes.update(c.outcome.value for c in trial.history.calls)
    for violation in violations:
        print(
            f"seed {name}: {violation.promise}: {violation.detail}", flush=True
        )
    if violations:
        print(f"  {schedule}")
        _print_logs(system, violations)
    return not violations


def _print_logs(system: systems.System, violations) -> None:
    """Prints the log lines of the requests whose guarantees were violated."""
    requests = {violation.detail.split()[0] for violation in violations}
    processes = system.entries | system.targets()
    for process in processes.values():
        for line in process.log().splitlines():
            if any(request in line for request in requests):
                print(f"  {process.name}: {line}")


async def run_schedule(
    case, system, schedule, before: history.History
) -> trials.Trial:
    """Runs one schedule and collects what the targets ran.

    Args:
        case: Test case that runs the clean-ups.
        system: A running system.
        schedule: The schedule.
        before: Configuration records of earlier schedules on this system,
            which are checked again and extended.

    Returns:
        The trial, whose history is ready to be checked.
    """
    # A session of its own makes each schedule open new connections.
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        trial = trials.Trial(system, session, history.History())
        for name in ("reads", "accepted"):
            kept = getattr(before, name)
            del kept[:-_MAX_KEPT_RECORDS]
            setattr(trial.history, name, kept)
        await schedules.run(case, trial, schedule)
        await trials.memory_back(trial)
        trials.collect_runs(trial)
        return trial


if __name__ == "__main__":
    sys.exit(main())
