"""In-flight table, retry budget, target health and registry."""

import unittest

from copperloom import routing
from copperloom.decisions import (
    budget,
    health,
    inflight,
    inflight_table,
    registry,
)
from copperloom.versions import Version


def _work(
    target: str = "e0", started_at: float = 0.0, **changes
) -> inflight.Work:
    defaults = {
        "prefill_s": 0.5,
        "generates": True,
        "tokens": 1000,
        "pause_aim_s": 0.25,
    }
    return inflight.Work(
        target=target, started_at=started_at, **defaults | changes
    )


def _report(sequence: int = 1, boot: str = "a", at: float = 0.0, *work):
    return inflight_table.PeerWork(boot, sequence, at, work)


class InflightTableTest(unittest.TestCase):
    def test_loads_add_own_work_and_that_of_peers(self):
        table = inflight_table.InflightTable()
        inflight_table.begin(
            table, "q1", [_work(), _work("e1", generates=False, tokens=0)]
        )
        inflight_table.apply_update(
            table, "peer", _report(1, "a", 0.0, _work())
        )
        loads = inflight_table.loads(table, 0.1)
        self.assertEqual(loads["e0"].requests, 2)
        self.assertEqual(loads["e0"].tokens, 2000)
        self.assertEqual(loads["e1"].parts, 1)

    def test_first_token_ends_prefill_of_parts(self):
        table = inflight_table.InflightTable()
        inflight_table.begin(
            table, "q1", [_work(), _work("e1", generates=False, tokens=0)]
        )
        inflight_table.mark_decoding(table, "q1")
        loads = inflight_table.loads(table, 0.1)
        self.assertNotIn("e1", loads)
        self.assertEqual(len(loads["e0"].decodes), 1)
        self.assertEqual(loads["e0"].prefills, ())

    def test_work_of_silent_peer_expires(self):
        """A dead peer's work would keep targets unused forever."""
        table = inflight_table.InflightTable()
        inflight_table.apply_update(
            table, "peer", _report(1, "a", 0.0, _work())
        )
        self.assertIn("e0", inflight_table.loads(table, 1.0))
        self.assertNotIn(
            "e0",
            inflight_table.loads(table, inflight_table.PEER_TIMEOUT_S + 0.1),
        )

    def test_older_report_is_ignored(self):
        table = inflight_table.InflightTable()
        inflight_table.apply_update(table, "peer", _report(5, "a", 0.0))
        self.assertFalse(
            inflight_table.apply_update(
                table, "peer", _report(4, "a", 0.1, _work())
            )
        )
        self.assertEqual(inflight_table.loads(table, 0.1), {})

    def test_report_of_new_boot_replaces_earlier_work(self):
        table = inflight_table.InflightTable()
        inflight_table.apply_update(
            table, "peer", _report(900, "a", 0.0, _work())
        )
        self.assertTrue(
            inflight_table.apply_update(table, "peer", _report(1, "b", 0.1))
        )
        self.assertEqual(inflight_table.loads(table, 0.1), {})

    def test_restarted_target_has_no_work_of_peers(self):
        table = inflight_table.InflightTable()
        inflight_table.apply_update(
            table, "peer", _report(1, "a", 0.0, _work(), _work("e1"))
        )
        inflight_table.drop_target(table, "e0")
        self.assertEqual(set(inflight_table.loads(table, 0.1)), {"e1"})

    def test_engine_that_holds_memory_counts_as_decoding(self):
        table = inflight_table.InflightTable()
        inflight_table.begin(
            table, "q1", [_work(), _work("e1", generates=False)]
        )
        inflight_table.mark_decoding(table, "q1")
        self.assertEqual(len(inflight_table.loads(table, 0.1)["e1"].decodes), 1)

    def test_pending_placement_counts_until_the_peer_reports(self):
        """Two queries before the peer's report could get the same slot."""
        table = inflight_table.InflightTable()
        inflight_table.apply_update(table, "peer", _report(3, "a", 0.0))
        inflight_table.add_pending(table, "peer", "q1", 3, [_work()], 0.0)
        self.assertEqual(inflight_table.loads(table, 0.1)["e0"].requests, 1)
        inflight_table.apply_update(
            table, "peer", _report(4, "a", 0.1, _work())
        )
        self.assertEqual(inflight_table.loads(table, 0.1)["e0"].requests, 1)
        inflight_table.apply_update(table, "peer", _report(5, "a", 0.2))
        self.assertEqual(inflight_table.loads(table, 0.2), {})

    def test_pending_placement_without_report_expires(self):
        """The peer has died or used another owner's reply."""
        table = inflight_table.InflightTable()
        inflight_table.add_pending(table, "peer", "q1", 3, [_work()], 0.0)
        self.assertEqual(
            inflight_table.loads(table, inflight_table.PENDING_S + 0.1), {}
        )
        inflight_table.drop_silent_peers(table, inflight_table.PENDING_S + 0.1)
        self.assertEqual(table.by_target, {})

    def test_no_entries_remain_after_many_changes(self):
        """Entries left behind would count as work forever."""
        table = inflight_table.InflightTable()
        for n in range(50):
            inflight_table.begin(
                table, f"q{n % 5}", [_work(f"e{n % 3}"), _work("e4")]
            )
            report = _report(n, "a", n * 0.01, _work(f"e{n % 4}"), _work("e4"))
            inflight_table.apply_update(table, f"peer-{n % 2}", report)
            inflight_table.mark_decoding(table, f"q{n % 4}")
            inflight_table.drop_target(table, f"e{n % 7}")
        for n in range(5):
            inflight_table.end(table, f"q{n}")
        inflight_table.drop_silent_peers(table, 100.0)
        self.assertEqual(table.by_target, {})
        self.assertEqual(table.peers, {})

    def test_only_requested_targets_are_summed(self):
        table = inflight_table.InflightTable()
        inflight_table.begin(table, "q1", [_work("e0"), _work("e1")])
        self.assertEqual(
            set(inflight_table.loads(table, 0.1, ["e1", "e2"])), {"e1"}
        )


class BudgetTest(unittest.TestCase):
    def test_nine_instances_stay_within_the_bound(self):
        """Repeats of all failed requests would multiply an overload."""
        policy = budget.BudgetPolicy(ratio=0.2, window_s=10.0, slack=106)
        budgets = [budget.Budget(policy) for _ in range(9)]
        requests = repeats = 0
        for step in range(100):
            now = step * 0.1
            for b in budgets:
                budget.record_request(b, "s", now)
                requests += 1
                repeats += budget.spend(b, "s", now, len(budgets))
        self.assertLessEqual(repeats, 0.2 * requests + 106)
        self.assertGreater(repeats, 0.2 * requests)

    def test_spending_is_bounded_within_a_sliding_window(self):
        b = budget.Budget(budget.BudgetPolicy(0.0, 10.0, 10))
        spent = [budget.spend(b, "s", 0.0, 1) for _ in range(10)]
        self.assertEqual(sum(spent), 7)
        self.assertFalse(budget.spend(b, "s", 9.9, 1))
        self.assertTrue(budget.spend(b, "s", 10.1, 1))

    def test_services_have_separate_budgets(self):
        b = budget.Budget(budget.BudgetPolicy(0.0, 10.0, 2))
        self.assertTrue(budget.spend(b, "s", 0.0, 1))
        self.assertFalse(budget.spend(b, "s", 0.0, 1))
        self.assertTrue(budget.spend(b, "t", 0.0, 1))


class HealthTest(unittest.TestCase):
    def test_penalty_decays_and_drops_after_a_success(self):
        state = health.Health()
        health.record_failure(state, 0.0, health.UNREACHABLE_PENALTY)
        self.assertAlmostEqual(health.penalty(state, 0.0), 3.0)
        self.assertAlmostEqual(health.penalty(state, health.HALF_LIFE_S), 1.5)
        health.record_success(state, 0.0)
        self.assertLess(health.penalty(state, 0.0), 1.5)

    def test_unknown_target_has_no_penalty(self):
        self.assertEqual(health.penalty(None, 5.0), 0.0)


def _entry(name: str = "t", **changes) -> routing.TargetEntry:
    defaults = {
        "service": "s",
        "address": "127.0.0.1:1",
        "data_centre": "a",
        "slots": 1,
    }
    return routing.TargetEntry(name=name, **defaults | changes)


class RegistryTest(unittest.TestCase):
    def test_removal_without_outage_is_immediate(self):
        reg = registry.Registry()
        registry.update(reg, [("t", _entry())], Version(0, 1), 0.0)
        registry.update(reg, [("t", None)], Version(0, 2), 1.0)
        self.assertEqual(registry.usable(reg, "s", 1.0), [])
        self.assertIsNone(registry.find(reg, "t"))

    def test_entries_outlast_their_expiry_after_an_outage(self):
        """Targets register again only some time after an outage."""
        reg = registry.Registry()
        registry.update(reg, [("t", _entry())], Version(0, 1), 0.0)
        registry.record_outage(reg, 10.0)
        registry.replace(reg, [], Version(0, 2), 10.1)
        self.assertEqual(registry.usable(reg, "s", 11.0), [_entry()])
        self.assertEqual(registry.usable(reg, "s", 12.1), [])
        registry.update(reg, [("t", _entry())], Version(0, 3), 12.2)
        self.assertEqual(registry.usable(reg, "s", 12.2), [_entry()])

    def test_registered_targets_precede_missing_ones(self):
        reg = registry.Registry()
        entries = [("t", _entry()), ("u", _entry("u"))]
        registry.update(reg, entries, Version(0, 1), 0.0)
        registry.record_outage(reg, 10.0)
        registry.update(reg, [("t", None)], Version(0, 2), 10.1)
        self.assertEqual(registry.usable(reg, "s", 10.2), [_entry("u")])

    def test_draining_target_is_not_kept_after_an_outage(self):
        reg = registry.Registry()
        registry.update(reg, [("t", _entry(draining=True))], Version(0, 1), 0.0)
        registry.record_outage(reg, 10.0)
        registry.update(reg, [("t", None)], Version(0, 2), 10.1)
        self.assertEqual(registry.usable(reg, "s", 10.2), [])

    def test_older_version_of_the_table_is_ignored(self):
        reg = registry.Registry()
        registry.replace(reg, [_entry()], Version(0, 9), 0.0)
        registry.replace(reg, [], Version(0, 8), 0.1)
        self.assertEqual(registry.usable(reg, "s", 0.2), [_entry()])

    def test_update_returns_restarted_targets(self):
        reg = registry.Registry()
        registry.update(reg, [("t", _entry(born_ms=1))], Version(0, 1), 0.0)
        restarted = _entry(born_ms=2)
        self.assertEqual(
            registry.update(reg, [("t", restarted)], Version(0, 2), 0.1),
            [restarted],
        )
        older = [("t", _entry(born_ms=1))]
        self.assertEqual(registry.update(reg, older, Version(0, 3), 0.2), [])
        self.assertEqual(reg.entries["t"], restarted)
