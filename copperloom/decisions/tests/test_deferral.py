"""Deferral of prompts until engines become free."""

import unittest
from unittest import mock

from copperloom.decisions import deferral, inflight, iterations, planner, plans
from copperloom.decisions.tests import peaks, sheets
from copperloom.decisions.tests.test_planner import ENGINE

_PROMPT = plans.Prompt(
    tokens=200_000,
    answer_tokens=800,
    first_token_aim_s=3.0,
    pause_aim_s=1.0,
)


def _prefill(
    prefill_s: float, age_s: float, pause_aim_s=None
) -> inflight.Prefill:
    return inflight.Prefill(
        age_s=age_s,
        prefill_s=prefill_s,
        due_s=3.0 - age_s,
        worth=20.0,
        is_split=True,
        pause_aim_s=pause_aim_s,
    )


def _prefilling(left_s: float) -> inflight.TargetLoad:
    return inflight.TargetLoad(parts=1, prefills=(_prefill(2.5, 2.5 - left_s),))


def _decoding() -> inflight.TargetLoad:
    decodes = (inflight.Decode(0.25, 1.0),) * 6
    return inflight.TargetLoad(requests=6, decodes=decodes, context=30_000)


def _engines(prefilling: int, decoding: int, left_s: float):
    loads = [_prefilling(left_s)] * prefilling + [_decoding()] * decoding
    return [
        plans.Candidate(f"e{n}", load, 0.0, ENGINE.slots)
        for n, load in enumerate(loads)
    ]


def _defer_s(candidates, prompt=_PROMPT) -> float:
    plan = planner.plan_prompt(ENGINE, prompt, candidates)
    return deferral.defer_s(ENGINE, prompt, candidates, plan)


class DeferralTest(unittest.TestCase):
    def test_prompt_is_deferred_when_engines_free_up_soon(self):
        self.assertGreater(_defer_s(_engines(6, 8, 0.5)), 0.0)

    def test_prompt_is_not_deferred_when_engines_are_idle(self):
        idle = [
            plans.Candidate(f"e{n}", inflight.TargetLoad(), 0.0, 8)
            for n in range(14)
        ]
        self.assertEqual(_defer_s(idle), 0.0)

    def test_prompt_is_not_deferred_when_no_engine_frees_up(self):
        self.assertEqual(_defer_s(_engines(0, 14, 0.0)), 0.0)

    def test_prompt_that_misses_its_objective_anyway_is_not_deferred(self):
        """Deferred, it would later be cheap enough to block many engines."""
        huge = plans.Prompt(650_000, 800, 3.0, 1.0)
        self.assertEqual(_defer_s(_engines(8, 6, 0.5), huge), 0.0)

    def test_overdue_prompt_is_not_deferred(self):
        overdue = plans.Prompt(200_000, 800, 3.0, 1.0, waited_s=3.1)
        self.assertEqual(_defer_s(_engines(6, 8, 0.5), overdue), 0.0)

    def test_short_prompt_is_never_deferred(self):
        short = plans.Prompt(5000, 800, 0.3, 0.25)
        self.assertEqual(_defer_s(_engines(6, 8, 0.1), short), 0.0)


class PredictLoadTest(unittest.TestCase):
    def test_finished_part_is_not_in_the_predicted_load(self):
        later = deferral.predict_load(ENGINE, _prefilling(0.5), 0.6)
        self.assertEqual(later.prefills, ())

    def test_finished_prompt_decodes_at_its_lead_engine(self):
        load = inflight.TargetLoad(
            requests=1, prefills=(_prefill(1.0, 0.5, 1.0),)
        )
        later = deferral.predict_load(ENGINE, load, 0.6)
        self.assertEqual(later.decodes, (inflight.Decode(1.0, 20.0),))

    def test_unfinished_prefills_end_at_the_same_time(self):
        load = inflight.TargetLoad(
            parts=2, prefills=(_prefill(1.0, 0.4), _prefill(0.5, 0.1))
        )
        finish = sorted(iterations.simulate(ENGINE, load).finish_s)
        later = deferral.predict_load(ENGINE, load, 0.2)
        for before, after in zip(
            finish,
            sorted(iterations.simulate(ENGINE, later).finish_s),
            strict=True,
        ):
            self.assertAlmostEqual(before - 0.2, after, places=2)


class PeakTest(unittest.TestCase):
    def test_deferral_increases_the_served_worth_at_a_peak(self):
        """Deferral must not delay prompts without a gain for others.

        Several seeds are played, since one long prompt can dominate a run.
        """
        sheet = sheets.SHEETS["wroclaw"]
        with mock.patch.object(deferral, "COSTLY_SHARE", 1000.0):
            before = peaks.play(sheet, "copperloom", 8, 20.0, 2.4)
        after = peaks.play(sheet, "copperloom", 8, 20.0, 2.4)
        self.assertGreater(after["all"], before["all"])
        self.assertGreater(after["all"], 0.93)
