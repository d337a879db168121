"""copperloom-demo: a whole system in one process, under a short mixed load.

Usage:
  copperloom-demo [--seed=N] [--seconds=S] [--html=FILE]
  copperloom-demo -h | --help

Options:
  --seed=N     Seed of the load and of the stand-ins [default: 1].
  --seconds=S  Time over which requests arrive, in each of two runs
               [default: 10].
  --html=FILE  Also write a page with curves.

Starts entries, a platform, engines and services on loopback and offers the
same requests twice, without and with the long prompts. In the midst of the
second run the preset is switched and an engine is retired. Exit status 0
means that every request got its own whole answer or a numbered error in time,
that the retired engine got no new work, and that all engine memory came back.
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

_LARGEST_TOKENS = 1_000_000
_SWITCH_AT = 0.35
_RETIRE_AT = 0.5
# A leaving target may get new work for this long.
_LEAVE_S = 3.0
_MEMORY_S = 10.0
_POLL_S = 0.1
_RETIRED = 0
# Codes below are faults and bad input, from here on refusals and failures.
_FIRST_REFUSAL_CODE = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class DemoResult:
    """What the demo saw.

    Attributes:
        alone: The run without long prompts.
        mixed: The run with them.
        spread_s: Longest time from a change to its being in force everywhere.
        retired_runs: Work that the retired engine got after its few seconds.
        kv_left: Engine memory still in use at the end, in tokens.
    """

    alone: result.Result
    mixed: result.Result
    spread_s: float
    retired_runs: int
    kv_left: int


def demo_mix(seconds: float) -> mixes.LoadSettings:
    """Returns the demo's mix."""
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
        events = asyncio.create_task(_events(system))
        mixed = await _offer(system, requests, seed, long=True)
        spread_s, retired_runs = await events
        kv_left = await _memory_left(system)
        return DemoResult(alone, mixed, spread_s, retired_runs, kv_left)
    finally:
        await cluster.stop(system)


def problems(seen: DemoResult) -> list[str]:
    """Lists what broke a promise; empty if nothing did."""
    out = []
    for res in (seen.alone, seen.mixed):
        for sample in res.samples:
            if sample.code < 0:
                out.append(f"lost {sample.group} request: {sample.problem}")
            elif 0 < sample.code < _FIRST_REFUSAL_CODE:
                # All requests are valid, so that this is a fault of ours.
                out.append(f"code {sample.code}: {sample.problem}")
    whole = {s.group for s in seen.mixed.samples if s.code == result.OK}
    for group in sorted({s.group for s in seen.mixed.samples} - whole):
        out.append(f"no {group} request was answered")
    if seen.retired_runs:
        out.append(f"the retired engine got {seen.retired_runs} new streams")
    if seen.kv_left:
        out.append(f"{seen.kv_left} tokens of engine memory did not come back")
    return out


def table(seen: DemoResult) -> list[str]:
    """Returns the summary as lines of text."""
    mixed = result.summarise(seen.mixed)
    alone = result.summarise(seen.alone)
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
    slow = compare.slowdown(seen.mixed, seen.alone)
    lines += [
        "",
        f"slowdown of short prompts: p50 {slow.p50:.2f}, p99 {slow.p99:.2f}"
        f" ({slow.pairs} prompts)",
        f"changes in force everywhere within {seen.spread_s:.2f} s",
        f"engine memory still in use: {seen.kv_left} tokens",
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
    begin = time.monotonic()
    mix = demo_mix(float(args["--seconds"]))
    own = mix.cluster
    print(
        f"{own.entries} entries, {own.engines} engines ({own.time_scale:g} "
        f"times faster than real ones), {own.services} services; "
        f"{mix.load.rate_per_s:g} requests/s",
        flush=True,
    )
    seen = asyncio.run(run(mix, seed=int(args["--seed"])))
    print("\n".join(table(seen)))
    if args["--html"]:
        report.write([seen.alone, seen.mixed], args["--html"])
    found = problems(seen)
    print("\n".join(found) or "nothing lost")
    print(f"took {time.monotonic() - begin:.1f} s")
    sys.exit(1 if found else 0)


def _with_largest(
    requests: list[arrivals.Arrival], mix: mixes.LoadSettings
) -> list[arrivals.Arrival]:
    """Makes sure that the longest prompt of all is among the requests."""
    largest = arrivals.Arrival(
        len(requests),
        mix.load.duration_s * 0.2,
        mixes.organisation_names(mix)[0],
        arrivals.LONG,
        _LARGEST_TOKENS,
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


async def _events(system: cluster.Cluster) -> tuple[float, int]:
    """Switches the preset and retires an engine while requests run."""
    duration_s = system.mix.load.duration_s
    await asyncio.sleep(duration_s * _SWITCH_AT)
    peak = configuration.PresetInForce(plan.PEAK)
    spread_s = await _change(system, peak)
    await asyncio.sleep(duration_s * (_RETIRE_AT - _SWITCH_AT))
    name = plan.target_name(configuration.TargetKind.ENGINE, _RETIRED)
    retired = dataclasses.replace(
        system.cfg.targets[name], state=configuration.TargetState.RETIRED
    )
    spread_s = max(spread_s, await _change(system, retired))
    await asyncio.sleep(_LEAVE_S)
    before = _streams(system.engines[_RETIRED])
    await asyncio.sleep(duration_s * (1 - _RETIRE_AT))
    return spread_s, len(_streams(system.engines[_RETIRED]) - before)


async def _change(
    system: cluster.Cluster, entity: configuration.Entity
) -> float:
    confirmed = await cluster.change(system, [entity])
    seen = await cluster.wait_version(system, system.cfg.version)
    return max(seen) - confirmed


def _streams(server) -> set[str]:
    return set(server.truth()["streams"])


async def _memory_left(system: cluster.Cluster) -> int:
    """Waits a while until the engines' own counts are zero."""
    end = time.monotonic() + _MEMORY_S
    while True:
        left = sum(one.truth()["kv_used"] for one in system.engines)
        if not left or time.monotonic() > end:
            return left
        await asyncio.sleep(_POLL_S)


if __name__ == "__main__":
    main()
