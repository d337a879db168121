"""Keeps draining targets from getting new work."""

from copperloom.decisions import scheduler, target_drain
from copperloom.logs import event

__all__ = ["mark", "record_list", "refresh", "step"]


async def step(state, now: float) -> None:
    """Updates the scheduler's draining targets."""
    refresh(state, now)


def mark(state, target: str, version: int, now: float) -> None:
    """Records a peer's report that a target drains.

    Args:
        state: The entry's state.
        target: Name of the target.
        version: Configuration version under which the draining was reported.
        now: Monotonic seconds.
    """
    known = state.target_drain.marks.get(target, -1)
    if version <= known:
        return
    target_drain.mark_draining(state.target_drain, target, version)
    refresh(state, now)


def record_list(state, rows) -> None:
    """Records the draining targets of the platform's list.

    A target missing from the list is not taken as draining: the list lags, and
    targets need not be in it.
    """
    names = [r.name for r in rows if r.kind != "entry" and r.leaving]
    state.membership.listed_draining = frozenset(names)


def refresh(state, now: float) -> None:
    """Updates the scheduler's draining targets if they changed.

    Called for every report and not only in each step, since work is placed
    between steps. `load_polling` records the targets' own reports in
    state.draining_targets.
    """
    drain_state = state.target_drain
    for name, at in list(state.draining_targets.items()):
        if target_drain.is_superseded(drain_state, name, at, now):
            del state.draining_targets[name]
    self_reported = frozenset(state.draining_targets)
    reported = self_reported | state.membership.listed_draining
    target_drain.observe(drain_state, reported, state.cfg, now)
    target_drain.prune(drain_state, state.cfg)
    names = target_drain.draining_targets(drain_state, state.cfg)
    if names == state.sched.draining:
        return
    newly_draining = sorted(names - state.sched.draining)
    readmitted = sorted(state.sched.draining - names)
    event(
        "leaving",
        targets=",".join(newly_draining),
        admitted=",".join(readmitted),
    )
    scheduler.set_draining(state.sched, names, now)
    state.wake.set()
