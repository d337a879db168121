"""Polls the load reports of the engines that this entry watches."""

import asyncio
import heapq

import xxhash

from copperloom import configuration, exception, logs
from copperloom.controllers import draining
from copperloom.daemons.state import EntryState
from copperloom.decisions import scheduler

__all__ = ["MAX_WATCHED", "due", "interval_s", "step", "watched"]

# Bounds the control traffic of an entry as the fleet grows. The load of engines
# that are not watched is estimated from the work in flight here and at peers.
MAX_WATCHED = 20
_TIMEOUT_S = 1.0


def interval_s(state: EntryState) -> float:
    """Returns the seconds between steps."""
    return state.settings.targets.load_poll_s


def watched(
    cfg: configuration.Configuration, instance: str, *, most: int = MAX_WATCHED
) -> list[configuration.Target]:
    """Returns the engines that an entry watches.

    They are chosen by rendezvous hashing: each engine is watched by about the
    same number of entries, and a change of the fleet changes few choices.

    Args:
        cfg: The configuration in force.
        instance: The entry's instance name.
        most: Maximum number of engines to watch.
    """
    engines = [
        tgt
        for tgt in cfg.targets.values()
        if tgt.kind is configuration.TargetKind.ENGINE
        and tgt.state is configuration.TargetState.ADMITTED
    ]
    if len(engines) <= most:
        return engines
    return heapq.nlargest(
        most,
        engines,
        key=lambda tgt: xxhash.xxh64_intdigest(
            f"{instance}/{tgt.name}".encode()
        ),
    )


def due(
    state: EntryState, targets: list[configuration.Target], now: float
) -> list[configuration.Target]:
    """Returns the targets to poll in this step, least recently polled first.

    The number of polls per second is bounded by `load_polls_per_s`, so that
    polls of many targets don't take processor time from the callers. Reports
    get older instead, and the scheduler discounts them by their age.

    Args:
        state: The entry's state.
        targets: The targets to choose from.
        now: Monotonic seconds.
    """
    settings = state.settings.targets
    max_polls = max(1, round(settings.load_polls_per_s * settings.load_poll_s))
    idle = [tgt for tgt in targets if tgt.name not in state.polling]
    return heapq.nsmallest(
        max_polls, idle, key=lambda tgt: state.polled_at.get(tgt.name, 0.0)
    )


async def step(state: EntryState, now: float) -> None:
    """Starts polls of engines that have none in progress.

    Each poll runs in its own task, so that a frozen engine delays no other.
    """
    targets = watched(state.cfg, state.settings.entry.instance)
    # Model orders and reservations need the reports of the owned engines.
    names = {tgt.name for tgt in targets}
    owned = [n for n in state.book.ledgers if n not in names]
    targets += [state.cfg.targets[n] for n in owned if n in state.cfg.targets]
    for tgt in due(state, targets, now):
        state.polling.add(tgt.name)
        state.polled_at[tgt.name] = now
        task = asyncio.create_task(_poll(state, tgt))
        state.background.add(task)
        task.add_done_callback(state.background.discard)
    for name in state.polled_at.keys() - state.cfg.targets.keys():
        del state.polled_at[name]
        state.reports.pop(name, None)


async def _poll(state: EntryState, tgt: configuration.Target) -> None:
    loop = asyncio.get_running_loop()
    try:
        # Jitter keeps the polls of all entries from coinciding.
        await asyncio.sleep(interval_s(state) * state.rng.uniform(0.0, 0.5))
        report = await state.targets.load(tgt.address, timeout_s=_TIMEOUT_S)
    except exception.TargetUnreachableError:
        scheduler.record_target_failure(state.sched, tgt.name, loop.time())
        return
    except exception.CopperloomError as error:
        logs.event("no_report", target=tgt.name, code=error.code)
        return
    finally:
        state.polling.discard(tgt.name)
    now = loop.time()
    state.reports[tgt.name] = report
    scheduler.record_report(state.sched, tgt.name, report, now)
    _record_draining(state, tgt.name, report.leaving, now)


def _record_draining(
    state: EntryState, target: str, is_draining: bool, now: float
) -> None:
    """Records whether a target reports that it drains."""
    if is_draining == (target in state.draining_targets):
        return
    if is_draining:
        state.draining_targets[target] = now
    else:
        del state.draining_targets[target]
    draining.refresh(state, now)
