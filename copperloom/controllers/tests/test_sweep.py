"""Tests of the removal of old idempotency records."""

import unittest

from copperloom import exception
from copperloom.controllers import records, sweep
from copperloom.platform.interface import Row
from copperloom.tests import fakes

_OLD = 1000.0
_YOUNG = 5000.0
_CUTOFF = 3000.0


class SweepTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = fakes.FakeTable()
        self.entry = fakes.record_state(self.table)

    async def claim(self, key: str, at: float) -> records.Claim:
        return await records.claim(
            self.entry, "org", key, b"b", "r", wall_time_s=at
        )

    async def sweep_all(self) -> None:
        await sweep.sweep_page(self.entry, _CUTOFF)
        while self.entry.sweep.after:
            await sweep.sweep_page(self.entry, _CUTOFF)

    async def test_only_old_records_are_removed(self):
        await self.claim("old", _OLD)
        await self.claim("young", _YOUNG)
        self.table.rows["config/head"] = Row("config/head", {}, 1)
        await self.sweep_all()
        self.assertEqual(
            sorted(self.table.rows),
            ["config/head", "idem/org/young", "sweep/holder"],
        )

    async def test_all_pages_are_swept(self):
        for i in range(450):
            await self.claim(f"k{i:03}", _OLD)
        self.table.transactions = 0
        await self.sweep_all()
        self.assertEqual(list(self.table.rows), ["sweep/holder"])
        self.assertLessEqual(self.table.transactions, 30)

    async def test_record_claimed_again_after_the_scan_stays(self):
        """Guards against the removal of a key claimed again after the scan."""
        await self.claim("k", _OLD)
        outdated = list(self.table.rows.values())

        async def outdated_scan(*args, **named):
            return outdated

        self.entry.platform.scan = outdated_scan
        row = self.table.rows["idem/org/k"]
        self.table.rows[row.key] = Row(row.key, row.value, row.version + 1)
        await sweep.sweep_page(self.entry, _CUTOFF)
        self.assertIn("idem/org/k", self.table.rows)

    async def test_late_removal_does_not_remove_a_new_claim(self):
        """Guards against a delayed removal after the key was claimed again.

        The new record has the same version as the removed one.
        """
        await self.claim("k", _OLD)
        self.table.faults = ["", "late"]
        with self.assertRaises(exception.PlatformUnknownError):
            await sweep.sweep_page(self.entry, _CUTOFF)
        await sweep.sweep_page(self.entry, _CUTOFF)
        self.assertNotIn("idem/org/k", self.table.rows)
        await self.claim("k", _YOUNG)
        self.table.land()
        self.assertIn("idem/org/k", self.table.rows)

    async def test_replaced_sweeper_does_not_remove_a_new_claim(self):
        """Guards against removals by a sweeper that was paused and replaced."""
        other = fakes.record_state(self.table)
        await self.claim("k", _OLD)
        await sweep.sweep_page(self.entry, -1.0)
        outdated = list(self.table.rows.values())
        await sweep.sweep_page(other, _CUTOFF)
        await self.claim("k", _YOUNG)

        async def outdated_scan(*args, **named):
            return outdated

        self.entry.platform.scan = outdated_scan
        with self.assertRaises(exception.ChangeLostError):
            await sweep.sweep_page(self.entry, _CUTOFF)
        self.assertIn("idem/org/k", self.table.rows)

    async def test_platform_down_removes_nothing(self):
        await self.claim("k", _OLD)
        self.table.faults = ["", "down"]
        with self.assertRaises(exception.PlatformDownError):
            await sweep.sweep_page(self.entry, _CUTOFF)
        self.assertIn("idem/org/k", self.table.rows)
