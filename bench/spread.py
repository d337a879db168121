"""Measures how fast configuration changes reach a large number of entries.

Usage:
  spread [--entries=N] [--each=N] [--changes=N] [--organisations=N]
         [--targets=N] [--outage]

Options:
  --entries=N        Entries in all [default: 100].
  --each=N           Entries in a process [default: 10].
  --changes=N        Changes to make [default: 10].
  --organisations=N  Organisations in the configuration [default: 0].
  --targets=N        Retired targets in the configuration [default: 0].
  --outage           Also measure while the platform's table is down.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import docopt

from bench import fleet, relay
from copperloom import configuration
from copperloom.experiments import cluster, plan, result, sizes, slopes
from copperloom.platform import http as platform_http
from copperloom.tests import processes

__all__ = ["main"]

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_SETTLE_S = 8.0
_SAMPLE_S = 6.0
# Exceeds the entries' confirm_s, after which they query all members.
_UNCONFIRMED_S = 10.0
_CHANGE_INTERVAL_S = 1.37
_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 10.0


@dataclasses.dataclass
class EntryGroup:
    """A process that runs several entries.

    Attributes:
        popen: The process.
        output: File with its standard output.
    """

    popen: subprocess.Popen
    output: pathlib.Path

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def versions(self) -> list[tuple[int, float]]:
        """Returns each adoption as (version, monotonic time)."""
        lines = [line.split() for line in self.output.read_text().splitlines()]
        return [(int(f[2]), float(f[3])) for f in lines if len(f) == 4]


def main() -> None:
    """Runs the command line."""
    options = docopt.docopt(__doc__)
    outage = options.pop("--outage")
    args = {k: int(v) for k, v in options.items()}
    with fleet.Cleanups() as cleanups:
        platform = processes.launch(cleanups, "platform", {})
        asyncio.run(_configure(platform.address, args))
        groups = [
            _start(cleanups, platform.address, first, args)
            for first in range(0, args["--entries"], args["--each"])
        ]
        for group in groups:
            processes.wait_until(
                lambda group=group: "ready" in group.output.read_text(),
                _TIMEOUT_S,
                "entries listen",
            )
        time.sleep(_SETTLE_S)
        _measure_idle(platform, groups, args["--entries"])
        _measure_changes(platform.address, groups, args)
        if outage:
            _measure_outage(platform, groups, args["--entries"])


def _start(cleanups, platform: str, first: int, args) -> EntryGroup:
    folder = tempfile.TemporaryDirectory(prefix="copperloom-")
    cleanups.callback(folder.cleanup)
    output = pathlib.Path(folder.name) / "stdout"
    count = min(args["--each"], args["--entries"] - first)
    with output.open("w") as out:
        popen = subprocess.Popen(
            [sys.executable, "-m", "copperloom.experiments.planes"]
            + [f"--platform={platform}", f"--first={first}"]
            + [f"--count={count}"],
            cwd=_ROOT,
            stdout=out,
            stderr=subprocess.DEVNULL,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
    cleanups.callback(_end, popen)
    return EntryGroup(popen, output)


def _end(popen: subprocess.Popen) -> None:
    popen.terminate()
    with contextlib.suppress(subprocess.TimeoutExpired):
        popen.wait(_STOP_TIMEOUT_S)
    popen.kill()
    popen.wait()


async def _configure(platform: str, args) -> None:
    size = dataclasses.replace(
        sizes.DESIGN,
        organisations=args["--organisations"],
        runners=args["--targets"],
    )
    cfg = slopes.configuration_of(size)
    entities = [
        *cfg.organisations.values(),
        *(
            dataclasses.replace(t, state=configuration.TargetState.RETIRED)
            for t in cfg.targets.values()
        ),
        configuration.Preset(plan.ORDINARY),
        configuration.Preset(plan.PEAK),
        configuration.PresetInForce(plan.ORDINARY),
    ]
    await _change(platform, configuration.Configuration(), entities)


async def _change(platform: str, cfg, entities) -> float:
    """Makes a change; returns the monotonic time when it was confirmed."""
    run = cluster.Cluster(None, client=platform_http.connect(platform))
    run.cfg = cfg
    try:
        return await cluster.change(run, entities)
    finally:
        await run.client.close()


def _measure_idle(platform, groups: list[EntryGroup], entries: int) -> None:
    before = [relay.processor_s(g) for g in groups]
    calls_before, platform_before = (
        platform.truth()["calls"],
        relay.processor_s(platform),
    )
    time.sleep(_SAMPLE_S)
    used = sum(relay.processor_s(g) for g in groups) - sum(before)
    calls = platform.truth()["calls"]
    print(f"{entries} entries in {len(groups)} processes")
    _print("idle entry, processor", used / _SAMPLE_S / entries, "core")
    share = (relay.processor_s(platform) - platform_before) / _SAMPLE_S
    _print("platform stand-in, processor", share, "core")
    for name in sorted(calls):
        rate = (calls[name] - calls_before.get(name, 0)) / _SAMPLE_S
        _print(f"platform calls, {name}", rate, "1/s")
    resident = max(relay.resident_bytes(g) for g in groups)
    _print("largest process, resident", resident / 1e6, "MB")


def _measure_outage(platform, groups: list[EntryGroup], entries: int) -> None:
    """Measures the entries' processor time while the table is down."""
    platform.control(outage=["table"])
    time.sleep(_UNCONFIRMED_S)
    before = sum(relay.processor_s(g) for g in groups)
    time.sleep(_SAMPLE_S)
    used = sum(relay.processor_s(g) for g in groups) - before
    _print("in an outage, entry, processor", used / _SAMPLE_S / entries, "core")


def _measure_changes(platform: str, groups: list[EntryGroup], args) -> None:
    confirmed_at = {}
    used = sum(relay.processor_s(g) for g in groups)
    begin = time.monotonic()
    for index in range(args["--changes"]):
        name = plan.PEAK if index % 2 else plan.ORDINARY
        cfg = configuration.Configuration(version=index + 1)
        change = _change(platform, cfg, [configuration.PresetInForce(name)])
        confirmed_at[index + 2] = asyncio.run(change)
        time.sleep(_CHANGE_INTERVAL_S)
    last_version = args["--changes"] + 1
    processes.wait_until(
        lambda: _count_adopted(groups, last_version) == args["--entries"],
        _TIMEOUT_S,
        "all entries have the last version",
    )
    duration_s = time.monotonic() - begin
    used = sum(relay.processor_s(g) for g in groups) - used
    delays = [
        max(0.0, adopted_at - confirmed_at[version])
        for group in groups
        for version, adopted_at in group.versions()
        if version in confirmed_at
    ]
    _print("adoptions seen", len(delays), "")
    for percent in (50, 99):
        value = result.percentile_s(delays, percent)
        _print(f"change in force, p{percent}", value, "s")
    _print("change in force, longest", max(delays), "s")
    share = used / duration_s / args["--entries"]
    _print("entry while changing, processor", share, "core")


def _count_adopted(groups: list[EntryGroup], version: int) -> int:
    return sum(v >= version for g in groups for v, _ in g.versions())


def _print(name: str, value: float, unit: str) -> None:
    print(f"  {name:40}{value:12.4g} {unit}", flush=True)


if __name__ == "__main__":
    main()
