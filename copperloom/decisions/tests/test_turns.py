"""Tests which services have waiting orders, and who returns to them."""

import unittest

from copperloom import routing
from copperloom.decisions import shards, turns, waiting_order


def _table(*names: str) -> routing.RoutingTable:
    holders = {f"key-{n}": routing.KeyHolder(n) for n in names}
    return routing.RoutingTable(1, organisations=holders, keyed=True)


class TurnsTest(unittest.TestCase):
    def test_order_is_kept_for_several_organisations_only(self):
        """Guards against a change where nobody could take another's share."""
        found = turns.Turns()
        self.assertFalse(turns.is_kept(found, routing.RoutingTable()))
        self.assertFalse(turns.is_kept(found, _table("a")))
        self.assertTrue(turns.is_kept(found, _table("a", "b")))

    def test_refused_caller_is_recognised_until_its_deadline(self):
        """Guards against callers that wait behind new ones once more."""
        found = turns.Turns()
        turns.record_refused(found, b"1", 5.0)
        self.assertTrue(turns.is_returned(found, b"1", 4.9))
        self.assertFalse(turns.is_returned(found, b"1", 5.1))
        self.assertFalse(turns.is_returned(found, b"2", 4.9))

    def test_refused_requests_are_bounded(self):
        """Guards against memory that grows with refusals."""
        found = turns.Turns()
        for number in range(2 * turns.MAX_REFUSED):
            turns.record_refused(found, str(number).encode(), 5.0)
        self.assertEqual(len(found.refused), turns.MAX_REFUSED)
        self.assertFalse(turns.is_returned(found, b"0", 1.0))

    def test_shortage_ends(self):
        """Guards against queries to the owner long after a shortage."""
        found = turns.Turns()
        order = turns.order_of(found, shards.Shard("s"))
        request = waiting_order.Request("q", "a", 1.0, 0, False, 9.0)
        room = waiting_order.Room(0, 1, False)
        waiting_order.decide(order, request, room, 1.0)
        self.assertEqual(turns.short_services(found, 1.1), ["s"])
        later = 1.1 + waiting_order.SHORT_S
        self.assertEqual(turns.short_services(found, later), [])
        turns.record_short(found, ["s"], 1.0)
        self.assertTrue(turns.is_short(found, "s", 1.1))
        self.assertFalse(turns.is_short(found, "s", later))
