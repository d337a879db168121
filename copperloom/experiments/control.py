"""Measures the cost of controllers in a fleet of a size, without sockets.

An entry's state is filled with the members and targets of the fleet; then the
steps of the controllers that iterate over all of them are timed.
"""

import pathlib
import resource
import time

from copperloom.controllers import (
    load_polling,
    member,
    reservation_owners,
    snapshot,
)
from copperloom.daemons import options
from copperloom.daemons.state import EntryState
from copperloom.decisions import scheduler
from copperloom.experiments import plan, sizes, slopes
from copperloom.peers import digest

__all__ = ["controller_figures", "resident_figures", "state_of"]

_KILOBYTE = 1024


def state_of(size: sizes.Sizes, now: float) -> EntryState:
    """Returns the state of an entry in a fleet of a size.

    Args:
        size: The size.
        now: Monotonic time at which all members last replied.
    """
    sections = {
        "entry": {"instance": "entry-0000", "data_centre": "dc-00"},
        "platform": {"address": "127.0.0.1:1"},
    }
    entry_settings = plan.make_settings(options.EntrySettings, sections)
    state = EntryState(entry_settings, None, None)
    state.cfg = slopes.configuration_of(size)
    scheduler.set_configuration(state.sched, state.cfg, now)
    for index in range(1, size.entries):
        name = f"entry-{index:04d}"
        state.members[name] = member.Member(
            name,
            "10.1.2.3:9000",
            f"dc-{index % size.data_centres:02d}",
            boot="0123456789ab",
            last_reply_at=now,
            listed_at=now,
        )
    return state


def resident_figures(size: sizes.Sizes) -> list[slopes.Figure]:
    """Measures the resident memory of this process with a fleet's state.

    To be called before other measurements, whose memory would be included.
    """
    before = _resident_bytes()
    state = state_of(size, time.monotonic())
    after = _resident_bytes()
    data = snapshot.encode(state.cfg)
    snapshot.decode(data)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _KILOBYTE
    return [
        slopes.Figure("entry's modules loaded, resident", before, "bytes"),
        slopes.Figure("with the state of the fleet", after, "bytes"),
        slopes.Figure("most, with a snapshot encoded, decoded", peak, "bytes"),
        slopes.Figure("snapshot", len(data), "bytes"),
    ]


def _resident_bytes() -> int:
    statm = pathlib.Path("/proc/self/statm").read_text()
    return int(statm.split()[1]) * resource.getpagesize()


def controller_figures(size: sizes.Sizes) -> list[slopes.Figure]:
    """Measures the steps that iterate over all members or targets."""
    now = time.monotonic()
    state = state_of(size, now)
    instance = state.settings.entry.instance

    steps = {
        "owners of all targets": lambda: reservation_owners.owned_engines(
            state, now
        ),
        "choice of the engines watched": lambda: load_polling.watched(
            state.cfg, instance
        ),
        "configuration taken over by the scheduler": lambda: (
            scheduler.set_configuration(state.sched, state.cfg, now)
        ),
        "digest made": lambda: digest.make(state, now),
    }
    return [
        slopes.Figure(f"{name}, processor", slopes.processor_s(step), "s")
        for name, step in steps.items()
    ]
