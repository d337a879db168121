"""Outcomes of requests under load, compared with baseline policies."""

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

    def test_long_requests_hardly_delay_short_ones(self):
        """Short requests must not queue behind long prefills on shared engines.

        No request may be lost or remain unanswered.
        """
        scenario = ablation.SCENARIOS["mix"]
        _, result = outcomes_of(scenario)
        self.assertEqual(result.lost, 0)
        self.assertLess(result.first_p99, 1.5)
        self.assertEqual(result.long_answered, 1.0)
        for policy in ("round_robin", "least_in_flight", "best_of_two"):
            _, baseline = outcomes_of(scenario, policy=policy)
            self.assertGreater(baseline.first_p99, 3 * result.first_p99, policy)
            self.assertLess(baseline.answered, result.answered)

    def test_pools_keep_answers_within_time_limit(self):
        """Short answers beside long prefills would exceed their time limit.

        Each iteration of their engine would include a share of a prefill.
        """
        ablation.SECONDS = 120.0
        scenario = ablation.SCENARIOS["mix"]
        _, result = outcomes_of(scenario)
        _, baseline = outcomes_of(scenario, disable=frozenset(["pools"]))
        self.assertLessEqual(result.late, 2)
        self.assertGreater(baseline.late, result.late + 5)

    def test_nine_instances_perform_like_one(self):
        """The same load through nine instances and through one.

        Guards against herding, and against instances whose pool splits diverge.
        """
        ablation.SECONDS = 120.0
        _, one = outcomes_of(ablation.SCENARIOS["alone"])
        _, nine = outcomes_of(ablation.SCENARIOS["nine"])
        self.assertEqual(nine.late, 0)
        self.assertGreater(nine.goodput, 0.9 * one.goodput)
        self.assertLess(nine.first_p99, 1.5 * one.first_p99)

    def test_reservations_prevent_overbooking_by_nine_instances(self):
        """Placement by stale reports must not overbook engines above capacity.

        Groups must not wait for each other while they hold partial memory.
        """
        ablation.SECONDS = 120.0
        scenario = ablation.SCENARIOS["nine110"]
        _, result = outcomes_of(scenario)
        _, baseline = outcomes_of(scenario, disable=frozenset(["reservations"]))
        self.assertGreater(result.goodput, 1.1 * baseline.goodput)
        self.assertGreater(result.long_answered, baseline.long_answered)

    def test_overload_is_refused_at_once_and_keeps_goodput(self):
        """More short requests arrive than the engines can answer in time.

        Each must be answered in time or refused at once.
        """
        scenario = ablation.SCENARIOS["saturated"]
        outcomes, result = outcomes_of(scenario)
        _, baseline = outcomes_of(scenario, policy="round_robin")
        self.assertEqual(result.lost, 0)
        self.assertLess(result.late, 0.05 * result.offered)
        self.assertGreater(baseline.late, 0.2 * baseline.offered)
        refused = [o for o in outcomes if o.error == "OverloadedError"]
        self.assertTrue(refused)
        for outcome in refused:
            self.assertGreater(outcome.retry_after_s, 0.0)
            self.assertLess(outcome.decided_s, callers.LIMIT_S)
        at_once = [o for o in refused if o.decided_s < 0.1]
        self.assertGreater(len(at_once), 0.95 * len(refused))

    def test_all_engines_take_short_requests_without_long_ones(self):
        """More short requests arrive than the short targets can serve.

        None may be refused while engines for long prompts are idle.
        """
        scenario = ablation.SCENARIOS["short130"]
        _, result = outcomes_of(scenario)
        _, baseline = outcomes_of(scenario, policy="least_in_flight")
        self.assertEqual((result.refused, result.late), (0, 0))
        self.assertLess(result.first_p99, 1.3 * baseline.first_p99)

    def test_large_organisation_does_not_starve_small_ones(self):
        """One organisation sends half of a load far above capacity.

        The others must not be refused because of it.
        """
        scenario = ablation.SCENARIOS["skew"]
        outcomes, _ = outcomes_of(scenario)
        baseline, _ = outcomes_of(scenario, disable=frozenset(["fairness"]))
        self.assertGreater(small_answered_share(outcomes), 0.9)
        self.assertLess(
            small_answered_share(baseline),
            small_answered_share(outcomes) - 0.05,
        )

    def test_affinity_increases_prefix_cache_hits(self):
        """Prompts with a common prefix must not be scattered over the engines.

        An engine's cache holds only a few prefixes.
        """
        cluster, outcomes = ablation.play(ablation.SCENARIOS["mix"], SEED)
        disabled = frozenset(["affinity"])
        baseline, baseline_outcomes = ablation.play(
            ablation.SCENARIOS["mix"], SEED, disable=disabled
        )
        self.assertGreater(cache_hits(cluster), 1.3 * cache_hits(baseline))
        first = callers.summarise(outcomes).first_p50
        self.assertLess(
            first, 0.9 * callers.summarise(baseline_outcomes).first_p50
        )

    def test_hot_prefix_does_not_overload_its_home(self):
        """Most prompts share one prefix and therefore one home target.

        Guards against queueing at the home target while other engines are idle.
        """
        scenario = ablation.SCENARIOS["hot"]
        _, result = outcomes_of(scenario)
        _, baseline = outcomes_of(scenario, policy="best_of_two")
        self.assertLess(result.first_p99, baseline.first_p99)

    def test_slow_target_causes_few_late_answers(self):
        """One engine is several times slower than the others.

        Guards against requests sent there that miss their time limit.
        """
        scenario = ablation.SCENARIOS["slow"]
        _, result = outcomes_of(scenario)
        _, baseline = outcomes_of(scenario, policy="round_robin")
        self.assertLess(result.late, 0.01 * result.offered)
        self.assertGreater(baseline.late, 4 * max(1, result.late))

    def test_unreachable_targets_are_avoided(self):
        """Failing engines must not be preferred for having nothing in flight.

        Requests that other engines can answer must not fail.
        """
        cluster, outcomes = ablation.play(ablation.SCENARIOS["down"], SEED)
        disabled = frozenset(["ejection"])
        baseline, _ = ablation.play(
            ablation.SCENARIOS["down"], SEED, disable=disabled
        )
        self.assertFalse([o for o in outcomes if o.error])
        self.assertLess(cluster.unreachable, 0.5 * baseline.unreachable)

    def test_retry_budget_bounds_retries_without_reachable_targets(self):
        """All targets of a deployment refuse connections.

        Guards against retries until the time limit, with no reply until then.
        """
        results = {}
        for disabled in ((), ("retries",)):
            cluster = world.World(
                count=4, seed=SEED, disable=frozenset(disabled)
            )
            for engine in cluster.engines.values():
                engine.down = True
            reqs = callers.requests(
                SEED, 10.0, 5.0, long_share=0.0, limit_s=2.0
            )
            outcomes = cluster.run(reqs, 20.0)
            self.assertEqual({o.error for o in outcomes}, {"OverloadedError"})
            times = [o.decided_s for o in outcomes]
            results[disabled] = (
                callers.quantile(times, 0.5),
                cluster.unreachable,
            )
        self.assertLess(results[()][0], 0.1)
        self.assertGreater(results["retries",][0], 1.0)
        self.assertLess(results[()][1], 0.5 * results["retries",][1])

    def test_missing_and_stale_reports_lose_no_request(self):
        """Guards against lost or late answers without recent load reports."""
        for lag_s, reports in ((0.5, False), (5.0, True)):
            scenario = ablation.SCENARIOS["mix"]
            outcomes, result = outcomes_of(
                scenario, report_lag_s=lag_s, reports=reports
            )
            self.assertEqual(result.lost, 0)
            self.assertLess(result.late, 0.03 * result.offered)

    def test_burst_is_decided_and_leaves_no_load(self):
        """Each request must be decided although no other event follows.

        Afterwards all load counters must return to zero.
        """
        cluster = world.World(count=4, preset=configuration.Preset("p"))
        reqs = callers.requests(SEED, 200.0, 1.0, long_share=0.05)
        outcomes = cluster.run(reqs, 300.0)
        self.assertEqual({o.outcomes for o in outcomes}, {1})
        answered = [o for o in outcomes if not o.error]
        self.assertGreater(len(answered), 0.5 * len(outcomes))
        self.assertEqual(sum(e.used for e in cluster.engines.values()), 0)
        for tgt in cluster.scheds[0].targets.values():
            self.assertEqual((tgt.streams, tgt.held_tokens), (0, 0))

    def test_objective_trades_first_token_against_slowdown(self):
        """Each objective must have an effect above capacity.

        "first_token" gives earlier first tokens, "slowdown" less slowdown.
        """
        ablation.SECONDS = 120.0
        slowdowns = {}
        first_tokens = {}
        for name in ("mix110", "slowdown110"):
            scenario = ablation.SCENARIOS[name]
            outcomes, summary = outcomes_of(scenario)
            short_only, _ = outcomes_of(scenario, long=False)
            slowdowns[name] = ablation.slowdown(outcomes, short_only)
            first_tokens[name] = summary.first_p99
        self.assertLess(slowdowns["slowdown110"], 0.9 * slowdowns["mix110"])
        self.assertLess(first_tokens["mix110"], first_tokens["slowdown110"])


def small_answered_share(outcomes):
    small = [o for o in outcomes if o.request.organisation != "o0"]
    return sum(not o.error for o in small) / len(small)


def cache_hits(cluster):
    return sum(engine.hits for engine in cluster.engines.values())
