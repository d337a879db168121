"""The fronts that watch the store are killed while a runner leaves."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.harness2 import system as standins

_FRONTS = 9
_DOWN_S = 2.0


async def _traffic(system) -> None:
    while True:
        for front in system.fronts:
            system.begin(system.send(front, "POST", "/admit/x", left_ms=1500))
        await asyncio.sleep(0.25)


async def _restart(front) -> None:
    await front.kill()
    await asyncio.sleep(_DOWN_S)
    await front.start()


async def case(system, is_troubled: bool) -> list[str]:
    """Plays the case; returns what broke the rule."""
    for number in range(3):
        await system.add_runner(f"i-g{number}", "wuno96b")
    system.write_routes()
    await system.start_fronts(_FRONTS)
    await asyncio.sleep(2.0)
    system.write_routes()
    # What the fronts have read at their start is no longer in the history.
    await asyncio.sleep(standins.HISTORY_S + 2.0)
    traffic = system.begin(_traffic(system))
    await asyncio.sleep(4.0)
    watching = [
        f for f in system.fronts if system.store.feeds[f.name, "servers"]
    ]
    system.record(f"wait for changes: {[f.name for f in watching]}")
    if is_troubled:
        for front in watching:
            system.begin(_restart(front))
        system.record(f"these are killed, and start again after {_DOWN_S} s")
        await asyncio.sleep(0.2)
    leaving = system.runners["i-g0"]
    leaving.is_leaving = True
    system.store.remove("servers", leaving.name)
    removed_at = time.monotonic()
    system.record(f"the entry of {leaving.name} is removed")
    await asyncio.sleep(4.0)
    # A later change reaches all fronts, but not the removal before it.
    await system.add_runner("i-g3", "wuno96b")
    system.record("i-g3 registers")
    await asyncio.sleep(5.0)
    leaving.exit()
    system.record(f"{leaving.name} exits while at work on {leaving.lost}")
    await asyncio.sleep(0.5)
    traffic.cancel()
    await asyncio.sleep(2.0)
    killed = {front.name for front in watching} if is_troubled else set()
    return _judge(system, leaving, removed_at, killed)


def _judge(system, leaving, removed_at: float, killed: set) -> list[str]:
    """Finds requests that fronts sent to the runner too late.

    Only the fronts that were never disturbed count, as those that acknowledge
    and as those that send.
    """
    told = []
    for front, what, keys, at in system.store.told:
        is_gone = (what == "servers removed" and leaving.name in keys) or (
            what == "servers whole" and leaving.name not in keys
        )
        if at > removed_at and is_gone:
            system.record(
                f"{front} got '{what}' at {system.record.at(at)}, by which"
                f" {leaving.name} is gone"
            )
            if front not in killed:
                told.append(at)
    if not told:
        raise standins.NotRunnableError("no undisturbed front learnt of it")
    fronts = {result.id: result.front for result in system.results}
    late = [
        (name, at - min(told))
        for name, _, _, at in leaving.arrived
        if at > min(told) + standins.DRAIN_S and fronts[name] not in killed
    ]
    return [
        f"DRAIN {name} reached {leaving.name} from {fronts[name]} {late_s:.2f}"
        " s after an undisturbed front had acknowledged that it is gone"
        for name, late_s in late
    ]


if __name__ == "__main__":
    sys.exit(standins.run(case, pathlib.Path(__file__).with_name("record.txt")))
