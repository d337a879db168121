"""Tests what callers and targets see of requests that a peer relays."""

import asyncio
import dataclasses
import unittest

from copperloom.ingress.tests import fixtures, partitions
from copperloom.platform.standins import crashes, links, wire
from copperloom.platform.standins.links import Partition
from copperloom.platform.standins.target import Fault
from copperloom.standins import proxy

_EVENTS = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6))


async def start_lost(
    case, how: links.Partition = Partition.REFUSE, **sizes
) -> fixtures.System:
    """Starts a system whose first instance knows that it reaches no target."""
    system = await partitions.start_partitioned(case, how, **sizes)
    await fixtures.call(system, "/read/x", method="GET")
    await fixtures.until(lambda: lost(system, 0))
    return system


def lost(system, number: int) -> bool:
    """Returns whether an instance knows that it reaches no target."""
    return system.fronts[number].entry.reachability.is_lost


class RelayedRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_and_answer_are_unchanged(self):
        """Guards against a hop that changes path, body or headers."""
        system = await start_lost(self, fronts=2)
        path = "/write/a%2Fb/..%20/x?q=%41&r=a+b"
        body = bytes(range(256)) * 380
        sent = {"X-Own": "kept", wire.ORGANISATION: "other"}
        answer = await fixtures.call(system, path, body=body, headers=sent)
        self.assertEqual(answer.status, 200)
        (received,) = [
            r
            for t in system.targets.values()
            for r in t.seen
            if r.id == answer.id
        ]
        self.assertEqual(received.raw_path, path)
        self.assertEqual(received.body, body)
        self.assertEqual(received.headers["X-Own"], "kept")
        self.assertEqual(received.headers[wire.ORGANISATION], "lounge")
        self.assertNotIn(wire.KEY, received.headers)
        self.assertLessEqual(int(received.headers[wire.LEFT]), 4000)
        self.assertEqual(answer.headers[wire.SEAL], f"s.{answer.id}")
        self.assertTrue(answer.body.endswith(f"did {answer.id}".encode()))

    async def test_refusal_of_the_peer_reaches_the_caller(self):
        """Guards against a refusal that loses its reason on the way."""
        system = await start_lost(self, fronts=2)
        for target in system.targets.values():
            target.retry_after = "7"
        # Each of the other answers holds one target.
        for _ in range(4):
            answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["Copperloom-Error"], "3010")
        self.assertGreater(float(answer.headers["Retry-After"]), 5.0)

    async def test_unknown_key_is_refused(self):
        system = await start_lost(self, fronts=2)
        answer = await fixtures.call(
            system, "/write/x", headers={wire.KEY: "unknown"}
        )
        self.assertEqual(answer.status, 401)

    async def test_target_stops_when_the_caller_leaves(self):
        """Guards against work that goes on for a caller who has left."""
        system = await start_lost(self, fronts=2)
        for path, prompt in (("/read/x", 0), ("/chat/x", 5000)):
            for target in system.targets.values():
                target.pause_s = 5.0
            task = asyncio.ensure_future(
                fixtures.call(system, path, prompt=prompt)
            )
            await fixtures.until(lambda: _running(system))
            task.cancel()
            await fixtures.until(lambda: not _running(system), limit_s=0.5)
        self.assertEqual([f.entry.relayed for f in system.fronts], [0, 0])

    async def test_stream_comes_event_by_event(self):
        """Guards against a peer that holds events until the answer ends."""
        system = await start_lost(self, fronts=2)
        for target in system.targets.values():
            target.pause_s = 0.2
        own = system.fronts[0].entry.settings
        headers = wire.caller_headers(
            fixtures.HOST, "stream", fixtures.KEY, 4.0, 4000
        )
        loop = asyncio.get_running_loop()
        times = []
        async with system.session.post(
            f"http://{own.callers_listen}/chat/x", headers=headers
        ) as resp:
            async for _ in resp.content.iter_any():
                times.append(loop.time())
        self.assertGreaterEqual(len(times), 4)
        self.assertGreater(times[-1] - times[0], 0.5)

    async def test_peer_that_breaks_off_is_replaced(self):
        """Guards against answers lost or run twice with the peer."""
        system = await start_lost(self, fronts=3)
        links = [await _peer_link(self, f) for f in system.fronts[1:]]
        await fixtures.until(lambda: _uses_links(system, links))
        for path, prompt in (("/write/x", 0), ("/chat/x", 4000)):
            for target in system.targets.values():
                target.pause_s = 0.3
            task = asyncio.ensure_future(
                fixtures.call(system, path, prompt=prompt)
            )
            await fixtures.until(lambda: _running(system))
            for link, service in zip(links, system.fronts[1:], strict=True):
                if service.entry.relayed:
                    proxy.reset(link)
            answer = await task
            runs = partitions.runs(system, answer)
            if prompt:
                self.assertEqual(answer.body.decode(), _EVENTS)
                self.assertTrue(answer.complete)
            else:
                self.assertEqual((answer.status, runs), (502, 1))


def _running(system) -> int:
    return sum(t.running for t in system.targets.values())


async def _peer_link(case, service) -> proxy.Pair:
    """Has an instance announce a proxy as its address for calls."""
    own = service.entry.settings
    link = proxy.Pair("127.0.0.1:0", own.peers_listen)
    listener = await proxy.open_pair(link)
    case.addCleanup(listener.close)
    service.entry.settings = dataclasses.replace(own, peers_listen=link.listen)
    service.entry.digest_due.set()
    return link


def _uses_links(system, links: list[proxy.Pair]) -> bool:
    members = system.fronts[0].entry.members.values()
    return {m.calls for m in members} == {link.listen for link in links}


class BeginOfPartitionTest(unittest.IsolatedAsyncioTestCase):
    async def _check_resumed(self, how: links.Partition) -> None:
        system = await fixtures.start_system(self, engines=3, plain=1, fronts=2)
        await system.add_links()
        for target in system.targets.values():
            target.pause_s = 0.2
        task = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=4000, wait_ms=9000)
        )
        await fixtures.until(lambda: _running(system))
        await asyncio.sleep(0.5)
        await system.links[0].cut(how)
        answer = await task
        self.assertEqual(answer.body.decode(), _EVENTS)
        self.assertTrue(answer.complete)

    async def test_streams_are_resumed_after_a_reset(self):
        """Guards against streams that end with the connection of one link."""
        await self._check_resumed(Partition.RESET)

    async def test_streams_are_resumed_after_a_hang(self):
        """Guards against streams that wait for a link that is gone."""
        await self._check_resumed(Partition.HANG)

    async def test_open_connections_are_left_alone(self):
        """Guards against breaking answers that still come."""
        system = await fixtures.start_system(self, engines=3, plain=3, fronts=2)
        await system.add_links()
        for target in system.targets.values():
            target.pause_s = 1.0
        task = asyncio.ensure_future(fixtures.call(system, "/write/x"))
        await fixtures.until(lambda: _running(system))
        await system.links[0].cut(Partition.REFUSE)
        await fixtures.call(system, "/write/x")
        self.assertTrue(lost(system, 0))
        answer = await task
        self.assertEqual(answer.status, 200)
        self.assertEqual(partitions.runs(system, answer), 1)


class ObservationTest(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_held_against_targets_or_requests(self):
        """Guards against penalties and quarantines from a partition."""
        system = await fixtures.start_system(self, engines=3, plain=3, fronts=3)
        await system.add_links()
        for target in system.targets.values():
            target.pause_s = 0.3
        calls = [
            asyncio.ensure_future(
                fixtures.call(system, path, prompt=prompt, body=b"same")
            )
            for path, prompt in (("/chat/x", 4000), ("/write/x", 0))
            for _ in range(6)
        ]
        await fixtures.until(lambda: _running(system) >= 8)
        await system.links[0].cut(Partition.RESET)
        for listener in list(system.links[0].listeners):
            system.links[0].refuse(listener)
        for target in system.targets.values():
            target.pause_s = 0.0
        await asyncio.gather(*calls)
        await partitions.call_kinds(system, (0,), 1.5)
        self.assertTrue(lost(system, 0))
        for service in system.fronts:
            entry = service.entry
            self.assertEqual(entry.crashes.requests, {})
            self.assertEqual(entry.peer_health, {})

    async def test_ended_targets_are_no_partition(self):
        """Guards against relaying in circles when all targets have ended."""
        system = await fixtures.start_system(self, engines=2, plain=2, fronts=3)
        for target in system.targets.values():
            target.restart_after_s = None
            crashes.crash(target)
        await partitions.call_kinds(system, (0, 1, 2), 1.5)
        await fixtures.until(lambda: all(lost(system, n) for n in range(3)))
        answers = await partitions.call_kinds(system, (0, 1, 2), 0.5)
        self.assertEqual({a.status for a in answers}, {503})
        for answer in answers:
            self.assertGreaterEqual(float(answer.headers["Retry-After"]), 0.5)
        for target in system.targets.values():
            await crashes.restart(target)
        await asyncio.sleep(2.0)
        answers = await partitions.call_kinds(system, (0, 1, 2), 0.5)
        self.assertEqual({a.status for a in answers}, {200})

    async def test_one_dead_target_is_no_partition(self):
        """Guards against relaying when one target of several has ended."""
        system = await fixtures.start_system(self, engines=3, plain=3, fronts=2)
        crashes.crash(system.targets["plain-0"])
        answers = await partitions.call_kinds(system, (0, 1), 1.5)
        self.assertEqual({a.status for a in answers}, {200})
        self.assertFalse(lost(system, 0) or lost(system, 1))

    async def test_requests_go_to_targets_again_after_the_partition(self):
        """Guards against an instance that stays partitioned in its own view."""
        system = await start_lost(self, Partition.DROP, fronts=2)
        await system.links[0].heal()
        await fixtures.until(lambda: not lost(system, 0), limit_s=2.0)
        before = partitions.relayed(system, 1, "received", "accepted")
        answers = await partitions.call_kinds(system, (0,), 1.0)
        self.assertEqual({a.status for a in answers}, {200})
        accepted = partitions.relayed(system, 1, "received", "accepted")
        self.assertEqual(accepted, before)

    async def test_failing_targets_do_not_count_as_a_partition(self):
        """Guards against relaying when targets answer with errors."""
        system = await fixtures.start_system(self, engines=2, plain=2, fronts=2)
        for target in system.targets.values():
            target.always = Fault.RESET
        await partitions.call_kinds(system, (0,), 1.0)
        self.assertFalse(lost(system, 0))


class HopTest(unittest.IsolatedAsyncioTestCase):
    async def test_relayed_request_is_not_relayed_again(self):
        """Guards against a loop between two partitioned instances."""
        system = await start_lost(self, fronts=3)
        await system.links[1].cut(Partition.REFUSE)
        answers = [await fixtures.call(system, "/write/x") for _ in range(6)]
        self.assertEqual({a.status for a in answers}, {200})
        for answer in answers:
            self.assertEqual(partitions.runs(system, answer), 1)
        self.assertGreater(partitions.relayed(system, 0, "sent", "answered"), 0)
        for number in range(len(system.fronts)):
            sent = partitions.relayed(system, number, "sent", "answered")
            accepted = partitions.relayed(
                system, number, "received", "accepted"
            )
            self.assertIn(0, (sent, accepted))
