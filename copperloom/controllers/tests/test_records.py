"""Tests that keyed work is claimed at most once, whatever the platform does."""

import asyncio
import unittest

from copperloom import exception
from copperloom.controllers import records
from copperloom.tests import fakes

_BOUND_S = 5.0


async def claim(state, *, key="k", body=b"b", request="r") -> records.Claim:
    return await records.claim(
        state, "org", key, body, request, wall_time_s=1.0
    )


async def settled(state) -> None:
    """Waits for all background writes."""
    while state.background:
        await asyncio.wait(state.background)


async def until_late(table: fakes.FakeTable) -> None:
    """Waits until a transaction is under way."""
    async with asyncio.timeout(_BOUND_S):
        while not table.late:
            await asyncio.sleep(0.001)


class RecordsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = fakes.FakeTable()
        self.first = fakes.record_state(self.table)
        self.second = fakes.record_state(self.table)

    async def test_one_of_two_entries_wins(self):
        """A caller sends the same key to two entries at once.

        Both insert the record; the table lets one through. The other caller
        must learn that the work may run, and must not run it.
        """
        results = await asyncio.gather(
            claim(self.first, request="a"),
            claim(self.second, request="b"),
            return_exceptions=True,
        )
        kinds = sorted(type(r).__name__ for r in results)
        self.assertEqual(kinds, ["Claim", "KeyInUseError"])

    async def test_lost_confirmation_is_resolved(self):
        """The insert takes effect but its confirmation is lost.

        Made again, it finds its own nonce. Without that the key would be
        refused to its own holder, and the work never run.
        """
        self.table.faults = ["lost"]
        mine = await claim(self.first)
        self.assertFalse(mine.replay)
        with self.assertRaises(exception.KeyInUseError):
            await claim(self.second)

    async def test_down_is_not_run_and_the_key_stays_free(self):
        """The platform is down: the caller is told "not run" at once.

        It comes back later with the same key and must then be served.
        """
        self.table.faults = ["down"]
        with self.assertRaises(exception.PlatformDownError) as caught:
            await claim(self.first)
        self.assertIs(caught.exception.run, exception.Run.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after_s)
        await settled(self.first)
        again = await claim(self.second)
        self.assertFalse(again.replay)

    async def test_insert_that_lands_after_giving_up(self):
        """An insert is on its way when its caller's time runs out.

        The entry writes "not run" in its place, so the late insert finds a
        row and fails. Without that the key would be blocked for good though
        nothing ran.
        """
        self.table.faults = ["late"] * 3
        task = asyncio.create_task(claim(self.first))
        await until_late(self.table)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await settled(self.first)
        self.table.land()
        again = await claim(self.second)
        self.assertFalse(again.replay)

    async def test_late_insert_before_the_void(self):
        """As above, but the insert lands before the entry gives up."""
        self.table.faults = ["late"]
        task = asyncio.create_task(claim(self.first))
        await until_late(self.table)
        self.table.land()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await settled(self.first)
        self.assertFalse((await claim(self.second)).replay)

    async def test_late_claim_over_a_not_run_record(self):
        """A key was given back as "not run"; a second claim of it is late.

        The second entry gives up before its claim lands. It must replace the
        older "not run", or the late claim would block the key for good.
        """
        self.table.faults = ["down"]
        with self.assertRaises(exception.PlatformDownError):
            await claim(self.first)
        await settled(self.first)
        self.table.faults = ["", "late"]
        task = asyncio.create_task(claim(self.first))
        await until_late(self.table)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await settled(self.first)
        self.table.land()
        self.assertFalse((await claim(self.second)).replay)

    async def test_done_is_replayed(self):
        mine = await claim(self.first)
        await records.record_outcome(
            self.first,
            mine,
            phase=records.Phase.DONE,
            content_type="text/plain",
            answer=b"yes",
        )
        again = await claim(self.second)
        self.assertTrue(again.replay)
        self.assertEqual(again.record.answer, b"yes")

    async def test_failed_stays_failed(self):
        mine = await claim(self.first)
        run = exception.Run.MAY_HAVE_RUN
        await records.record_outcome(
            self.first, mine, phase=records.Phase.FAILED, code=4004, run=run
        )
        with self.assertRaises(exception.KeyInUseError) as caught:
            await claim(self.second)
        self.assertIs(caught.exception.run, run)

    async def test_other_body_under_the_key(self):
        await claim(self.first)
        with self.assertRaises(exception.KeyConflictError):
            await claim(self.second, body=b"other")

    async def test_silent_holder_keeps_its_record(self):
        """The holder is paused after its claim; a repeat must not run.

        The paused entry may go on at any time and send the work, however long
        it was silent, so nobody may take its record over.
        """
        await claim(self.first)
        for _ in range(3):
            with self.assertRaises(exception.KeyInUseError):
                await claim(self.second)

    async def test_records_share_transactions(self):
        """A burst of keyed requests must not use up the table's writes."""
        jobs = [claim(self.first, key=f"k{i}") for i in range(50)]
        await asyncio.gather(*jobs)
        self.assertLessEqual(self.table.transactions, 4)

    async def test_conflict_in_a_batch_hurts_only_its_own_key(self):
        await claim(self.second, key="k3")
        jobs = [claim(self.first, key=f"k{i}") for i in range(10)]
        results = await asyncio.gather(*jobs, return_exceptions=True)
        failed = [i for i, r in enumerate(results) if isinstance(r, Exception)]
        self.assertEqual(failed, [3])
