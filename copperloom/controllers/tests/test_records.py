"""Tests that a key is claimed at most once despite platform faults."""

import asyncio
import unittest

from copperloom import exception
from copperloom.controllers import records
from copperloom.tests import fakes

_TIMEOUT_S = 5.0


async def claim(state, *, key="k", body=b"b", request="r") -> records.Claim:
    return await records.claim(
        state, "org", key, body, request, wall_time_s=1.0
    )


async def background_done(state) -> None:
    """Waits for all background writes."""
    while state.background:
        await asyncio.wait(state.background)


async def until_late(table: fakes.FakeTable) -> None:
    """Waits until a transaction is delayed."""
    async with asyncio.timeout(_TIMEOUT_S):
        while not table.late:
            await asyncio.sleep(0.001)


class RecordsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = fakes.FakeTable()
        self.first = fakes.record_state(self.table)
        self.second = fakes.record_state(self.table)

    async def test_concurrent_claims_have_one_winner(self):
        """Guards against a request that runs at two entries at once."""
        results = await asyncio.gather(
            claim(self.first, request="a"),
            claim(self.second, request="b"),
            return_exceptions=True,
        )
        kinds = sorted(type(r).__name__ for r in results)
        self.assertEqual(kinds, ["Claim", "KeyInUseError"])

    async def test_lost_confirmation_is_resolved(self):
        """Guards against a key that is refused to its own holder.

        The insert takes effect, but its confirmation is lost.
        """
        self.table.faults = ["lost"]
        own = await claim(self.first)
        self.assertFalse(own.replay)
        with self.assertRaises(exception.KeyInUseError):
            await claim(self.second)

    async def test_key_stays_free_when_the_platform_is_down(self):
        """Guards against a key that stays blocked after an outage.

        The caller gets "not run" and may repeat the request later.
        """
        self.table.faults = ["down"]
        with self.assertRaises(exception.PlatformDownError) as caught:
            await claim(self.first)
        self.assertIs(caught.exception.run, exception.Run.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after_s)
        await background_done(self.first)
        again = await claim(self.second)
        self.assertFalse(again.replay)

    async def test_insert_after_its_not_run_record_fails(self):
        """Guards against a key blocked by an insert that takes effect late.

        The request timed out, and "not run" was recorded before the insert.
        """
        self.table.faults = ["late"] * 3
        task = asyncio.create_task(claim(self.first))
        await until_late(self.table)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await background_done(self.first)
        self.table.land()
        again = await claim(self.second)
        self.assertFalse(again.replay)

    async def test_insert_before_its_not_run_record_is_replaced(self):
        """Guards against a key blocked by an insert that was not confirmed.

        The insert took effect before the request timed out.
        """
        self.table.faults = ["late"]
        task = asyncio.create_task(claim(self.first))
        await until_late(self.table)
        self.table.land()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await background_done(self.first)
        self.assertFalse((await claim(self.second)).replay)

    async def test_late_claim_of_a_not_run_record_fails(self):
        """Guards against a key blocked by a late claim of a "not run" record.

        The request that timed out must write its own "not run" record.
        """
        self.table.faults = ["down"]
        with self.assertRaises(exception.PlatformDownError):
            await claim(self.first)
        await background_done(self.first)
        self.table.faults = ["", "late"]
        task = asyncio.create_task(claim(self.first))
        await until_late(self.table)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await background_done(self.first)
        self.table.land()
        self.assertFalse((await claim(self.second)).replay)

    async def test_completed_request_is_replayed(self):
        own = await claim(self.first)
        await records.record_outcome(
            self.first,
            own,
            phase=records.Phase.DONE,
            content_type="text/plain",
            answer=b"yes",
        )
        again = await claim(self.second)
        self.assertTrue(again.replay)
        self.assertEqual(again.record.answer, b"yes")

    async def test_failed_request_is_not_run_again(self):
        own = await claim(self.first)
        run = exception.Run.MAY_HAVE_RUN
        await records.record_outcome(
            self.first, own, phase=records.Phase.FAILED, code=4004, run=run
        )
        with self.assertRaises(exception.KeyInUseError) as caught:
            await claim(self.second)
        self.assertIs(caught.exception.run, run)

    async def test_key_with_another_body_is_refused(self):
        await claim(self.first)
        with self.assertRaises(exception.KeyConflictError):
            await claim(self.second, body=b"other")

    async def test_silent_holder_keeps_its_record(self):
        """Guards against a second run while the holder is paused.

        The holder may resume and send the request at any time.
        """
        await claim(self.first)
        for _ in range(3):
            with self.assertRaises(exception.KeyInUseError):
                await claim(self.second)

    async def test_records_share_transactions(self):
        """Guards against one transaction for each request of a burst."""
        claims = [claim(self.first, key=f"k{i}") for i in range(50)]
        await asyncio.gather(*claims)
        self.assertLessEqual(self.table.transactions, 4)

    async def test_conflict_in_a_batch_affects_only_its_own_key(self):
        await claim(self.second, key="k3")
        claims = [claim(self.first, key=f"k{i}") for i in range(10)]
        results = await asyncio.gather(*claims, return_exceptions=True)
        failed = [i for i, r in enumerate(results) if isinstance(r, Exception)]
        self.assertEqual(failed, [3])
