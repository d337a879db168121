"""Demonstrates a complete system in one process under a short mixed load.

Usage:
  copperloom-demo [--seed=N] [--seconds=S] [--html=FILE]
  copperloom-demo -h | --help

Options:
  --seed=N     Seed of the load and of the stand-ins [default: 1].
  --seconds=S  Time over which requests arrive, in each of two runs
               [default: 10].
  --html=FILE  Also write a page with curves.

Starts entries, a platform, engines and services on loopback and sends the
same requests twice, without and with the long prompts. During the second run
the preset is switched and an engine is retired. The exit status is 0 if every
request got its own complete answer or a coded error within its time limit, the
retired engine got no new work, and all engine memory was released.
"""

import asyncio
import dataclasses
import sys
import time

import docopt

from copperloom import configuration
from copperloom.experiments import (
    arrivals,
    client,
    cluster,
    compare,
    load,
    mixes,
    plan,
    report,
    result,
)

__all__ = ["DemoResult", "main", "problems", "run", "table"]

_MAX_PROMPT_TOKENS = 1_000_000
_SWITCH_SHARE = 0.35
_RETIRE_SHARE = 0.5
# A draining target may still get new work for this duration.
_DRAIN_S = 3.0
_MEMORY_RELEASE_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.1
_RETIRED_ENGINE = 0
# Lower codes report internal faults and invalid input.
_MIN_REFUSAL_CODE = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class DemoResult:
    """The results of a demo.

    Attributes:
        alone: The run without long prompts.
        mixed: The run with them.
        adoption_s: Longest time from a configuration change until all entries
            had adopted it.
        late_streams: Number of streams that the retired engine got after it
            had drained.
        kv_left: Engine memory still in use at the end, in tokens.
    """

    alone: result.Result
    mixed: result.Result
    adoption_s: float
    late_streams: int
    kv_left: int


def demo_mix(seconds: float) -> mixes.LoadSettings:
    """Returns the demo's mix with requests over a number of seconds."""
    sections = {
        "load": {
            "name": "demo",
            "rate_per_s": 24.0,
            "duration_s": seconds,
            "time_limit_s": 12.0,
        },
        "services": {"share": 0.15},
        "cluster": {"entries": 3, "engines": 6, "services": 2},
    }
    return plan.make_settings(mixes.LoadSettings, sections)


async def run(mix: mixes.LoadSettings, *, seed: int) -> DemoResult:
    """Runs the demo.

    Args:
        mix: The mix.
        seed: Seed of the load and of the stand-ins.
    """
    requests = _with_largest(arrivals.arrivals(mix, seed=seed), mix)
    system = await cluster.start(mix, seed=seed)
    try:
        alone = await _offer(
            system, arrivals.without_long(requests), seed, long=False
        )
        changes = asyncio.create_task(_change_configuration(system))
        mixed = await _offer(system, requests, seed, long=True)
        adoption_s, late_streams = await changes
        kv_left = await _memory_left(system)
        return DemoResult(alone, mixed, adoption_s, late_streams, kv_left)
    finally:
        await cluster.stop(system)


def problems(demo_result: DemoResult) -> list[str]:
    """Returns a description of each failure of the demo."""
    found = []
    for res in (demo_result.alone, demo_result.mixed):
        for sample in res.samples:
            if sample.code < 0:
                found.append(f"lost {sample.group} request: {sample.problem}")
            elif 0 < sample.code < _MIN_REFUSAL_CODE:
                # All requests are valid, so an input error is a fault here.
                found.append(f"code {sample.code}: {sample.problem}")
    answered_groups = {
        s.group for s in demo_result.mixed.samples if s.code == result.OK
    }
    for group in sorted(
        {s.group for s in demo_result.mixed.samples} - answered_groups
    ):
        found.append(f"no {group} request was answered")
    if demo_result.late_streams:
        found.append(
            f"the retired engine got {demo_result.late_streams} new streams"
        )
    if demo_result.kv_left:
        found.append(
            f"{demo_result.kv_left} tokens of engine memory were not released"
        )
    return found


def table(demo_result: DemoResult) -> list[str]:
    """Returns a summary as lines of text."""
    mixed = result.summarise(demo_result.mixed)
    alone = result.summarise(demo_result.alone)
    lines = [f"{'outcome':24}{'without long':>18}{'mixed':>18}"]
    for code in sorted(alone.outcomes | mixed.outcomes):
        name = "whole answer" if code == result.OK else f"code {code}"
        counts = (alone.outcomes.get(code, 0), mixed.outcomes.get(code, 0))
        lines.append(f"{name:24}{counts[0]:18d}{counts[1]:18d}")
    lines += ["", f"{'first token, p50 / p99':24}" + lines[0][24:]]
    low = 1
    for high in result.BUCKETS:
        lines.append(_bucket_line(low, high, alone, mixed))
        low = high
    ratio = compare.slowdown(demo_result.mixed, demo_result.alone)
    lines += [
        "",
        f"slowdown of short prompts: p50 {ratio.p50:.2f}, p99 {ratio.p99:.2f}"
        f" ({ratio.pairs} prompts)",
        f"changes in force everywhere within {demo_result.adoption_s:.2f} s",
        f"engine memory still in use: {demo_result.kv_left} tokens",
    ]
    return lines


def _bucket_line(
    low: int, high: int, alone: result.Summary, mixed: result.Summary
) -> str:
    line = f"{f'{low:,} to {high:,}':24}"
    for summary in (alone, mixed):
        if high in summary.bucket_p50_s:
            p50, p99 = summary.bucket_p50_s[high], summary.bucket_p99_s[high]
            line += f"{f'{p50:.2f} / {p99:.2f} s':>18}"
        else:
            line += f"{'-':>18}"
    return line


def main(argv: list[str] | None = None) -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__, argv)
    start = time.monotonic()
    mix = demo_mix(float(args["--seconds"]))
    size = mix.cluster
    print(
        f"{size.entries} entries, {size.engines} engines ({size.time_scale:g} "
        f"times faster than real ones), {size.services} services; "
        f"{mix.load.rate_per_s:g} requests/s",
        flush=True,
    )
    demo_result = asyncio.run(run(mix, seed=int(args["--seed"])))
    print("\n".join(table(demo_result)))
    if args["--html"]:
        report.write([demo_result.alone, demo_result.mixed], args["--html"])
    found = problems(demo_result)
    print("\n".join(found) or "nothing lost")
    print(f"took {time.monotonic() - start:.1f} s")
    sys.exit(1 if found else 0)


def _with_largest(
    requests: list[arrivals.Arrival], mix: mixes.LoadSettings
) -> list[arrivals.Arrival]:
    """Returns the requests with one prompt of the greatest length added."""
    largest = arrivals.Arrival(
        len(requests),
        mix.load.duration_s * 0.2,
        mixes.organisation_names(mix)[0],
        arrivals.LONG,
        _MAX_PROMPT_TOKENS,
        mix.long.answer_tokens,
    )
    return sorted([*requests, largest], key=lambda a: a.at_s)


async def _offer(
    system: cluster.Cluster,
    requests: list[arrivals.Arrival],
    seed: int,
    *,
    long: bool,
) -> result.Result:
    mix = system.mix
    samples = await client.run(
        mix,
        requests,
        system.addresses(),
        expected=load.expected_of_standins(mix),
    )
    return result.Result(
        mix.load.name, "copperloom", seed, long, mix.load.duration_s, samples
    )


async def _change_configuration(system: cluster.Cluster) -> tuple[float, int]:
    """Switches the preset and retires an engine while requests run."""
    duration_s = system.mix.load.duration_s
    await asyncio.sleep(duration_s * _SWITCH_SHARE)
    peak = configuration.PresetInForce(plan.PEAK)
    adoption_s = await _adoption_s(system, peak)
    await asyncio.sleep(duration_s * (_RETIRE_SHARE - _SWITCH_SHARE))
    name = plan.target_name(configuration.TargetKind.ENGINE, _RETIRED_ENGINE)
    retired = dataclasses.replace(
        system.cfg.targets[name], state=configuration.TargetState.RETIRED
    )
    adoption_s = max(adoption_s, await _adoption_s(system, retired))
    await asyncio.sleep(_DRAIN_S)
    before = _stream_names(system.engines[_RETIRED_ENGINE])
    await asyncio.sleep(duration_s * (1 - _RETIRE_SHARE))
    return adoption_s, len(
        _stream_names(system.engines[_RETIRED_ENGINE]) - before
    )


async def _adoption_s(
    system: cluster.Cluster, entity: configuration.Entity
) -> float:
    confirmed_at = await cluster.change(system, [entity])
    adopted_at = await cluster.wait_version(system, system.cfg.version)
    return max(adopted_at) - confirmed_at


def _stream_names(server) -> set[str]:
    return set(server.truth()["streams"])


async def _memory_left(system: cluster.Cluster) -> int:
    """Returns the engine memory in use once it is zero or a timeout passes."""
    end = time.monotonic() + _MEMORY_RELEASE_TIMEOUT_S
    while True:
        left = sum(server.truth()["kv_used"] for server in system.engines)
        if not left or time.monotonic() > end:
            return left
        await asyncio.sleep(_POLL_INTERVAL_S)


if __name__ == "__main__":
    main()
