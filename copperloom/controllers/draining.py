"""Targets that leave get no new work."""

from copperloom.decisions import scheduler, target_drain
from copperloom.logs import event

__all__ = ["mark", "note_list", "refresh", "step"]


async def step(state, now: float) -> None:
    """Takes in all signs since the last step."""
    refresh(state, now)


def mark(state, target: str, version: int, now: float) -> None:
    """Takes in a peer's sign that a target leaves."""
    known = state.target_drain.marks.get(target, -1)
    if version <= known:
        return
    target_drain.mark_draining(state.target_drain, target, version)
    refresh(state, now)


def note_list(state, rows) -> None:
    """Takes in the platform's list.

    A target that is missing in it is no sign: the list lags, and targets need
    not be in it.
    """
    names = [r.name for r in rows if r.kind != "entry" and r.leaving]
    state.membership.listed_leaving = frozenset(names)


def refresh(state, now: float) -> None:
    """Tells the scheduler which targets get no new work, if that changed.

    Called at once for every sign, since work is placed between steps. The
    loads controller notes a target's own word in state.leaving_targets.
    """
    dep = state.target_drain
    for name, at in list(state.leaving_targets.items()):
        if target_drain.is_superseded(dep, name, at, now):
            del state.leaving_targets[name]
    own_word = frozenset(state.leaving_targets)
    seen = own_word | state.membership.listed_leaving
    target_drain.observe(dep, seen, state.cfg, now)
    target_drain.prune(dep, state.cfg)
    names = target_drain.draining_targets(dep, state.cfg)
    if names == state.sched.leaving:
        return
    gone = sorted(names - state.sched.leaving)
    back = sorted(state.sched.leaving - names)
    event("leaving", targets=",".join(gone), admitted=",".join(back))
    scheduler.set_draining(state.sched, names, now)
    state.wake.set()
