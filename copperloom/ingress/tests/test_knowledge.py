"""Tests what an instance adds to its digests."""

import asyncio
import unittest

from copperloom.decisions import crash_evidence
from copperloom.decisions.sharing import Occasion
from copperloom.ingress import digests
from copperloom.ingress.tests import fixtures

# More requests than one message holds.
_CRASHING_REQUESTS = 200
_TARGETS = ("t0", "t1", "t2")


class RestOfEvidenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_broadcast_is_followed_by_another(self):
        """Guards against broadcasts without end while replies are full."""
        system = await fixtures.start_system(self, fronts=1)
        state = system.fronts[0].entry
        now = asyncio.get_running_loop().time()
        for number in range(_CRASHING_REQUESTS):
            for target in _TARGETS:
                crash_evidence.record_crash(
                    state.crashes, b"%d" % number, target, now
                )
        for occasion in Occasion:
            with self.subTest(occasion):
                state.digest_due.clear()
                digests.encode(state, now, [], occasion=occasion)
                self.assertEqual(
                    state.digest_due.is_set(), occasion is Occasion.BROADCAST
                )
