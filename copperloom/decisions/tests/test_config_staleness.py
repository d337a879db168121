"""The rule by which an instance with an unconfirmed version refuses work."""

import dataclasses
import unittest

from copperloom.decisions import config_staleness

_NOW = 100.0
_PARTITIONED = config_staleness.Evidence(
    loaded=True,
    version=5,
    confirmed_at=_NOW - 20,
    reported_version=5,
    contacts=1,
    members=9,
)


def _refused(**changes) -> bool:
    evidence = dataclasses.replace(_PARTITIONED, **changes)
    reason = config_staleness.refusal_reason(evidence, _NOW, confirm_s=8.0)
    return reason is not None


class RefusalReasonTest(unittest.TestCase):
    def test_recent_confirmation_is_enough_without_a_majority(self):
        self.assertFalse(_refused(confirmed_at=_NOW - 8))

    def test_partitioned_instance_refuses_work(self):
        self.assertTrue(_refused())

    def test_majority_admits_work_without_the_platform(self):
        self.assertFalse(_refused(contacts=5))

    def test_half_of_the_members_is_no_majority(self):
        self.assertTrue(_refused(contacts=4, members=8))

    def test_work_is_refused_while_a_newer_version_is_not_fetched(self):
        self.assertTrue(_refused(contacts=9, reported_version=6))

    def test_single_member_admits_work(self):
        self.assertFalse(_refused(contacts=1, members=1))

    def test_unlisted_instance_without_contacts_is_no_majority(self):
        """A partitioned instance that just started must not admit work."""
        self.assertTrue(_refused(contacts=1, members=1, listed=False))
        self.assertFalse(_refused(contacts=2, members=3, listed=False))

    def test_work_is_refused_without_a_configuration(self):
        self.assertTrue(_refused(loaded=False, confirmed_at=_NOW))
