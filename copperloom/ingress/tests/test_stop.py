"""Tests that a planned stop of an instance interrupts no request."""

import asyncio
import contextlib
import signal
import socket
import unittest

import aiohttp

from copperloom.ingress.tests import crowds, fixtures
from copperloom.platform.standins import target as target_standin

_ANSWER_BYTES = 6_000_000
_BUFFER_BYTES = 16_384
_GRACE_S = 8.0
_PAUSE_S = 0.05
# Longer than an instance without requests waits before it ends.
_READ_AFTER_S = 1.0


def _write_long_answer(given: list[str]) -> bytes:
    lines = ["HTTP/1.1 200 OK", *given, "", "x" * _ANSWER_BYTES]
    return "\r\n".join(lines).encode()


async def _send_slowly_read(address: str):
    """Sends a request; returns streams that take little of the answer."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=_BUFFER_BYTES
    )
    head = "\r\n".join(
        (*crowds.request_lines("slow"), "Content-Length: 0", "", "")
    )
    writer.write(head.encode())
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """Stops of a process whose callers take their answers late."""

    async def asyncSetUp(self):
        self.crowded = await crowds.start(self, grace_s=_GRACE_S)
        for target in self.crowded.system.targets.values():
            target.write_head = _write_long_answer
        self.reader, self.writer = await _send_slowly_read(
            self.crowded.addresses["callers"]
        )
        self.addCleanup(self.writer.transport.abort)
        self.crowded.process.send_signal(signal.SIGTERM)

    async def until_closed(self) -> None:
        """Waits until the process accepts no connections any more."""
        async with asyncio.timeout(_GRACE_S):
            with contextlib.suppress(ConnectionRefusedError):
                while True:
                    _, writer = await crowds.connect(
                        self.crowded.addresses["callers"]
                    )
                    writer.transport.abort()
                    await asyncio.sleep(_PAUSE_S)

    async def test_answer_that_is_read_slowly_is_sent_whole(self):
        """Guards against a stop that cuts answers of work that has run."""
        await self.until_closed()
        await asyncio.sleep(_READ_AFTER_S)
        body = await self.reader.read()
        self.assertEqual(len(body), _ANSWER_BYTES + len("plain-0 did slow"))
        async with asyncio.timeout(_GRACE_S):
            self.assertEqual(await self.crowded.process.wait(), 0)

    async def test_answer_that_is_not_read_does_not_outlast_the_grace(self):
        """Guards against a process that is killed as it waits for callers."""
        async with asyncio.timeout(_GRACE_S):
            self.assertEqual(await self.crowded.process.wait(), 0)


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_in_progress_are_finished(self):
        """A stop must not cut off a stream or refuse requests too early.

        The load balancer sends requests until a readiness check has failed.
        """
        system = await fixtures.start_system(self)
        for target in system.targets.values():
            target.pause_s = 0.15
        stream = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=5000)
        )
        await fixtures.until(
            lambda: any(t.running for t in system.targets.values())
        )
        stopping = asyncio.ensure_future(system.fronts[0].stop())
        await fixtures.until(lambda: system.fronts[0].entry.draining)
        self.assertEqual(await fixtures.ready(system), 503)
        later = await fixtures.call(system, "/write/x")
        self.assertEqual(later.status, 200)
        self.assertEqual(later.headers.get("Connection"), "close")
        answer = await stream
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body.count(b"id: "), 5)
        await stopping

    async def test_late_requests_get_an_answer(self):
        """Guards against work that is taken in the grace and then cut."""
        system = await fixtures.start_system(self, engines=0, plain=2)
        for target in system.targets.values():
            target.pause_s = 0.5
        stopping = asyncio.ensure_future(system.fronts[0].stop())
        calls = []
        while not stopping.done():
            call = fixtures.call(system, "/write/x")
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.05)
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        answers = [o for o in outcomes if isinstance(o, fixtures.Answer)]
        answered = {answer.id for answer in answers if answer.complete}
        run = {i for t in system.targets.values() for i in t.runs}
        self.assertGreater(len(run), 5)
        self.assertLessEqual(run, answered)
        self.assertLessEqual({a.status for a in answers}, {200, 503, 504})

    async def test_request_to_silent_target_gets_504_before_the_stop(self):
        """A request in progress must get an error, not a closed connection."""
        system = await fixtures.start_system(self, engines=1)
        system.targets["engine-0"].always = target_standin.Fault.MUTE
        calling = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=5000, wait_ms=9000)
        )
        await fixtures.until(lambda: system.targets["engine-0"].seen)
        stopping = asyncio.ensure_future(system.fronts[0].stop())
        answer = await calling
        self.assertEqual(answer.status, 504)
        self.assertFalse(stopping.done())
        await stopping

    async def test_prompt_with_too_long_prefill_is_refused_while_draining(self):
        """A prompt must not begin if the instance ends during its prefill.

        A 503 at once leaves its caller time for another instance.
        """
        system = await fixtures.start_system(self, engines=1)
        stopping = asyncio.ensure_future(system.fronts[0].stop())
        await fixtures.until(lambda: system.fronts[0].entry.draining)
        answer = await fixtures.call(system, "/chat/x", prompt=98_000)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["Copperloom-Error"], "3003")
        self.assertEqual(system.targets["engine-0"].seen, [])
        await stopping

    async def test_idle_connection_is_closed_before_the_stop(self):
        """A request on an idle connection must not reach an ending process."""
        system = await fixtures.start_system(self, plain=1)
        address = system.fronts[0].entry.settings.callers_listen
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"GET /nowhere HTTP/1.1\r\nHost: {fixtures.HOST}\r\n\r\n".encode()
        )
        await reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.ensure_future(system.fronts[0].stop())
        await reader.read()
        self.assertFalse(stopping.done())
        writer.close()
        await stopping

    async def test_member_row_is_removed(self):
        system = await fixtures.start_system(self)
        front = system.fronts[0]
        name = front.entry.settings.instance
        rows = system.store.rows["copperloom-members"]
        await fixtures.until(lambda: name in rows)
        await front.stop()
        self.assertIsNone(rows[name].value)

    async def test_connections_are_refused_after_the_stop(self):
        system = await fixtures.start_system(self)
        await system.fronts[0].stop()
        with self.assertRaises(aiohttp.ClientError):
            await fixtures.call(system, "/write/x")
