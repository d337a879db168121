"""The store returns from a copy in which a runner that has left is back."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.harness2 import system as standins

# The store is away so long after the removal, and the copy is older than it.
_LEFT_BEFORE_S = 2.3
_AWAY_S = 0.5
_WRITTEN_AGAIN_S = 1.5
_EXIT_S = 0.7


async def _traffic(system) -> None:
    parts = itertools.count(0x100000)
    for turn in itertools.count():
        for front in system.fronts:
            system.begin(system.send(front, "POST", "/admit/x", left_ms=1500))
            if turn % 3:
                continue
            headers = {
                "Copperloom-Model": "m",
                "Copperloom-Token-Counts": "4960,800",
                "Copperloom-Prompt-Prefix": f"5c1e07a2:40,{next(parts):x}:4920",
            }
            system.begin(system.send(front, "POST", "/once/x", headers=headers))
        await asyncio.sleep(0.05)


async def case(system, is_troubled: bool) -> list[str]:
    """Plays the case; returns what broke the rule."""
    for number in range(3):
        await system.add_runner(f"i-g{number}", "wuno96b")
        made = await system.add_runner(f"i-m{number}", "huvo11a")
        made.pause_s = 0.15
    system.write_routes()
    await system.start_fronts(3)
    await asyncio.sleep(1.0)
    traffic = system.begin(_traffic(system))
    await asyncio.sleep(2.0)
    backup = system.store.copy()
    await asyncio.sleep(0.3)
    leaving = [system.runners["i-g0"], system.runners["i-m0"]]
    names = [made.name for made in leaving]
    for made in leaving:
        made.is_leaving = True
        system.store.remove("servers", made.name)
    system.record(f"the entries of {names} are removed")
    await asyncio.sleep(_LEFT_BEFORE_S)
    if is_troubled:
        system.store.leave()
        system.record("the store is away")
        await asyncio.sleep(_AWAY_S)
        system.store.return_from(backup)
        system.record("the store is back from a copy, in the next era")
    else:
        await asyncio.sleep(_AWAY_S)
    await asyncio.sleep(_WRITTEN_AGAIN_S)
    for name in names:
        system.store.remove("servers", name)
    system.record(f"the removal of {names} is written again")
    await asyncio.sleep(_EXIT_S)
    for made in leaving:
        made.exit()
        system.record(f"{made.name} exits while at work on {made.lost}")
    await asyncio.sleep(1.0)
    traffic.cancel()
    await asyncio.sleep(4.0)
    for front, what, _, at in system.store.told:
        if what == "servers whole":
            system.record(f"{front} read all at {system.record.at(at)}")
    return [line for made in leaving for line in _judge(system, made)]


def _judge(system, leaving) -> list[str]:
    """Finds requests that a front sent after it had acknowledged the end."""
    told: dict[str, float] = {}
    for front, what, keys, at in system.store.told:
        if what == "servers removed" and leaving.name in keys:
            told.setdefault(front, at)
    for front, at in told.items():
        system.record(
            f"{front} got the removal of {leaving.name} at"
            f" {system.record.at(at)}"
        )
    results = {result.id: result for result in system.results}
    broken = []
    for name, path, _, _ in leaving.arrived:
        result = results[name]
        if result.front not in told:
            continue
        late_s = result.sent_at - told[result.front]
        if late_s <= standins.DRAIN_S:
            continue
        answer = result.answer
        broken.append(
            f"DRAIN {name} {path} reached {leaving.name} from {result.front},"
            f" sent {late_s:.2f} s after this front had acknowledged that it"
            f" is gone; status {answer.status},"
            f" {'complete' if answer.is_complete else 'incomplete'}"
        )
    return broken


if __name__ == "__main__":
    sys.exit(standins.run(case, pathlib.Path(__file__).with_name("record.txt")))
