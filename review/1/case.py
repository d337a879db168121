"""A desired state confirmed just after a drill never comes into force."""

import asyncio
import os
import pathlib
import time

from review.standins import case, runner, store, system

KEYS = {"lounge": ["key-lounge"], "partner": ["key-partner"]}
AWAY_S = 1.0
# When requests are sent, counted from the confirmation: later than the
# daemons are in touch again, than config_ms and than outer_ms.
ASKED_S = (10.0, 16.0, 22.0)


def _state(version: int, *, is_new: bool) -> dict:
    """Version 4 moves a route, adds one and takes a tenant's key away."""
    routes = [system.route("status", "gate-new" if is_new else "gate-old")]
    if is_new:
        routes.append(system.route("added", "gate-new"))
    routes.append(system.route("fixed", "gate-old", timeout_ms=7000 + version))
    keys = dict(KEYS)
    if is_new:
        keys["partner"] = []
    return system.desired_state(version, routes, ("gate-old", "gate-new"), keys)


async def play(record: case.Record) -> None:
    """Plays the drill and asks all daemons afterwards."""
    table = store.Store()
    await table.open()
    runners = [
        runner.Runner(f"i-{service}-{n}", f"gate-{service}", zone)
        for service in ("old", "new")
        for n, zone in enumerate(("hala-a", "hala-b"))
    ]
    for one in runners:
        await one.open()
        table.write(("servers", one.name, one.entry()))
    table.write(("op", "config", _state(1, is_new=False)))
    daemons = system.System(["hala-a", "hala-b", "hala-a"], table.address)
    try:
        await daemons.start_all()
        await asyncio.sleep(4.0)
        await _change(record, table, runners)
        await _ask_all(record, daemons, time.monotonic())
        record.note_arrivals(runners)
        for line in daemons.logged("store_", "routes_adopted", "table_read"):
            record.note(line[:200])
    finally:
        await daemons.end()


async def _change(record, table: store.Store, runners) -> None:
    backup = table.copy()
    record.note(f"copy of the store taken at version {backup.version}")
    for version in (2, 3):
        at = table.write(("op", "config", _state(version, is_new=False)))
        record.note(f"desired state {version} confirmed at {at}")
        await asyncio.sleep(1.0)
    if record.has_trouble:
        table.leave()
        record.note("drill: the store is away")
        await asyncio.sleep(AWAY_S)
        table.return_from(backup)
        # What the operator wrote is written again; the runners' entries are
        # in the copy. The operator's next change has waited for the store.
        at = table.write(("op", "config", _state(3, is_new=False)))
        record.note(f"drill: back with era {table.era}; state 3 again at {at}")
    at = table.write(("op", "config", _state(4, is_new=True)))
    record.note(f"desired state 4 confirmed at {at}")


async def _ask_all(record, daemons: system.System, since: float) -> None:
    for after_s in ASKED_S:
        await asyncio.sleep(max(0.0, since + after_s - time.monotonic()))
        for daemon in daemons.daemons:
            tag = f"{daemon.name}-{after_s:.0f}"
            moved = await system.ask(
                daemon, "/status/1", "key-lounge", f"{tag}-moved"
            )
            added = await system.ask(
                daemon, "/added/1", "key-lounge", f"{tag}-added"
            )
            taken = await system.ask(
                daemon, "/status/2", "key-partner", f"{tag}-taken"
            )
            fixed = await system.ask(
                daemon, "/fixed/1", "key-lounge", f"{tag}-fixed"
            )
            _check(record, tag, moved, added, taken, fixed)


def _check(record, tag, moved, added, taken, fixed) -> None:
    answers = {
        "moved": moved,
        "added": added,
        "key taken away": taken,
        "unchanged": fixed,
    }
    for name, reply in answers.items():
        text = "no answer" if reply is None else f"{reply.status} {reply.body}"
        record.note(f"{tag} {name}: {text}")
    if moved is not None and moved.body.startswith(b"gate-old"):
        record.breach(f"{tag}: the moved route is run by its old service")
    if added is not None and added.status == 404:
        record.breach(f"{tag}: 404 for the route that was added")
    if taken is not None and taken.status == 200:
        record.breach(f"{tag}: a request runs with the key taken away")
    if fixed is None or fixed.status != 200:
        raise RuntimeError(f"{tag}: the unchanged route isn't served")


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    trouble = os.environ.get("TROUBLE", "1")
    case.main(play, str(folder / "record.txt"), trouble)
