"""Tests that a request that crashes its targets is quarantined everywhere."""

import asyncio
import itertools
import unittest
from unittest import mock

from copperloom.cli import fronts
from copperloom.decisions import crash_evidence, quarantine
from copperloom.ingress import quarantine_rows, views
from copperloom.ingress.tests import fixtures
from copperloom.ingress.tests.kinds import Kind
from copperloom.platform import catalog
from copperloom.platform.standins import crashes
from copperloom.platform.standins.target import Fault

_CRASHING = b"crashes its targets"
# A request counts as known at all instances this long after its third crash.
_STABILITY_WINDOW_S = 3.0
_CRASHES = 3
# Retries that may still reach targets after that, over all instances.
_MAX_RETRIES = 3
_REPEAT_INTERVAL_S = 0.04
_REPEAT_S = 2.0
_PLAIN = Kind("/write/x")
_STREAM = Kind("/chat/x", prompt=4000)
# Longer than one engine should prefill alone.
_SPLIT = Kind("/chat/long", prompt=200_000)


def _crashes(request) -> bool:
    return request.body == _CRASHING


async def _start(case, **sizes):
    system = await fixtures.start_system(case, **sizes)
    for target in system.targets.values():
        target.crashes_on = _crashes
    return system


def _received(system) -> list[float]:
    """Returns when targets received the request that crashes them."""
    return sorted(
        r.at for t in system.targets.values() for r in t.seen if _crashes(r)
    )


def _crashed_at(system) -> list[float]:
    return sorted(r.at for t in system.targets.values() for r in t.crashed_by)


async def _repeat(system, path: Kind, seconds: float) -> list[fixtures.Answer]:
    """Repeats the request at all instances in turn."""
    return await fixtures.call_often(
        system,
        path.path,
        seconds,
        _REPEAT_INTERVAL_S,
        method=path.method,
        prompt=path.prompt,
        body=_CRASHING,
    )


async def _repeat_past_window(system, path: Kind) -> list[fixtures.Answer]:
    """Repeats the request until after the window; returns the last answers."""
    loop = asyncio.get_running_loop()
    repeats = asyncio.ensure_future(_repeat(system, path, _STABILITY_WINDOW_S))
    await fixtures.until(lambda: len(_crashed_at(system)) >= _CRASHES)
    await repeats
    third = _crashed_at(system)[_CRASHES - 1]
    await asyncio.sleep(max(0.0, third + _STABILITY_WINDOW_S - loop.time()))
    return await _repeat(system, path, _REPEAT_S)


class RepeatedCrashTest(unittest.IsolatedAsyncioTestCase):
    def _check_retries(self, system) -> None:
        third = _crashed_at(system)[_CRASHES - 1]
        late = [
            at for at in _received(system) if at > third + _STABILITY_WINDOW_S
        ]
        self.assertLessEqual(len(late), _MAX_RETRIES)

    def _check_answers(self, answers: list[fixtures.Answer]) -> None:
        """Checks that all are refused but those of the allowed retries."""
        refused = [a for a in answers if a.status == 503]
        self.assertGreaterEqual(len(refused), len(answers) - _MAX_RETRIES)
        for answer in refused:
            self.assertGreater(float(answer.headers["Retry-After"]), 0)

    async def test_plain_request(self):
        """Guards against repeats, each with a new id, at any instance."""
        system = await _start(self, engines=1, plain=5, fronts=3)
        answers = await _repeat_past_window(system, _PLAIN)
        self._check_retries(system)
        self._check_answers(answers)

    async def test_stream(self):
        """Guards against repeats of a stream that crashes its engines."""
        system = await _start(self, engines=5, plain=1, fronts=3)
        answers = await _repeat_past_window(system, _STREAM)
        self._check_retries(system)
        self._check_answers(answers)

    async def test_prompt_in_parts(self):
        """Guards against repeats of a prompt that several engines prefill."""
        system = await _start(self, engines=6, plain=1, fronts=2)
        answers = await _repeat_past_window(system, _SPLIT)
        self._check_retries(system)
        self._check_answers(answers)

    async def test_server_error_between_crashes(self):
        """Guards against a target's failure that voids the evidence."""
        system = await _start(self, engines=1, plain=4, fronts=2)
        while len(_crashed_at(system)) < _CRASHES - 1:
            await fixtures.call(system, _PLAIN.path, body=_CRASHING)
        for target in system.targets.values():
            target.crashes_on = lambda request: False
            target.always = Fault.FAIL
        answer = await fixtures.call(system, _PLAIN.path, body=_CRASHING)
        self.assertEqual(answer.status, 500)
        for target in system.targets.values():
            target.crashes_on = _crashes
            target.always = None
        await _crash_three(system)
        sent = len(_received(system))
        answer = await fixtures.call(system, _PLAIN.path, body=_CRASHING)
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(_received(system)), sent)

    async def test_targets_restart_under_their_old_name(self):
        system = await _start(self, engines=1, plain=3, fronts=3)
        for target in system.targets.values():
            target.restart_after_s = 0.1
        await _repeat_past_window(system, _PLAIN)
        self._check_retries(system)

    async def test_targets_restart_under_a_new_name(self):
        system = await _start(self, engines=1, plain=3, fronts=3)
        for target in system.targets.values():
            target.restart_after_s = 0.1
            target.renamed = True
        await _repeat_past_window(system, _PLAIN)
        self._check_retries(system)


class SpreadTest(unittest.IsolatedAsyncioTestCase):
    async def test_instance_that_starts_knows_the_quarantine(self):
        """Guards against repeats at an instance that has just started."""
        system = await _start(self, engines=1, plain=4, fronts=2)
        await _crash_three(system)
        service = await system.add_front()
        await fixtures.until(service.entry.peers_synced.is_set)
        sent = len(_received(system))
        answer = await fixtures.call(
            system, _PLAIN.path, number=2, body=_CRASHING
        )
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(_received(system)), sent)

    async def test_quarantine_survives_the_loss_of_all_instances(self):
        """Guards against repeats after a restart of the whole system."""
        system = await _start(self, engines=1, plain=4, fronts=2)
        await _crash_three(system)
        table = catalog.QUARANTINE_TABLE
        await fixtures.until(lambda: system.store.rows.get(table))
        await system.restart_fronts()
        await fixtures.until(
            lambda: all(
                f.entry.crashes.sufficient_changes for f in system.fronts
            ),
            limit_s=_STABILITY_WINDOW_S,
        )
        sent = len(_received(system))
        answer = await fixtures.call(system, _PLAIN.path, body=_CRASHING)
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(_received(system)), sent)

    async def test_row_is_written_again_after_the_table_lost_it(self):
        """Guards against a table that returns from an older copy."""
        with mock.patch.object(quarantine_rows, "_REWRITE_S", 0.2):
            system = await _start(self, engines=1, plain=4, fronts=2)
            await _crash_three(system)
            rows = system.store.rows
            table = catalog.QUARANTINE_TABLE
            await fixtures.until(lambda: rows.get(table))
            del rows[table]
            await fixtures.until(lambda: rows.get(table))

    async def test_row_is_removed_with_the_quarantine(self):
        """Guards against a sound request that is refused after a restart."""
        system = await _start(self, engines=1, plain=4, fronts=2)
        await _crash_three(system)
        table = catalog.QUARANTINE_TABLE
        await fixtures.until(lambda: system.store.rows.get(table))
        entry = system.fronts[0].entry
        (digest,) = entry.crashes.requests
        now = asyncio.get_running_loop().time()
        crash_evidence.record_completion(entry.crashes, digest, now)
        entry.quarantine_changed.set()
        entry.digest_due.set()
        await fixtures.until(
            lambda: all(
                row.value is None for row in system.store.rows[table].values()
            )
        )

    async def test_trial_is_a_single_attempt(self):
        """Guards against a trial that crashes as many targets as a request."""
        system = await _start(self, engines=5, plain=0, fronts=1)
        for _ in range(_CRASHES):
            await fixtures.call(
                system, _STREAM.path, prompt=_STREAM.prompt, body=_CRASHING
            )
            if len(_crashed_at(system)) >= _CRASHES:
                break
        await asyncio.sleep(quarantine.HOLDS_S[0])
        sent = len(_received(system))
        answer = await fixtures.call(
            system, _STREAM.path, prompt=_STREAM.prompt, body=_CRASHING
        )
        self.assertNotEqual(answer.status, 503)
        self.assertEqual(len(_received(system)), sent + 1)

    async def test_trial_begins_with_its_attempt(self):
        """Guards against a trial that is used up by a request without place."""
        system = await _start(self, engines=1, plain=4, fronts=1)
        await _crash_three(system)
        await asyncio.sleep(quarantine.HOLDS_S[0])
        entry = system.fronts[0].entry
        targets = dict(entry.targets.entries)
        entry.targets.entries.clear()
        entry.targets.divisions.clear()
        answer = await fixtures.call(system, _PLAIN.path, body=_CRASHING)
        self.assertEqual(answer.status, 503)
        entry.targets.entries.update(targets)
        entry.targets.divisions.clear()
        ((_, known),) = entry.crashes.requests.items()
        self.assertEqual(known.trials, {})

    async def test_status_shows_the_quarantine(self):
        system = await _start(self, engines=1, plain=4, fronts=1)
        await _crash_three(system)
        now = asyncio.get_running_loop().time()
        status = views.status(system.fronts[0].entry, now)
        self.assertEqual(len(status["quarantined"]), 1)
        self.assertEqual(len(status["quarantined"][0]["crashes"]), _CRASHES)
        self.assertIn("quarantined request", fronts.status(status))

    async def test_other_requests_are_served(self):
        """Guards against a quarantine of more than the request itself."""
        system = await _start(self, engines=1, plain=4, fronts=2)
        await _crash_three(system)
        for changes in ({"body": b"sound"}, {"path": "/write/other"}):
            call = {"path": _PLAIN.path, "body": _CRASHING} | changes
            for target in system.targets.values():
                target.crashes_on = lambda request: False
            answer = await fixtures.call(system, **call)
            self.assertEqual(answer.status, 200)


async def _crash_three(system) -> None:
    """Repeats the request until it is quarantined at all instances."""
    for number in itertools.cycle(range(len(system.fronts))):
        await fixtures.call(system, _PLAIN.path, number=number, body=_CRASHING)
        if len(_crashed_at(system)) >= _CRASHES:
            break
    await fixtures.until(
        lambda: all(f.entry.crashes.sufficient_changes for f in system.fronts)
    )


class SoundRequestTest(unittest.IsolatedAsyncioTestCase):
    async def _call_often(self, system, seconds: float) -> list:
        """Sends the same sound request at all instances all the time."""
        return await fixtures.call_often(
            system, "/read/x", seconds, _REPEAT_INTERVAL_S, method="GET"
        )

    async def test_popular_request_while_targets_die(self):
        """Guards against blaming a popular request for unrelated deaths."""
        system = await fixtures.start_system(self, engines=0, plain=5, fronts=3)
        targets = list(system.targets.values())
        for target in targets:
            target.pause_s = 0.1
        calls = asyncio.ensure_future(self._call_often(system, 5.0))
        for number in range(12):
            await asyncio.sleep(0.4)
            crashes.crash(targets[number % len(targets)])
        answers = await calls
        self.assertEqual({a.status for a in answers} - {200, 502}, set())
        served = sum(a.status == 200 for a in answers)
        self.assertGreater(served, 0.9 * len(answers))

    async def test_popular_request_after_many_targets_died_at_once(self):
        """Guards against a long quarantine after a loss of power."""
        system = await fixtures.start_system(self, engines=0, plain=5, fronts=3)
        for target in system.targets.values():
            target.pause_s = 0.15
        calls = asyncio.ensure_future(self._call_often(system, 9.0))
        await asyncio.sleep(1.0)
        for target in system.targets.values():
            crashes.crash(target)
        answers = await calls
        # Callers come back after the targets have restarted, and a quarantine
        # lasts until its first trial is due.
        last = answers[-40:]
        self.assertEqual({a.status for a in last}, {200})
