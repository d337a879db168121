"""Tests how a connection's bytes are counted and parsed, on one event loop."""

import asyncio
import gc
import unittest
import weakref

import prometheus_client
from aiohttp import web

from copperloom import routing
from copperloom.decisions import intake
from copperloom.intake import connection, pool

_LIMITS = routing.RequestLimits(
    max_header_bytes=16_384,
    max_body_bytes=100_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.6,
)
_MEMORY_BYTES = 64_000_000
_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
_WAIT_S = 5.0


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        counter = prometheus_client.Counter(
            "ended", "Ended.", ["reason"], registry=None
        )
        self.pool = pool.Pool(lambda: _LIMITS, lambda: _MEMORY_BYTES, counter)
        self.bodies: list[int] = []

        async def handle(http: web.BaseRequest) -> web.Response:
            self.bodies.append(len(await http.read()))
            return web.Response()

        factory = connection.make_factory(
            self.pool, web.Server(handle), lambda error: ({}, b"")
        )
        loop = asyncio.get_running_loop()
        server = await loop.create_server(factory, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = server.sockets[0].getsockname()

    async def send(self, data: bytes):
        """Sends bytes on a new connection; returns its reader and writer."""
        reader, writer = await asyncio.open_connection(*self.address)
        # A reader that is collected would close its connection.
        self.addCleanup(lambda: (reader, writer.transport.abort()))
        writer.write(data)
        return reader, writer

    async def until(self, condition) -> None:
        async with asyncio.timeout(_WAIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def status(self, data: bytes) -> bytes:
        """Sends bytes; returns the first line of the answer."""
        reader, _ = await self.send(data)
        async with asyncio.timeout(_WAIT_S):
            return await reader.readline()

    async def test_what_a_head_becomes_is_counted(self):
        """Guards against heads whose fields take more than their bytes."""
        fields = b"a:b\r\n" * 3000
        await self.send(_HEAD + b"Content-Length: 9\r\n" + fields + b"\r\n")
        least_bytes = intake.head_bytes_held(len(fields), 3000)
        await self.until(lambda: self.pool.held_bytes > least_bytes)

    async def test_closed_connection_holds_nothing(self):
        """Guards against a count that drifts with each connection."""
        for _ in range(20):
            _, writer = await self.send(
                _HEAD + b"Content-Length: 90000\r\n\r\n" + b"x" * 50_000
            )
            await self.until(lambda: self.pool.held_bytes > 100_000)
            writer.transport.abort()
            await self.until(lambda: not self.pool.clients)
            # The handler of the request ends after its connection.
            await asyncio.sleep(0.01)
            self.assertEqual(self.pool.held_bytes, 0)
            self.assertEqual(self.pool.ending_bytes, 0)

    async def test_ended_connections_are_collected_once_all_have_left(self):
        """Guards against memory that stays until another crowd comes."""
        gc.disable()
        self.addCleanup(gc.enable)
        for _ in range(4):
            await self.send(
                _HEAD + b"Content-Length: 90000\r\n\r\n" + b"x" * 80_000
            )
        await self.until(lambda: self.pool.held_bytes > 640_000)
        seen = [weakref.ref(client) for client in self.pool.clients.values()]
        await self.until(lambda: not self.pool.clients)
        await self.until(lambda: not any(ref() for ref in seen))

    async def test_overdue_requests_are_refused(self):
        """Guards against clients that stop short of an end and stay."""
        for data in (
            _HEAD,
            _HEAD + b"Content-Length: 9\r\n\r\n1234",
            _HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\n12",
        ):
            with self.subTest(data):
                line = await self.status(data)
                self.assertTrue(line.startswith(b"HTTP/1.1 408"), line)
        reader, _ = await self.send(b"")
        async with asyncio.timeout(_WAIT_S):
            self.assertEqual(await reader.read(), b"")

    async def test_malformed_bodies_are_refused_at_once(self):
        """Guards against a handler that waits for what can't be parsed."""
        line = await self.status(
            _HEAD + b"Transfer-Encoding: chunked\r\n\r\nno size\r\n"
        )
        self.assertTrue(line.startswith(b"HTTP/1.1 400"), line)

    async def test_bytes_that_no_parser_completes_are_refused(self):
        """Guards against an error for each connection in the log."""
        for data in (
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            b"GET / HTTP/1.1\n\n",
            b"GET  HTTP/1.1\r\nHost: a\r\n\r\n",
            b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n",
            b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
            b"\x16\x03\x01\x02\x00",
        ):
            with self.subTest(data):
                line = await self.status(data)
                self.assertRegex(line, rb"^HTTP/1.[01] 400")

    async def test_long_length_is_parsed(self):
        """Guards against lengths that Python refuses to convert."""
        length = b"0" * 5000 + b"4"
        line = await self.status(
            _HEAD + b"Content-Length: " + length + b"\r\n\r\n1234"
        )
        self.assertTrue(line.startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.bodies, [4])

    async def test_next_request_waits_until_answers_are_read(self):
        """Guards against answers that pile up for a caller that only sends."""
        request = _HEAD + b"Content-Length: 1\r\n\r\nx"
        reader, writer = await self.send(b"")
        writer.transport.pause_reading()
        writer.write(request * 200_000)
        stalled = -1
        async with asyncio.timeout(60.0):
            while stalled != len(self.bodies):
                stalled = len(self.bodies)
                await asyncio.sleep(1.0)
        self.assertLess(stalled, 200_000)
        # The answers that were written are small, but none is read.
        (client,) = self.pool.clients.values()
        self.assertLess(client.transport.get_write_buffer_size(), 200_000)

    async def test_body_in_parts_of_any_size(self):
        """Guards against a boundary that is missed between two parts."""
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        body = b"5\r\n\r\n\r\n\r\r\n2\r\n\r\n\r\n0\r\na: b\r\n\r\n"
        request = b"\r\n" + _HEAD + chunked + body
        for size in (1, 2, 3, 7):
            reader, writer = await self.send(b"")
            for begin in range(0, 2 * len(request), size):
                writer.write((request * 2)[begin : begin + size])
                await asyncio.sleep(0)
            for _ in range(2):
                async with asyncio.timeout(_WAIT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 200"))
        self.assertEqual(set(self.bodies), {7})
