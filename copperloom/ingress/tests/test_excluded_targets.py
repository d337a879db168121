"""Tests that an owner places around targets that only the sender excludes."""

import asyncio
import time
import unittest
from unittest import mock

from copperloom.decisions import backoff, registry, shards
from copperloom.ingress import draining_targets
from copperloom.ingress.tests import fixtures, fleets

_WAIT_S = 4.0


class ExcludedTargetsTest(unittest.IsolatedAsyncioTestCase):
    async def test_owner_that_has_not_heard_of_draining_targets(self):
        """Guards against the plans of an owner that lost the digests."""
        system = await fleets.start_fleet(self, engines=4)
        owners = fleets.ranked_owners(system)[: shards.OWNERS]
        number = next(
            n
            for n, f in enumerate(system.fronts)
            if f.entry.settings.instance not in owners
        )
        entry = system.fronts[number].entry
        now = asyncio.get_running_loop().time()
        with mock.patch.object(draining_targets, "apply", return_value=False):
            for name in ("engine-0", "engine-1", "engine-2"):
                registry.note_draining(
                    entry.targets, f"{name}@1", now, forwards=True
                )
            started_at = time.monotonic()
            answers = [
                await fixtures.call(
                    system, "/chat/x", prompt=5000, number=number
                )
                for _ in range(8)
            ]
        self.assertLess(time.monotonic() - started_at, _WAIT_S)
        self.assertEqual({a.status for a in answers}, {200})
        self.assertEqual(len(system.targets["engine-3"].seen), 8)

    async def test_owner_places_around_targets_that_reject_others(self):
        """Guards against an owner that knows only its own answers."""
        system = await fleets.start_fleet(self, engines=4)
        for name in ("engine-0", "engine-1", "engine-2"):
            system.targets[name].retry_after = "60"
        number = fleets.index(system, fleets.ranked_owners(system)[-1])
        entry = system.fronts[number].entry
        now = asyncio.get_running_loop().time()
        for name in ("engine-0", "engine-1", "engine-2"):
            backoff.hold(entry.backoff, f"{name}@1", 60.0, now)
        answers = [
            await fixtures.call(system, "/chat/x", prompt=5000, number=number)
            for _ in range(8)
        ]
        self.assertEqual({a.status for a in answers}, {200})
        self.assertEqual(len(system.targets["engine-3"].seen), 8)
