"""The loss of the daemons that read the store delays a desired state."""

import asyncio
import os
import pathlib
import signal
import time

from review.standins import case, runner, store, system

# Nine machines, as the first sheet has.
ZONES = ["hala-a"] * 3 + ["hala-b"] * 4 + ["miasto"] * 2
# Share of the machines that lose power, and for how long.
SHARE = 0.55
DARK_S = 3.5
CONFIG_S = 2.0
# When the change is confirmed, counted from the loss of power.
CHANGED_S = 0.05
ASKED_UNTIL_S = 4.5
STEP_S = 0.04


def _state(version: int, keys: list[str]) -> dict:
    routes = [system.route("status", "gate")]
    tenants = {"lounge": ["key-lounge"], "partner": keys}
    return system.desired_state(version, routes, ("gate",), tenants)


async def play(record: case.Record) -> None:
    """Kills the daemons with open feeds, and takes a key away."""
    table = store.Store()
    await table.open()
    runners = [runner.Runner(f"i-{z}", "gate", z) for z in sorted(set(ZONES))]
    for one in runners:
        await one.open()
        table.write(("servers", one.name, one.entry()))
    table.write(("op", "config", _state(1, ["key-partner"])))
    daemons = system.System(ZONES, table.address)
    for daemon in daemons.daemons:
        daemons.store_of[daemon.name] = await table.open_for(daemon.name)
    try:
        await daemons.start_all()
        await asyncio.sleep(5.0)
        await _lose_and_change(record, table, daemons)
        record.note_arrivals(runners)
        for line in daemons.logged("routes_adopted", "table_read"):
            record.note(line[:200])
    finally:
        await daemons.end()


async def _lose_and_change(record, table: store.Store, daemons) -> None:
    # Requests that show each daemon's state before the change.
    for daemon in daemons.daemons:
        reply = await system.ask(daemon, "/status/0", "key-partner", "before")
        if reply is None or reply.status != 200:
            raise RuntimeError(f"{daemon.name}: {reply}")
    reading = [d for d in daemons.daemons if table.feeds[d.name]]
    record.note(f"daemons with open feeds: {[d.name for d in reading]}")
    most = int(SHARE * len(daemons.daemons) + 0.5)
    killed = reading[:most]
    if record.has_trouble:
        for daemon in killed:
            daemon.process.send_signal(signal.SIGKILL)
        record.note(f"killed, dark for {DARK_S} s: {[d.name for d in killed]}")
    lost_at = time.monotonic()
    calm = [d for d in daemons.daemons if d not in killed]
    await asyncio.sleep(CHANGED_S)
    at = table.write(("op", "config", _state(2, [])))
    confirmed_at = time.monotonic()
    record.note(f"the key is taken away, confirmed at {at}")
    asks = [
        asyncio.ensure_future(_ask(record, daemon, confirmed_at))
        for daemon in calm
    ]
    await asyncio.sleep(max(0.0, lost_at + DARK_S - time.monotonic()))
    if record.has_trouble:
        for daemon in killed:
            await daemon.process.wait()
            await daemons.start(daemon, is_first=False)
        record.note("the killed daemons start again")
    await asyncio.gather(*asks)


async def _ask(record, daemon: system.Daemon, confirmed_at: float) -> None:
    """Asks a daemon that was left alone, until some time after the change."""
    number = 0
    while (sent_s := time.monotonic() - confirmed_at) < ASKED_UNTIL_S:
        number += 1
        tag = f"{daemon.name}-{number}"
        reply = await system.ask(
            daemon, f"/status/{number}", "key-partner", tag
        )
        status = 0 if reply is None else reply.status
        text = f"{tag}: {status}, sent {sent_s:.2f} s after the confirmation"
        if status == 200 and sent_s > CONFIG_S:
            record.breach(text)
        else:
            record.note(text)
        await asyncio.sleep(STEP_S)


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    trouble = os.environ.get("TROUBLE", "1")
    case.main(play, str(folder / "record.txt"), trouble)
