"""A server error makes a request that crashes runners start over.

A request crashes each runner that begins to run it and comes again. After its
second crash, one runner of seven is in trouble: it answers some requests with a
sealed 500, among them this one. It may reach runners in three retries that are
sent later than `stability_window_ms` after its third crash.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "9"), str(FOLDER.parents[1])]

import system  # noqa: E402
from aiohttp import web  # noqa: E402

from copperloom.platform.standins import target as target_standin  # noqa: E402
from copperloom.platform.standins import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONTS = 3
RUNNERS = 7
BACK_S = 2.0
GREY_S = 6.5
# With the repeats of the request it stays below .45.
OTHERS_FAIL_SHARE = 0.1
STABILITY_S = 3.0
MOST_RETRIES = 3
CRASHES_BEFORE = 2
# The requester asks each instance in turn, with the same path, key and body.
REPEAT_GAP_S = 3.5
# The other callers: once-only requests of 90 ms, as in the sheet; few at first.
OTHERS_GAP_S = 0.25
BUSY_GAP_S = 0.03
BUSY_AFTER_CRASHES = 5
WORK_S = 0.09
END_S = 46.0
CRASHING = b'{"admit": "pass 51"}'


class Play:
    """The progress of one play.

    Attributes:
        world: The deployment.
        crashes: Moments at which the request crashed a runner, and the runner.
        sent: When each repeat of the request was sent, and to which instance.
        touch_from: Moment from which each instance is in touch.
        is_over: Whether callers stop.
        others: Answers to the requests of other callers.
        grey: Name of the runner in trouble; "" for none.
        grey_requests: Requests that it got.
        grey_failed: Requests that it answered with a 500.
        failed: Repeats of the request that it answered so, and when.
    """

    def __init__(self, world: system.World):
        self.world = world
        self.crashes: list[tuple[float, str]] = []
        self.sent: dict[str, tuple[float, int]] = {}
        self.touch_from = dict.fromkeys(range(FRONTS), 0.0)
        self.is_over = False
        self.others: list[system.Answer] = []
        self.grey = ""
        self.grey_requests = 0
        self.grey_failed = 0
        self.failed: list[tuple[str, float]] = []

    def crash(self, name: str) -> None:
        """Records a crash."""
        self.crashes.append((self.world.now(), name))
        self.world.note(f"{name} crashes, the {len(self.crashes)}. time")

    async def repeat(self) -> None:
        """Sends the request again and again, at each instance in turn."""
        number = 0
        while not self.is_over:
            front = self.world.fronts[number % FRONTS]
            number += 1
            sent_at = self.world.now()
            answer = await self.world.call(
                front, "/door/x", wait_s=1.5, body=CRASHING
            )
            self.sent[answer.name] = (sent_at, front.number)
            await asyncio.sleep(REPEAT_GAP_S)

    async def send_others(self) -> None:
        """Sends the requests of other callers."""
        calls = set()
        number = 0
        while not self.is_over:
            front = self.world.fronts[number % FRONTS]
            number += 1
            body = f'{{"admit": "pass {number + 1000}"}}'.encode()
            call = self.world.call(front, "/door/y", wait_s=1.5, body=body)
            calls.add(asyncio.ensure_future(call))
            is_busy = len(self.crashes) >= BUSY_AFTER_CRASHES
            await asyncio.sleep(BUSY_GAP_S if is_busy else OTHERS_GAP_S)
        self.others = [await call for call in calls]


async def _trouble(play: Play) -> None:
    """Has the runner that is used most fail a part of its requests."""
    world = play.world
    up = {n: t for n, t in world.targets.items() if t.runner is not None}
    play.grey = max(up, key=lambda name: len(up[name].seen))
    world.note(f"{play.grey} fails a part of its requests from now on")
    await asyncio.sleep(GREY_S)
    world.note(
        f"{play.grey} is well again: {play.grey_failed} of"
        f" {play.grey_requests} requests failed"
    )
    play.grey = ""


def _answer_for(play: Play) -> None:
    """Has the runner in trouble answer some requests with a sealed 500."""
    handle = target_standin._handle

    async def answer(target, request):
        name = request.headers.get(wire.REQUEST, "")
        if target.name != play.grey or not name:
            return await handle(target, request)
        body = await request.read()
        play.grey_requests += 1
        share = (play.grey_failed + 1) / (play.grey_requests + 1)
        if body != CRASHING and share > OTHERS_FAIL_SHARE:
            return await handle(target, request)
        play.grey_failed += 1
        world = play.world
        world.note(f"{target.name} answers 500 to {name}")
        if body == CRASHING:
            play.failed.append((name, world.now()))
        headers = {wire.REQUEST: name, wire.SEAL: f"s.{name}"}
        return web.Response(status=500, headers=headers, body=b"failed")

    target_standin._handle = answer


async def _add_runners(play: Play) -> None:
    world = play.world
    for number in range(RUNNERS):
        name = f"gate-{number}"
        runner = await world.add_runner(name, "lounge-gate")
        runner.pause_s = WORK_S
        runner.restart_after_s = BACK_S
        runner.crashes_on = lambda received: received.body == CRASHING
        runner.on_crash = lambda target: play.crash(target.name)
        runner.on_restart = lambda target: world.register(target.name)


async def _play(world: system.World) -> bool:
    play = Play(world)
    _answer_for(play)
    route = system.route(
        "/door/", "lounge-gate", "non_idempotent", max_attempts=1
    )
    await world.open(FRONTS, system.desired_state(1, [route]))
    await _add_runners(play)
    await world.start_fronts()
    began_at = world.now()
    others = asyncio.ensure_future(play.send_others())
    repeats = asyncio.ensure_future(play.repeat())
    while len(play.crashes) < CRASHES_BEFORE:
        await asyncio.sleep(0.02)
    trouble = None
    if TROUBLE:
        trouble = asyncio.ensure_future(_trouble(play))
    await asyncio.sleep(max(0.0, began_at + END_S - world.now()))
    play.is_over = True
    await asyncio.gather(others, repeats)
    if trouble is not None:
        await trouble
    return _judge(play)


def _judge(play: Play) -> bool:
    world = play.world
    for name, (sent_at, front) in play.sent.items():
        answer = next(a for a in world.answers if a.name == name)
        world.note(
            f"{name} sent to {front} at {sent_at:.3f} status {answer.status}"
        )
    late = []
    for name, target in world.targets.items():
        for seen in target.seen:
            if seen.body != CRASHING:
                continue
            sent_at, front = play.sent[seen.id]
            world.note(f"{seen.id} reached {name}, sent at {sent_at:.3f}")
            is_in_touch = sent_at > play.touch_from[front]
            third_at = play.crashes[2][0] if len(play.crashes) > 2 else None
            if third_at is None or not is_in_touch:
                continue
            if sent_at > third_at + STABILITY_S:
                late.append(seen.id)
    lost = [a for a in play.others if a.status not in (200, 429, 503)]
    for answer in lost:
        world.note(
            f"other request {answer.name} lost at {answer.ended_at:.3f},"
            f" status {answer.status}"
        )
    world.note(f"late retries that reached runners: {len(late)} {late}")
    world.note(f"other requests: {len(play.others)}, lost: {len(lost)}")
    if len(late) > MOST_RETRIES:
        world.note("BROKEN")
    return len(late) > MOST_RETRIES


async def _main() -> int:
    world = system.World()
    try:
        async with asyncio.timeout(110):
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
