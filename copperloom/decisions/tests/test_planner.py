"""Placement of prompts by gain and harm, without a network."""

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


def _writing(count: int, pause_s: float = 0.25) -> inflight.TargetLoad:
    writers = (inflight.Decode(pause_s, 1.0),) * count
    return _load(requests=count, decodes=writers, context=6000 * count)


def _reading(reads_s: float, age_s: float = 0.0) -> inflight.TargetLoad:
    reader = inflight.Prefill(age_s, reads_s, 3.0, 13.0, True, None)
    return _load(requests=1, prefills=(reader,))


class PlanTest(unittest.TestCase):
    def test_long_prompt_alone_is_in_time(self):
        plan = planner.plan_prompt(ENGINE, LONG, _engines(14))
        self.assertGreaterEqual(len(plan.helpers), 1)
        self.assertLess(plan.first_token_s, LONG.first_token_aim_s)

    def test_short_prompt_needs_no_help(self):
        plan = planner.plan_prompt(ENGINE, SHORT, _engines(14))
        self.assertEqual(plan.helpers, ())
        self.assertLess(plan.first_token_s, 0.1)

    def test_short_prompt_goes_where_nothing_long_is_read(self):
        """Load: one engine reads for a second, the other writes answers."""
        engines = _engines(2, e0=_reading(1.0), e1=_writing(4))
        plan = planner.plan_prompt(ENGINE, SHORT, engines)
        self.assertEqual(plan.lead, "e1")

    def test_long_prompt_keeps_away_from_short_writers(self):
        """Load: half of the engines write short answers, half are idle."""
        busy = {f"e{n}": _writing(4) for n in range(7)}
        plan = planner.plan_prompt(ENGINE, LONG, _engines(14, **busy))
        chosen = {plan.lead, *plan.helpers}
        self.assertFalse(chosen & busy.keys())

    def test_parts_are_short_where_all_engines_write(self):
        """Load: every engine writes short answers; no pause may break."""
        busy = {f"e{n}": _writing(2) for n in range(14)}
        prompt = dataclasses.replace(LONG, tokens=60_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(14, **busy))
        self.assertLess(plan.part_s, 0.2)

    def test_prompt_in_the_running_pass_is_about_to_write(self):
        """Load: a long prompt is being read beside two short writers.

        Its first token comes with the end of the pass; a part placed there now
        would be its first pause. Another engine writes as much and reads
        nothing.
        """
        reading = inflight.Prefill(0.2, 1.2, 2.0, 16.0, True, 1.0)
        busy = dataclasses.replace(
            _writing(2), requests=3, prefills=(reading,), tokens=154_000
        )
        engines = _engines(2, e0=busy, e1=_writing(2))
        plan = planner.plan_prompt(ENGINE, LONG, engines)
        self.assertEqual((plan.lead, plan.helpers), ("e1", ()))

    def test_failing_engine_is_avoided(self):
        engines = _engines(3)
        engines[0] = dataclasses.replace(engines[0], penalty=3.0)
        plan = planner.plan_prompt(ENGINE, LONG, engines)
        self.assertNotIn("e0", (plan.lead, *plan.helpers))

    def test_no_free_slot(self):
        full = {f"e{n}": _writing(8) for n in range(2)}
        plan = planner.plan_prompt(ENGINE, SHORT, _engines(2, **full))
        self.assertIsNone(plan)

    def test_memory_is_counted(self):
        """Two long prompts don't fit one engine's memory."""
        held = _load(tokens=200_000)
        engines = _engines(2, e0=held)
        plan = planner.plan_prompt(ENGINE, LONG, engines)
        self.assertEqual(plan.lead, "e1")

    def test_larger_than_one_engine(self):
        prompt = dataclasses.replace(LONG, tokens=400_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(14))
        held = sum(h.tokens for h in plan.holds)
        need = prompt.tokens + prompt.answer_tokens
        self.assertGreater(held + ENGINE.kv_tokens, need)
        self.assertTrue({h.target for h in plan.holds} <= set(plan.helpers))
        self.assertNotIn(plan.lead, {h.target for h in plan.holds})

    def test_larger_than_all_engines(self):
        prompt = dataclasses.replace(LONG, tokens=700_000)
        self.assertIsNone(planner.plan_prompt(ENGINE, prompt, _engines(2)))

    def test_only_allowed_leads(self):
        plan = planner.plan_prompt(
            ENGINE, SHORT, _engines(4), may_lead=frozenset(["e3"])
        )
        self.assertEqual(plan.lead, "e3")


class SampleTest(unittest.TestCase):
    def test_few_engines_are_all_weighed(self):
        engines = _engines(planner.MAX_CANDIDATES)
        self.assertIs(planner.least_loaded(engines, random.Random(1)), engines)

    def test_busy_engines_of_many_are_left_out(self):
        """Load: 60 engines, of which 30 write and read."""
        busy = {f"e{n}": _writing(4) for n in range(30)}
        picked = planner.least_loaded(_engines(60, **busy), random.Random(1))
        self.assertEqual(len(picked), planner.MAX_CANDIDATES)
        free = {f"e{n}" for n in range(30, 60)}
        self.assertLessEqual(free, {c.name for c in picked})


class RefuseTest(unittest.TestCase):
    def test_largest_prompt_at_a_peak_of_short_ones(self):
        """Load: 60 short answers at once, and a prompt of 52 s of reading.

        It would be late wherever it goes, and all others with it.
        """
        busy = {f"e{n}": _writing(5) for n in range(13)}
        prompt = dataclasses.replace(LONG, tokens=655_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(13, **busy))
        self.assertTrue(planner.is_refused(prompt, plan))

    def test_same_prompt_is_served_when_engines_are_idle(self):
        prompt = dataclasses.replace(LONG, tokens=400_000)
        plan = planner.plan_prompt(ENGINE, prompt, _engines(14))
        self.assertFalse(planner.is_refused(prompt, plan))

    def test_late_prompt_is_served_if_others_lose_little(self):
        """Load: all engines read parts that are due in nine seconds.

        A prompt that is a tenth of a second late is worth a quarter to its
        caller; refused, it would come back and be later. That engines are busy
        costs nobody anything by itself.
        """
        part = inflight.Prefill(0.0, 0.6, 9.0, 5.0, True, None)
        load = _load(parts=1, prefills=(part,))
        engines = _engines(14, **{f"e{n}": load for n in range(14)})
        prompt = dataclasses.replace(LONG, tokens=290_000, waited_s=2.4)
        plan = planner.plan_prompt(ENGINE, prompt, engines)
        self.assertGreater(plan.first_token_s, prompt.first_token_aim_s)
        self.assertFalse(planner.is_refused(prompt, plan))

    def test_short_prompts_are_never_too_dear(self):
        busy = {f"e{n}": _reading(5.0) for n in range(14)}
        plan = planner.plan_prompt(ENGINE, SHORT, _engines(14, **busy))
        self.assertFalse(planner.is_refused(SHORT, plan))


class ServiceTest(unittest.TestCase):
    def test_least_loaded_for_its_size(self):
        engines = _engines(2, e0=_load(requests=4), e1=_load(requests=3))
        self.assertEqual(planner.plan_service(engines).lead, "e1")

    def test_nobody(self):
        self.assertIsNone(planner.plan_service([]))


class PassesTest(unittest.TestCase):
    def test_figures_of_prompts(self):
        for tokens, wanted in ((5000, 0.03), (45_000, 0.44), (154_000, 3.05)):
            got = iterations.prefill_s(ENGINE, tokens)
            self.assertAlmostEqual(got, wanted, delta=0.03 * wanted + 0.002)

    def test_pass_that_runs_is_not_lengthened(self):
        """A part comes while a pass with other reading runs.

        It waits for the next pass, and so do the prompts sent after it.
        """
        running = inflight.Prefill(0.3, 1.0, 2.0, 5.0, True, None)
        late = inflight.Prefill(0.1, 0.2, 2.0, 5.0, True, None)
        load = dataclasses.replace(_writing(2), prefills=(running, late))
        time = iterations.simulate(ENGINE, load)
        self.assertAlmostEqual(time.iteration_left_s, 0.75, delta=0.06)
        self.assertAlmostEqual(time.queued_prefill_s, 0.2)
        self.assertEqual(time.queued, (False, True))
        self.assertGreater(time.finish_s[1], time.iteration_left_s)

    def test_engine_that_only_reads_turns_to_the_newest_part(self):
        old = inflight.Prefill(0.5, 1.0, 2.0, 5.0, True, None)
        new = inflight.Prefill(0.2, 1.0, 2.0, 5.0, True, None)
        time = iterations.simulate(ENGINE, _load(prefills=(old, new)))
        self.assertAlmostEqual(time.finish_s[1], 0.8)
        self.assertAlmostEqual(time.finish_s[0], 0.8 + 0.7)

    def test_idle_engine(self):
        time = iterations.simulate(ENGINE, inflight.TargetLoad())
        self.assertEqual(time.prefill_left_s, 0.0)
