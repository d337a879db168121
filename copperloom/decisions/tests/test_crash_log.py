"""Tests how evidence of crashes is kept, merged and shared."""

import itertools
import random
import unittest

from copperloom.decisions import crash_evidence, crash_log, sharing
from copperloom.decisions.sharing import Occasion
from copperloom.decisions.tests.fixtures import (
    DIGEST,
    NOW,
    find_quarantine,
    log_of_crashes,
)


class MergeTest(unittest.TestCase):
    def test_order_of_messages_does_not_matter(self):
        """Guards against instances that disagree on a quarantine."""
        parts = [
            crash_log.Evidence(crashes={"a": NOW, "b": NOW + 1}),
            crash_log.Evidence(crashes={"b": NOW + 1, "c": NOW + 2}),
            crash_log.Evidence(trials={"x": NOW + 3}),
            crash_log.Evidence(void={"a": NOW}),
            crash_log.Evidence(crashes={"d": NOW + 2}),
        ]
        results = []
        for order in itertools.permutations(parts):
            log = crash_log.CrashLog()
            for part in (*order, *order):
                crash_log.merge(log, DIGEST, part, NOW + 5, forwards=False)
            results.append(find_quarantine(log))
        self.assertEqual(len(results), 120)
        self.assertTrue(all(r == results[0] for r in results))
        self.assertEqual(set(results[0].crashes), {"b", "c", "d"})

    def test_repeated_message_changes_nothing(self):
        """Guards against evidence that circulates for ever."""
        log = log_of_crashes(NOW, NOW)
        known = log.requests[DIGEST]
        self.assertFalse(
            crash_log.merge(log, DIGEST, known, NOW + 1, forwards=False)
        )

    def test_delayed_message_does_not_postpone_a_crash(self):
        log = log_of_crashes(NOW, NOW, NOW)
        late = crash_log.Evidence(crashes={"t0": NOW + 3, "t9": NOW})
        crash_log.merge(log, DIGEST, late, NOW + 3, forwards=False)
        self.assertEqual(find_quarantine(log).crashes["t0"], NOW)

    def test_memory_is_bounded(self):
        """Guards against callers that use up memory by many requests."""
        rng = random.Random(1)
        log = crash_log.CrashLog()
        for number in range(5000):
            digest = str(rng.randrange(3000)).encode()
            crash_evidence.record_crash(log, digest, f"t{number}", NOW + number)
            crash_evidence.record_completion(log, digest, NOW + number)
        for number in range(100):
            crash_evidence.record_crash(log, DIGEST, f"t{number}", NOW)
        self.assertLessEqual(len(log.requests), crash_log.MAX_REQUESTS)
        self.assertLessEqual(len(log.ended), crash_log.MAX_ENDED)
        entry = log.requests[DIGEST]
        self.assertLessEqual(len(entry.crashes), crash_log.MAX_CRASHES)
        self.assertLessEqual(
            max(len(e.void) for e in log.requests.values()),
            crash_log.MAX_VOID,
        )

    def test_quarantine_outlives_weak_evidence(self):
        """Guards against a flood of failures that hides a quarantine."""
        log = log_of_crashes(NOW, NOW, NOW)
        for number in range(2 * crash_log.MAX_REQUESTS):
            crash_evidence.record_crash(log, str(number).encode(), "t", NOW + 1)
        self.assertIsNotNone(find_quarantine(log))


class ShareTest(unittest.TestCase):
    def _shared(
        self,
        log,
        now: float,
        occasion: Occasion = Occasion.BROADCAST,
    ) -> dict:
        return crash_log.to_share(log, now, 10, occasion)

    def test_new_evidence_is_passed_on_repeatedly(self):
        """Guards against evidence in a message that is lost."""
        log = log_of_crashes(NOW)
        self.assertIn(DIGEST, self._shared(log, NOW))
        self.assertEqual(self._shared(log, NOW), {})
        later = NOW + sharing.FRESH_INTERVAL_S
        self.assertIn(DIGEST, self._shared(log, later))
        self.assertEqual(self._shared(log, NOW + 10), {})

    def test_quarantine_is_passed_on_while_it_lasts(self):
        """Guards against an instance that was cut off meanwhile."""
        log = log_of_crashes(NOW, NOW, NOW)
        for later in (10, 20, 30):
            self.assertIn(DIGEST, self._shared(log, NOW + later))

    def test_reported_evidence_is_not_passed_on_by_all(self):
        """Guards against messages that grow with the square of the fleet."""
        log = crash_log.CrashLog()
        crash = crash_log.Evidence(crashes={"t": NOW})
        crash_log.merge(log, DIGEST, crash, NOW, forwards=False)
        self.assertEqual(self._shared(log, NOW), {})
        shared = self._shared(log, NOW, Occasion.START)
        self.assertIn(DIGEST, shared)

    def test_replies_hold_what_all_members_need(self):
        """Guards against weak evidence in each reply for many minutes."""
        weak = log_of_crashes(NOW)
        strong = log_of_crashes(NOW, NOW, NOW)
        for log in (weak, strong):
            for _ in range(2):
                shared = self._shared(log, NOW, Occasion.REPLY)
                self.assertIn(DIGEST, shared)
        later = NOW + 10
        reply = Occasion.REPLY
        self.assertEqual(self._shared(weak, later, reply), {})
        self.assertIn(DIGEST, self._shared(strong, later, reply))

    def test_latest_changes_come_first(self):
        log = crash_log.CrashLog()
        for number in range(20):
            crash_evidence.record_crash(log, str(number).encode(), "t", NOW)
        shared = self._shared(log, NOW)
        self.assertEqual(len(shared), 10)
        self.assertIn(b"19", shared)
