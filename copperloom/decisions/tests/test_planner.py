"""Placement of prompts by worth and interference, without a network."""

import dataclasses
import random
import unittest

from copperloom.decisions import inflight, iterations, planner, plans
from copperloom.decisions.tests import sheets

ENGINE = sheets.SHEETS["wroclaw"].spec
SHORT = plans.Prompt(
    tokens=5000,
    answer_tokens=1600,
    first_token_aim_s=0.3,
    pause_aim_s=0.25,
)
LONG = plans.Prompt(
    tokens=154_000,
    answer_tokens=800,
    first_token_aim_s=3.0,
    pause_aim_s=1.0,
)


def _load(**changes) -> inflight.TargetLoad:
    return dataclasses.replace(inflight.TargetLoad(), **changes)


def _engines(count: int, **loads) -> list[plans.Candidate]:
    return [
        plans.Candidate(
            name=f"e{n}",
            load=loads.get(f"e{n}", inflight.TargetLoad()),
            penalty=0.0,
            slots=8,
        )
        for n in range(count)
    ]


def _decoding(count: int, objective_s: float = 0.25) -> inflight.TargetLoad:
    decodes = (inflight.Decode(objective_s, 1.0),) * count
    return _load(requests=count, decodes=decodes, context=6000 * count)


def _prefilling(prefill_s: float, age_s: float = 0.0) -> inflight.TargetLoad:
    prefill = inflight.Prefill(age_s, prefill_s, 3.0, 13.0, True, None)
    return _load(requests=1, prefills=(prefill,))


class PlanTest(unittest.TestCase):
    def test_long_prompt_on_idle_engines_meets_its_objective(self):
        plan = planner.plan_prompt(ENGINE, LONG, _engines(14))
        self.assertGreaterEqual(len(plan.helpers), 1)
        self.assertLess(plan.first_token_s, LONG.first_token_aim_s)

    def test_short_prompt_is_not_split(self):
        plan = planner.plan_prompt(ENGINE, SHORT, _engines(14))
        self.assertEqual(plan.helpers, ())
        self.assertLess(plan.first_token_s, 0.1)

    def test_short_prompt_avoids_an_engine_with_a_long_prefill(self):
        """Head-of-line blocking behind a prefill costs more than decoding."""
        engines = _engines(2, e0=_prefilling(1.0), e1=_decoding(4))
        plan = planner.plan_prompt(ENGINE, SHORT, engines)
        self.assertEqual(plan.lead, "e1")

    def test_long_prompt_avoids_engines_that_decode_short_answers(self):
        """A part beside short answers would interrupt their decoding."""
        busy = {f"e{n}": _decoding(4) for n in range(7)}
        plan = planner.plan_prompt(ENGINE, LONG, _engines(14, **busy))
        chosen = {plan.lead, *plan.helpers}
        self.assertFalse(chosen & busy.keys())

    def test_parts_are_short_where_all_engines_decode(self):
        """Long parts would make all answers miss their objectives."""
        busy = {f"e{n}": _decoding(2) for n in range(14)}
        prompt = dataclasses.replace(LONG, tokens=60_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(14, **busy))
        self.assertLess(plan.part_s, 0.2)

    def test_prompt_in_the_current_iteration_counts_as_decoding(self):
        """A part would delay the second token of a prompt in prefill.

        The other engine decodes as much and has no prefill.
        """
        prefill = inflight.Prefill(0.2, 1.2, 2.0, 16.0, True, 1.0)
        busy = dataclasses.replace(
            _decoding(2), requests=3, prefills=(prefill,), tokens=154_000
        )
        engines = _engines(2, e0=busy, e1=_decoding(2))
        plan = planner.plan_prompt(ENGINE, LONG, engines)
        self.assertEqual((plan.lead, plan.helpers), ("e1", ()))

    def test_failing_engine_is_avoided(self):
        engines = _engines(3)
        engines[0] = dataclasses.replace(engines[0], penalty=3.0)
        plan = planner.plan_prompt(ENGINE, LONG, engines)
        self.assertNotIn("e0", (plan.lead, *plan.helpers))

    def test_no_plan_without_a_free_slot(self):
        full = {f"e{n}": _decoding(8) for n in range(2)}
        plan = planner.plan_prompt(ENGINE, SHORT, _engines(2, **full))
        self.assertIsNone(plan)

    def test_engine_without_enough_memory_is_avoided(self):
        """An engine can't hold two long prompts."""
        full = _load(tokens=200_000)
        engines = _engines(2, e0=full)
        plan = planner.plan_prompt(ENGINE, LONG, engines)
        self.assertEqual(plan.lead, "e1")

    def test_prompt_larger_than_one_engine_reserves_memory_at_helpers(self):
        prompt = dataclasses.replace(LONG, tokens=400_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(14))
        held = sum(h.tokens for h in plan.holds)
        need = prompt.tokens + prompt.answer_tokens
        self.assertGreater(held + ENGINE.kv_tokens, need)
        self.assertTrue({h.target for h in plan.holds} <= set(plan.helpers))
        self.assertNotIn(plan.lead, {h.target for h in plan.holds})

    def test_no_plan_for_prompt_larger_than_all_engines(self):
        prompt = dataclasses.replace(LONG, tokens=700_000)
        self.assertIsNone(planner.plan_prompt(ENGINE, prompt, _engines(2)))

    def test_lead_is_among_the_allowed_ones(self):
        plan = planner.plan_prompt(
            ENGINE, SHORT, _engines(4), may_lead=frozenset(["e3"])
        )
        self.assertEqual(plan.lead, "e3")


class LeastLoadedTest(unittest.TestCase):
    def test_few_engines_are_all_candidates(self):
        engines = _engines(planner.MAX_CANDIDATES)
        self.assertIs(planner.least_loaded(engines, random.Random(1)), engines)

    def test_busy_engines_of_many_are_left_out(self):
        busy = {f"e{n}": _decoding(4) for n in range(30)}
        picked = planner.least_loaded(_engines(60, **busy), random.Random(1))
        self.assertEqual(len(picked), planner.MAX_CANDIDATES)
        free = {f"e{n}" for n in range(30, 60)}
        self.assertLessEqual(free, {c.name for c in picked})


class RefusalTest(unittest.TestCase):
    def test_huge_prompt_at_a_peak_of_short_ones_is_refused(self):
        """All requests would miss their objectives, including its own."""
        busy = {f"e{n}": _decoding(5) for n in range(13)}
        prompt = dataclasses.replace(LONG, tokens=655_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(13, **busy))
        self.assertTrue(planner.is_refused(prompt, plan))

    def test_huge_prompt_on_idle_engines_is_not_refused(self):
        prompt = dataclasses.replace(LONG, tokens=400_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(14))
        self.assertFalse(planner.is_refused(prompt, plan))

    def test_late_prompt_without_interference_is_not_refused(self):
        """A late answer is worth more to a caller than a refusal.

        Busy engines alone are no interference: the other prompts have time.
        """
        part = inflight.Prefill(0.0, 0.6, 9.0, 5.0, True, None)
        load = _load(parts=1, prefills=(part,))
        engines = _engines(14, **{f"e{n}": load for n in range(14)})
        prompt = dataclasses.replace(LONG, tokens=290_000, waited_s=2.4)
        plan = planner.plan_prompt(ENGINE, prompt, engines)
        self.assertGreater(plan.first_token_s, prompt.first_token_aim_s)
        self.assertFalse(planner.is_refused(prompt, plan))

    def test_short_prompt_is_never_refused(self):
        busy = {f"e{n}": _prefilling(5.0) for n in range(14)}
        plan = planner.plan_prompt(ENGINE, SHORT, _engines(14, **busy))
        self.assertFalse(planner.is_refused(SHORT, plan))


class PlanServiceTest(unittest.TestCase):
    def test_target_with_the_least_load_per_slot_is_chosen(self):
        engines = _engines(2, e0=_load(requests=4), e1=_load(requests=3))
        self.assertEqual(planner.plan_service(engines).lead, "e1")

    def test_no_plan_without_candidates(self):
        self.assertIsNone(planner.plan_service([]))


class IterationsTest(unittest.TestCase):
    def test_prefill_times(self):
        for tokens, expected in ((5000, 0.03), (45_000, 0.44), (154_000, 3.05)):
            prefill_s = iterations.prefill_s(ENGINE, tokens)
            self.assertAlmostEqual(
                prefill_s, expected, delta=0.03 * expected + 0.002
            )

    def test_new_part_waits_for_the_next_iteration(self):
        """A queued part must not be predicted to end too early."""
        running = inflight.Prefill(0.3, 1.0, 2.0, 5.0, True, None)
        queued = inflight.Prefill(0.1, 0.2, 2.0, 5.0, True, None)
        load = dataclasses.replace(_decoding(2), prefills=(running, queued))
        time = iterations.simulate(ENGINE, load)
        self.assertAlmostEqual(time.iteration_left_s, 0.75, delta=0.06)
        self.assertAlmostEqual(time.queued_prefill_s, 0.2)
        self.assertEqual(time.queued, (False, True))
        self.assertGreater(time.finish_s[1], time.iteration_left_s)

    def test_engine_without_decodes_prefills_the_newest_part_first(self):
        old = inflight.Prefill(0.5, 1.0, 2.0, 5.0, True, None)
        new = inflight.Prefill(0.2, 1.0, 2.0, 5.0, True, None)
        time = iterations.simulate(ENGINE, _load(prefills=(old, new)))
        self.assertAlmostEqual(time.finish_s[1], 0.8)
        self.assertAlmostEqual(time.finish_s[0], 0.8 + 0.7)

    def test_idle_engine_has_no_prefill_left(self):
        time = iterations.simulate(ENGINE, inflight.TargetLoad())
        self.assertEqual(time.prefill_left_s, 0.0)
