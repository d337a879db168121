"""Measures the control plane of many entries within one process.

All entries run on one event loop with a platform stand-in and no traffic. Their
total processor time divided by their number is an upper bound for one entry,
since it includes that of the stand-in.
"""

import asyncio
import dataclasses
import time

from copperloom import configuration
from copperloom.experiments import cluster, mixes, plan, result, slopes

__all__ = ["spread_figures"]

_SETTLE_S = 3.0
_IDLE_S = 6.0
_CHANGE_COUNT = 10
_CHANGE_INTERVAL_S = 0.37
_READ_CALLS = ("read", "scan", "instances", "get_object")
_WRITE_CALLS = ("rows_written", "announce")


async def spread_figures(
    entries: int, *, engines: int = 0
) -> list[slopes.Figure]:
    """Measures the idle cost and the time until changes reach all entries.

    Args:
        entries: Number of entries.
        engines: Number of targets in the configuration.
    """
    sections = {
        "load": {"name": "spread"},
        "cluster": {"entries": entries, "engines": engines, "services": 0},
    }
    mix = plan.make_settings(mixes.LoadSettings, sections)
    system = await cluster.start(mix)
    try:
        await asyncio.sleep(_SETTLE_S)
        idle_figures = await _idle_figures(system)
        change_figures = await _change_figures(system)
    finally:
        await cluster.stop(system)
    label = f"{entries} entries, {engines} engines"
    return [
        dataclasses.replace(figure, name=f"{label}: {figure.name}")
        for figure in idle_figures + change_figures
    ]


async def _idle_figures(system: cluster.Cluster) -> list[slopes.Figure]:
    calls, peer_bytes = _platform_calls(system), _peer_bytes(system)
    start, start_cpu = time.monotonic(), time.process_time()
    await asyncio.sleep(_IDLE_S)
    elapsed_s, cpu_s = time.monotonic() - start, time.process_time() - start_cpu
    rates = {
        name: (count - calls.get(name, 0)) / elapsed_s
        for name, count in _platform_calls(system).items()
    }
    count = len(system.entries)
    peer_bytes_per_s = (_peer_bytes(system) - peer_bytes) / elapsed_s / count
    reads = sum(rates.get(name, 0) for name in _READ_CALLS)
    writes = sum(rates.get(name, 0) for name in _WRITE_CALLS)
    return [
        slopes.Figure(
            "processor an entry, idle", cpu_s / elapsed_s / count, "core"
        ),
        slopes.Figure("platform reads an entry", reads / count, "1/s"),
        slopes.Figure("platform writes an entry", writes / count, "1/s"),
        slopes.Figure(
            "peers' payload an entry, both ways", peer_bytes_per_s, "bytes/s"
        ),
    ]


async def _change_figures(system: cluster.Cluster) -> list[slopes.Figure]:
    delays = []
    start_cpu = time.process_time()
    for index in range(_CHANGE_COUNT):
        name = plan.PEAK if index % 2 else plan.ORDINARY
        entity = configuration.PresetInForce(name)
        confirmed_at = await cluster.change(system, [entity])
        adoptions = await cluster.wait_version(system, system.cfg.version)
        delays += [
            max(0.0, adopted_at - confirmed_at) for adopted_at in adoptions
        ]
        # Not a multiple of the polling interval, so that changes occur at all
        # phases of it.
        await asyncio.sleep(_CHANGE_INTERVAL_S)
    cpu_s = time.process_time() - start_cpu
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
            cpu_s / _CHANGE_COUNT / len(system.entries),
            "s a change and entry",
        ),
    ]


def _peer_bytes(system: cluster.Cluster) -> int:
    channels = [service.entry.membership.channels for service in system.entries]
    return sum(c.bytes_in + c.bytes_out for c in channels)


def _platform_calls(system: cluster.Cluster) -> dict[str, int]:
    return dict(system.platform.truth()["calls"])
