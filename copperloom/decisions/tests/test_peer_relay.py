"""Tests which instance takes the requests of a partitioned one."""

import collections
import random
import unittest

from copperloom.decisions import peer_relay, readiness

_FREE = peer_relay.Facts(
    is_current=True,
    reaches_targets=True,
    is_shedding=False,
    relayed=0,
    cores=1.0,
)


def _candidate(name: str, load: float = 0.0, **changes):
    facts = {"is_local": True, "is_preferred": True} | changes
    return peer_relay.Candidate(name, load=load, **facts)


def _chosen(candidates, draws: int = 300) -> collections.Counter:
    rng = random.Random(1)
    return collections.Counter(
        peer_relay.choose(candidates, rng).name for _ in range(draws)
    )


class ChoiceTest(unittest.TestCase):
    def test_requests_are_spread(self):
        """Guards against one instance that gets the requests of all others."""
        chosen = _chosen([_candidate(str(n), n) for n in range(9)])
        self.assertGreaterEqual(len(chosen), 6)
        self.assertGreater(chosen["0"], chosen["5"])

    def test_near_instances_come_first(self):
        near = [_candidate("near")]
        far = [_candidate(f"far{n}", is_local=False) for n in range(2)]
        self.assertEqual(set(_chosen(near + far)), {"near"})

    def test_busy_near_instances_yield_to_far_ones(self):
        """Guards against overload of the rest of a data centre."""
        near = [_candidate("near", 4 * peer_relay.REMOTE_COST)]
        far = [_candidate("far", is_local=False)]
        self.assertEqual(set(_chosen(near + far)), {"far"})

    def test_others_are_the_last_resort(self):
        """Guards against refusing requests for the silence of one offer."""
        silent = [_candidate("silent", is_preferred=False)]
        live = [_candidate("live", 99.0, is_local=False)]
        self.assertEqual(set(_chosen(silent + live)), {"live"})
        self.assertEqual(set(_chosen(silent)), {"silent"})
        self.assertIsNone(peer_relay.choose([], random.Random(1)))


class OfferTest(unittest.TestCase):
    def _check(self, **changes):
        facts = {
            name: getattr(_FREE, name) for name in _FREE.__dataclass_fields__
        }
        return peer_relay.check_offer(peer_relay.Facts(**(facts | changes)))

    def test_offers_are_refused_with_the_reason(self):
        refusal = peer_relay.Refusal
        self.assertIsNone(self._check())
        for changes, reason in (
            ({"is_current": False}, refusal.STALE),
            ({"reaches_targets": False}, refusal.PARTITIONED),
            ({"relayed": 10_000}, refusal.OVERLOADED),
            ({"is_shedding": True, "relayed": 20}, refusal.OVERLOADED),
        ):
            self.assertEqual(self._check(**changes), reason)

    def test_instance_with_too_many_callers_takes_some(self):
        """Guards against partitioned instances that are served by nobody."""
        self.assertIsNone(self._check(is_shedding=True, relayed=5))

    def test_large_instances_take_more(self):
        relayed = peer_relay.MAX_RELAYED_PER_CORE
        self.assertIsNotNone(self._check(relayed=relayed))
        self.assertIsNone(self._check(relayed=relayed, cores=2.0))


class ReadinessTest(unittest.TestCase):
    def test_few_partitioned_instances_are_withdrawn(self):
        self.assertTrue(readiness.is_withdrawn(2.0, reaching=3, lost=1))

    def test_most_or_all_of_a_data_centre_stay_ready(self):
        """Guards against a data centre without any ready instance."""
        self.assertFalse(readiness.is_withdrawn(2.0, reaching=1, lost=2))
        self.assertFalse(readiness.is_withdrawn(2.0, reaching=0, lost=1))

    def test_short_losses_change_nothing(self):
        self.assertFalse(readiness.is_withdrawn(0.5, reaching=3, lost=1))
