"""Tests the order of waiting requests, on emulated callers."""

import random
import time
import unittest

from copperloom.decisions import waiting_order
from copperloom.decisions.tests import turn_emulator
from copperloom.decisions.tests.turn_emulator import Caller

# At the service time of the callers these serve 80 requests a second.
_PLACES = 16
_SMALL = [Caller(f"small-{n}", 5.0) for n in range(7)]
_BIG = Caller("big", 100.0)


def _share(outcome: turn_emulator.Outcome) -> float:
    return outcome.served / outcome.sent


def _request(name: str, organisation: str = "a", **changes):
    values = {
        "id": name,
        "organisation": organisation,
        "cost": 1.0,
        "priority": 1,
        "is_returned": False,
        "deadline": 10.0,
    }
    return waiting_order.Request(**values | changes)


def _wait(order, request, now: float = 0.0) -> waiting_order.Turn:
    room = waiting_order.Room(0, _PLACES, False)
    return waiting_order.decide(order, request, room, now)


def _ahead(order, request) -> int:
    return waiting_order.position(order, request.id)[0]


class LoadTest(unittest.TestCase):
    def test_skew(self):
        """Guards against an organisation that displaces all others."""
        outcomes = turn_emulator.play([*_SMALL, _BIG], _PLACES)
        for caller in _SMALL:
            self.assertGreaterEqual(_share(outcomes[caller]), 0.95)
        big = outcomes.pop(_BIG)
        self.assertGreater(_share(big), 0.4)
        self.assertLess(big.refused_later, 0.02 * big.sent)
        self.assertGreater(big.over_share, 0.9 * (big.sent - big.served))
        self.assertEqual(sum(o.over_share for o in outcomes.values()), 0)

    def test_burst(self):
        """Guards against shares that lag behind a sudden load."""
        burst = Caller("big", 300.0, begins_s=8.0, ends_s=11.0)
        outcomes = turn_emulator.play([*_SMALL, burst], _PLACES)
        for caller in _SMALL:
            self.assertGreaterEqual(_share(outcomes[caller]), 0.95)

    def test_saturation_by_equals(self):
        """Guards against the starvation of some organisation, and idleness."""
        callers = [Caller(f"org-{n}", 20.0) for n in range(8)]
        outcomes = turn_emulator.play(callers, _PLACES)
        shares = [_share(o) for o in outcomes.values()]
        self.assertGreater(min(shares), 0.8 * max(shares))
        served = sum(o.served for o in outcomes.values())
        # 20 s at 80 requests a second.
        self.assertGreater(served, 0.85 * 1600)
        late = sum(o.refused_later for o in outcomes.values())
        self.assertLess(late, 0.05 * sum(o.sent for o in outcomes.values()))

    def test_priorities(self):
        """Guards against less urgent requests that are served more often."""
        urgent = [Caller(f"org-{n}", 10.0, priority=0) for n in range(8)]
        others = [Caller(f"org-{n}", 10.0, priority=2) for n in range(8)]
        outcomes = turn_emulator.play([*urgent, *others], _PLACES)
        for first, second in zip(urgent, others, strict=True):
            self.assertGreater(_share(outcomes[first]), 0.8)
            self.assertLess(_share(outcomes[second]), 0.2)

    def test_new_owner(self):
        """Guards against a failover after which shares are lost."""
        outcomes = turn_emulator.play(
            [*_SMALL, _BIG], _PLACES, new_owner_at=10.0
        )
        for caller in _SMALL:
            self.assertGreaterEqual(_share(outcomes[caller]), 0.95)

    def test_enough_capacity(self):
        """Guards against waits and refusals without shortage."""
        outcomes = turn_emulator.play(_SMALL, _PLACES)
        for outcome in outcomes.values():
            self.assertEqual(_share(outcome), 1.0)
            self.assertEqual(max(outcome.waits_s), 0.0)


class OrderTest(unittest.TestCase):
    def test_priority_then_returned_then_deadline(self):
        """Guards against a request that overtakes a more urgent one."""
        order = waiting_order.WaitingOrder()
        expected = [
            _request("urgent", priority=0),
            _request("returned", is_returned=True),
            _request("early", deadline=5.0),
            _request("late"),
        ]
        for request in reversed(expected):
            _wait(order, request)
        self.assertEqual([_ahead(order, r) for r in expected], [0, 1, 2, 3])

    def test_request_within_its_share_precedes_urgent_ones_over_it(self):
        """Guards against an organisation that calls everything urgent."""
        order = waiting_order.WaitingOrder()
        room = waiting_order.Room(50, 50, True)
        for number in range(50):
            waiting_order.decide(order, _request(f"g{number}"), room, 0.0)
        urgent = _request("urgent", priority=0)
        other = _request("other", "b", priority=9)
        _wait(order, urgent)
        _wait(order, other, 0.01)
        _wait(order, urgent, 0.02)
        self.assertEqual(_ahead(order, other), 0)
        self.assertEqual(_ahead(order, urgent), 1)

    def test_first_in_order_gets_the_only_free_place(self):
        """Guards against a place for whoever asks first."""
        order = waiting_order.WaitingOrder()
        first, second = _request("1", deadline=5.0), _request("2")
        _wait(order, second)
        _wait(order, first)
        room = waiting_order.Room(1, _PLACES, True)
        turn = waiting_order.decide(order, second, room, 0.01)
        self.assertFalse(turn.is_granted)
        turn = waiting_order.decide(order, first, room, 0.02)
        self.assertTrue(turn.is_granted)

    def test_silent_request_leaves_the_order(self):
        """Guards against a caller that has gone and blocks the next ones."""
        order = waiting_order.WaitingOrder()
        turn = _wait(order, _request("gone", deadline=5.0))
        later = turn.recheck_s + waiting_order.SILENCE_S + 0.01
        room = waiting_order.Room(1, _PLACES, True)
        turn = waiting_order.decide(order, _request("next"), room, later)
        self.assertTrue(turn.is_granted)

    def test_bounded(self):
        """Guards against memory that grows with the load.

        The others must find a place in a table that one organisation filled.
        """
        order = waiting_order.WaitingOrder()
        for number in range(waiting_order.MAX_WAITING + 10):
            turn = _wait(order, _request(f"q{number:05}"))
        self.assertTrue(turn.is_refused)
        self.assertFalse(_wait(order, _request("other", "b")).is_refused)
        urgent = _request("urgent", priority=0)
        self.assertFalse(_wait(order, urgent).is_refused)
        self.assertEqual(len(order.waiting), waiting_order.MAX_WAITING)

    def test_decision_takes_a_fraction_of_a_millisecond(self):
        """Guards against an owner whose processor the order takes up."""
        order = waiting_order.WaitingOrder()
        requests = [_request(f"q{n}", f"org-{n % 24}") for n in range(500)]
        for request in requests:
            _wait(order, request)
        begin = time.process_time()
        for number, request in enumerate(requests):
            _wait(order, request, 0.0001 * number)
        elapsed_s = time.process_time() - begin
        self.assertLess(elapsed_s / len(requests), 0.0005)


class RetryAfterTest(unittest.TestCase):
    def test_predicted_wait_with_jitter(self):
        """Guards against callers that return together or too early."""
        rng = random.Random(1)
        waits = [waiting_order.retry_after_s(0.4, 6.0, rng) for _ in range(50)]
        self.assertGreaterEqual(min(waits), 0.4)
        self.assertGreater(max(waits) - min(waits), 0.05)

    def test_at_most_a_third_of_the_time_left(self):
        """Guards against a time that callers don't honour."""
        rng = random.Random(1)
        waits = [waiting_order.retry_after_s(9.0, 3.0, rng) for _ in range(50)]
        self.assertLessEqual(max(waits), 1.0)
        self.assertGreater(max(waits) - min(waits), 0.05)
