"""Measures the unit costs of the control plane and prints them.

Usage:
  capacity [--entries=LIST]
  capacity --configuration
  capacity -h | --help

Options:
  --entries=LIST   Numbers of entries for the spread of changes
                   [default: 9,30].
  --configuration  Only what needs no sockets.

Everything runs in this process, on loopback. The costs of requests and tokens
need an entry in a process of its own; `python -m bench.relay` measures them.
"""

import asyncio
import time
from collections.abc import Iterable

import docopt

from copperloom import logs
from copperloom.experiments import (
    control,
    sizes,
    slopes,
    spread,
    wire,
    worked,
)

__all__ = ["main"]


def main(argv: list[str] | None = None) -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__, argv)
    logs.setup("ERROR")
    start = time.monotonic()
    size = sizes.DESIGN
    found = _print_figures("Resident memory", control.resident_figures(size))
    found |= _print_figures("Configuration", slopes.change_figures(size))
    found |= _print_figures("Memory", slopes.memory_figures(size))
    found |= _print_figures("Snapshot", slopes.snapshot_figures(size))
    found |= _print_figures("Digests", slopes.digest_figures())
    found |= _print_figures("Controllers", control.controller_figures(size))
    if not args["--configuration"]:
        found |= _wire_figures()
        costs = _unit_costs(found, size)
        for name, fleet_size in (("design", size), ("today", sizes.TODAY)):
            _print_rows(name, worked.rows(costs, fleet_size))
        for entries in args["--entries"].split(","):
            _print_figures(
                "Spread", asyncio.run(spread.spread_figures(int(entries)))
            )
    print(f"took {time.monotonic() - start:.0f} s")


def _wire_figures() -> dict[str, float]:
    found = _print_figures("Peers", asyncio.run(wire.exchange_figures()))
    found |= _print_figures("Platform", asyncio.run(wire.platform_figures()))
    found |= _print_figures("Engines", asyncio.run(wire.report_figures()))
    return found | _print_figures("Records", asyncio.run(wire.record_figures()))


def _unit_costs(found: dict[str, float], size: sizes.Sizes) -> worked.UnitCosts:
    def both(name: str) -> tuple[float, float]:
        return (
            found[f"{name}, bytes both ways"],
            found[f"{name}, processor, both sides and proxy"],
        )

    head_bytes, head_s = both("read of the head")
    list_bytes, list_s = both("read of the instance list")
    exchange_bytes, exchange_s = both("exchange of empty digests")
    report_bytes, report_s = both("load report")
    reservation_bytes, reservation_s = both("reservation")
    return worked.UnitCosts(
        head_bytes=head_bytes,
        head_s=head_s,
        list_row_bytes=list_bytes / size.entries,
        list_s=list_s,
        change_bytes=found["change of organisation, encoded"],
        change_s=found["change of organisation, decode and apply"],
        adopt_s=found["configuration taken over by the scheduler, processor"],
        exchange_bytes=exchange_bytes,
        exchange_s=exchange_s,
        load_bytes=found["digest, a target's load"],
        report_bytes=report_bytes,
        report_s=report_s,
        owner_s=found["owners of all targets, processor"],
        reservation_bytes=reservation_bytes,
        reservation_s=reservation_s,
        record_s=found["records, processor, both sides"],
    )


def _print_rows(name: str, rows: list[worked.Row]) -> None:
    print(f"\nWorked out for one entry, size: {name}")
    print(
        f"  {'controller':18}{'what':36}{'1/s':>8}{'bytes/s':>10}"
        f"{'core %':>8}{'reads/s':>9}{'rows/s':>8}"
    )
    for row in [*rows, worked.totals(rows)]:
        print(
            f"  {row.controller:18}{row.what:36}{row.per_s:8.3g}"
            f"{row.bytes_per_s:10.0f}{row.core * 100:8.3f}"
            f"{row.reads_per_s:9.1f}{row.writes_per_s:8.1f}"
        )


def _print_figures(
    title: str, figures: Iterable[slopes.Figure]
) -> dict[str, float]:
    print(f"\n{title}")
    found = {}
    for figure in figures:
        print(f"  {figure.name:56}{figure.value:14.6g} {figure.unit}")
        found[figure.name] = figure.value
    return found


if __name__ == "__main__":
    main()
