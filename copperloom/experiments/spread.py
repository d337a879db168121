"""Control planes of many entries in one process, for docs/CAPACITY.md.

All entries run on one event loop with one platform stand-in and no traffic.
What they spend together, divided by their number, is an upper bound of what
one spends for control: the stand-in's share is in it.
"""

import asyncio
import dataclasses
import time

from copperloom import configuration
from copperloom.experiments import cluster, mixes, plan, result, slopes

__all__ = ["spread_figures"]

_SETTLE_S = 3.0
_IDLE_S = 6.0
_CHANGES = 10
_PAUSE_S = 0.37
_READ_CALLS = ("read", "scan", "instances", "get_object")
_WRITE_CALLS = ("rows_written", "announce")


async def spread_figures(
    entries: int, *, engines: int = 0
) -> list[slopes.Figure]:
    """Measures idle cost and the spread of changes among entries.

    Args:
        entries: How many entries.
        engines: How many targets they watch.
    """
    sections = {
        "load": {"name": "spread"},
        "cluster": {"entries": entries, "engines": engines, "services": 0},
    }
    mix = plan.make_settings(mixes.LoadSettings, sections)
    system = await cluster.start(mix)
    try:
        await asyncio.sleep(_SETTLE_S)
        idle = await _idle(system)
        spread = await _changes(system)
    finally:
        await cluster.stop(system)
    label = f"{entries} entries, {engines} engines"
    return [
        dataclasses.replace(figure, name=f"{label}: {figure.name}")
        for figure in idle + spread
    ]


async def _idle(system: cluster.Cluster) -> list[slopes.Figure]:
    calls, peers = _calls(system), _peer_bytes(system)
    begin, cpu = time.monotonic(), time.process_time()
    await asyncio.sleep(_IDLE_S)
    took, used = time.monotonic() - begin, time.process_time() - cpu
    rates = {
        name: (count - calls.get(name, 0)) / took
        for name, count in _calls(system).items()
    }
    count = len(system.entries)
    payload = (_peer_bytes(system) - peers) / took / count
    reads = sum(rates.get(name, 0) for name in _READ_CALLS)
    writes = sum(rates.get(name, 0) for name in _WRITE_CALLS)
    return [
        slopes.Figure("processor an entry, idle", used / took / count, "core"),
        slopes.Figure("platform reads an entry", reads / count, "1/s"),
        slopes.Figure("platform writes an entry", writes / count, "1/s"),
        slopes.Figure("peers' payload an entry, both ways", payload, "bytes/s"),
    ]


async def _changes(system: cluster.Cluster) -> list[slopes.Figure]:
    delays = []
    cpu = time.process_time()
    for index in range(_CHANGES):
        name = plan.PEAK if index % 2 else plan.ORDINARY
        entity = configuration.PresetInForce(name)
        confirmed = await cluster.change(system, [entity])
        seen = await cluster.wait_version(system, system.cfg.version)
        delays += [max(0.0, at - confirmed) for at in seen]
        # No multiple of the poll's period, so that changes fall anywhere in it.
        await asyncio.sleep(_PAUSE_S)
    used = time.process_time() - cpu
    return [
        slopes.Figure(
            "change everywhere, p50", result.percentile_s(delays, 50), "s"
        ),
        slopes.Figure(
            "change everywhere, p99", result.percentile_s(delays, 99), "s"
        ),
        slopes.Figure("change everywhere, longest", max(delays), "s"),
        slopes.Figure(
            "processor while changing",
            used / _CHANGES / len(system.entries),
            "s a change and entry",
        ),
    ]


def _peer_bytes(system: cluster.Cluster) -> int:
    channels = [one.entry.membership.channels for one in system.entries]
    return sum(c.bytes_in + c.bytes_out for c in channels)


def _calls(system: cluster.Cluster) -> dict[str, int]:
    return dict(system.platform.truth()["calls"])
