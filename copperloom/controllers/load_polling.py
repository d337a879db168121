"""Polls the load reports of the targets that this entry watches."""

import asyncio
import heapq

import xxhash

from copperloom import configuration, exception, logs
from copperloom.controllers import draining
from copperloom.daemons.state import EntryState
from copperloom.decisions import scheduler

__all__ = ["WATCH_MOST", "due", "interval_s", "step", "watched"]

# With more engines than this an entry watches only some of them, so that its
# control traffic stays the same as the fleet grows. All engines of a fleet of
# today's size are watched; own work in flight and the peers' loads tell of the
# others.
WATCH_MOST = 20
_TIMEOUT_S = 1.0


def interval_s(state: EntryState) -> float:
    """Returns the seconds between steps."""
    return state.settings.targets.load_poll_s


def watched(
    cfg: configuration.Configuration, instance: str, *, most: int = WATCH_MOST
) -> list[configuration.Target]:
    """Returns the engines that an entry watches.

    Rendezvous hashing: each engine is watched by about the same number of
    entries, and a change of the fleet changes little of what each watches.

    Args:
        cfg: The configuration in force.
        instance: The entry's name.
        most: The most engines to watch.
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
    """Returns the targets to poll in this step, those polled longest ago first.

    Load: a poll costs about 0.2 ms of processor time and 0.4 KB. Harm
    prevented: an entry that spends on polls what its callers need, when the
    fleet it watches grows. Limit: `load_polls_per_s`; reports get older
    instead, which the scheduler discounts by their age.
    """
    own = state.settings.targets
    most = max(1, round(own.load_polls_per_s * own.load_poll_s))
    free = [tgt for tgt in targets if tgt.name not in state.polling]
    return heapq.nsmallest(
        most, free, key=lambda tgt: state.polled_at.get(tgt.name, 0.0)
    )


async def step(state: EntryState, now: float) -> None:
    """Starts polls of engines that have none in progress.

    A frozen engine so holds up its own reports only.
    """
    targets = watched(state.cfg, state.settings.entry.instance)
    # Orders and the books of reservations need the owned engines' reports.
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
        # Spreads the polls of all entries and targets over the interval.
        await asyncio.sleep(interval_s(state) * state.rng.uniform(0.0, 0.5))
        report = await state.targets.load(tgt.address, timeout_s=_TIMEOUT_S)
    except exception.TargetUnreachableError:
        scheduler.target_failed(state.sched, tgt.name, loop.time())
        return
    except exception.CopperloomError as error:
        logs.event("no_report", target=tgt.name, code=error.code)
        return
    finally:
        state.polling.discard(tgt.name)
    now = loop.time()
    state.reports[tgt.name] = report
    scheduler.report(state.sched, tgt.name, report, now)
    _note_word(state, tgt.name, report.leaving, now)


def _note_word(
    state: EntryState, target: str, is_leaving: bool, now: float
) -> None:
    """Takes in whether a target says that it leaves."""
    if is_leaving == (target in state.leaving_targets):
        return
    if is_leaving:
        state.leaving_targets[target] = now
    else:
        del state.leaving_targets[target]
    draining.refresh(state, now)
