"""Measured costs of the controllers at a size, without sockets.

An entry's state is filled with as many members and targets as the size has;
then the parts of the controllers that go through all of them are timed.
"""

import time

from copperloom.controllers import loads, members, owners
from copperloom.daemons import options
from copperloom.daemons.state import EntryState
from copperloom.decisions import scheduler
from copperloom.experiments import plan, sizes, slopes
from copperloom.peers import digest

__all__ = ["controller_figures", "state_of"]


def state_of(size: sizes.Sizes, now: float) -> EntryState:
    """Returns an entry's state that knows a fleet of a size.

    Args:
        size: The size.
        now: Monotonic seconds at which all members were last heard.
    """
    sections = {
        "entry": {"instance": "entry-0000", "data_centre": "dc-00"},
        "platform": {"address": "127.0.0.1:1"},
    }
    own = plan.make_settings(options.EntrySettings, sections)
    state = EntryState(own, None, None)
    state.cfg = slopes.configuration_of(size)
    scheduler.set_configuration(state.sched, state.cfg, now)
    for index in range(1, size.daemons):
        name = f"entry-{index:04d}"
        state.members[name] = members.Member(
            name,
            "10.1.2.3:9000",
            f"dc-{index % size.data_centres:02d}",
            boot="0123456789ab",
            heard_at=now,
            listed_at=now,
        )
    return state


def controller_figures(size: sizes.Sizes) -> list[slopes.Figure]:
    """Measures the steps that go through all members or targets."""
    now = time.monotonic()
    state = state_of(size, now)
    own = state.settings.entry.instance

    def own_all() -> None:
        for name in state.cfg.targets:
            owners.owner_of(state, name, now)

    work = {
        "owners of all targets": own_all,
        "choice of the engines watched": lambda: loads.watched(state.cfg, own),
        "configuration taken over by the scheduler": lambda: (
            scheduler.set_configuration(state.sched, state.cfg, now)
        ),
        "digest made": lambda: digest.make(state, now),
    }
    return [
        slopes.Figure(f"{name}, processor", slopes.processor_s(run), "s")
        for name, run in work.items()
    ]
