"""Tests where a request and its body may be."""

import unittest

from copperloom.decisions import homes

_REGIONS = {"a": "eu", "b": "eu", "c": "us", "d": "asia"}


def _run(by_route, by_organisation):
    sets = [
        None if names is None else frozenset(names)
        for names in (by_route, by_organisation)
    ]
    return homes.data_centres_for_run(*sets, _REGIONS)


class HomesTest(unittest.TestCase):
    def test_route_and_organisation_both_apply(self):
        """Guards against a rule that replaces the other one."""
        self.assertIsNone(_run(None, None))
        self.assertEqual(_run(["eu"], None), {"a", "b"})
        self.assertEqual(_run(None, ["us"]), {"c"})
        self.assertEqual(_run(["eu", "us"], ["us", "asia"]), {"c"})
        self.assertEqual(_run(["eu"], ["us"]), set())

    def test_unknown_region_matches_nothing(self):
        """Guards against a misspelt region that allows all."""
        self.assertEqual(_run(["EU"], None), set())

    def test_body_may_be_in_the_callers_region(self):
        """Guards against a body at instances of a third region."""
        allowed = homes.data_centres_for_body(frozenset({"c"}), "a", _REGIONS)
        self.assertEqual(allowed, {"a", "b", "c"})
        alone = homes.data_centres_for_body(frozenset(), "e", _REGIONS)
        self.assertEqual(alone, {"e"})
        self.assertIsNone(homes.data_centres_for_body(None, "a", _REGIONS))
