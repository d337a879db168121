"""Tests of the client of the table service, including failed calls."""

import unittest

from copperloom import exception
from copperloom.platform import store
from copperloom.platform.standins import store as store_standin


async def _start(case) -> tuple[store_standin.StoreStandin, store.Store]:
    service = await store_standin.serve()
    case.addAsyncCleanup(service.close)
    client = store.Store(service.address)

    async def close() -> None:
        await store.close(client)

    case.addAsyncCleanup(close)
    return service, client


class WriteTest(unittest.IsolatedAsyncioTestCase):
    async def test_write_with_lost_response_has_unknown_outcome(self):
        """The row is written, but the response is lost.

        Guards against reporting a write that took effect as failed.
        """
        service, client = await _start(self)
        service.lost_responses = 1
        with self.assertRaises(exception.PlatformUnknownError):
            await store.put_row(client, "t", "k", b"v")
        found = await store.read_all(client, "t")
        self.assertEqual([row.value for row in found.rows], [b"v"])
        self.assertEqual(client.calls["rows-tx", "lost"], 1)

    async def test_rejected_write_has_no_effect(self):
        service, client = await _start(self)
        for status in (412, 429, 503):
            service.down = status
            with self.assertRaises(exception.PlatformDownError):
                await store.put_row(client, "t", "k", b"v")
        service.down = None
        self.assertEqual((await store.read_all(client, "t")).rows, ())

    async def test_other_status_means_unknown_outcome(self):
        service, client = await _start(self)
        service.down = 500
        with self.assertRaises(exception.PlatformUnknownError):
            await store.put_row(client, "t", "k", b"v")

    async def test_refused_connection_has_no_effect(self):
        client = store.Store("127.0.0.1:9")
        with self.assertRaises(exception.PlatformDownError):
            await store.put_row(client, "t", "k", b"v")
        await store.close(client)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_table_is_read_in_pages(self):
        service, client = await _start(self)
        for number in range(1203):
            service.put("t", f"k{number:05}", b"v")
        found = await store.read_all(client, "t")
        self.assertEqual(len({row.key for row in found.rows}), 1203)
        self.assertEqual(client.calls["rows-get", "200"], 3)

    async def test_malformed_value_is_read_as_none(self):
        service, client = await _start(self)
        service.put("t", "good", b"v")
        service._set("t", "spoiled", "not base64!")
        found = await store.read_all(client, "t")
        values = {row.key: row.value for row in found.rows}
        self.assertEqual(values, {"good": b"v", "spoiled": None})

    async def test_feed_reports_a_removed_row(self):
        service, client = await _start(self)
        service.put("t", "k", b"v")
        before = (await store.read_all(client, "t")).version
        service.remove("t", "k")
        found = await store.feed(client, "t", before, 1.0)
        self.assertTrue(found.rows[0].removed)

    async def test_feed_from_a_forgotten_version_fails(self):
        service, client = await _start(self)
        service.put("t", "k", b"v")
        service.forget_history()
        with self.assertRaises(exception.HistoryGoneError):
            await store.feed(client, "t", 0, 0.1)
