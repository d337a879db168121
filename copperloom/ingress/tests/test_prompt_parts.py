"""Tests that a part of prompts that crashes its targets is quarantined."""

import asyncio
import itertools
import unittest

from copperloom.decisions import request_digest
from copperloom.ingress.tests import fixtures
from copperloom.platform import catalog
from copperloom.platform.standins import crashes, wire
from copperloom.platform.standins import target as target_standin

_GUILTY = "bad1"
# A sound part that all requests of the route share.
_SHARED = "5c1e"
_STABILITY_WINDOW_S = 3.0
_CRASHES = 5
# Requests with the part that may still reach targets after the window.
_MAX_SENDS = 3
_INTERVAL_S = 0.03
_MEASURED_S = 3.0
# Sound requests begin at least so often, relative to the time before.
_MIN_SHARE = 0.5
# Result code of requests that are refused for a part of their prompts.
_CODE = "3012"
_names = itertools.count(1)


def parts_header(*parts: str) -> dict[str, str]:
    """Returns the header of a prompt with these parts and one of its own."""
    own = f"f{next(_names):x}"
    return {wire.PARTS: ",".join(f"{p}:100" for p in (*parts, own))}


async def start(case, **sizes) -> fixtures.System:
    """Starts a system whose targets crash as they begin to write on a part."""
    system = await fixtures.start_system(
        case, **({"engines": 8, "plain": 1, "fronts": 3} | sizes)
    )
    for target in system.targets.values():
        target.crashes_on = lambda r: crashes.has_part(r, _GUILTY)
        target.restart_after_s = 0.5
        target.renamed = True
        target.pause_s = 0.02
    return system


def received(system) -> list[float]:
    """Returns when targets received requests with the part."""
    return sorted(
        r.at
        for t in system.targets.values()
        for r in t.seen
        if crashes.has_part(r, _GUILTY)
    )


def crashed_at(system) -> list[float]:
    """Returns when targets crashed."""
    return sorted(r.at for t in system.targets.values() for r in t.crashed_by)


async def call(system, *parts: str, number: int = 0) -> fixtures.Answer:
    """Sends a stream with a prompt of these parts; no two are alike."""
    return await fixtures.call(
        system,
        "/chat/x",
        prompt=4000,
        number=number,
        body=f"body {next(_names)}".encode(),
        headers=parts_header(*parts),
    )


async def call_often(
    system, seconds: float, *prompts: tuple[str, ...]
) -> dict[tuple[str, ...], list[fixtures.Answer]]:
    """Sends streams with these prompts to all instances in turn."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = {prompt: [] for prompt in prompts}
    for turn in itertools.count():
        if loop.time() >= end:
            break
        prompt = prompts[turn % len(prompts)]
        number = turn // len(prompts) % len(system.fronts)
        sent = call(system, *prompt, number=number)
        tasks[prompt].append(asyncio.ensure_future(sent))
        await asyncio.sleep(_INTERVAL_S)
    return {p: await asyncio.gather(*sent) for p, sent in tasks.items()}


def share(answers: list[fixtures.Answer]) -> float:
    """Returns the share of the answers that are whole successes."""
    return sum(a.status == 200 and a.complete for a in answers) / len(answers)


class CrashingPartTest(unittest.IsolatedAsyncioTestCase):
    async def _check(self, guilty: tuple[str, ...], **sizes) -> None:
        system = await start(self, **sizes)
        sound = (_SHARED, "abc1")
        before = await call_often(system, 1.0, sound)
        begin = asyncio.ensure_future(
            call_often(system, 2 * _STABILITY_WINDOW_S + 1.0, sound, guilty)
        )
        await fixtures.until(lambda: len(crashed_at(system)) >= _CRASHES)
        await begin
        answers = await call_often(system, _MEASURED_S, sound, guilty)
        fifth = crashed_at(system)[_CRASHES - 1]
        late = [t for t in received(system) if t > fifth + _STABILITY_WINDOW_S]
        self.assertLessEqual(len(late), _MAX_SENDS)
        least = _MIN_SHARE * share(before[sound])
        self.assertGreaterEqual(share(answers[sound]), least)
        for answer in answers[guilty]:
            if answer.status == 503:
                self.assertGreaterEqual(
                    float(answer.headers["Retry-After"]), 1.0
                )

    async def test_first_part(self):
        """Guards against requests that differ but for the first part."""
        await self._check((_GUILTY, _SHARED))

    async def test_middle_part(self):
        """Guards against a sound first part that hides the guilty one."""
        await self._check((_SHARED, _GUILTY, "abc2"))


class VictimTest(unittest.IsolatedAsyncioTestCase):
    async def _repeat(self, system, number: int) -> None:
        """Sends a sound prompt until it is served, as callers do."""
        request = {
            "prompt": 4000,
            "body": f"victim {number}".encode(),
            "headers": parts_header(_SHARED, f"abc{number % 3}"),
        }
        for attempt in range(4):
            answer = await fixtures.call(
                system,
                "/chat/x",
                number=(number + attempt) % len(system.fronts),
                **request,
            )
            if answer.status == 200 and answer.complete:
                return
            await asyncio.sleep(0.05)

    async def test_victims_that_are_sent_again(self):
        """Guards against sound repeats that hide the part beside them."""
        system = await start(self, engines=10, fronts=4)
        for target in system.targets.values():
            target.pause_s = 0.1
        loop = asyncio.get_running_loop()
        end = loop.time() + 3 * _STABILITY_WINDOW_S
        tasks = []
        while loop.time() < end:
            number = len(tasks)
            sent = self._repeat(system, number)
            if number % 10 == 0:
                sent = call(
                    system, _SHARED, _GUILTY, number=number % len(system.fronts)
                )
            tasks.append(asyncio.ensure_future(sent))
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.gather(*tasks)
        crashed = crashed_at(system)
        fifth = crashed[_CRASHES - 1] if len(crashed) >= _CRASHES else end
        late = [t for t in received(system) if t > fifth + _STABILITY_WINDOW_S]
        self.assertLessEqual(len(late), _MAX_SENDS)


class SpreadTest(unittest.IsolatedAsyncioTestCase):
    async def _crash_until_known(self, system) -> None:
        while len(crashed_at(system)) < _CRASHES:
            number = len(crashed_at(system)) % len(system.fronts)
            await call(system, _SHARED, _GUILTY, number=number)
            if len(received(system)) > 2 * _CRASHES:
                break
            answer = await call(system, _SHARED, _GUILTY, number=number)
            if answer.status == 503:
                break
        await call(system, _SHARED, "abc1")

    async def _check_known(self, system, number: int) -> None:
        """Checks that at most the first trial of the part is sent."""
        sent = len(received(system))
        codes = []
        for _ in range(5):
            answer = await call(system, _SHARED, _GUILTY, number=number)
            codes.append(answer.headers.get("Copperloom-Error"))
        self.assertGreaterEqual(codes.count(_CODE), 4, codes)
        self.assertLessEqual(len(received(system)), sent + 1)

    async def test_instance_that_starts_knows_the_part(self):
        """Guards against crashes through an instance that has just started."""
        system = await start(self, fronts=2)
        await self._crash_until_known(system)
        service = await system.add_front()
        await fixtures.until(service.entry.peers_synced.is_set)
        await self._check_known(system, 2)

    async def test_part_is_known_after_the_loss_of_all_instances(self):
        """Guards against crashes after a restart of the whole system."""
        system = await start(self, fronts=2)
        await self._crash_until_known(system)
        table = catalog.QUARANTINE_TABLE
        await fixtures.until(lambda: system.store.rows.get(table))
        await system.restart_fronts()
        await fixtures.until(
            lambda: all(
                f.entry.quarantines_loaded.is_set() for f in system.fronts
            ),
            limit_s=_STABILITY_WINDOW_S,
        )
        await self._check_known(system, 0)


class SoundPartTest(unittest.IsolatedAsyncioTestCase):
    async def test_shared_part_after_many_targets_died_at_once(self):
        """Guards against refusing a whole route after a loss of power."""
        system = await start(self)
        sound = (_SHARED, "abc1")
        calls = asyncio.ensure_future(call_often(system, 3.0, sound))
        await asyncio.sleep(1.0)
        for number in range(5):
            crashes.crash(system.targets[f"engine-{number}"])
        await calls
        answers = await call_often(system, 1.0, sound)
        self.assertGreater(share(answers[sound]), 0.9)

    async def test_error_is_no_proof_that_a_part_is_sound(self):
        """Guards against an answer that a target did not write on a part."""
        system = await start(self, engines=2, fronts=1)
        await call(system, _SHARED, _GUILTY)
        entry = system.fronts[0].entry
        await fixtures.until(lambda: entry.crashes.parts)
        await asyncio.sleep(1.0)
        for target in system.targets.values():
            target.crashes_on = lambda r: False
            target.always = target_standin.Fault.FAIL
        await call(system, _GUILTY)
        digest = request_digest.part_digest(_GUILTY)
        self.assertTrue(entry.crashes.parts[digest].crashes)
