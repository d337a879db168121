"""Tests the evidence against requests that crash their targets."""

import unittest

from copperloom.decisions import crash_evidence, crash_log
from copperloom.decisions.tests.fixtures import (
    DIGEST,
    NOW,
    find_quarantine,
    log_of_crashes,
)


class EvidenceTest(unittest.TestCase):
    def test_one_target_counts_once(self):
        """Guards against a verdict from several attempts at one target."""
        log = crash_log.CrashLog()
        for at in range(5):
            crash_evidence.record_crash(log, DIGEST, "t", NOW + at)
        self.assertIsNone(find_quarantine(log))

    def test_end_in_the_middle_of_an_answer_is_no_crash(self):
        """Guards against blaming long streams when targets die at random."""
        self.assertTrue(crash_evidence.is_at_begin(None, NOW))
        self.assertTrue(crash_evidence.is_at_begin(NOW - 0.1, NOW))
        self.assertFalse(crash_evidence.is_at_begin(NOW - 2.0, NOW))

    def test_target_that_ended_earlier_did_not_crash(self):
        """Guards against blaming requests that were sent to a dead target."""
        log = log_of_crashes(NOW)
        self.assertTrue(crash_evidence.had_ended(log, "t0", NOW + 1))
        self.assertFalse(crash_evidence.had_ended(log, "t0", NOW - 1))
        self.assertFalse(crash_evidence.had_ended(log, "unknown", NOW))

    def test_completion_voids_evidence(self):
        """Guards against refusing a popular request when targets die."""
        log = log_of_crashes(NOW, NOW, NOW)
        self.assertTrue(crash_evidence.record_completion(log, DIGEST, NOW + 1))
        self.assertIsNone(find_quarantine(log))
        self.assertFalse(crash_evidence.record_completion(log, DIGEST, NOW + 2))

    def test_void_evidence_does_not_return(self):
        """Guards against reports that cross the news of a completion."""
        log = log_of_crashes(NOW, NOW, NOW)
        late = log.requests[DIGEST]
        crash_evidence.record_completion(log, DIGEST, NOW + 1)
        crash_log.merge(log, DIGEST, late, NOW + 2, forwards=False)
        self.assertIsNone(find_quarantine(log))

    def test_request_that_completed_may_be_quarantined_again(self):
        log = log_of_crashes(NOW, NOW, NOW)
        crash_evidence.record_completion(log, DIGEST, NOW + 1)
        for number in range(10, 13):
            crash_evidence.record_crash(log, DIGEST, f"t{number}", NOW + 2)
        self.assertIsNotNone(find_quarantine(log))

    def test_answer_shows_that_a_target_has_not_ended(self):
        """Guards against a partition that refuses connections."""
        log = log_of_crashes(NOW, NOW, NOW)
        later = NOW + crash_evidence.RESTART_S + 1
        concerned = crash_evidence.record_answer(log, "t1", later, later + 1)
        self.assertEqual(concerned, [DIGEST])
        self.assertIsNone(find_quarantine(log))
        unknown = crash_evidence.record_answer(log, "t9", later, later + 1)
        self.assertEqual(unknown, [])

    def test_answer_of_a_later_start_shows_nothing(self):
        """Guards against a start whose row has not been read yet."""
        log = log_of_crashes(NOW, NOW, NOW)
        concerned = crash_evidence.record_answer(log, "t1", NOW + 1, NOW + 2)
        self.assertEqual(concerned, [])
        self.assertIsNotNone(find_quarantine(log))

    def test_answer_to_an_earlier_attempt_shows_nothing(self):
        """Guards against an answer that was sent just before a crash."""
        log = log_of_crashes(NOW, NOW, NOW)
        concerned = crash_evidence.record_answer(log, "t1", NOW - 1, NOW + 2)
        self.assertEqual(concerned, [])
        self.assertIsNotNone(find_quarantine(log))
