"""Tests when an instance takes itself for partitioned from all targets."""

import random
import unittest

from copperloom import routing
from copperloom.decisions import reachability
from copperloom.decisions.tests.fixtures import NOW


def _target(number: int, service: str = "s", place: str = "a"):
    return routing.TargetEntry(f"t{number}", service, "127.0.0.1:9", place, 8)


def _targets(count: int, services: int = 1, places: int = 1):
    return [
        _target(n, f"s{n % services}", f"p{n // services % places}")
        for n in range(count)
    ]


def _fail(known, targets, now: float = NOW, *, is_silent: bool = False) -> None:
    for target in targets:
        reachability.record_failure(known, target, now, is_silent=is_silent)


class LossTest(unittest.TestCase):
    def _reaches_none(self, targets, failed, now: float = NOW) -> bool:
        known = reachability.Reachability()
        _fail(known, failed)
        return reachability.reaches_none(known, targets, now)

    def test_failures_of_many_targets_show_a_partition(self):
        targets = _targets(12, services=2, places=3)
        self.assertTrue(self._reaches_none(targets, targets[:6]))

    def test_one_target_shows_nothing(self):
        """Guards against relaying all requests when one target dies."""
        targets = _targets(12, services=2, places=3)
        self.assertFalse(self._reaches_none(targets, targets[:1]))
        self.assertFalse(self._reaches_none(targets[:1], targets[:1]))

    def test_one_data_centre_or_service_shows_nothing(self):
        """Guards against relaying when a part of the targets is gone."""
        targets = _targets(12, services=2, places=3)
        for failed in (
            [t for t in targets if t.data_centre == "p0"],
            [t for t in targets if t.service == "s0"],
        ):
            self.assertFalse(self._reaches_none(targets, failed))

    def test_two_targets_suffice_if_there_are_no_more(self):
        targets = _targets(2)
        self.assertTrue(self._reaches_none(targets, targets))

    def test_old_failures_and_gone_targets_show_nothing(self):
        targets = _targets(6)
        later = NOW + reachability.FRESH_S + 1
        self.assertFalse(self._reaches_none(targets, targets, later))
        self.assertFalse(self._reaches_none(targets, _targets(12)[6:]))

    def test_later_answer_clears_failures(self):
        known = reachability.Reachability()
        _fail(known, _targets(3))
        reachability.record_answer(known, NOW + 1, NOW + 2)
        self.assertEqual(known.failures, {})
        self.assertEqual(reachability.unconfirmed(known), frozenset())

    def test_answer_on_an_open_connection_clears_nothing(self):
        """Guards against a partition that refuses only new connections."""
        known = reachability.Reachability()
        _fail(known, _targets(3))
        reachability.record_answer(known, NOW - 1, NOW + 2)
        self.assertEqual(len(reachability.unconfirmed(known)), 3)

    def test_busy_targets_are_no_partition(self):
        """Guards against relaying when targets let new requests wait."""
        targets = _targets(6)
        known = reachability.Reachability()
        _fail(known, targets[:4], is_silent=True)
        self.assertTrue(reachability.reaches_none(known, targets, NOW + 0.5))
        reachability.record_answer(known, NOW - 3, NOW + 0.2)
        self.assertFalse(reachability.reaches_none(known, targets, NOW + 0.5))

    def test_answers_on_open_connections_do_not_hide_refusals(self):
        """Guards against a partition that refuses only new connections."""
        targets = _targets(6)
        known = reachability.Reachability()
        _fail(known, targets[:4])
        reachability.record_answer(known, NOW - 3, NOW + 0.2)
        self.assertTrue(reachability.reaches_none(known, targets, NOW + 0.5))

    def test_silence_is_told_from_refusal(self):
        known = reachability.Reachability()
        _fail(known, _targets(2), is_silent=True)
        self.assertTrue(reachability.is_silent(known))
        _fail(known, _targets(6)[2:])
        self.assertFalse(reachability.is_silent(known))


class ChoiceTest(unittest.TestCase):
    def test_other_services_and_data_centres_are_checked_first(self):
        """Guards against a verdict from the neighbours of a dead target."""
        targets = _targets(12, services=2, places=3)
        known = reachability.Reachability()
        _fail(known, targets[:1])
        for seed in range(20):
            rng = random.Random(seed)
            chosen = reachability.choose_checked(known, targets, rng)
            self.assertEqual(len(chosen), reachability.CHECKED)
            self.assertNotIn(targets[0], chosen)
            self.assertNotEqual(chosen[0].service, targets[0].service)
            self.assertNotEqual(chosen[0].data_centre, targets[0].data_centre)

    def test_a_round_decides(self):
        """Guards against failed checks that leave the question open."""
        for count, services, places in ((2, 1, 1), (4, 2, 2), (40, 3, 4)):
            targets = _targets(count, services, places)
            known = reachability.Reachability()
            _fail(known, targets[:1])
            rng = random.Random(1)
            _fail(known, reachability.choose_checked(known, targets, rng))
            self.assertTrue(reachability.reaches_none(known, targets, NOW))


class RegainTest(unittest.TestCase):
    def _regained_after_s(self, known) -> float:
        """Returns how long checks are answered until targets are reached."""
        now = NOW
        reachability.begin_loss(known, now)
        while not reachability.is_regained(known, now):
            now += 0.1
            reachability.record_check(known, now, answered=True)
        reachability.end_loss(known, now)
        return now - NOW

    def test_answers_end_a_loss_soon(self):
        known = reachability.Reachability()
        self.assertLess(self._regained_after_s(known), 1.0)
        self.assertFalse(known.is_lost)

    def test_loss_that_comes_and_goes_ends_later(self):
        """Guards against requests that fail each time the network returns."""
        known = reachability.Reachability()
        first_s = self._regained_after_s(known)
        second_s = self._regained_after_s(known)
        self.assertGreater(second_s, 2 * first_s)
        self.assertLess(second_s, 2.0)

    def test_failed_check_starts_again(self):
        known = reachability.Reachability()
        reachability.begin_loss(known, NOW)
        reachability.record_check(known, NOW, answered=True)
        reachability.record_check(known, NOW + 0.1, answered=False)
        reachability.record_check(known, NOW + 5, answered=True)
        self.assertFalse(reachability.is_regained(known, NOW + 5))
