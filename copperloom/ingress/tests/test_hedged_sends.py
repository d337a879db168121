"""Tests second copies of slow requests, with real targets and instances."""

import asyncio
import unittest

from copperloom.decisions import hedging, inflight_table
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

_POLICY = hedging.Policy(max_share=0.2)


async def _start(case, **kinds) -> fixtures.System:
    """Starts an instance that knows the latencies of its requests."""
    system = await fixtures.start_system(case, **kinds)
    known = system.fronts[0].entry.hedging
    known.policy = _POLICY
    now = asyncio.get_running_loop().time()
    for _ in range(100):
        hedging.record_request(known, now)
        for kind in ("plain/idempotent/none", "engines/stream/short"):
            hedging.record_latency(known, kind, 0.03, now)
    return system


def _attempts(system, answer) -> list[str]:
    return [
        t.name
        for t in system.targets.values()
        for seen in t.seen
        if seen.id == answer.id
    ]


async def _call_silent_target(system, path: str, kind: str, **options):
    """Calls until the first target was silent; returns the answer."""
    silent = system.targets[f"{kind}-0"]
    silent.always = Fault.MUTE
    while True:
        answer = await fixtures.call(system, path, **options)
        if silent.name in _attempts(system, answer):
            return answer


class HedgedSendsTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_target_delays_a_plain_request_only_briefly(self):
        """Guards against waiting for a target whose answer never comes."""
        system = await _start(self, engines=1, plain=2)
        started_at = asyncio.get_running_loop().time()
        answer = await _call_silent_target(system, "/read/x", "plain")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(_attempts(system, answer)), 2)
        self.assertLess(asyncio.get_running_loop().time() - started_at, 1.0)

    async def test_copy_whose_head_is_cut(self):
        """Guards against a broken copy that ends or replaces the other one."""
        system = await _start(self, engines=1, plain=2)
        slow, bad = system.targets["plain-0"], system.targets["plain-1"]
        slow.pause_s = 0.3
        bad.cut_answer = lambda given: (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
        )
        while not bad.seen:
            answer = await fixtures.call(system, "/read/x")
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.body, f"plain-0 did {answer.id}".encode())

    async def test_cancelled_copy_stops_at_its_target(self):
        """Guards against targets that work on for nobody."""
        system = await _start(self, engines=1, plain=2)
        await _call_silent_target(system, "/read/x", "plain")
        silent = system.targets["plain-0"]
        await fixtures.until(lambda: silent.running == 0, limit_s=0.5)

    async def test_stream_is_whole_and_from_one_target(self):
        """Guards against streams joined from two copies."""
        system = await _start(self, engines=2, plain=1)
        answer = await _call_silent_target(
            system, "/chat/x", "engine", prompt=1000
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body.count(b"data: piece"), 5)
        entry = system.fronts[0].entry
        await fixtures.until(
            lambda: not inflight_table.own_work(entry.inflight), limit_s=0.5
        )

    async def test_request_that_may_run_once_gets_no_copy(self):
        """Guards against a second run of what must run at most once."""
        system = await _start(self, engines=1, plain=2)
        answer = await _call_silent_target(
            system, "/write/x", "plain", wait_ms=300
        )
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(_attempts(system, answer)), 1)

    async def test_no_copy_beyond_the_share(self):
        """Guards against copies that double the load of a slow service."""
        system = await _start(self, engines=1, plain=2)
        entry = system.fronts[0].entry
        entry.hedging.requests.clear()
        for target in system.targets.values():
            target.always = Fault.MUTE
        for _ in range(3):
            await fixtures.call(system, "/read/x", wait_ms=300)
        self.assertFalse(entry.hedging.copies)


if __name__ == "__main__":
    unittest.main()
