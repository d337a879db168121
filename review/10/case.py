"""Instances that don't read the store miss a runner's leaving for a minute.

Nine instances, of which five read the store's tables and inform the others.
These five are killed at once and start again. In between a runner leaves
without a report: its row is removed, which the store confirms. It serves on for
a time and then exits. No request may reach it later than `drain_ms` after the
confirmation from an instance that was not killed.
"""

import asyncio
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from review.support import system  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).resolve().parent
FRONTS = 9
RUNNERS = 4
# At most 0.6 of the machines are killed at once.
MOST_KILLED = 5
# Moments in seconds after the removal of the row.
KILL_BEFORE_S = 0.05
RESTART_DELAYS_S = (0.1, 0.1, 0.4, 0.5, 0.6)
BUSY_AT_S = 3.0
EXIT_AT_S = 5.0
END_S = 8.0
# The instances that read the tables are known from their calls in this time.
OBSERVED_S = 7.0
WARM_UP_S = 2.5
# Traffic: streams of 33 events as in the sheet, about 1.2 s each; two a
# second while the runner leaves, 22 a second before and after.
QUIET_GAP_S = 0.5
BUSY_GAP_S = 0.045
EVENTS = 33
EVENT_GAP_S = 0.036
PROMPT_TOKENS = 5000
# Requests that were sent about the bound don't count.
MARGIN_S = 0.2


class Traffic:
    """The callers: which instances they use, and how often."""

    def __init__(self, world: system.World):
        self.world = world
        self.fronts = list(world.fronts)
        self.gap_s = QUIET_GAP_S
        self.stop = False
        self.sent_by: dict[str, int] = {}

    async def run(self) -> None:
        """Sends requests to all ready instances in turn."""
        calls = set()
        number = 0
        while not self.stop:
            front = self.fronts[number % len(self.fronts)]
            calls.add(asyncio.ensure_future(self._call(front)))
            number += 1
            await asyncio.sleep(self.gap_s)
        await asyncio.gather(*calls)

    async def _call(self, front: system.Front) -> None:
        answer = await self.world.call(
            front, "/check/x", wait_s=10.0, tokens=PROMPT_TOKENS
        )
        self.sent_by[answer.name] = front.number


async def _restart(
    world: system.World, front: system.Front, delay_s: float
) -> None:
    """Restarts a killed instance, as the platform does."""
    await front.process.wait()
    await asyncio.sleep(delay_s)
    await world.start_front(front)


def _readers(world: system.World) -> list[system.Front]:
    """Returns the instances that read the table of runners."""
    since = world.now() - OBSERVED_S
    hosts = {
        instance
        for at, instance, table, _ in world.reads
        if table == "servers" and at > since
    }
    return [f for f in world.fronts if f.store.partition(":")[0] in hosts]


async def _play(world: system.World) -> bool:
    document = system.desired_state(
        1, [system.route("/check/", "copperloom-desk", "streaming")]
    )
    await world.open(FRONTS, document)
    for number in range(RUNNERS):
        runner = await world.add_runner(f"desk-{number}", "copperloom-desk")
        runner.events = EVENTS
        runner.pause_s = EVENT_GAP_S
    await world.start_fronts()
    traffic = Traffic(world)
    callers = asyncio.ensure_future(traffic.run())
    traffic.gap_s = BUSY_GAP_S
    await asyncio.sleep(WARM_UP_S)
    traffic.gap_s = QUIET_GAP_S
    await asyncio.sleep(OBSERVED_S)
    readers = _readers(world)
    calm = [f for f in world.fronts if f not in readers]
    world.note(f"readers of the tables: {[f.number for f in readers]}")
    if len(readers) > MOST_KILLED:
        raise RuntimeError("more instances read the tables than may be killed")
    # Idle while there is little traffic, used soon when there is more.
    leaving = sorted(
        world.targets, key=lambda name: (-len(world.targets[name].seen), name)
    )[1]
    starts = []
    if TROUBLE:
        traffic.fronts = calm
        for front in readers:
            front.process.kill()
        world.note("the readers are killed")
        delays_s = RESTART_DELAYS_S[: len(readers)]
        starts = [
            asyncio.ensure_future(_restart(world, front, delay_s))
            for front, delay_s in zip(readers, delays_s, strict=True)
        ]
        await asyncio.sleep(KILL_BEFORE_S)
    world.store.remove("servers", leaving)
    world.targets[leaving].draining = "1"
    left_at = world.now()
    world.note(f"{leaving} leaves, which the store confirms")
    await asyncio.gather(*starts)
    world.note("the killed instances were started again")
    await asyncio.sleep(max(0.0, left_at + BUSY_AT_S - world.now()))
    ready = [f for f in world.fronts if await world.is_ready(f)]
    world.note(f"ready: {[f.number for f in ready]}")
    traffic.fronts = ready
    traffic.gap_s = BUSY_GAP_S
    await asyncio.sleep(max(0.0, left_at + EXIT_AT_S - world.now()))
    running = world.targets[leaving].running
    world.note(f"{leaving} exits, with {running} requests in progress")
    await world.targets[leaving].close()
    await asyncio.sleep(max(0.0, left_at + END_S - world.now()))
    traffic.stop = True
    await callers
    return _judge(world, traffic, leaving, left_at, {f.number for f in calm})


def _is_whole(answer: system.Answer) -> bool:
    return answer.status == 200 and answer.body.count(b"id: ") == EVENTS


def _judge(world, traffic: Traffic, leaving: str, left_at: float, calm) -> bool:
    answers = {answer.name: answer for answer in world.answers}
    for name, answer in answers.items():
        world.note(
            f"{name} to {traffic.sent_by[name]} sent {answer.sent_at:.3f} ended"
            f" {answer.ended_at:.3f} status {answer.status}"
            f" whole {_is_whole(answer)}"
        )
    bound = left_at + system.DRAIN_S + MARGIN_S
    broken = False
    for name, target in world.targets.items():
        for seen in target.seen:
            at = seen.at - world.began_at
            world.note(f"{name} got {seen.id} at {at:.3f} ran={seen.ran}")
            answer = answers[seen.id]
            is_late = seen.ran and answer.sent_at > bound
            if name == leaving and is_late and traffic.sent_by[seen.id] in calm:
                broken = True
                world.note(
                    f"BROKEN: {seen.id} ran on {name} {at - left_at:.3f} s"
                    " after its leaving was confirmed, sent by instance"
                    f" {traffic.sent_by[seen.id]}, answer whole:"
                    f" {_is_whole(answer)}"
                )
    return broken


async def _main() -> int:
    world = system.World()
    try:
        async with asyncio.timeout(100):
            result = 1 if await _play(world) else 0
    except Exception as error:
        world.note(f"the case couldn't run: {error!r}")
        result = 2
    finally:
        world.note(f"trouble={TROUBLE}")
        (FOLDER / "record.txt").write_text("\n".join(world.lines) + "\n")
        await world.close()
    return result


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
