"""Measures the slopes that docs/CAPACITY.md works from, and prints them.

Usage:
  capacity [--entries=LIST]
  capacity --configuration
  capacity -h | --help

Options:
  --entries=LIST   Numbers of entries for the spread of changes
                   [default: 9,30,100].
  --configuration  Only what needs no sockets.

All runs in this process, on loopback. Costs of requests and tokens, which
need an entry in a process of its own, are measured by
`python -m copperloom.experiments.tests.relay`.
"""

import asyncio
import time
from collections.abc import Iterable

import docopt

from copperloom import logs
from copperloom.experiments import control, sizes, slopes, spread, wire

__all__ = ["main"]


def main(argv: list[str] | None = None) -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__, argv)
    logs.setup("ERROR")
    begin = time.monotonic()
    size = sizes.DESIGN
    _show("Configuration", slopes.change_figures(size))
    _show("Memory", slopes.memory_figures(size))
    _show("Snapshot", slopes.snapshot_figures(size))
    _show("Digests", slopes.digest_figures())
    _show("Controllers", control.controller_figures(size))
    if not args["--configuration"]:
        _measure_wire()
        for entries in args["--entries"].split(","):
            _show("Spread", asyncio.run(spread.spread_figures(int(entries))))
    print(f"took {time.monotonic() - begin:.0f} s")


def _measure_wire() -> None:
    _show("Peers", asyncio.run(wire.exchange_figures()))
    _show("Platform", asyncio.run(wire.platform_figures()))
    _show("Records", asyncio.run(wire.record_figures()))


def _show(title: str, figures: Iterable[slopes.Figure]) -> None:
    print(f"\n{title}")
    for figure in figures:
        print(f"  {figure.name:56}{figure.value:14.6g} {figure.unit}")


if __name__ == "__main__":
    main()
