"""Tests of the platform's HTTP client: results and classes of errors."""

import time
import unittest

from copperloom import exception
from copperloom.controllers.tests import fixtures
from copperloom.platform import http, interface

_TIMEOUT_S = 2.0


class HttpTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.standin = fixtures.start_platform(self, list_lag_s=0.2)

    async def asyncSetUp(self):
        self.platform = http.connect(self.standin.address)
        self.addAsyncCleanup(self.platform.close)

    async def put(self, key, value, version=0, timeout_s=_TIMEOUT_S):
        return await self.platform.transact(
            [interface.Condition(key, version)],
            [interface.Write(key, value)],
            timeout_s=timeout_s,
        )

    async def test_write_with_outdated_version_is_rejected(self):
        self.assertTrue((await self.put("k", {"n": 1})).committed)
        rejected = await self.put("k", {"n": 2})
        self.assertFalse(rejected.committed)
        self.assertEqual(rejected.conflicts[0].version, 1)
        row = await self.platform.read("k", timeout_s=_TIMEOUT_S)
        self.assertEqual((row.value, row.version), ({"n": 1}, 1))

    async def test_scan_is_in_key_order_and_starts_after_a_key(self):
        for name in ("p/2", "p/1", "p/3", "q/1"):
            await self.put(name, name)
        rows = await self.platform.scan("p/", timeout_s=_TIMEOUT_S)
        self.assertEqual([r.key for r in rows], ["p/1", "p/2", "p/3"])
        rows = await self.platform.scan(
            "p/", after="p/1", limit=1, timeout_s=_TIMEOUT_S
        )
        self.assertEqual([r.key for r in rows], ["p/2"])

    async def test_object_is_read_back(self):
        await self.platform.put_object("a/b", b"\x00data", timeout_s=_TIMEOUT_S)
        data = await self.platform.get_object("a/b", timeout_s=_TIMEOUT_S)
        self.assertEqual(data, b"\x00data")
        self.assertIsNone(
            await self.platform.get_object("c", timeout_s=_TIMEOUT_S)
        )

    async def test_instance_is_listed_with_a_delay_and_expires(self):
        await fixtures.control(self.standin, instance_ttl_s=0.5)
        row = interface.InstanceRow("i", "entry", "127.0.0.1:1", "dc")
        await self.platform.announce(row, timeout_s=_TIMEOUT_S)
        self.assertEqual(
            await self.platform.instances(timeout_s=_TIMEOUT_S), []
        )
        observed = []
        deadline = time.monotonic() + 10
        while len(observed) < 2 and time.monotonic() < deadline:
            rows = await self.platform.instances(timeout_s=_TIMEOUT_S)
            if bool(rows) != (len(observed) == 1):
                observed.append(rows)
        self.assertEqual(observed, [[row], []])

    async def test_refused_connection_has_no_effect(self):
        platform = http.connect("127.0.0.1:1")
        self.addAsyncCleanup(platform.close)
        with self.assertRaises(exception.PlatformDownError):
            await platform.transact([], [], timeout_s=_TIMEOUT_S)

    async def test_write_during_an_outage_has_no_effect(self):
        await fixtures.control(self.standin, outage=["table"])
        with self.assertRaises(exception.PlatformDownError):
            await self.put("k", 1)
        await fixtures.control(self.standin, outage=[])
        row = await self.platform.read("k", timeout_s=_TIMEOUT_S)
        self.assertEqual(row.version, 0)

    async def test_write_without_response_has_unknown_outcome(self):
        await fixtures.control(self.standin, black_hole=["table"])
        with self.assertRaises(exception.PlatformUnknownError):
            await self.put("k", 1, timeout_s=0.2)
        with self.assertRaises(exception.PlatformDownError):
            await self.platform.read("k", timeout_s=0.2)

    async def test_write_with_lost_response_has_unknown_outcome(self):
        await fixtures.control(self.standin, lose_confirmations=1)
        with self.assertRaises(exception.PlatformUnknownError):
            await self.put("k", 1)
        row = await self.platform.read("k", timeout_s=_TIMEOUT_S)
        self.assertEqual(row.version, 1)

    async def test_rate_limit_reports_when_to_retry(self):
        await fixtures.control(self.standin, weights_per_s=2)
        await self.platform.acquire_weights(1, timeout_s=_TIMEOUT_S)
        with self.assertRaises(exception.RateLimitedError) as caught:
            await self.platform.acquire_weights(2, timeout_s=_TIMEOUT_S)
        self.assertGreater(caught.exception.retry_after_s, 0)
