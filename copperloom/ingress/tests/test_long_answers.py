"""Tests targets that send answers without end, at each place of an answer."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from copperloom.decisions import answer_limits
from copperloom.ingress import reachability_checks
from copperloom.ingress.tests import fixtures, partitions
from copperloom.platform.standins import wire
from copperloom.platform.standins.links import Partition
from copperloom.platform.standins.target import Fault
from copperloom.utils import sockets

_CODE = "4005"
# The places of a plain answer that are bounded, by the fault.
_PLACES = {
    Fault.ENDLESS_HEAD: "lines",
    Fault.ENDLESS_LINE: "line",
    Fault.ENDLESS_INTERIM: "head",
    Fault.ENDLESS_BODY: "body",
    Fault.ENDLESS_CHUNKS: "body",
    Fault.ENDLESS_SMALL_CHUNKS: "chunks",
    Fault.ENDLESS_CHUNK_SIZE: "chunks",
    Fault.ENDLESS_EXTENSION: "chunks",
    Fault.ENDLESS_TRAILERS: "lines",
    Fault.ANNOUNCED: "announced_length",
}
_CLOSE_S = 0.5
# Buffers of the kernel on both connections.
_MAX_SOCKET_BYTES = 32_000_000
_MEMORY_BYTES = 80_000_000.0
# Answers that stop short of their end, and together exceed their memory.
_STALLED = 20
_STALLED_BYTES = 700_000


def _count(system, place: str) -> float:
    counter = system.fronts[0].entry.metrics.long_answers
    return counter.labels(place)._value.get()


async def _until_closed(system) -> None:
    """Waits until no target works on a request any more."""
    await fixtures.until(
        lambda: not any(t.running for t in system.targets.values()), _CLOSE_S
    )


async def _start(case, **sizes) -> fixtures.System:
    """Starts a system whose only instance has little memory."""
    system = await fixtures.start_system(case, fronts=0, **sizes)
    await system.add_front(memory_bytes=_MEMORY_BYTES)
    entry = system.fronts[0].entry
    wanted = len(system.targets)
    await fixtures.until(lambda: len(entry.targets.entries) == wanted)
    return system


def _small_socket(info) -> socket.socket:
    """Returns a socket that does not take a whole request at once."""
    sock = sockets.monitored_socket(info)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock


class PlainAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_place_is_bounded(self):
        """Guards against an answer that fills the memory until its deadline."""
        system = await _start(self, engines=0, plain=1)
        target = system.targets["plain-0"]
        for fault, place in _PLACES.items():
            with self.subTest(fault):
                target.always = fault
                async with asyncio.timeout(2.0):
                    answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.headers["Copperloom-Error"], _CODE)
                await _until_closed(system)
                self.assertGreater(_count(system, place), 0)
        self.assertFalse(system.fronts[0].entry.body_memory.bodies)

    async def test_body_of_a_refusal_is_not_read(self):
        """Guards against reading what no caller gets."""
        system = await _start(self, engines=0, plain=1)
        system.targets["plain-0"].always = Fault.ENDLESS_REFUSAL
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 503)
        await _until_closed(system)
        self.assertEqual(system.targets["plain-0"].runs, [])

    async def test_repeatable_request_is_served_by_another_target(self):
        """Guards against a failure that ends a request that may be repeated."""
        system = await _start(self, engines=0, plain=2)
        bad = system.targets["plain-0"]
        bad.always = Fault.ENDLESS_BODY
        while not bad.seen:
            answer = await fixtures.call(system, "/read/x")
            self.assertEqual(answer.status, 200)
        self.assertIn("plain-0", system.fronts[0].entry.health)

    async def test_caller_that_leaves_ends_it(self):
        """Guards against reading on for a caller that has left."""
        system = await _start(self, engines=1, plain=1)
        for name, path, fault in (
            ("plain-0", "/write/x", Fault.MUTE),
            ("engine-0", "/once/x", Fault.ENDLESS_EVENTS),
        ):
            target = system.targets[name]
            target.always = fault
            prompt = 4000 if name == "engine-0" else 0
            # Enough tokens that the stream does not end by its length.
            headers = {wire.TOKENS: "4000,100000"} if prompt else {}
            task = asyncio.ensure_future(
                fixtures.call(system, path, prompt=prompt, headers=headers)
            )
            await fixtures.until(lambda t=target: t.running)
            await asyncio.sleep(0.5)
            self.assertTrue(target.running)
            task.cancel()
            await _until_closed(system)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_stream_that_never_ends_is_cut_visibly(self):
        """Guards against garbage that a caller takes for a whole stream."""
        system = await _start(self, engines=2, plain=0)
        for target in system.targets.values():
            target.always = Fault.ENDLESS_EVENTS
        answer = await fixtures.call(system, "/chat/x", prompt=4000)
        self.assertFalse(answer.complete)
        self.assertEqual(_count(system, "stream"), 1)
        self.assertEqual(sum(len(t.seen) for t in system.targets.values()), 1)
        await _until_closed(system)

    async def test_event_that_never_ends_is_served_by_another_target(self):
        """Guards against a buffer that grows until the event is complete."""
        system = await _start(self, engines=2, plain=0)
        bad = system.targets["engine-0"]
        bad.always = Fault.ENDLESS_EVENT
        while not bad.seen:
            answer = await fixtures.call(system, "/chat/x", prompt=4000)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.status, 200)
        self.assertEqual(_count(system, "event"), 1)
        await _until_closed(system)


class OtherAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_to_orders_are_bounded(self):
        """Guards against an answer to an order that is read without end."""
        system = await _start(self, engines=2, plain=0)
        await fixtures.add_long_route(system, timeout_ms=3000)
        for fault in (Fault.ENDLESS_BODY, Fault.ENDLESS_HEAD):
            with self.subTest(fault):
                for target in system.targets.values():
                    target.other_answers = fault
                await fixtures.call(
                    system, "/long/x", prompt=500_000, wait_ms=1500
                )
                await _until_closed(system)
        self.assertGreater(_count(system, "lines"), 0)

    async def test_answers_to_checks_are_bounded(self):
        """Guards against a check that reads without end."""
        system = await _start(self, engines=0, plain=1)
        entry = system.fronts[0].entry
        target = entry.targets.entries["plain-0"]
        for fault, answered in (
            (Fault.ENDLESS_BODY, True),
            (Fault.ENDLESS_LINE, False),
            (Fault.ENDLESS_INTERIM, False),
        ):
            with self.subTest(fault):
                system.targets["plain-0"].other_answers = fault
                found = await reachability_checks._check(entry, target)
                self.assertEqual(found, answered)
                written = system.targets["plain-0"].endless_bytes
                await asyncio.sleep(0.1)
                self.assertEqual(
                    system.targets["plain-0"].endless_bytes, written
                )
        self.assertEqual(_count(system, "line"), 1)
        self.assertEqual(_count(system, "head"), 1)
        self.assertIn("plain-0", entry.health)

    async def test_target_that_reads_nothing_is_left_at_once(self):
        """Guards against a connection that waits to send its request."""
        system = await _start(self, engines=0, plain=1)
        closed = asyncio.Event()

        async def answer(reader, writer) -> None:
            writer.transport.pause_reading()
            writer.write(b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 100_000)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
                while True:
                    writer.write(b"x" * 1000)
                    await writer.drain()
                    await asyncio.sleep(0.01)
            closed.set()

        listening = socket.create_server(("127.0.0.1", 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server = await asyncio.start_server(answer, sock=listening)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        row = system.targets["plain-0"].registration("plain", born=2)
        row["address"] = f"{host}:{port}"
        system.store.put("servers", "plain-0", row)
        entry = system.fronts[0].entry
        await fixtures.until(
            lambda: entry.targets.entries["plain-0"].born_ms == 2
        )
        entry.sender.make_socket = _small_socket
        await fixtures.call(system, "/write/x", body=b"q" * 99_000)
        async with asyncio.timeout(_CLOSE_S):
            await closed.wait()


class BodyMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_body_that_is_ended_for_others_fails_at_once(self):
        """Guards against a request that waits for an answer that was ended."""
        system = await _start(self, engines=0, plain=1)

        async def answer(reader, writer) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            (given,) = [
                line
                for line in head.decode().splitlines()
                if line.startswith(wire.REQUEST)
            ]
            lines = [
                "HTTP/1.1 200 OK",
                given,
                f"{wire.SEAL}: s",
                f"Content-Length: {_STALLED_BYTES + 1}",
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            writer.write(b"x" * _STALLED_BYTES)
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        row = system.targets["plain-0"].registration(
            "plain", born=2, slots=_STALLED
        )
        row["address"] = f"{host}:{port}"
        system.store.put("servers", "plain-0", row)
        entry = system.fronts[0].entry
        await fixtures.until(
            lambda: entry.targets.entries["plain-0"].born_ms == 2
        )
        calls = [
            asyncio.ensure_future(
                fixtures.call(system, "/write/x", wait_ms=20_000)
            )
            for _ in range(_STALLED)
        ]
        async with asyncio.timeout(_CLOSE_S * 10):
            done, left = await asyncio.wait(
                calls, return_when=asyncio.FIRST_COMPLETED
            )
        codes = {(await call).headers["Copperloom-Error"] for call in done}
        self.assertEqual(codes, {_CODE})
        for call in left:
            call.cancel()


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_target_waits_for_a_caller_that_does_not_read(self):
        """Guards against buffers that grow as a caller reads slowly."""
        system = await _start(self, engines=1, plain=0)
        target = system.targets["engine-0"]
        target.always = Fault.ENDLESS_EVENTS
        own = system.fronts[0].entry.settings
        headers = wire.caller_headers(
            fixtures.HOST, "slow", fixtures.KEY, 4.0, 4000
        )
        headers[wire.TOKENS] = "4000,100000"
        lines = [f"{k}: {v}" for k, v in headers.items()]
        host, port = own.callers_listen.split(":")
        with mock.patch.object(answer_limits, "pause_s", lambda *_: 0.0):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1024
            )
            lines = ["POST /once/x HTTP/1.1", *lines, "Content-Length: 0"]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            await reader.read(1)
            await asyncio.sleep(1.0)
            written = target.endless_bytes
            self.assertGreater(written, 1_000_000)
            await asyncio.sleep(0.5)
            self.assertEqual(target.endless_bytes, written)
            self.assertLess(written, _MAX_SOCKET_BYTES)
            writer.transport.abort()
            await _until_closed(system)


class PeerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_that_a_peer_relays_are_bounded(self):
        """Guards against bounds that only hold without a peer."""
        system = await partitions.start_partitioned(
            self, Partition.REFUSE, fronts=2
        )
        await fixtures.call(system, "/read/x", method="GET")
        lost = system.fronts[0].entry.reachability
        await fixtures.until(lambda: lost.is_lost)
        for path, prompt, fault in (
            ("/write/x", 0, Fault.ENDLESS_BODY),
            ("/once/x", 4000, Fault.ENDLESS_EVENTS),
        ):
            with self.subTest(fault):
                for target in system.targets.values():
                    target.always = fault
                async with asyncio.timeout(3.0):
                    answer = await fixtures.call(system, path, prompt=prompt)
                self.assertTrue(answer.status == 502 or not answer.complete)
                await _until_closed(system)
        for service in system.fronts:
            self.assertFalse(service.entry.body_memory.bodies)
