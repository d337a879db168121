"""Sends a load mix to running entries and records the outcomes.

Usage:
  copperloom-load run MIX [--seed=N] [--without-long] [--policy=LABEL]
                  [--standins] [--output=FILE]
  copperloom-load slowdown MIX [--seed=N] [--standins] [--output=FILE]
  copperloom-load show FILE
  copperloom-load compare A B
  copperloom-load report HTML FILE...
  copperloom-load explain
  copperloom-load -h | --help

Options:
  --seed=N         Seed of the arrivals [default: 1].
  --without-long   Leave out the long prompts of the same seed.
  --policy=LABEL   Label of what is tried [default: copperloom].
  --standins       The engines are stand-ins: check each answer's text.
  --output=FILE    Where to write the result as JSON.

`slowdown` sends the mix twice, with and without its long prompts. The exit
status is 1 if a request was lost or got a wrong answer.
"""

import asyncio
import dataclasses
import functools
import sys

import docopt
import msgspec

from copperloom import exception, settings
from copperloom.experiments import (
    arrivals,
    client,
    compare,
    mixes,
    report,
    result,
)
from copperloom.standins import answers

__all__ = ["exclude_warm_up", "expected_of_standins", "main", "offer"]


async def offer(
    mix: mixes.LoadSettings,
    entries: list[str],
    *,
    seed: int,
    long: bool = True,
    policy: str = "copperloom",
    expected: client.Expected | None = None,
) -> result.Result:
    """Sends one run of a mix to entries and returns its result.

    Args:
        mix: The mix.
        entries: Addresses of entries.
        seed: Seed of the arrivals.
        long: Whether the long prompts are sent.
        policy: Label for the result.
        expected: Returns the expected answer; if None, any complete answer
            is accepted.
    """
    requests = arrivals.arrivals(mix, seed=seed)
    if not long:
        requests = arrivals.without_long(requests)
    samples = await client.run(mix, requests, entries, expected=expected)
    return result.Result(
        mix.load.name,
        policy,
        seed,
        long,
        mix.load.duration_s - mix.load.warm_up_s,
        exclude_warm_up(mix, requests, samples),
    )


def exclude_warm_up(
    mix: mixes.LoadSettings,
    requests: list[arrivals.Arrival],
    samples: list[result.Sample],
) -> list[result.Sample]:
    """Returns the samples without the warm-up, except for failed ones.

    A lost request or a wrong answer counts whenever it occurs.

    Args:
        mix: The mix.
        requests: The requests that were sent.
        samples: The outcome of each request, in the same order.
    """
    return [
        sample
        for arrival, sample in zip(requests, samples, strict=True)
        if arrival.at_s >= mix.load.warm_up_s or sample.code < 0
    ]


def expected_of_standins(mix: mixes.LoadSettings) -> client.Expected:
    """Returns a function that computes the answers of engine stand-ins."""

    def expected(arrival: arrivals.Arrival, messages: bytes) -> str:
        return answers.whole(
            arrival.organisation,
            mix.load.deployment,
            messages,
            arrival.answer_tokens,
        )

    return expected


def main(argv: list[str] | None = None) -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__, argv)
    try:
        sys.exit(_run(args))
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(settings.EXIT_BAD_SETTINGS)


def _run(args: dict) -> int:
    if args["explain"]:
        print(settings.explain(mixes.LoadSettings))
        return 0
    if args["compare"]:
        a, b = result.read(args["A"]), result.read(args["B"])
        print("\n".join(compare.compare(a, b)))
        return 0
    if args["report"]:
        report.write([result.read(f) for f in args["FILE"]], args["HTML"])
        return 0
    if args["show"]:
        return _print_result(result.read(args["FILE"][0]))
    return _send_load(args)


def _send_load(args: dict) -> int:
    mix = settings.load_or_exit(args["MIX"], mixes.LoadSettings)
    if not mix.load.entries:
        error = exception.SettingsError(f"{args['MIX']} [load] entries: empty")
        print(f"error {error.code}: {error}", file=sys.stderr)
        return settings.EXIT_BAD_SETTINGS
    run = functools.partial(
        offer,
        mix,
        list(mix.load.entries),
        seed=int(args["--seed"]),
        policy=args["--policy"],
        expected=expected_of_standins(mix) if args["--standins"] else None,
    )
    res = asyncio.run(run(long=not args["--without-long"]))
    if args["slowdown"]:
        _print_slowdown(res, asyncio.run(run(long=False)))
    if args["--output"]:
        result.write(res, args["--output"])
    return _print_result(res)


def _print_slowdown(mixed: result.Result, alone: result.Result) -> None:
    slow = compare.slowdown(mixed, alone)
    for name, value in dataclasses.asdict(slow).items():
        print(f"slowdown of short prompts, {name}: {value:.4g}")


def _print_result(res: result.Result) -> int:
    summary = result.summarise(res)
    print("\n".join(compare.figures(summary)))
    for sample in res.samples:
        if sample.code < 0:
            print(f"lost {sample.index} {sample.request}: {sample.problem}")
    return 1 if summary.lost else 0


if __name__ == "__main__":
    main()
