"""Tests of the client of the table service, including failed calls."""

import asyncio
import unittest

from copperloom import exception, versions
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
            await store.feed(client, "t", versions.NONE, 0.1)


class EraTest(unittest.IsolatedAsyncioTestCase):
    async def test_versions_of_a_later_era_are_higher(self):
        service, client = await _start(self)
        service.put("t", "k", b"v")
        backup = service.copy()
        service.put("t", "k", b"w")
        before = await store.read_all(client, "t")
        service.return_from(backup)
        after = await store.read_all(client, "t")
        self.assertLess(after.version.number, before.version.number)
        self.assertGreater(after.version, before.version)
        self.assertGreater(after.rows[0].version, before.rows[0].version)

    async def test_service_that_names_no_era_has_era_0(self):
        service, client = await _start(self)
        service.era = None
        version = service.put("t", "k", b"v")
        found = await store.read_all(client, "t")
        self.assertEqual(found.version, versions.Version(0, version))
        self.assertIsNone(client.era)

    async def test_era_of_an_error_ends_a_feed(self):
        """Guards against a return that only refused calls have shown."""
        service, client = await _start(self)
        service.put("t", "k", b"v")
        version = (await store.read_all(client, "t")).version
        task = asyncio.ensure_future(store.feed(client, "t", version, 5.0))
        await asyncio.sleep(0.1)
        service.down, service.era = 503, 2
        with self.assertRaises(exception.PlatformDownError):
            await store.put_row(client, "t", "k", b"w")
        with self.assertRaises(exception.HistoryGoneError):
            await asyncio.wait_for(task, 1.0)

    async def test_late_answers_of_an_earlier_era_are_rejected(self):
        """Guards against an old state that comes back with a late answer."""
        service, client = await _start(self)
        service.put("t", "k", b"v")
        version = (await store.read_all(client, "t")).version
        store.note_era(client, 2)
        with self.assertRaises(exception.HistoryGoneError):
            await store.read_all(client, "t")
        with self.assertRaises(exception.HistoryGoneError):
            await store.feed(client, "t", version, 0.1)
        with self.assertRaises(exception.PlatformUnknownError):
            await store.put_row(client, "t", "k", b"w")

    async def test_pages_of_two_eras_make_no_table(self):
        """Guards against a table that never was."""
        service, client = await _start(self)
        for number in range(1203):
            service.put("t", f"k{number:05}", b"v")
        service.delays_s["t"] = 0.1
        task = asyncio.ensure_future(store.read_all(client, "t"))
        await asyncio.sleep(0.15)
        service.return_from(service.copy())
        with self.assertRaises(exception.HistoryGoneError):
            await task

    async def test_unreadable_era_is_ignored(self):
        service, client = await _start(self)
        for era in ("-1", "x", "9" * 40, "1.5"):
            service.era = era
            found = await store.read_all(client, "t")
            self.assertEqual(found.version.era, 0)

    async def test_return_is_reported_once(self):
        _, client = await _start(self)
        returns = []
        client.on_return = returns.append
        for era in (3, 3, 4, 3, 4, 6):
            store.note_era(client, era)
        self.assertEqual(returns, [3, 4])
