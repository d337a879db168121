"""Work in progress of all instances, budget, health and registry."""

import unittest

from copperloom import routing
from copperloom.decisions import (
    budget,
    health,
    inflight,
    inflight_table,
    registry,
)


def _work(target: str = "e0", begun: float = 0.0, **changes) -> inflight.Work:
    given = {
        "prefill_s": 0.5,
        "generates": True,
        "tokens": 1000,
        "pause_aim_s": 0.25,
    }
    return inflight.Work(target=target, started_at=begun, **given | changes)


def _told(sequence: int = 1, boot: str = "a", at: float = 0.0, *work):
    return inflight_table.PeerWork(boot, sequence, at, work)


class BoardTest(unittest.TestCase):
    def test_own_and_peers_work_add_up(self):
        b = inflight_table.InflightTable()
        inflight_table.begin(
            b, "q1", [_work(), _work("e1", generates=False, tokens=0)]
        )
        inflight_table.apply_update(b, "peer", _told(1, "a", 0.0, _work()))
        loads = inflight_table.loads(b, 0.1)
        self.assertEqual(loads["e0"].requests, 2)
        self.assertEqual(loads["e0"].tokens, 2000)
        self.assertEqual(loads["e1"].parts, 1)

    def test_first_token_ends_the_parts(self):
        b = inflight_table.InflightTable()
        inflight_table.begin(
            b, "q1", [_work(), _work("e1", generates=False, tokens=0)]
        )
        inflight_table.mark_decoding(b, "q1")
        loads = inflight_table.loads(b, 0.1)
        self.assertNotIn("e1", loads)
        self.assertEqual(len(loads["e0"].decodes), 1)
        self.assertEqual(loads["e0"].prefills, ())

    def test_silent_peer_fades(self):
        """A peer dies; its work must not keep targets unused for ever."""
        b = inflight_table.InflightTable()
        inflight_table.apply_update(b, "peer", _told(1, "a", 0.0, _work()))
        self.assertIn("e0", inflight_table.loads(b, 1.0))
        self.assertNotIn(
            "e0", inflight_table.loads(b, inflight_table.PEER_TIMEOUT_S + 0.1)
        )

    def test_late_message_changes_nothing(self):
        b = inflight_table.InflightTable()
        inflight_table.apply_update(b, "peer", _told(5, "a", 0.0))
        self.assertFalse(
            inflight_table.apply_update(b, "peer", _told(4, "a", 0.1, _work()))
        )
        self.assertEqual(inflight_table.loads(b, 0.1), {})

    def test_new_boot_replaces_the_old_ones_work(self):
        b = inflight_table.InflightTable()
        inflight_table.apply_update(b, "peer", _told(900, "a", 0.0, _work()))
        self.assertTrue(
            inflight_table.apply_update(b, "peer", _told(1, "b", 0.1))
        )
        self.assertEqual(inflight_table.loads(b, 0.1), {})

    def test_target_that_started_again_has_nothing(self):
        b = inflight_table.InflightTable()
        inflight_table.apply_update(
            b, "peer", _told(1, "a", 0.0, _work(), _work("e1"))
        )
        inflight_table.drop_target(b, "e0")
        self.assertEqual(set(inflight_table.loads(b, 0.1)), {"e1"})

    def test_holders_of_memory_write_too(self):
        b = inflight_table.InflightTable()
        inflight_table.begin(b, "q1", [_work(), _work("e1", generates=False)])
        inflight_table.mark_decoding(b, "q1")
        self.assertEqual(len(inflight_table.loads(b, 0.1)["e1"].decodes), 1)

    def test_placement_for_a_peer_counts_until_it_tells(self):
        """Two peers ask for a place within the time of a message."""
        b = inflight_table.InflightTable()
        inflight_table.apply_update(b, "peer", _told(3, "a", 0.0))
        inflight_table.add_pending(b, "peer", "q1", 3, [_work()], 0.0)
        self.assertEqual(inflight_table.loads(b, 0.1)["e0"].requests, 1)
        inflight_table.apply_update(b, "peer", _told(4, "a", 0.1, _work()))
        self.assertEqual(inflight_table.loads(b, 0.1)["e0"].requests, 1)
        inflight_table.apply_update(b, "peer", _told(5, "a", 0.2))
        self.assertEqual(inflight_table.loads(b, 0.2), {})

    def test_placement_that_nobody_takes_up_fades(self):
        """The peer asked another owner meanwhile, or died."""
        b = inflight_table.InflightTable()
        inflight_table.add_pending(b, "peer", "q1", 3, [_work()], 0.0)
        self.assertEqual(
            inflight_table.loads(b, inflight_table.PENDING_S + 0.1), {}
        )
        inflight_table.drop_silent_peers(b, inflight_table.PENDING_S + 0.1)
        self.assertEqual(b.by_target, {})

    def test_sums_are_kept_as_work_changes(self):
        """Many changes of own and others' work leave nothing behind."""
        b = inflight_table.InflightTable()
        for n in range(50):
            inflight_table.begin(
                b, f"q{n % 5}", [_work(f"e{n % 3}"), _work("e4")]
            )
            told = _told(n, "a", n * 0.01, _work(f"e{n % 4}"), _work("e4"))
            inflight_table.apply_update(b, f"peer-{n % 2}", told)
            inflight_table.mark_decoding(b, f"q{n % 4}")
            inflight_table.drop_target(b, f"e{n % 7}")
        for n in range(5):
            inflight_table.end(b, f"q{n}")
        inflight_table.drop_silent_peers(b, 100.0)
        self.assertEqual(b.by_target, {})
        self.assertEqual(b.peers, {})

    def test_only_the_targets_asked_for_are_summed(self):
        b = inflight_table.InflightTable()
        inflight_table.begin(b, "q1", [_work("e0"), _work("e1")])
        self.assertEqual(
            set(inflight_table.loads(b, 0.1, ["e1", "e2"])), {"e1"}
        )


class BudgetTest(unittest.TestCase):
    def test_nine_instances_stay_within_the_bound(self):
        """Every request of every instance fails and wants a repeat."""
        terms = budget.BudgetPolicy(ratio=0.2, window_s=10.0, slack=106)
        own = [budget.Budget(terms) for _ in range(9)]
        requests = repeats = 0
        for step in range(100):
            now = step * 0.1
            for b in own:
                budget.record_request(b, "s", now)
                requests += 1
                repeats += budget.spend(b, "s", now, len(own))
        self.assertLessEqual(repeats, 0.2 * requests + 106)
        self.assertGreater(repeats, 0.2 * requests)

    def test_window_slides(self):
        b = budget.Budget(budget.BudgetPolicy(0.0, 10.0, 10))
        spent = [budget.spend(b, "s", 0.0, 1) for _ in range(10)]
        self.assertEqual(sum(spent), 7)
        self.assertFalse(budget.spend(b, "s", 9.9, 1))
        self.assertTrue(budget.spend(b, "s", 10.1, 1))

    def test_services_have_budgets_of_their_own(self):
        b = budget.Budget(budget.BudgetPolicy(0.0, 10.0, 2))
        self.assertTrue(budget.spend(b, "s", 0.0, 1))
        self.assertFalse(budget.spend(b, "s", 0.0, 1))
        self.assertTrue(budget.spend(b, "t", 0.0, 1))


class HealthTest(unittest.TestCase):
    def test_failures_fade_and_answers_forgive(self):
        known = health.Health()
        health.record_failure(known, 0.0, health.UNREACHABLE)
        self.assertAlmostEqual(health.penalty(known, 0.0), 3.0)
        self.assertAlmostEqual(health.penalty(known, health.HALF_LIFE_S), 1.5)
        health.record_success(known, 0.0)
        self.assertLess(health.penalty(known, 0.0), 1.5)

    def test_nothing_known(self):
        self.assertEqual(health.penalty(None, 5.0), 0.0)


def _entry(name: str = "t", **changes) -> routing.TargetEntry:
    given = {
        "service": "s",
        "address": "127.0.0.1:1",
        "data_centre": "a",
        "slots": 1,
    }
    return routing.TargetEntry(name=name, **given | changes)


class RegistryTest(unittest.TestCase):
    def test_removal_in_calm_is_at_once(self):
        reg = registry.Registry()
        registry.update(reg, [("t", _entry())], 1, 0.0)
        registry.update(reg, [("t", None)], 2, 1.0)
        self.assertEqual(registry.usable(reg, "s", 1.0), [])
        self.assertIsNone(registry.find(reg, "t"))

    def test_lapse_after_an_outage_is_bridged(self):
        """The table was away; all entries lapsed and come back within 2 s."""
        reg = registry.Registry()
        registry.update(reg, [("t", _entry())], 1, 0.0)
        registry.record_outage(reg, 10.0)
        registry.replace(reg, [], 2, 10.1)
        self.assertEqual(registry.usable(reg, "s", 11.0), [_entry()])
        self.assertEqual(registry.usable(reg, "s", 12.1), [])
        registry.update(reg, [("t", _entry())], 3, 12.2)
        self.assertEqual(registry.usable(reg, "s", 12.2), [_entry()])

    def test_present_targets_go_before_missing_ones(self):
        reg = registry.Registry()
        pair = [("t", _entry()), ("u", _entry("u"))]
        registry.update(reg, pair, 1, 0.0)
        registry.record_outage(reg, 10.0)
        registry.update(reg, [("t", None)], 2, 10.1)
        self.assertEqual(registry.usable(reg, "s", 10.2), [_entry("u")])

    def test_draining_target_that_vanishes_is_gone(self):
        reg = registry.Registry()
        registry.update(reg, [("t", _entry(draining=True))], 1, 0.0)
        registry.record_outage(reg, 10.0)
        registry.update(reg, [("t", None)], 2, 10.1)
        self.assertEqual(registry.usable(reg, "s", 10.2), [])

    def test_older_table_changes_nothing(self):
        reg = registry.Registry()
        registry.replace(reg, [_entry()], 9, 0.0)
        registry.replace(reg, [], 8, 0.1)
        self.assertEqual(registry.usable(reg, "s", 0.2), [_entry()])

    def test_later_start_is_told(self):
        reg = registry.Registry()
        registry.update(reg, [("t", _entry(born_ms=1))], 1, 0.0)
        again = _entry(born_ms=2)
        self.assertEqual(registry.update(reg, [("t", again)], 2, 0.1), [again])
        late = [("t", _entry(born_ms=1))]
        self.assertEqual(registry.update(reg, late, 3, 0.2), [])
        self.assertEqual(reg.entries["t"], again)
