"""Measures the processor time that an entry spends per request and token.

Usage:
  relay [--seconds=S] [--seed=N]

Options:
  --seconds=S  Length of each run [default: 10].
  --seed=N     Seed of the arrivals [default: 1].

One entry and several engine stand-ins run as processes; this process is the
client. The cost of an answer token is the slope between two runs that differ
only in the length of answers, that of a prompt token the slope between two
runs that differ only in the length of prompts.
"""

import asyncio
import dataclasses
import os
import pathlib
import time

import aiohttp
import docopt

from bench import fleet
from copperloom.experiments import load, mixes, plan, result
from copperloom.tests import processes

__all__ = ["main"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_IDLE_S = 5.0
_PROBES = 300
_PROBE_INTERVAL_S = 0.02
# The load of one entry when a fleet of the design size is at its peak.
_DESIGN_RATE_PER_S = 15.0
_DESIGN_ANSWER_TOKENS = 470
# Lengthens the run at the design load, to reduce the effect of start and end.
_DESIGN_RUN_FACTOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The cost of one run.

    Attributes:
        processor_s: Processor time of the entry, in seconds.
        requests: Number of requests with a complete answer.
        tokens: Tokens of these answers.
        prompt_tokens: Tokens of the prompts of these requests.
        duration_s: Wall time, in seconds.
        first_p99_s: 99th percentile of the time to the first token, in
            seconds.
    """

    processor_s: float
    requests: int
    tokens: int
    prompt_tokens: int
    duration_s: float
    first_p99_s: float


def main() -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__)
    seconds, seed = float(args["--seconds"]), int(args["--seed"])
    mix = _mix(seconds, answer_tokens=16, prompt_tokens=1_000)
    begin = time.monotonic()
    with fleet.Cleanups() as cleanups:
        system = fleet.start(cleanups, mix, plan.Variant(), seed=seed)
        entry = system.entries[0]
        _print("fleet ready after", time.monotonic() - begin, "s")
        _print("idle entry, resident", resident_bytes(entry) / 1e6, "MB")
        before = processor_s(entry)
        time.sleep(_IDLE_S)
        idle = (processor_s(entry) - before) / _IDLE_S
        _print("idle entry, processor", idle, "core")
        base = _run(system, mix, seed)
        long_answers = _run(
            system,
            _mix(seconds, answer_tokens=200, prompt_tokens=1_000),
            seed,
        )
        long_prompts = _run(
            system,
            _mix(seconds, answer_tokens=16, prompt_tokens=16_000),
            seed,
        )
        _print_slopes(idle, base, long_answers, long_prompts)
        asyncio.run(
            _measure_design_load(system, _DESIGN_RUN_FACTOR * seconds, seed)
        )
        _print("loaded entry, resident", resident_bytes(entry) / 1e6, "MB")


def processor_s(process: processes.Process) -> float:
    """Returns the processor time that a process has used so far."""
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(process: processes.Process) -> int:
    """Returns the resident memory of a process, in bytes."""
    statm = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
    return int(statm.split()[1]) * _PAGE_BYTES


def _print_slopes(
    idle: float, base: Run, long_answers: Run, long_prompts: Run
) -> None:
    token_s = (long_answers.processor_s - base.processor_s) / (
        long_answers.tokens - base.tokens
    )
    prompt_s = (long_prompts.processor_s - base.processor_s) / (
        long_prompts.prompt_tokens - base.prompt_tokens
    )
    request_s = (
        base.processor_s
        - idle * base.duration_s
        - token_s * base.tokens
        - prompt_s * base.prompt_tokens
    ) / base.requests
    _print("a relayed token, processor", token_s * 1e6, "us")
    _print("a prompt token, processor", prompt_s * 1e6, "us")
    _print("a request without these, processor", request_s * 1e6, "us")


def _run(system: fleet.Fleet, mix: mixes.LoadSettings, seed: int) -> Run:
    return asyncio.run(_offer(system, mix, seed))


async def _offer(
    system: fleet.Fleet, mix: mixes.LoadSettings, seed: int
) -> Run:
    entry = system.entries[0]
    begin, before = time.monotonic(), processor_s(entry)
    res = await load.offer(
        mix,
        system.addresses(),
        seed=seed,
        expected=load.expected_of_standins(mix),
    )
    complete = [s for s in res.samples if s.code == result.OK]
    if len(complete) < len(res.samples):
        codes = result.summarise(res).outcomes
        print(f"  not all answers were whole: {codes}")
    return Run(
        processor_s(entry) - before,
        len(complete),
        sum(s.answer_tokens for s in complete),
        sum(s.prompt_tokens for s in complete),
        time.monotonic() - begin,
        result.percentile_s([s.first_s for s in complete], 99),
    )


async def _measure_design_load(
    system: fleet.Fleet, seconds: float, seed: int
) -> None:
    """Measures the delay that the entry adds to a call at the design load."""
    mix = _mix(
        seconds,
        answer_tokens=_DESIGN_ANSWER_TOKENS,
        prompt_tokens=1_000,
        rate_per_s=_DESIGN_RATE_PER_S,
    )
    probes = asyncio.create_task(_probe(system, mix))
    run = await _offer(system, mix, seed)
    direct, through = await probes
    _print("at its share, requests", run.requests / run.duration_s, "1/s")
    _print("at its share, tokens", run.tokens / run.duration_s, "1/s")
    _print("at its share, processor", run.processor_s / run.duration_s, "core")
    for percent in (50, 99):
        added = result.percentile_s(through, percent)
        added -= result.percentile_s(direct, percent)
        _print(f"at its share, added to a call, p{percent}", added * 1e3, "ms")
    _print("at its share, direct call, p99", _p99_ms(direct), "ms")
    _print("at its share, call through the entry, p99", _p99_ms(through), "ms")


async def _probe(
    system: fleet.Fleet, mix: mixes.LoadSettings
) -> tuple[list[float], list[float]]:
    """Calls a service directly and through the entry, alternately.

    Returns:
        The durations of the direct calls and of the others, in seconds.
    """
    name = mixes.organisation_names(mix)[0]
    headers = {"Authorization": f"Bearer {mixes.organisation_token(name)}"}
    urls = (
        f"http://{system.services[0].address}/check",
        f"http://{system.addresses()[0]}/v1/services/{mix.services.name}/check",
    )
    times: tuple[list[float], list[float]] = ([], [])
    async with aiohttp.ClientSession(headers=headers) as session:
        for _ in range(_PROBES):
            for url, durations in zip(urls, times, strict=True):
                begin = time.perf_counter()
                async with session.get(url) as response:
                    await response.read()
                    response.raise_for_status()
                durations.append(time.perf_counter() - begin)
            await asyncio.sleep(_PROBE_INTERVAL_S)
    return times


def _p99_ms(times_s: list[float]) -> float:
    return result.percentile_s(times_s, 99) * 1e3


def _mix(
    seconds: float,
    *,
    answer_tokens: int,
    prompt_tokens: int,
    rate_per_s: float = 20.0,
) -> mixes.LoadSettings:
    sections = {
        "load": {
            "name": "relay",
            "rate_per_s": rate_per_s,
            "duration_s": seconds,
            "time_limit_s": 60.0,
        },
        "short": {
            "share": 1.0,
            "low_tokens": prompt_tokens,
            "high_tokens": prompt_tokens,
            "answer_tokens": answer_tokens,
        },
        "middle": {"share": 0.0},
        "long": {"share": 0.0},
        "services": {"share": 0.0},
        "network": {"client_ms": 0.0, "between_ms": 0.0},
        "cluster": {
            "entries": 1,
            "engines": 4,
            "services": 1,
            "time_scale": 2.0,
        },
    }
    return plan.make_settings(mixes.LoadSettings, sections)


def _print(name: str, value: float, unit: str) -> None:
    print(f"{name:48}{value:12.4g} {unit}", flush=True)


if __name__ == "__main__":
    main()
