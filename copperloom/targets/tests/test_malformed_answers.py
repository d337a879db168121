"""Tests answers of targets that are malformed, cut off or without end."""

import asyncio
import contextlib
import unittest
from unittest import mock

from copperloom import exception
from copperloom.platform.standins import crashes
from copperloom.standins.tests import fixtures
from copperloom.targets import http, interface, pieces

_LIMIT_S = 10.0
_OK = b"HTTP/1.1 200 OK\r\n"
_FRAMED = b"Content-Length: 4\r\n\r\npart"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n"
_MALFORMED = (
    b"HTTP/1.1 000 OK\r\n" + _FRAMED,
    b"HTTP/1.1 101 Switching Protocols\r\n\r\npart",
    b"RTSP/1.0 200 OK\r\n" + _FRAMED,
    _OK + b" A: b\r\n" + _FRAMED,
    _OK + b"A\x01: b\r\n" + _FRAMED,
    _OK + b"Content-Length : 4\r\n\r\npart",
)
# What begins an answer, and what comes without end.
_ENDLESS = (
    (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    (_OK, b"A: b\r\n"),
    (_OK + b"\r\n", b"x" * 4096),
    (_CHUNKED + b"\r\n", b"1\r\nx\r\n"),
    (_CHUNKED + b"\r\n1;a=", b"x" * 4096),
)
_MAX_BYTES = 1_000_000
_BLOCK_BYTES = 65_536


async def _serve(case, answer) -> str:
    """Starts a server; returns its address.

    Args:
        case: The test case.
        answer: Writes the answer to each request; a coroutine function that
            takes the writer.
    """

    async def handle(reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await answer(writer)
        writer.transport.abort()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    case.addCleanup(server.close)
    return "{}:{}".format(*server.sockets[0].getsockname())


async def _repeat(writer, begin: bytes, repeated: bytes) -> None:
    writer.write(begin)
    block = repeated * (_BLOCK_BYTES // len(repeated))
    while True:
        writer.write(block)
        await writer.drain()


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Calls to plain services."""

    async def call(self, answer) -> interface.ServiceReply:
        address = await _serve(self, answer)
        targets = await fixtures.connect_targets(self)
        call = interface.ServiceCall(
            "POST", "/admit", b"{}", "application/json", "r1", "k"
        )
        return await targets.call(address, call, timeout_s=_LIMIT_S)

    async def test_malformed_heads(self):
        """Guards against malformed heads that callers get as answers."""
        for data in _MALFORMED:

            async def answer(writer, data=data):
                writer.write(data)
                await asyncio.sleep(0.05)

            with (
                self.subTest(data),
                self.assertRaises(exception.StreamBrokenError),
            ):
                await self.call(answer)

    async def test_cut_heads(self):
        """Guards against errors whose text holds what a target has sent."""
        for data in (
            b"HTTP/1.1 2",
            _OK,
            _OK + b"X-Long: " + b"x" * 3000,
            _OK + b"X-Long: " + b"x" * 3000 + b"\r\n",
        ):

            async def answer(writer, data=data):
                writer.write(data)
                await writer.drain()

            with (
                self.subTest(data[:30]),
                self.assertRaises(exception.StreamBrokenError) as caught,
            ):
                await self.call(answer)
            self.assertLess(len(str(caught.exception)), 300)

    async def test_body_that_a_reset_ends(self):
        """Guards against a part of an answer that passes for all of it."""

        async def answer(writer):
            writer.write(_OK + b"\r\npart")
            await asyncio.sleep(0.05)
            crashes.reset(writer.transport)

        with self.assertRaises(exception.StreamBrokenError):
            await self.call(answer)

    async def test_body_that_ends_with_its_connection(self):
        """Guards against refusing a complete answer without a length."""

        async def answer(writer):
            writer.write(_OK + b"\r\nwhole")
            writer.write_eof()
            await asyncio.sleep(0.05)

        self.assertEqual((await self.call(answer)).body, b"whole")

    async def test_answers_without_end(self):
        """Guards against bytes that fill the memory until the time limit."""
        for begin, repeated in _ENDLESS:

            async def answer(writer, begin=begin, repeated=repeated):
                await _repeat(writer, begin, repeated)

            with (
                self.subTest(begin + repeated[:4]),
                mock.patch.object(http, "_MAX_BODY_BYTES", _MAX_BYTES),
                self.assertRaises(exception.StreamBrokenError) as caught,
            ):
                await self.call(answer)
            self.assertNotIn("Timeout", str(caught.exception))


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Streams of engines."""

    async def test_piece_without_end(self):
        """Guards against a line that is kept until the time limit."""

        async def answer(writer):
            await _repeat(writer, _OK + b"\r\n", b"x" * 4096)

        address = await _serve(self, answer)
        targets = await fixtures.connect_targets(self)
        opened = targets.open(address, fixtures.ask("s1"), timeout_s=_LIMIT_S)
        with (
            mock.patch.object(pieces, "_MAX_PIECE_BYTES", _MAX_BYTES),
            self.assertRaises(exception.StreamBrokenError) as caught,
        ):
            await fixtures.read_all(opened)
        self.assertIn("piece", str(caught.exception))
