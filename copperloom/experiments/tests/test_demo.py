"""The demo's verdict: what it must not call a success."""

import dataclasses
import unittest

from copperloom.experiments import demo, result
from copperloom.experiments.tests import samples


class VerdictTest(unittest.TestCase):
    def test_nothing_lost(self):
        self.assertEqual(demo.problems(seen()), [])

    def test_lost_request(self):
        res = samples.run_of({0: 0.1, 1: 0.1})
        lost = dataclasses.replace(res.samples[0], code=result.LOST)
        mixed = dataclasses.replace(res, samples=[lost, res.samples[1]])
        self.assertEqual(len(demo.problems(seen(mixed=mixed))), 1)

    def test_valid_request_called_bad(self):
        res = samples.run_of({0: 0.1, 1: 0.1})
        bad = dataclasses.replace(res.samples[0], code=2001, run="not_run")
        mixed = dataclasses.replace(res, samples=[bad, res.samples[1]])
        self.assertEqual(len(demo.problems(seen(mixed=mixed))), 1)

    def test_no_long_prompt_answered(self):
        res = samples.run_of({0: 0.1, 1: 0.1})
        refused = dataclasses.replace(
            res.samples[0], group="long", code=3005, run="not_run"
        )
        mixed = dataclasses.replace(res, samples=[refused, res.samples[1]])
        self.assertEqual(len(demo.problems(seen(mixed=mixed))), 1)

    def test_retired_engine_got_work(self):
        self.assertEqual(len(demo.problems(seen(retired_runs=1))), 1)

    def test_memory_did_not_come_back(self):
        self.assertEqual(len(demo.problems(seen(kv_left=1))), 1)

    def test_table_names_outcomes_and_slowdown(self):
        text = "\n".join(demo.table(seen()))
        self.assertIn("whole answer", text)
        self.assertIn("slowdown of short prompts: p50 2.0", text)


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def test_short_demo_loses_nothing(self):
        got = await demo.run(demo.demo_mix(1.0), seed=1)
        self.assertEqual(demo.problems(got), [])
        self.assertIn("long", {s.group for s in got.mixed.samples})


def seen(**changes) -> demo.DemoResult:
    mixed = samples.run_of({0: 0.2})
    alone = samples.run_of({0: 0.1}, long=False)
    whole = demo.DemoResult(alone, mixed, 0.5, 0, 0)
    return dataclasses.replace(whole, **changes)
