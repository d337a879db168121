"""Tests when a request that crashes its targets is sent as a trial."""

import unittest

from copperloom.decisions import crash_evidence, crash_log, quarantine
from copperloom.decisions.tests.fixtures import (
    DIGEST,
    NOW,
    find_quarantine,
    log_of_crashes,
)


def _is_due(log, rank: int, now: float) -> bool:
    return quarantine.is_trial_due(log, find_quarantine(log), rank, now)


class TrialTest(unittest.TestCase):
    def test_third_crash_quarantines(self):
        self.assertIsNone(find_quarantine(log_of_crashes(NOW, NOW)))
        found = find_quarantine(log_of_crashes(NOW, NOW + 1, NOW + 2))
        self.assertEqual(found.until, NOW + 2 + quarantine.HOLDS_S[0])

    def test_instances_try_one_after_another(self):
        """Guards against a trial by each instance at the same moment."""
        log = log_of_crashes(NOW, NOW, NOW)
        until = find_quarantine(log).until
        self.assertFalse(_is_due(log, 0, until - 0.1))
        self.assertTrue(_is_due(log, 0, until))
        self.assertFalse(_is_due(log, 1, until))
        self.assertTrue(_is_due(log, 1, until + quarantine.TRIAL_STAGGER_S))

    def test_trials_of_different_requests_do_not_coincide(self):
        """Guards against blaming a sound request for another one's crash."""
        log = log_of_crashes(NOW, NOW, NOW)
        for number in range(3):
            crash_evidence.record_crash(log, b"other", f"t{number}", NOW)
        now = find_quarantine(log).until
        quarantine.begin_trial(log, b"other", "x", now)
        self.assertFalse(_is_due(log, 0, now))
        self.assertTrue(_is_due(log, 0, now + quarantine.TRIAL_GAP_S))

    def test_trial_excludes_others(self):
        log = log_of_crashes(NOW, NOW, NOW)
        now = find_quarantine(log).until
        quarantine.begin_trial(log, DIGEST, "x", now)
        self.assertEqual(find_quarantine(log).trials, ("x",))
        self.assertFalse(_is_due(log, 0, now + 1))

    def test_trials_are_bounded(self):
        """Guards against a request that crashes a target at each trial."""
        log = log_of_crashes(NOW, NOW, NOW)
        now = NOW
        trials = 0
        while now < NOW + 3600.0:
            if _is_due(log, 0, now):
                trials += 1
                quarantine.begin_trial(log, DIGEST, f"x{trials}", now)
                crashed = f"u{trials}"
                crash_evidence.record_crash(log, DIGEST, crashed, now + 0.1)
            now += 1.0
        self.assertEqual(trials, len(quarantine.HOLDS_S))

    def test_completed_trial_ends_the_quarantine(self):
        """Guards against trials that count after a request proved sound."""
        log = log_of_crashes(NOW, NOW, NOW)
        quarantine.begin_trial(log, DIGEST, "x", NOW + 5)
        crash_evidence.record_completion(log, DIGEST, NOW + 6)
        self.assertIsNone(find_quarantine(log))
        self.assertFalse(log.requests[DIGEST].trials)

    def test_quarantine_has_an_end(self):
        log = log_of_crashes(NOW, NOW, NOW)
        end = NOW + crash_log.SUFFICIENT_KEPT_S
        self.assertEqual(crash_log.expire(log, end - 1), [])
        self.assertEqual(crash_log.expire(log, end), [DIGEST])
        self.assertIsNone(find_quarantine(log))
