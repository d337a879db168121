"""Tests of a complete system in one process."""

import dataclasses
import unittest

from copperloom.experiments import (
    arrivals,
    client,
    cluster,
    load,
    mixes,
    plan,
    result,
)

_MIX = plan.make_settings(
    mixes.LoadSettings,
    {
        "load": {"name": "pair", "time_limit_s": 60.0},
        "cluster": {"entries": 2, "engines": 2, "services": 0},
    },
)


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    async def test_long_prompts_at_two_entries_wait_for_memory(self):
        # Both entries place a long prompt on an engine with memory for one.
        # The request whose reservation is denied must wait, not be refused.
        system = await cluster.start(_MIX)
        self.addAsyncCleanup(cluster.stop, system)
        first = arrivals.Arrival(0, 0.0, "org-00", "long", 300_000, 8)
        second = dataclasses.replace(first, index=1)
        outcomes = await client.run(
            _MIX,
            [first, second],
            system.addresses(),
            expected=load.expected_of_standins(_MIX),
        )
        problems = [s.problem for s in outcomes]
        self.assertEqual([s.code for s in outcomes], [result.OK] * 2, problems)
