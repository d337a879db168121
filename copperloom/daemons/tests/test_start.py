"""Tests that a starting process accepts connections before it is loaded."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import unittest

from copperloom.daemons import start
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire

_REQUEST = (
    "POST {path} HTTP/1.1\r\n{headers}\r\nContent-Length: 1\r\n\r\nx"
).format
_TIMEOUT_S = 15.0
_POLL_S = 0.002
_DELAY_S = 0.05


def _write_request(writer: asyncio.StreamWriter, path: str) -> None:
    headers = wire.caller_headers(fixtures.HOST, "q", fixtures.KEY, 9.0)
    lines = "\r\n".join(f"{k}: {v}" for k, v in headers.items())
    writer.write(_REQUEST(path=path, headers=lines).encode())


def _terminate(process) -> None:
    if process.returncode is None:
        process.terminate()


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.system = await fixtures.start_system(
            self, engines=0, plain=1, fronts=0
        )
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"
        self.ports = tuple(fixtures.free_port() for _ in range(3))
        document = wire.instance_settings(
            "front-1", "127.0.0.1", self.ports, self.system.store.address
        )
        self.path.write_text(json.dumps(document))

    async def _start_process(self):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "copperloom.daemons.start",
            env=os.environ | {wire.INSTANCE_ENVIRONMENT: str(self.path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(process.wait)
        self.addCleanup(_terminate, process)
        return process

    async def _send_request(self, path: str) -> asyncio.StreamReader:
        """Sends a request on a new connection."""
        reader, writer = await self._connect()
        self.addCleanup(writer.close)
        _write_request(writer, path)
        return reader

    async def test_caller_that_connects_during_startup_is_served(self):
        """A caller reconnects while the program is still being loaded.

        Guards against refused connections during the startup.
        """
        process = await self._start_process()
        first_line = asyncio.ensure_future(process.stdout.readline())
        async with asyncio.timeout(_TIMEOUT_S):
            reader, writer = await self._connect()
            self.addCleanup(writer.close)
            # The program logs a line once it is loaded. There is none yet, so
            # the connection was accepted during the startup.
            await asyncio.sleep(_DELAY_S)
            self.assertFalse(first_line.done())
            _write_request(writer, "/write/x")
            status = await reader.readline()
        self.assertIn(b" 200 ", status)
        self.assertIn(b"event=started", await first_line)

    async def test_reload_signal_during_startup_is_deferred(self):
        """The settings file changes while the program is being loaded.

        Guards against the default action of SIGHUP, which would end the process
        and reset the waiting connections.
        """
        process = await self._start_process()
        async with asyncio.timeout(_TIMEOUT_S):
            reader = await self._send_request("/write/x")
            for _ in range(5):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(_DELAY_S)
            status = await reader.readline()
        self.assertIn(b" 200 ", status)
        self.assertIsNone(process.returncode)

    async def test_repeated_reload_does_not_disturb_a_request(self):
        """The settings file changes repeatedly during a slow request.

        Guards against a reload that interrupts, delays or repeats the request.
        """
        target = self.system.targets["plain-0"]
        process = await self._start_process()
        async with asyncio.timeout(_TIMEOUT_S):
            reader = await self._send_request("/write/first")
            self.assertIn(b" 200 ", await reader.readline())
            target.pause_s = 0.5
            reader = await self._send_request("/write/slow")
            started_at = asyncio.get_running_loop().time()
            for _ in range(20):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(_DELAY_S / 5)
            self.assertIn(b" 200 ", await reader.readline())
            duration_s = asyncio.get_running_loop().time() - started_at
        self.assertLess(duration_s, 2.0)
        runs = [seen for seen in target.seen if "/write/slow" in str(seen)]
        self.assertEqual(len(runs), 1)

    async def _connect(self):
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", self.ports[0])
            except ConnectionRefusedError:
                await asyncio.sleep(_POLL_S)


class ListenTest(unittest.TestCase):
    def test_unreadable_settings_yield_no_socket(self):
        self.assertIsNone(start.listen("/nowhere/settings.json"))

    def test_socket_listens_at_the_address_for_callers(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            ports = tuple(fixtures.free_port() for _ in range(3))
            path.write_text(
                json.dumps(
                    wire.instance_settings(
                        "f", "127.0.0.1", ports, "127.0.0.1:1"
                    )
                )
            )
            with start.listen(str(path)) as listening:
                address = ("127.0.0.1", ports[0])
                self.assertEqual(listening.getsockname(), address)
                socket.create_connection(address, timeout=1.0).close()
