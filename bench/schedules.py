"""Runs randomised schedules of faults against a system under mixed load.

A seed determines the faults, their offsets and the calls, but not how the
steps of the processes interleave.
"""

import asyncio
import dataclasses
import random
import time

from bench import faults
from copperloom import history
from copperloom.tests import callers, systems, trials

__all__ = ["Schedule", "Step", "draw", "run"]

LOAD_S = 1.0
_CALLS = 14
_MAX_FAULT_S = 0.9
_CALL_TIMEOUT_S = 3.0
_LONG_ANSWER_TOKENS = 2000
# Must stay below the drain_lag_s of the entries under test.
_BALANCER_LAG_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault of a schedule.

    Attributes:
        kind: Name of the fault in faults.FAULTS.
        start_s: Offset from the start of the schedule, in seconds.
        lasts_s: Duration, in seconds.
        seed: Seed of the draws that the fault makes.
    """

    kind: str
    start_s: float
    lasts_s: float
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """The faults of one run.

    Attributes:
        seed: Seed of the faults and the calls.
        steps: The faults.
    """

    seed: str
    steps: tuple[Step, ...]


def draw(seed: str) -> Schedule:
    """Draws a schedule.

    The faults start close together or one after another; sometimes the whole
    sequence occurs twice.
    """
    rng = random.Random(seed)
    kinds = rng.sample(sorted(faults.FAULTS), rng.randint(1, 3))
    kinds *= rng.choice((1, 1, 2))
    together = rng.random() < 0.5
    steps = []
    start_s = rng.uniform(0, 0.4)
    for kind in kinds:
        duration_s = rng.uniform(0.05, _MAX_FAULT_S)
        fault_seed = rng.randrange(1 << 30)
        steps.append(
            Step(kind, round(start_s, 3), round(duration_s, 3), fault_seed)
        )
        start_s += rng.uniform(0, 0.15) if together else duration_s
    return Schedule(seed, tuple(steps))


async def run(case, trial: trials.Trial, schedule: Schedule) -> None:
    """Makes the calls and injects the faults, then clears all faults."""
    rng = random.Random(f"calls {schedule.seed}")
    fault_tasks = [
        asyncio.create_task(_inject(case, trial, step))
        for step in schedule.steps
    ]
    await _make_calls(trial, rng, schedule.seed)
    await asyncio.gather(*fault_tasks)
    await _recover(trial)
    async with asyncio.timeout(faults.RECOVERY_S):
        await asyncio.gather(*trial.tasks)


async def _inject(case, trial: trials.Trial, step: Step) -> None:
    await asyncio.sleep(step.start_s)
    rng = random.Random(step.seed)
    await faults.FAULTS[step.kind](case, trial, rng, step.lasts_s)


async def _recover(trial: trials.Trial) -> None:
    """Clears all faults and waits until all entries admit work."""
    await asyncio.to_thread(_clear_faults, trial.system)
    for name, entry in trial.system.entries.items():
        await trials.until(
            lambda entry=entry: trials.admits(entry),
            faults.RECOVERY_S,
            f"{name} admits work again",
        )
        await asyncio.to_thread(trials.read_configuration, trial, name)


def _clear_faults(system: systems.System) -> None:
    trials.heal(system)
    system.platform.control(
        outage=[],
        black_hole=[],
        slow_s=0.0,
        lose_confirmations=0,
        drop_writes=0,
    )
    for target in system.targets().values():
        target.control(
            leaving=False,
            slow_factor=1.0,
            refuse_next=0,
            fail_next=0,
            drop_reply_next=0,
        )


async def _make_calls(
    trial: trials.Trial, rng: random.Random, seed: str
) -> None:
    for number in range(_CALLS):
        await asyncio.sleep(rng.uniform(0, 2 * LOAD_S / _CALLS))
        request = _draw_call(rng, f"{seed}-{number}")
        entries = sorted(trial.system.entries)
        copies = 2 if request.key and rng.random() < 0.6 else 1
        for drawn in rng.sample(entries, copies):
            entry = _choose_by_balancer(trial, drawn)
            abandon_after_s = rng.uniform(0, 1) if rng.random() < 0.15 else None
            call = _call(
                trial, rng.choice(entries), entry, request, abandon_after_s
            )
            trial.tasks.append(asyncio.create_task(call))


def _choose_by_balancer(trial: trials.Trial, drawn: str) -> str:
    """Returns the entry that the platform's balancer would choose.

    The balancer still sends calls to a stopping entry for a time that is
    shorter than the drain_lag_s of that entry.
    """
    stopped_at = trial.leaving.get(drawn)
    if stopped_at is None or time.monotonic() - stopped_at < _BALANCER_LAG_S:
        return drawn
    running = [
        e for e in sorted(trial.system.entries) if e not in trial.leaving
    ]
    return running[0] if running else drawn


def _draw_call(rng: random.Random, name: str) -> callers.Ask:
    has_key = rng.random() < 0.5
    is_service = rng.random() < 0.4
    return callers.Ask(
        name,
        organisation=rng.choice(systems.ORGANISATIONS),
        tokens=rng.choice((3, 10, 40, _LONG_ANSWER_TOKENS)),
        key=name if has_key else "",
        repeatable=not has_key and not is_service,
        limit_s=_CALL_TIMEOUT_S,
        resumable=rng.random() < 0.5,
        service=is_service,
    )


async def _call(
    trial: trials.Trial,
    other: str,
    entry: str,
    request: callers.Ask,
    abandon_after_s: float | None,
) -> None:
    """Makes a call.

    Its caller may abandon it, or resume a cut answer at another entry.
    """
    task, seen = trials.begin(trial, entry, request)
    if abandon_after_s is not None:
        await asyncio.wait([task], timeout=abandon_after_s)
        task.cancel()
    call = await task
    was_cut = call.outcome is history.Outcome.CUT
    if was_cut and request.resumable and seen.stream and other != entry:
        await trials.resume(trial, other, request, seen)
