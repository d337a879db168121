"""Tests the bound of answers of the platform's services."""

import asyncio
import contextlib
import unittest
from unittest import mock

from copperloom import exception
from copperloom.platform import http, store

_MAX_BYTES = 1_000_000
_LIMIT_S = 1.0


async def _serve_endless(case) -> tuple[str, asyncio.Event]:
    """Serves answers without end; returns its address and when one is left."""
    left = asyncio.Event()

    async def answer(reader, writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b"x" * 65_536)
                await writer.drain()
        left.set()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    case.addCleanup(server.close)
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}", left


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_of_the_table_service_are_bounded(self):
        """Guards against an answer that is read until the call's timeout."""
        address, left = await _serve_endless(self)
        client = store.Store(address)
        with mock.patch.object(store, "_MAX_ANSWER_BYTES", _MAX_BYTES):
            async with asyncio.timeout(_LIMIT_S):
                with self.assertRaises(exception.PlatformDownError):
                    await store.read_all(client, "t")
                await left.wait()
                with self.assertRaises(exception.PlatformUnknownError):
                    await store.put_row(client, "t", "k", b"v")
        await store.close(client)

    async def test_answers_of_the_platform_are_bounded(self):
        """Guards against the same on the connections that are kept open."""
        address, left = await _serve_endless(self)
        platform = http.connect(address)
        with mock.patch.object(http, "_MAX_ANSWER_BYTES", _MAX_BYTES):
            async with asyncio.timeout(_LIMIT_S):
                with self.assertRaises(exception.PlatformDownError):
                    await platform.get_object("o", timeout_s=5.0)
                await left.wait()
        await platform.close()
