"""Tests which instances take over the watch of the tables, and when."""

import random
import unittest

from copperloom.decisions import handover
from copperloom.decisions.members import MEMBER_TIMEOUT_S, Member

_SMALL = handover.Policy(watchers=5, minimum=2, silence_s=1.15)
_LARGE = handover.Policy(watchers=2, minimum=1, silence_s=2.15)
_INTERVAL_S = 0.5
_NOW = 100.0
_AWAKE = 0.0


def _member(name: int, heard_s: float, **changes) -> Member:
    """Returns a member that was heard some seconds ago."""
    return Member(
        str(name), "", "", 0.0, last_received_at=_NOW - heard_s, **changes
    )


def _is_lost(member: Member) -> bool:
    """Returns whether a member was heard before, and is silent now."""
    return 1.0 < _NOW - member.last_received_at < 10.0


def _fleet(lost: int, live: int, lost_s: float = 1.3) -> list[Member]:
    """Returns members in their rank, the first of which are lost."""
    members = [_member(n, lost_s) for n in range(lost)]
    return members + [_member(lost + n, 0.3) for n in range(live)]


def _substitutes(fleet: list[Member], policy, awake: float = _AWAKE):
    """Returns the ranks of those that were not lost and take over."""
    return [
        rank
        for rank, member in enumerate(fleet)
        if not _is_lost(member)
        and rank >= policy.watchers
        and handover.takes_over(fleet[:rank], _NOW, awake, policy)
    ]


class SmallFleetTest(unittest.TestCase):
    def test_next_in_rank_take_over_soon_after_all_watchers_are_lost(self):
        """Guards against a change that all survivors miss for seconds."""
        for size in (9, 12, 16):
            fleet = _fleet(5, size - 5)
            self.assertEqual(_substitutes(fleet, _SMALL), [5, 6])

    def test_those_that_took_over_are_lost_too(self):
        """Guards against a fleet that waits for lost substitutes."""
        fleet = _fleet(7, 4)
        self.assertEqual(_substitutes(fleet, _SMALL), [7, 8])

    def test_no_one_takes_over_while_two_watchers_are_heard(self):
        """Guards against calls for a short silence of some watchers."""
        fleet = _fleet(3, 8)
        self.assertEqual(_substitutes(fleet, _SMALL), [])
        gone = _fleet(3, 8, lost_s=MEMBER_TIMEOUT_S)
        self.assertEqual(_substitutes(gone, _SMALL), [5, 6, 7])

    def test_watchers_that_stop_are_replaced_at_once(self):
        fleet = [_member(n, 0.1, draining=True) for n in range(5)]
        fleet += [_member(n, 0.1) for n in range(5, 9)]
        self.assertEqual(_substitutes(fleet, _SMALL), [5, 6, 7, 8])

    def test_instance_that_was_frozen_waits_for_messages(self):
        """Guards against an instance that takes its own break for silence."""
        fleet = [_member(n, 40.0) for n in range(9)]
        attention = handover.Attention()
        handover.tick(attention, _NOW - 40.0, _INTERVAL_S)
        awake = handover.awake_since(attention, _NOW, _INTERVAL_S)
        self.assertEqual(awake, _NOW)
        self.assertEqual(_substitutes(fleet, _SMALL, awake), [])
        handover.tick(attention, _NOW, _INTERVAL_S)
        awake = handover.awake_since(attention, _NOW + 0.5, _INTERVAL_S)
        self.assertEqual(awake, _NOW)

    def test_lost_messages_cause_few_calls(self):
        """Guards against a herd of readers on lossy links."""
        rng = random.Random(7)
        taken_over = checks = 0
        for _ in range(2000):
            fleet = [_member(n, _silence_s(rng, loss=0.1)) for n in range(9)]
            checks += 4
            taken_over += sum(
                handover.takes_over(fleet[:rank], _NOW, _AWAKE, _SMALL)
                for rank in range(5, 9)
            )
        self.assertLess(taken_over / checks, 0.001)


def _silence_s(rng: random.Random, loss: float) -> float:
    """Draws the time since a member's latest message."""
    silence_s = rng.uniform(0.0, _INTERVAL_S)
    while rng.random() < loss:
        silence_s += _INTERVAL_S
    return silence_s


class LargeFleetTest(unittest.TestCase):
    def test_third_owner_takes_over_alone(self):
        """Guards against reads by all members of a data centre."""
        fleet = _fleet(2, 1, lost_s=2.2)
        fleet += [_member(n, _NOW) for n in range(3, 120)]
        self.assertEqual(_substitutes(fleet, _LARGE), [2])

    def test_those_after_lost_owners_take_over_in_turn(self):
        """Guards against a herd where nothing is known of most members."""
        fleet = _fleet(3, 0, lost_s=2.2)
        fleet += [_member(n, _NOW) for n in range(3, 120)]
        self.assertEqual(_substitutes(fleet, _LARGE), [3])
        for member in fleet[:3]:
            member.last_received_at = _NOW - 2.5
        self.assertEqual(_substitutes(fleet, _LARGE), [3, 4, 5, 6])
        # The first one has said that it takes over.
        fleet[3].last_received_at = _NOW - 0.1
        self.assertEqual(_substitutes(fleet, _LARGE), [3])
