"""Tests answers of the platform's services that are malformed or cut off."""

import asyncio
import contextlib
import unittest

from copperloom import exception
from copperloom.platform import http, store
from copperloom.platform.standins import crashes

_ROWS = b'{"rows": [], "ver": 1}'
_LENGTH = b"Content-Length: 22\r\n"
_MALFORMED = (
    b"HTTP/1.1 000 OK\r\n" + _LENGTH,
    b"RTSP/1.0 200 OK\r\n" + _LENGTH,
    b"HTTP/1.1 200 OK\r\n Store-Era: 9\r\n" + _LENGTH,
    b"HTTP/1.1 200 OK\r\nStore-Era\x01: 9\r\n" + _LENGTH,
    b"HTTP/1.1 200 OK\r\nContent-Length : 22\r\n",
)
_NESTED = b'{"unknown": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
_TIMEOUT_S = 5.0


async def _serve(case, data: bytes, *, resets: bool = False) -> str:
    """Serves the same bytes as each answer; returns the address."""

    async def answer(reader, writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await asyncio.sleep(0.05)
        if resets:
            crashes.reset(writer.transport)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    case.addCleanup(server.close)
    return "{}:{}".format(*server.sockets[0].getsockname())


class TableServiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_malformed_heads(self):
        """Guards against rows and eras of answers that are none."""
        for head in _MALFORMED:
            with self.subTest(head):
                client = store.Store(await _serve(self, head + b"\r\n" + _ROWS))
                self.addAsyncCleanup(store.close, client)
                with self.assertRaises(exception.PlatformDownError):
                    await store.read_all(client, "t")
                with self.assertRaises(exception.PlatformUnknownError):
                    await store.put_row(client, "t", "k", b"v")
                self.assertIsNone(client.era)

    async def test_deeply_nested_rows(self):
        """Guards against an answer that ends the loop that reads it."""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(_NESTED)}\r\n\r\n"
        client = store.Store(await _serve(self, head.encode() + _NESTED))
        self.addAsyncCleanup(store.close, client)
        with self.assertRaises(exception.PlatformDownError):
            await store.read_all(client, "t")


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def test_malformed_heads(self):
        """Guards against an object of an answer that is none."""
        for head in _MALFORMED:
            with self.subTest(head):
                address = await _serve(self, head + b"\r\n" + _ROWS)
                platform = http.connect(address)
                self.addAsyncCleanup(platform.close)
                with self.assertRaises(exception.PlatformDownError):
                    await platform.get_object("o", timeout_s=_TIMEOUT_S)

    async def test_object_that_a_reset_ends(self):
        """Guards against a part of an object that passes for all of it."""
        data = b"HTTP/1.1 200 OK\r\n\r\npart"
        address = await _serve(self, data, resets=True)
        platform = http.connect(address)
        self.addAsyncCleanup(platform.close)
        with self.assertRaises(exception.PlatformDownError):
            await platform.get_object("o", timeout_s=_TIMEOUT_S)
