"""Randomised schedules of faults, put on a running system under mixed load.

The same seed gives the same faults at the same offsets and the same calls;
how the processes' steps interleave is up to the machine.
"""

import asyncio
import dataclasses
import random
import time

from copperloom import configuration, history
from copperloom.tests import callers, processes, systems, trials

__all__ = ["Schedule", "Step", "draw", "run"]

LOAD_S = 1.0
_CALLS = 14
_LONGEST_FAULT_S = 0.9
_LIMIT_S = 3.0
_RECOVERY_S = 30.0
_STOP_LIMIT_S = 30.0
_LONG_TOKENS = 2000
# Under the 0.5 s of drain_lag_s in tests.
_BALANCER_LAG_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault: its kind, when it begins, and how long it lasts."""

    kind: str
    start_s: float
    lasts_s: float
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Faults of one run, and the seed of its calls."""

    seed: str
    steps: tuple[Step, ...]


def draw(seed: str) -> Schedule:
    """Draws a schedule: faults together or one after another, maybe twice."""
    rng = random.Random(seed)
    kinds = rng.sample(sorted(FAULTS), rng.randint(1, 3))
    kinds *= rng.choice((1, 1, 2))
    together = rng.random() < 0.5
    steps = []
    start_s = rng.uniform(0, 0.4)
    for kind in kinds:
        lasts_s = rng.uniform(0.05, _LONGEST_FAULT_S)
        number = rng.randrange(1 << 30)
        steps.append(Step(kind, round(start_s, 3), round(lasts_s, 3), number))
        start_s += rng.uniform(0, 0.15) if together else lasts_s
    return Schedule(seed, tuple(steps))


async def run(case, trial: trials.Trial, schedule: Schedule) -> None:
    """Runs the calls and the faults, then takes all faults off."""
    rng = random.Random(f"calls {schedule.seed}")
    faults = [
        asyncio.create_task(_fault(case, trial, step))
        for step in schedule.steps
    ]
    await _load(trial, rng, schedule.seed)
    await asyncio.gather(*faults)
    await _recover(trial)
    async with asyncio.timeout(_RECOVERY_S):
        await asyncio.gather(*trial.tasks)


async def _fault(case, trial: trials.Trial, step: Step) -> None:
    await asyncio.sleep(step.start_s)
    rng = random.Random(step.seed)
    await FAULTS[step.kind](case, trial, rng, step.lasts_s)


async def _recover(trial: trials.Trial) -> None:
    """Takes all faults off and waits until all entries admit work."""
    await asyncio.to_thread(_heal, trial.system)
    for name, entry in trial.system.entries.items():
        await trials.until(
            lambda entry=entry: trials.admits(entry),
            _RECOVERY_S,
            f"{name} admits work again",
        )
        await asyncio.to_thread(trials.read_configuration, trial, name)


def _heal(system: systems.System) -> None:
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


async def _load(trial: trials.Trial, rng: random.Random, seed: str) -> None:
    for number in range(_CALLS):
        await asyncio.sleep(rng.uniform(0, 2 * LOAD_S / _CALLS))
        want = _draw_call(rng, f"{seed}-{number}")
        entries = sorted(trial.system.entries)
        copies = 2 if want.key and rng.random() < 0.6 else 1
        for drawn in rng.sample(entries, copies):
            entry = _balanced(trial, drawn)
            gone_s = rng.uniform(0, 1) if rng.random() < 0.15 else None
            call = _call(trial, rng.choice(entries), entry, want, gone_s)
            trial.tasks.append(asyncio.create_task(call))


def _balanced(trial: trials.Trial, drawn: str) -> str:
    """Returns the entry that the platform's balancer would take.

    It goes on sending to a stopping entry for a while, less than that entry's
    drain_lag_s, as the operators' page demands.
    """
    told = trial.leaving.get(drawn)
    if told is None or time.monotonic() - told < _BALANCER_LAG_S:
        return drawn
    others = [e for e in sorted(trial.system.entries) if e not in trial.leaving]
    return others[0] if others else drawn


def _draw_call(rng: random.Random, name: str) -> callers.Ask:
    keyed = rng.random() < 0.5
    service = rng.random() < 0.4
    return callers.Ask(
        name,
        organisation=rng.choice(systems.ORGANISATIONS),
        tokens=rng.choice((3, 10, 40, _LONG_TOKENS)),
        key=name if keyed else "",
        repeatable=not keyed and not service,
        limit_s=_LIMIT_S,
        resumable=rng.random() < 0.5,
        service=service,
    )


async def _call(
    trial: trials.Trial,
    other: str,
    entry: str,
    want: callers.Ask,
    gone_s: float | None,
) -> None:
    """Makes a call; its caller may go away, or read on elsewhere."""
    task, seen = trials.begin(trial, entry, want)
    if gone_s is not None:
        await asyncio.wait([task], timeout=gone_s)
        task.cancel()
    call = await task
    cut = call.outcome is history.Outcome.CUT
    if cut and want.resumable and seen.stream and other != entry:
        await trials.resume(trial, other, want, seen)


def _entry(trial: trials.Trial, rng: random.Random) -> str:
    return rng.choice(sorted(trial.system.entries))


def _target(trial: trials.Trial, rng: random.Random) -> processes.Process:
    return rng.choice([t for _, t in sorted(trial.system.targets().items())])


async def _freeze_entry(case, trial, rng, lasts_s) -> None:
    name = _entry(trial, rng)
    if not trial.system.entries[name].running():
        return
    with trials.frozen(trial, name):
        await asyncio.sleep(lasts_s)


async def _kill_entry(case, trial, rng, lasts_s) -> None:
    name = _entry(trial, rng)
    since = time.monotonic()
    if not trial.system.entries[name].running():
        return
    trial.system.entries[name].kill()
    await _replace(case, trial, name, since)


async def _replace(case, trial, name, since: float) -> None:
    """Starts a new boot of an entry that was killed."""
    await _start_again(case, trial, name)
    fault = history.Fault(name, since, time.monotonic())
    trial.history.faults.append(fault)


async def _start_again(case, trial, name) -> None:
    """Starts a new boot of an entry; callers find it once it serves."""
    ended = trial.system.entries[name]
    process = systems.add_entry(case, trial.system, name, {})
    trial.system.entries[name] = ended
    await trials.until(
        lambda: trials.admits(process), _RECOVERY_S, f"{name} serves"
    )
    trial.system.entries[name] = process
    trial.leaving.pop(name, None)


async def _stop_entry(case, trial, rng, lasts_s) -> None:
    name = _entry(trial, rng)
    process = trial.system.entries[name]
    since = time.monotonic()
    if not process.running() or name in trial.leaving:
        return
    process.terminate()
    trial.leaving[name] = since
    await trials.until(
        lambda: not process.running(), _STOP_LIMIT_S, f"{name} ended"
    )
    stop = history.PlannedStop(name, since, time.monotonic())
    trial.history.stops.append(stop)
    if trial.system.entries[name] is process:
        await _start_again(case, trial, name)


async def _freeze_target(case, trial, rng, lasts_s) -> None:
    target = _target(trial, rng)
    target.freeze()
    await asyncio.sleep(lasts_s)
    target.resume()


async def _engine_dies(case, trial, rng, lasts_s) -> None:
    engine = rng.choice([e for _, e in sorted(trial.system.engines.items())])
    await _control(engine, die=lasts_s)


async def _control(process: processes.Process, **changes) -> None:
    """Sends a control call, again while the process is frozen or dead."""
    await trials.until(
        lambda: process.control(**changes) is not None,
        _RECOVERY_S,
        f"{process.name} took {changes}",
    )


def _behaviour(**changes):
    """Returns a fault that changes a target's behaviour for a time."""

    async def act(case, trial, rng, lasts_s) -> None:
        target = _target(trial, rng)
        await _control(target, **changes)
        await asyncio.sleep(lasts_s)

    return act


def _platform(**changes):
    """Returns a fault of the platform that lasts for a time."""

    async def act(case, trial, rng, lasts_s) -> None:
        await _control(trial.system.platform, **changes)
        await asyncio.sleep(lasts_s)
        off = {"outage": [], "black_hole": [], "slow_s": 0.0}
        await _control(trial.system.platform, **off)

    return act


def _link(*, reset: bool = False, **changes):
    """Returns a fault of one way through the proxy that lasts for a time."""

    async def act(case, trial, rng, lasts_s) -> None:
        proxy = trial.system.proxy
        links = [name for name in proxy.addresses if name != "listen"]
        link = rng.choice(sorted(links))
        await _control(proxy, pair=link, reset=reset, **changes)
        await asyncio.sleep(lasts_s)
        off = dataclasses.asdict(trials.PairFaults())
        await _control(proxy, pair=link, **off)

    return act


async def _switch_preset(case, trial, rng, lasts_s) -> None:
    """Two operators switch the preset at the same moment."""
    names = rng.sample(sorted(trial.system.entries), 2)
    await asyncio.gather(
        *(_change(trial, n, f"op-{n}", _preset(rng)) for n in names)
    )


def _preset(rng: random.Random) -> configuration.PresetInForce:
    return configuration.PresetInForce(rng.choice(("ordinary", "peak")))


async def _change(trial, entry, operator, *entities) -> dict | None:
    try:
        async with asyncio.timeout(_RECOVERY_S):
            return await trials.change(
                trial, entry, *entities, operator=operator
            )
    except (OSError, trials.aiohttp.ClientError, TimeoutError):
        return None


async def _retire(case, trial, rng, lasts_s) -> None:
    """Retires a target and admits it again."""
    name = rng.choice(sorted(trial.system.targets()))
    states = configuration.TargetState
    for state in (states.RETIRED, states.ADMITTED):
        line = systems.target(trial.system, name, state)
        told = None
        while told is None or told["status"] != 200:
            entry = _entry(trial, rng)
            told = await _change(trial, entry, "retirer", line)
            await asyncio.sleep(0.1)
        await asyncio.sleep(lasts_s)


FAULTS = {
    "freeze_entry": _freeze_entry,
    "kill_entry": _kill_entry,
    "stop_entry": _stop_entry,
    "freeze_target": _freeze_target,
    "engine_dies": _engine_dies,
    "slow_target": _behaviour(slow_factor=20.0),
    "target_leaves": _behaviour(leaving=True),
    "target_refuses": _behaviour(refuse_next=3),
    "target_fails": _behaviour(fail_next=2),
    "reply_lost": _behaviour(drop_reply_next=2),
    "outage": _platform(outage=["table"]),
    "outage_of_all": _platform(outage=["table", "objects", "instances"]),
    "no_answers": _platform(black_hole=["table"]),
    "slow_platform": _platform(slow_s=0.4),
    "confirmations_lost": _platform(lose_confirmations=3),
    "writes_lost": _platform(drop_writes=3),
    "link_reset": _link(reset=True),
    "link_refuses": _link(refuse=True, reset=True),
    "link_drops_up": _link(drop_up=True),
    "link_drops_down": _link(drop_down=True),
    "link_holds_up": _link(hold_up=True),
    "link_holds_down": _link(hold_down=True),
    "link_slow": _link(delay_s=0.1),
    "link_half_open": _link(half_open=True),
    "link_cut_up": _link(cut_up_after=300),
    "link_cut_down": _link(cut_down_after=200),
    "operators_race": _switch_preset,
    "retire": _retire,
}
