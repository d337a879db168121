"""Defines the kinds of faults that schedules consist of.

Each fault is a coroutine function (case, trial, rng, duration_s) that draws
what it affects from the generator. Faults of links and of the platform are
cleared after their duration, those of a target's behaviour when the schedule
ends.
"""

import asyncio
import dataclasses
import random
import time

from copperloom import configuration, history
from copperloom.tests import processes, systems, trials

__all__ = ["FAULTS", "RECOVERY_S"]

RECOVERY_S = 30.0
_STOP_TIMEOUT_S = 30.0


def _choose_entry(trial: trials.Trial, rng: random.Random) -> str:
    return rng.choice(sorted(trial.system.entries))


def _choose_target(
    trial: trials.Trial, rng: random.Random
) -> processes.Process:
    return rng.choice([t for _, t in sorted(trial.system.targets().items())])


async def _freeze_entry(case, trial, rng, duration_s) -> None:
    name = _choose_entry(trial, rng)
    if not trial.system.entries[name].running():
        return
    with trials.frozen(trial, name):
        await asyncio.sleep(duration_s)


async def _kill_entry(case, trial, rng, duration_s) -> None:
    name = _choose_entry(trial, rng)
    since = time.monotonic()
    if not trial.system.entries[name].running():
        return
    trial.system.entries[name].kill()
    await _restart_killed(case, trial, name, since)


async def _restart_killed(case, trial, name, since: float) -> None:
    """Restarts an entry that was killed, and records the fault."""
    await _restart(case, trial, name)
    fault = history.Fault(name, since, time.monotonic())
    trial.history.faults.append(fault)


async def _restart(case, trial, name) -> None:
    """Restarts an entry, which callers do not use until it admits work."""
    ended = trial.system.entries[name]
    process = systems.add_entry(case, trial.system, name, {})
    trial.system.entries[name] = ended
    await trials.until(
        lambda: trials.admits(process), RECOVERY_S, f"{name} admits work"
    )
    trial.system.entries[name] = process
    trial.leaving.pop(name, None)


async def _stop_entry(case, trial, rng, duration_s) -> None:
    name = _choose_entry(trial, rng)
    process = trial.system.entries[name]
    since = time.monotonic()
    if not process.running() or name in trial.leaving:
        return
    process.terminate()
    trial.leaving[name] = since
    await trials.until(
        lambda: not process.running(), _STOP_TIMEOUT_S, f"{name} exited"
    )
    stop = history.PlannedStop(name, since, time.monotonic())
    trial.history.stops.append(stop)
    if trial.system.entries[name] is process:
        await _restart(case, trial, name)


async def _freeze_target(case, trial, rng, duration_s) -> None:
    target = _choose_target(trial, rng)
    target.freeze()
    await asyncio.sleep(duration_s)
    target.resume()


async def _engine_dies(case, trial, rng, duration_s) -> None:
    engine = rng.choice([e for _, e in sorted(trial.system.engines.items())])
    await _control(engine, die=duration_s)


async def _control(process: processes.Process, **changes) -> None:
    """Sends a control call, with retries while the process can't reply."""
    await trials.until(
        lambda: process.control(**changes) is not None,
        RECOVERY_S,
        f"{process.name} applied {changes}",
    )


def _target_fault(**changes):
    """Returns a fault that changes a target until the schedule ends."""

    async def inject(case, trial, rng, duration_s) -> None:
        target = _choose_target(trial, rng)
        await _control(target, **changes)
        await asyncio.sleep(duration_s)

    return inject


def _platform_fault(**changes):
    """Returns a fault of the platform."""

    async def inject(case, trial, rng, duration_s) -> None:
        await _control(trial.system.platform, **changes)
        await asyncio.sleep(duration_s)
        no_faults = {"outage": [], "black_hole": [], "slow_s": 0.0}
        await _control(trial.system.platform, **no_faults)

    return inject


def _link_fault(*, reset: bool = False, **changes):
    """Returns a fault of one link through the proxy."""

    async def inject(case, trial, rng, duration_s) -> None:
        proxy = trial.system.proxy
        links = [name for name in proxy.addresses if name != "listen"]
        link = rng.choice(sorted(links))
        await _control(proxy, pair=link, reset=reset, **changes)
        await asyncio.sleep(duration_s)
        no_faults = dataclasses.asdict(trials.PairFaults())
        await _control(proxy, pair=link, **no_faults)

    return inject


async def _switch_preset(case, trial, rng, duration_s) -> None:
    """Lets two operators switch the preset at the same time."""
    names = rng.sample(sorted(trial.system.entries), 2)
    await asyncio.gather(
        *(_change(trial, n, f"op-{n}", _draw_preset(rng)) for n in names)
    )


def _draw_preset(rng: random.Random) -> configuration.PresetInForce:
    return configuration.PresetInForce(rng.choice(("ordinary", "peak")))


async def _change(trial, entry, operator, *entities) -> dict | None:
    """Makes a configuration change; returns None if no reply came."""
    try:
        async with asyncio.timeout(RECOVERY_S):
            return await trials.change(
                trial, entry, *entities, operator=operator
            )
    except (OSError, trials.aiohttp.ClientError, TimeoutError):
        return None


async def _retire(case, trial, rng, duration_s) -> None:
    """Retires a target, then admits it again."""
    name = rng.choice(sorted(trial.system.targets()))
    states = configuration.TargetState
    for state in (states.RETIRED, states.ADMITTED):
        target = systems.target(trial.system, name, state)
        reply = None
        while reply is None or reply["status"] != 200:
            entry = _choose_entry(trial, rng)
            reply = await _change(trial, entry, "retirer", target)
            await asyncio.sleep(0.1)
        await asyncio.sleep(duration_s)


FAULTS = {
    "freeze_entry": _freeze_entry,
    "kill_entry": _kill_entry,
    "stop_entry": _stop_entry,
    "freeze_target": _freeze_target,
    "engine_dies": _engine_dies,
    "slow_target": _target_fault(slow_factor=20.0),
    "target_leaves": _target_fault(leaving=True),
    "target_refuses": _target_fault(refuse_next=3),
    "target_fails": _target_fault(fail_next=2),
    "reply_lost": _target_fault(drop_reply_next=2),
    "outage": _platform_fault(outage=["table"]),
    "outage_of_all": _platform_fault(outage=["table", "objects", "instances"]),
    "no_answers": _platform_fault(black_hole=["table"]),
    "slow_platform": _platform_fault(slow_s=0.4),
    "confirmations_lost": _platform_fault(lose_confirmations=3),
    "writes_lost": _platform_fault(drop_writes=3),
    "link_reset": _link_fault(reset=True),
    "link_refuses": _link_fault(refuse=True, reset=True),
    "link_drops_up": _link_fault(drop_up=True),
    "link_drops_down": _link_fault(drop_down=True),
    "link_holds_up": _link_fault(hold_up=True),
    "link_holds_down": _link_fault(hold_down=True),
    "link_slow": _link_fault(delay_s=0.1),
    "link_half_open": _link_fault(half_open=True),
    "link_cut_up": _link_fault(cut_up_after=300),
    "link_cut_down": _link_fault(cut_down_after=200),
    "operators_race": _switch_preset,
    "retire": _retire,
}
