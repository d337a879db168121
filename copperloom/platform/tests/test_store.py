"""The client of the table service, through everything that a call may meet."""

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
    async def test_lost_answer_may_have_been_done(self):
        """The service writes a row, and its answer is lost.

        The caller must not take the write for failed: it is there.
        """
        service, client = await _start(self)
        service.lose_writes = 1
        with self.assertRaises(exception.PlatformUnknownError):
            await store.put_row(client, "t", "k", b"v")
        found = await store.read_all(client, "t")
        self.assertEqual([row.value for row in found.rows], [b"v"])
        self.assertEqual(client.calls["rows-tx", "lost"], 1)

    async def test_refusals_have_done_nothing(self):
        service, client = await _start(self)
        for status in (412, 429, 503):
            service.down = status
            with self.assertRaises(exception.PlatformDownError):
                await store.put_row(client, "t", "k", b"v")
        service.down = None
        self.assertEqual((await store.read_all(client, "t")).rows, ())

    async def test_other_statuses_prove_nothing(self):
        service, client = await _start(self)
        service.down = 500
        with self.assertRaises(exception.PlatformUnknownError):
            await store.put_row(client, "t", "k", b"v")

    async def test_nobody_listens(self):
        client = store.Store("127.0.0.1:9")
        with self.assertRaises(exception.PlatformDownError):
            await store.put_row(client, "t", "k", b"v")
        await store.close(client)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_many_rows_take_several_calls(self):
        service, client = await _start(self)
        for number in range(1203):
            service.put("t", f"k{number:05}", b"v")
        found = await store.read_all(client, "t")
        self.assertEqual(len({row.key for row in found.rows}), 1203)
        self.assertEqual(client.calls["rows-get", "200"], 3)

    async def test_spoiled_values_are_no_values(self):
        service, client = await _start(self)
        service.put("t", "good", b"v")
        service._set("t", "spoiled", "not base64!")
        found = await store.read_all(client, "t")
        values = {row.key: row.value for row in found.rows}
        self.assertEqual(values, {"good": b"v", "spoiled": None})

    async def test_removed_row_comes_by_the_feed(self):
        service, client = await _start(self)
        service.put("t", "k", b"v")
        before = (await store.read_all(client, "t")).version
        service.remove("t", "k")
        found = await store.feed(client, "t", before, 1.0)
        self.assertTrue(found.rows[0].removed)

    async def test_history_that_is_gone(self):
        service, client = await _start(self)
        service.put("t", "k", b"v")
        service.forget_history()
        with self.assertRaises(exception.HistoryGoneError):
            await store.feed(client, "t", 0, 0.1)
