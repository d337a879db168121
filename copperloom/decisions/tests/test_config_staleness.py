"""The rule of freshness, alone."""

import dataclasses
import unittest

from copperloom.decisions import config_staleness

_NOW = 100.0
_ALONE = config_staleness.Evidence(
    loaded=True,
    version=5,
    confirmed_at=_NOW - 20,
    told_version=5,
    contacts=1,
    members=9,
)


def _refused(**changes) -> bool:
    evidence = dataclasses.replace(_ALONE, **changes)
    reason = config_staleness.refusal_reason(evidence, _NOW, confirm_s=8.0)
    return reason is not None


class FreshnessTest(unittest.TestCase):
    def test_recent_proof_is_enough_alone(self):
        self.assertFalse(_refused(confirmed_at=_NOW - 8))

    def test_cut_off_entry_stops(self):
        self.assertTrue(_refused())

    def test_majority_goes_on_without_the_platform(self):
        self.assertFalse(_refused(contacts=5))

    def test_half_is_no_majority(self):
        self.assertTrue(_refused(contacts=4, members=8))

    def test_majority_that_knows_a_newer_version_waits_for_it(self):
        self.assertTrue(_refused(contacts=9, told_version=6))

    def test_only_member_goes_on(self):
        self.assertFalse(_refused(contacts=1, members=1))

    def test_entry_that_knows_nobody_yet_is_no_majority(self):
        """It has just started: the list is too old to name anybody."""
        self.assertTrue(_refused(contacts=1, members=1, listed=False))
        self.assertFalse(_refused(contacts=2, members=3, listed=False))

    def test_nothing_loaded_stops(self):
        self.assertTrue(_refused(loaded=False, confirmed_at=_NOW))
