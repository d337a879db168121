"""Tests of the demo and of the failures that it must report."""

import dataclasses
import unittest

from copperloom.experiments import demo, result
from copperloom.experiments.tests import samples


class VerdictTest(unittest.TestCase):
    def test_demo_without_failures_has_no_problems(self):
        self.assertEqual(demo.problems(demo_result()), [])

    def test_lost_request_is_a_problem(self):
        res = samples.run_of({0: 0.1, 1: 0.1})
        lost = dataclasses.replace(res.samples[0], code=result.LOST)
        mixed = dataclasses.replace(res, samples=[lost, res.samples[1]])
        self.assertEqual(len(demo.problems(demo_result(mixed=mixed))), 1)

    def test_valid_request_rejected_as_invalid_is_a_problem(self):
        res = samples.run_of({0: 0.1, 1: 0.1})
        bad = dataclasses.replace(res.samples[0], code=2001, run="not_run")
        mixed = dataclasses.replace(res, samples=[bad, res.samples[1]])
        self.assertEqual(len(demo.problems(demo_result(mixed=mixed))), 1)

    def test_unanswered_group_of_prompts_is_a_problem(self):
        """Guards against a demo that passes by refusing all long prompts."""
        res = samples.run_of({0: 0.1, 1: 0.1})
        refused = dataclasses.replace(
            res.samples[0], group="long", code=3005, run="not_run"
        )
        mixed = dataclasses.replace(res, samples=[refused, res.samples[1]])
        self.assertEqual(len(demo.problems(demo_result(mixed=mixed))), 1)

    def test_new_work_at_a_retired_engine_is_a_problem(self):
        self.assertEqual(len(demo.problems(demo_result(late_streams=1))), 1)

    def test_engine_memory_that_stays_in_use_is_a_problem(self):
        self.assertEqual(len(demo.problems(demo_result(kv_left=1))), 1)

    def test_table_shows_outcomes_and_slowdown(self):
        text = "\n".join(demo.table(demo_result()))
        self.assertIn("whole answer", text)
        self.assertIn("slowdown of short prompts: p50 2.0", text)


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def test_short_demo_has_no_problems(self):
        ended = await demo.run(demo.demo_mix(1.0), seed=1)
        self.assertEqual(demo.problems(ended), [])
        self.assertIn("long", {s.group for s in ended.mixed.samples})


def demo_result(**changes) -> demo.DemoResult:
    mixed = samples.run_of({0: 0.2})
    alone = samples.run_of({0: 0.1}, long=False)
    complete = demo.DemoResult(alone, mixed, 0.5, 0, 0)
    return dataclasses.replace(complete, **changes)
