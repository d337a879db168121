"""Tests the max-min fair shares of organisations."""

import math
import unittest

from copperloom.decisions import fair_share


def _usage(amounts: dict[str, tuple[float, float]]) -> fair_share.Usage:
    """Returns usage with the demanded and served cost of organisations."""
    usage = fair_share.Usage()
    for name, (demanded, served) in amounts.items():
        fair_share.record_demand(usage, name, demanded, 0.0)
        fair_share.record_served(usage, name, served, 0.0)
    return usage


class ShareTest(unittest.TestCase):
    def test_what_one_does_not_use_is_lent_to_the_others(self):
        """Guards against equal shares, of which idle ones would be lost."""
        usage = _usage({"a": (5, 5), "b": (100, 40), "c": (100, 45)})
        self.assertAlmostEqual(fair_share.share(usage, {}, 0.0), 42.5)

    def test_nobody_has_a_share_while_all_demands_are_met(self):
        """Guards against refusals of a large organisation on idle targets."""
        usage = _usage({"a": (5, 5), "b": (100, 100)})
        self.assertEqual(fair_share.share(usage, {}, 0.0), math.inf)

    def test_waiting_requests_are_demand(self):
        """Guards against a share that ignores an organisation that returns."""
        usage = _usage({"a": (0, 0), "b": (90, 90)})
        self.assertAlmostEqual(fair_share.share(usage, {"a": 99}, 0.0), 45)

    def test_usage_decays_in_seconds(self):
        """Guards against an organisation that pays for an earlier burst."""
        usage = _usage({"a": (100, 100)})
        fair_share.share(usage, {}, 3 * fair_share.DECAY_S)
        self.assertLess(fair_share.used(usage, "a"), 6)

    def test_only_a_clear_excess_counts(self):
        """Guards against status 429 for an organisation like all others."""
        usage = _usage({"a": (50, 11), "b": (50, 10), "c": (99, 30)})
        self.assertFalse(fair_share.exceeds_equal(usage, "a"))
        self.assertTrue(fair_share.exceeds_equal(usage, "c"))

    def test_the_least_used_of_many_organisations_are_dropped(self):
        """Guards against memory that grows with names, and a lost heavy one."""
        usage = _usage({"big": (100, 100)})
        for number in range(2 * fair_share.MAX_ORGANISATIONS):
            fair_share.record_demand(usage, f"org-{number}", 1.0, 0.0)
        self.assertEqual(len(usage.demanded), fair_share.MAX_ORGANISATIONS)
        self.assertEqual(fair_share.used(usage, "big"), 100)
