"""Tests that a planned stop of an instance interrupts no request."""

import asyncio
import unittest

import aiohttp

from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import target as target_standin


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
