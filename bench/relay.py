"""Measures what an entry spends for a request and a token, as a process.

Usage:
  relay [--seconds=S] [--seed=N]

Options:
  --seconds=S  Length of each run [default: 10].
  --seed=N     Seed of the arrivals [default: 1].

One entry and several engine stand-ins run as processes; the client is this
one. The slope of a token is the difference between two runs that differ in
the length of answers only, that of a prompt's byte the difference between two
runs that differ in the length of prompts only.
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
_PROBE_PAUSE_S = 0.02
# An entry's share of the peak at the size designed for.
_SHARE_RATE_PER_S = 15.0
_SHARE_ANSWER_TOKENS = 470
# So much longer than the other runs that its start and end weigh little.
_SHARE_TIMES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """What one run cost.

    Attributes:
        processor_s: Processor time of the entry.
        requests: Whole answers.
        tokens: Tokens relayed.
        prompt_tokens: Prompt tokens taken in.
        took_s: Wall time.
        first_p99_s: 99th percentile of the time to the first token.
    """

    processor_s: float
    requests: int
    tokens: int
    prompt_tokens: int
    took_s: float
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
        few = _run(system, mix, seed)
        many = _run(
            system,
            _mix(seconds, answer_tokens=200, prompt_tokens=1_000),
            seed,
        )
        big = _run(
            system,
            _mix(seconds, answer_tokens=16, prompt_tokens=16_000),
            seed,
        )
        _slopes(idle, few, many, big)
        asyncio.run(_at_share(system, _SHARE_TIMES * seconds, seed))
        _print("loaded entry, resident", resident_bytes(entry) / 1e6, "MB")


def processor_s(process: processes.Process) -> float:
    """Returns the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(process: processes.Process) -> int:
    """Returns the resident memory of a process."""
    statm = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
    return int(statm.split()[1]) * _PAGE_BYTES


def _slopes(idle: float, few: Run, many: Run, big: Run) -> None:
    token_s = (many.processor_s - few.processor_s) / (many.tokens - few.tokens)
    prompt_s = (big.processor_s - few.processor_s) / (
        big.prompt_tokens - few.prompt_tokens
    )
    request_s = (
        few.processor_s
        - idle * few.took_s
        - token_s * few.tokens
        - prompt_s * few.prompt_tokens
    ) / few.requests
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
    whole = [s for s in res.samples if s.code == result.OK]
    if len(whole) < len(res.samples):
        codes = result.summarise(res).outcomes
        print(f"  not all answers were whole: {codes}")
    return Run(
        processor_s(entry) - before,
        len(whole),
        sum(s.answer_tokens for s in whole),
        sum(s.prompt_tokens for s in whole),
        time.monotonic() - begin,
        result.percentile_s([s.first_s for s in whole], 99),
    )


async def _at_share(system: fleet.Fleet, seconds: float, seed: int) -> None:
    """Loads the entry with its share, and probes what it adds meanwhile."""
    mix = _mix(
        seconds,
        answer_tokens=_SHARE_ANSWER_TOKENS,
        prompt_tokens=1_000,
        rate_per_s=_SHARE_RATE_PER_S,
    )
    probing = asyncio.create_task(_probe(system, mix))
    run = await _offer(system, mix, seed)
    direct, through = await probing
    _print("at its share, requests", run.requests / run.took_s, "1/s")
    _print("at its share, tokens", run.tokens / run.took_s, "1/s")
    _print("at its share, processor", run.processor_s / run.took_s, "core")
    for percent in (50, 99):
        added = result.percentile_s(through, percent)
        added -= result.percentile_s(direct, percent)
        _print(f"at its share, added to a call, p{percent}", added * 1e3, "ms")
    _print("at its share, direct call, p99", _p99_ms(direct), "ms")
    _print("at its share, call through the entry, p99", _p99_ms(through), "ms")


async def _probe(
    system: fleet.Fleet, mix: mixes.LoadSettings
) -> tuple[list[float], list[float]]:
    """Calls a service directly and through the entry, in turn."""
    name = mixes.organisation_names(mix)[0]
    headers = {"Authorization": f"Bearer {mixes.organisation_token(name)}"}
    ways = (
        f"http://{system.services[0].address}/check",
        f"http://{system.addresses()[0]}/v1/services/{mix.services.name}/check",
    )
    times: tuple[list[float], list[float]] = ([], [])
    async with aiohttp.ClientSession(headers=headers) as session:
        for _ in range(_PROBES):
            for url, seen in zip(ways, times, strict=True):
                begin = time.perf_counter()
                async with session.get(url) as response:
                    await response.read()
                    response.raise_for_status()
                seen.append(time.perf_counter() - begin)
            await asyncio.sleep(_PROBE_PAUSE_S)
    return times


def _p99_ms(values: list[float]) -> float:
    return result.percentile_s(values, 99) * 1e3


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
