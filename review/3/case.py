"""After a drill, the evacuation of a zone is never obeyed."""

import asyncio
import os
import pathlib
import time

from review.standins import case, runner, store, system

ZONES = ("bag-a", "bag-b")
AWAY_S = 1.0
EVAC_S = 5.0
# Bounds of the site, where they differ from those of the smallest one.
BOUNDS = {
    "stability_window_ms": 4000,
    "ack_ms": 6000,
    "catch_up_s": 6,
    "drain_ms": 3000,
    "config_ms": 3000,
    "outer_ms": 6000,
    "budget_slack": 240,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 15,
    "pass_ms": 200,
}
# Beyond the 4 s after which the store counts as stable again.
CALM_S = 6.0
# How long requests are sent after the bound has passed.
SENT_S = 6.0
ROW = "evacuate/bag-b"


async def play(record: case.Record) -> None:
    """Evacuates a zone, takes it back, drills, and evacuates it again."""
    table = store.Store()
    await table.open()
    runners = [
        runner.Runner(f"i-{zone}-{n}", "gate", zone)
        for zone in ZONES
        for n in range(2)
    ]
    for one in runners:
        await one.open()
        table.write(("servers", one.name, one.entry()))
    state = system.desired_state(
        1, [system.route("status", "gate")], ("gate",), {"lounge": ["key"]}
    )
    table.write(("op", "config", state))
    daemons = system.System(
        ["bag-a", "bag-b", "bag-c"], table.address, **BOUNDS
    )
    try:
        await daemons.start_all()
        await asyncio.sleep(4.0)
        await _first(record, table, daemons)
        evacuated_at = await _again(record, table, daemons)
        _check(record, runners, evacuated_at)
        record.note_arrivals(runners)
        for line in daemons.logged("store_", "evacuation_"):
            record.note(line[:200])
    finally:
        await daemons.end()


async def _first(record, table: store.Store, daemons) -> None:
    backup = table.copy()
    record.note(f"copy of the store taken at version {backup.version}")
    at = table.write(("op", ROW, {}))
    record.note(f"first evacuation confirmed at {at}")
    await asyncio.sleep(2.0)
    at = table.write(("op", ROW, None))
    record.note(f"first evacuation taken back at {at}")
    await asyncio.sleep(1.0)
    if record.has_trouble:
        table.leave()
        record.note("drill: the store is away")
        await asyncio.sleep(AWAY_S)
        table.return_from(backup)
        # All rows that the operator and the runners hold are in the copy.
        record.note(
            f"drill: back with era {table.era} at version "
            f"{table.content.version}"
        )
    await _send(record, daemons, CALM_S, "calm")


async def _again(record, table: store.Store, daemons) -> float:
    at = table.write(("op", ROW, {}))
    evacuated_at = time.monotonic()
    record.note(f"second evacuation confirmed at {at}")
    await _send(record, daemons, EVAC_S + SENT_S, "evacuated")
    return evacuated_at


async def _send(
    record, daemons: system.System, seconds: float, name: str
) -> None:
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        for daemon in daemons.daemons:
            number += 1
            tag = f"{daemon.name}-{name}-{number}"
            reply = await system.ask(daemon, f"/status/{number}", "key", tag)
            if reply is None or reply.status != 200:
                raise RuntimeError(f"{tag}: {reply}")
            record.note(f"{tag}: {reply.status}")
        await asyncio.sleep(0.1)


def _check(record, runners, evacuated_at: float) -> None:
    counts = {}
    for one in runners:
        for arrival in one.arrivals:
            late_s = arrival.at - evacuated_at
            is_late = late_s > EVAC_S and arrival.ran
            if is_late and one.zone == "bag-b":
                record.breach(
                    f"{arrival.id} reached {one.name} {late_s:.2f} s after "
                    "the evacuation of its zone was confirmed",
                    arrival.at,
                )
            key = (one.zone, late_s > EVAC_S)
            counts[key] = counts.get(key, 0) + 1
    for (zone, is_late), number in sorted(counts.items()):
        when = "after the bound" if is_late else "before it"
        record.note(f"{number} requests reached {zone} {when}")


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    trouble = os.environ.get("TROUBLE", "1")
    case.main(play, str(folder / "record.txt"), trouble)
