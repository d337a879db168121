"""Offers a mix to running entries and writes what became of it.

Usage:
  copperloom-load run MIX [--seed=N] [--without-long] [--policy=LABEL]
                  [--output=FILE]
  copperloom-load slowdown MIX [--seed=N] [--output=FILE]
  copperloom-load show FILE
  copperloom-load compare A B
  copperloom-load report HTML FILE...
  copperloom-load explain
  copperloom-load -h | --help

Options:
  --seed=N         Seed of the arrivals [default: 1].
  --without-long   Leave out the long prompts of the same seed.
  --policy=LABEL   Label of what is tried [default: copperloom].
  --output=FILE    Where to write the result as JSON.

`slowdown` offers the mix twice, with and without its long prompts.
Exit status 1 means that a request was lost or got a wrong answer.
"""

import asyncio
import dataclasses
import sys

import docopt
import msgspec

from copperloom import exception, settings
from copperloom.experiments import (
    arrivals,
    client,
    compare,
    mix,
    report,
    result,
)

__all__ = ["main", "offer"]


async def offer(
    settings_: mix.LoadSettings,
    entries: list[str],
    *,
    seed: int,
    long: bool = True,
    policy: str = "copperloom",
    check: client.Check = client.accept_any,
) -> result.Result:
    """Offers one run of a mix to entries.

    Args:
        settings_: The mix.
        entries: Addresses of entries.
        seed: Seed of the arrivals.
        long: Whether the long prompts are sent.
        policy: Label for the result.
        check: Tells what is wrong with an answer's text.
    """
    requests = arrivals.arrivals(settings_, seed=seed)
    if not long:
        requests = arrivals.without_long(requests)
    samples = await client.run(settings_, requests, entries, check=check)
    return result.Result(
        settings_.load.name,
        policy,
        seed,
        long,
        settings_.load.duration_s,
        samples,
    )


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
        print(settings.explain(mix.LoadSettings))
        return 0
    if args["compare"]:
        a, b = result.read(args["A"]), result.read(args["B"])
        print("\n".join(compare.compare(a, b)))
        return 0
    if args["report"]:
        report.write([result.read(f) for f in args["FILE"]], args["HTML"])
        return 0
    if args["show"]:
        return _show(result.read(args["FILE"][0]))
    return _offer_command(args)


def _offer_command(args: dict) -> int:
    mix_ = settings.load_or_exit(args["MIX"], mix.LoadSettings)
    if not mix_.load.entries:
        error = exception.SettingsError(f"{args['MIX']} [load] entries: empty")
        print(f"error {error.code}: {error}", file=sys.stderr)
        return settings.EXIT_BAD_SETTINGS
    seed = int(args["--seed"])
    entries = list(mix_.load.entries)
    both = args["slowdown"]
    res = asyncio.run(
        offer(
            mix_,
            entries,
            seed=seed,
            long=not args["--without-long"],
            policy=args["--policy"],
        )
    )
    if both:
        alone = asyncio.run(offer(mix_, entries, seed=seed, long=False))
        for name, value in dataclasses.asdict(
            compare.slowdown(res, alone)
        ).items():
            print(f"slowdown of short prompts, {name}: {value:.4g}")
    if args["--output"]:
        result.write(res, args["--output"])
    return _show(res)


def _show(res: result.Result) -> int:
    summary = result.summarise(res)
    print("\n".join(compare.figures(summary)))
    for sample in res.samples:
        if sample.code < 0:
            print(f"lost {sample.index} {sample.request}: {sample.problem}")
    return 1 if summary.lost else 0


if __name__ == "__main__":
    main()
