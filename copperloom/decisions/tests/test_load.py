"""Callers' outcomes under load, against baselines in the same run."""

import unittest

from copperloom import configuration
from copperloom.decisions.tests import ablation, callers, world

SEED = 1


def outcomes_of(scenario, **options):
    _, outcomes = ablation.play(scenario, SEED, **options)
    return outcomes, callers.summarise(outcomes, since=ablation.SETTLE_S)


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(setattr, ablation, "SECONDS", ablation.SECONDS)
        ablation.SECONDS = 60.0

    def test_short_work_hardly_feels_long_work(self):
        """Long and short work mixed, at 70 % load over three entries.

        A caller with a short question waits behind prompts of up to a million
        tokens where the two share engines. Nothing may be lost either way.
        """
        scenario = ablation.SCENARIOS["mix"]
        _, ours = outcomes_of(scenario)
        self.assertEqual(ours.lost, 0)
        self.assertLess(ours.first_p99, 1.5)
        self.assertEqual(ours.long_answered, 1.0)
        for policy in ("round_robin", "least_in_flight", "best_of_two"):
            _, base = outcomes_of(scenario, policy=policy)
            self.assertGreater(base.first_p99, 3 * ours.first_p99, policy)
            self.assertLess(base.answered, ours.answered)

    def test_pools_keep_answers_whole_in_time(self):
        """Priority alone gives a first token soon, and then a slow answer.

        Without pools each later token of a short answer waits for a piece of
        a long prefill, so that answers pass their time limit halfway.
        """
        ablation.SECONDS = 120.0
        scenario = ablation.SCENARIOS["mix"]
        _, ours = outcomes_of(scenario)
        _, base = outcomes_of(scenario, disable=frozenset(["pools"]))
        self.assertLessEqual(ours.late, 2)
        self.assertGreater(base.late, ours.late + 5)

    def test_nine_entries_do_as_well_as_one(self):
        """Each of nine entries sees a ninth of the requests.

        If they herd, short first tokens get worse than with one entry that
        sees all; if they stand at borders far apart, answers are late.
        """
        ablation.SECONDS = 120.0
        _, one = outcomes_of(ablation.SCENARIOS["alone"])
        _, nine = outcomes_of(ablation.SCENARIOS["nine"])
        self.assertEqual(nine.late, 0)
        self.assertGreater(nine.goodput, 0.9 * one.goodput)
        self.assertLess(nine.first_p99, 1.5 * one.first_p99)

    def test_reservations_keep_nine_entries_from_overbooking(self):
        """Nine entries send long work on lagging reports, at 110 % load.

        Without an owner who keeps count they fill the same engines, and
        groups hold parts of their memory while they wait for each other's,
        until their time limits pass.
        """
        ablation.SECONDS = 120.0
        scenario = ablation.SCENARIOS["nine110"]
        _, ours = outcomes_of(scenario)
        _, base = outcomes_of(scenario, disable=frozenset(["reservations"]))
        self.assertGreater(ours.goodput, 1.1 * base.goodput)
        self.assertGreater(ours.long_answered, base.long_answered)

    def test_full_saturation_refuses_and_keeps_goodput(self):
        """Twice the short work that the engines can do in time.

        A caller is either answered in time or told when to come back. Where
        all is sent on, every batch is too large and most answers are late.
        """
        scenario = ablation.SCENARIOS["saturated"]
        outcomes, ours = outcomes_of(scenario)
        _, base = outcomes_of(scenario, policy="round_robin")
        self.assertEqual(ours.lost, 0)
        self.assertLess(ours.late, 0.05 * ours.offered)
        self.assertGreater(base.late, 0.2 * base.offered)
        refused = [o for o in outcomes if o.error == "OverloadedError"]
        self.assertTrue(refused)
        for outcome in refused:
            self.assertGreater(outcome.retry_after_s, 0.0)
            self.assertLess(outcome.decided_s, callers.LIMIT_S)
        at_once = [o for o in refused if o.decided_s < 0.1]
        self.assertGreater(len(at_once), 0.95 * len(refused))

    def test_without_long_work_all_engines_take_short_work(self):
        """Only short work, more than the short part of the pool can do.

        The long part was kept free for long work that did not come, and
        callers were refused while half of the engines stood idle.
        """
        scenario = ablation.SCENARIOS["short130"]
        _, ours = outcomes_of(scenario)
        _, base = outcomes_of(scenario, policy="least_in_flight")
        self.assertEqual((ours.refused, ours.late), (0, 0))
        self.assertLess(ours.first_p99, 1.3 * base.first_p99)

    def test_a_large_organisation_does_not_crowd_out_small_ones(self):
        """One organisation sends half of twice the load that fits.

        First come first served refuses the small ones in proportion to the
        large one's load; in a fair queue their share is enough for them.
        """
        scenario = ablation.SCENARIOS["skew"]
        outcomes, _ = outcomes_of(scenario)
        base, _ = outcomes_of(scenario, disable=frozenset(["fairness"]))
        self.assertGreater(small_answered(outcomes), 0.9)
        self.assertLess(small_answered(base), small_answered(outcomes) - 0.05)

    def test_prefixes_find_their_cache(self):
        """Each organisation's prompts start in one of four ways.

        Sent at random they are prefilled anew nearly everywhere, since an
        engine's cache holds few prefixes.
        """
        made, outcomes = ablation.play(ablation.SCENARIOS["mix"], SEED)
        off = frozenset(["affinity"])
        base, plain = ablation.play(
            ablation.SCENARIOS["mix"], SEED, disable=off
        )
        self.assertGreater(hits(made), 1.3 * hits(base))
        first = callers.summarise(outcomes).first_p50
        self.assertLess(first, 0.9 * callers.summarise(plain).first_p50)

    def test_a_hot_prefix_does_not_pile_up(self):
        """Six in ten prompts start alike and so have the same home.

        If all went to it, they would queue there while others are idle.
        """
        scenario = ablation.SCENARIOS["hot"]
        _, ours = outcomes_of(scenario)
        _, base = outcomes_of(scenario, policy="best_of_two")
        self.assertLess(ours.first_p99, base.first_p99)

    def test_one_slow_target(self):
        """One engine of fifteen has become eight times slower.

        A caller sent there gets its answer late or never; round robin goes on
        sending it one in fifteen.
        """
        scenario = ablation.SCENARIOS["slow"]
        _, ours = outcomes_of(scenario)
        _, base = outcomes_of(scenario, policy="round_robin")
        self.assertLess(ours.late, 0.01 * ours.offered)
        self.assertGreater(base.late, 4 * max(1, ours.late))

    def test_dead_targets(self):
        """Two engines refuse connections; their reports just stop.

        With nothing in flight they look like the best choice. All callers are
        answered, since refused connections are tried elsewhere.
        """
        made, outcomes = ablation.play(ablation.SCENARIOS["down"], SEED)
        off = frozenset(["ejection"])
        base, _ = ablation.play(ablation.SCENARIOS["down"], SEED, disable=off)
        self.assertFalse([o for o in outcomes if o.error])
        self.assertLess(made.unreachable, 0.5 * base.unreachable)

    def test_all_targets_refuse_connections(self):
        """A rack is gone, and with it all targets of a deployment.

        Without a budget each caller's request is tried until its time limit,
        and the caller hears nothing until then.
        """
        waited = {}
        for off in ((), ("retries",)):
            made = world.World(count=4, seed=SEED, disable=frozenset(off))
            for engine in made.engines.values():
                engine.down = True
            reqs = callers.requests(
                SEED, 10.0, 5.0, long_share=0.0, limit_s=2.0
            )
            outcomes = made.run(reqs, 20.0)
            self.assertEqual({o.error for o in outcomes}, {"OverloadedError"})
            times = [o.decided_s for o in outcomes]
            waited[off] = callers.quantile(times, 0.5), made.unreachable
        self.assertLess(waited[()][0], 0.1)
        self.assertGreater(waited["retries",][0], 1.0)
        self.assertLess(waited[()][1], 0.5 * waited["retries",][1])

    def test_missing_and_stale_reports(self):
        """No engine reports, or all reports are five seconds old."""
        for lag_s, reports in ((0.5, False), (5.0, True)):
            scenario = ablation.SCENARIOS["mix"]
            outcomes, ours = outcomes_of(
                scenario, report_lag_s=lag_s, reports=reports
            )
            self.assertEqual(ours.lost, 0)
            self.assertLess(ours.late, 0.03 * ours.offered)

    def test_burst(self):
        """Two hundred requests within a second, then silence.

        All are decided: answered, or refused with a time to come back; and
        the counts return to zero though no further event pushes them.
        """
        made = world.World(count=4, preset=configuration.Preset("p"))
        reqs = callers.requests(SEED, 200.0, 1.0, long_share=0.05)
        outcomes = made.run(reqs, 300.0)
        self.assertEqual({o.outcomes for o in outcomes}, {1})
        answered = [o for o in outcomes if not o.error]
        self.assertGreater(len(answered), 0.5 * len(outcomes))
        self.assertEqual(sum(e.used for e in made.engines.values()), 0)
        for tgt in made.scheds[0].targets.values():
            self.assertEqual((tgt.streams, tgt.held_tokens), (0, 0))

    def test_the_objective_decides_what_long_work_costs(self):
        """At 110 % load some short work must go to engines with long work.

        "first_token" takes the soonest first token, "slowdown" keeps long
        answers away from there, at the price of a later first token.
        """
        ablation.SECONDS = 120.0
        slow = {}
        first = {}
        for name in ("mix110", "slowdown110"):
            scenario = ablation.SCENARIOS[name]
            outcomes, summary = outcomes_of(scenario)
            alone, _ = outcomes_of(scenario, long=False)
            slow[name] = ablation.slowdown(outcomes, alone)
            first[name] = summary.first_p99
        self.assertLess(slow["slowdown110"], 0.9 * slow["mix110"])
        self.assertLess(first["mix110"], first["slowdown110"])


def small_answered(outcomes):
    small = [o for o in outcomes if o.request.organisation != "o0"]
    return sum(not o.error for o in small) / len(small)


def hits(made):
    return sum(engine.hits for engine in made.engines.values())
