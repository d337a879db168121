"""How targets are divided, and who owns what."""

import unittest

from copperloom import routing
from copperloom.decisions import members, shards


def _targets(**counts: int) -> list[routing.TargetEntry]:
    return [
        routing.TargetEntry(f"{dc}-{n}", "s", "127.0.0.1:1", dc, 1)
        for dc, count in counts.items()
        for n in range(count)
    ]


class DivideTest(unittest.TestCase):
    def test_each_data_centre_with_enough_is_a_shard(self):
        targets = _targets(a=9, b=8)
        shard = shards.home_shard("s", shards.divide(targets), "b")
        self.assertEqual(shard, shards.Shard("s", "b"))
        self.assertEqual(
            len(shards.targets_in(shard, shards.divide(targets))), 8
        )

    def test_few_targets_are_not_divided(self):
        targets = _targets(a=5, b=5, c=4)
        divided = shards.divide(targets)
        shard = shards.home_shard("s", divided, "b")
        self.assertEqual(shard, shards.Shard("s"))
        self.assertEqual(shards.targets_in(shard, divided), targets)

    def test_near_data_centres_are_one_shard(self):
        """A peak of long prompts comes in one of three near data centres."""
        targets = _targets(a=26, b=26, c=26)
        near = shards.divide(targets, low_latency=True)
        shard = shards.home_shard("s", near, "b")
        self.assertEqual(shard, shards.Shard("s"))
        self.assertEqual(len(shards.targets_in(shard, near)), 78)

    def test_more_targets_than_one_owner_places_on(self):
        targets = _targets(a=400, b=400)
        near = shards.divide(targets, low_latency=True)
        self.assertEqual(
            shards.home_shard("s", near, "b"), shards.Shard("s", "b")
        )

    def test_every_target_is_in_one_shard(self):
        """Small data centres join large ones; no target has two owners."""
        targets = _targets(a=9, b=3, c=8, d=1)
        divided = shards.divide(targets)
        found = [
            shards.targets_in(shards.home_shard("s", divided, dc), divided)
            for dc in ("a", "c")
        ]
        names = [t.name for part in found for t in part]
        self.assertEqual(sorted(names), sorted(t.name for t in targets))

    def test_instance_without_targets_near(self):
        targets = _targets(a=9, b=8)
        shard = shards.home_shard("s", shards.divide(targets), "z")
        self.assertIn(shard.data_centre, ("a", "b"))

    def test_data_centre_whose_targets_are_gone(self):
        """All engines of a data centre die; its callers go elsewhere."""
        shard = shards.home_shard("s", shards.divide(_targets(a=9)), "b")
        self.assertEqual(shard, shards.Shard("s", "a"))


class RankTest(unittest.TestCase):
    def test_order_hangs_on_the_candidates_alone(self):
        candidates = [shards.Instance(f"i{n}", 1.0) for n in range(9)]
        order = shards.rank("a", candidates)
        self.assertEqual(shards.rank("a", candidates[::-1]), order)
        fewer = [c for c in candidates if c.name != order[0]]
        self.assertEqual(shards.rank("a", fewer), order[1:])

    def test_keys_have_owners_of_their_own(self):
        candidates = [shards.Instance(f"i{n}", 1.0) for n in range(40)]
        first = {shards.rank(f"s{n}", candidates)[0] for n in range(40)}
        self.assertGreater(len(first), 15)

    def test_more_processor_goes_first(self):
        small = [shards.Instance(f"i{n}", 0.5) for n in range(40)]
        order = shards.rank("a", [*small, shards.Instance("big", 2.0)])
        self.assertEqual(order[0], "big")


def _member(name: str, **changes) -> members.Member:
    given = {"heard_at": 0.0, "data_centre": "a"}
    return members.Member(name, f"{name}:1", "", 0.0, **given | changes)


class OwnersTest(unittest.TestCase):
    def setUp(self):
        self.members = {f"m{n}": _member(f"m{n}") for n in range(20)}
        self.me = shards.Instance("me", 1.0)
        self.order = self._order()

    def _order(self):
        return members.rank_owners(
            self.members, self.me, "a", shards.Shard("s", "a")
        )

    def test_all_agree_on_the_owners(self):
        owners = self.order[: shards.OWNERS]
        told = members.owners_to_notify(self.order, self.members, "me", 0.1)
        self.assertEqual(
            [m.instance for m in told], [n for n in owners if n != "me"]
        )
        self.assertEqual(
            members.is_owner(self.order, self.members, "me", 0.1),
            "me" in owners,
        )

    def test_all_data_centres_find_the_same_owners_of_a_whole_service(self):
        """Each knows its own members, and of the others only owners.

        Ranked all alike, a member that only its own data centre knows came
        first there, and each data centre asked another owner.
        """
        centres = ("a", "b", "c")
        fleet = {
            f"{dc}{n}": _member(f"{dc}{n}", data_centre=dc)
            for dc in centres
            for n in range(20)
        }
        shard = shards.Shard("s")
        orders = []
        for dc in centres:
            known = dict(fleet)
            for far in set(centres) - {dc}:
                there = [
                    shards.Instance(m.instance, m.cores)
                    for m in fleet.values()
                    if m.data_centre == far
                ]
                for name in shards.rank(far, there)[2 * shards.OWNERS :]:
                    del known[name]
            me = known.pop(f"{dc}0")
            own = shards.Instance(me.instance, me.cores)
            orders.append(members.rank_owners(known, own, dc, shard)[:9])
        self.assertEqual(orders[0], orders[1])
        self.assertEqual(orders[0], orders[2])

    def test_silent_owner_is_replaced(self):
        """The first owner dies; its messages stay unanswered.

        Others must hear of all work before they are asked for placements.
        """
        others = [n for n in self.order if n != "me"]
        dead = self.members[others[0]]
        members.record_sent(dead, members.REPLY_INTERVAL_S)
        now = members.REPLY_INTERVAL_S + members.SKIP_AFTER_S + 0.1
        for name in others[1:]:
            members.record_received(self.members[name], now)
        told = members.owners_to_notify(self.order, self.members, "me", now)
        self.assertNotIn(dead, told)
        self.assertGreaterEqual(len(told), shards.OWNERS - 1)

    def test_owner_that_returns_is_told_again(self):
        dead = self.members[[n for n in self.order if n != "me"][0]]
        members.record_sent(dead, members.REPLY_INTERVAL_S)
        now = members.REPLY_INTERVAL_S + members.SKIP_AFTER_S + 0.1
        self.assertTrue(members.is_skipped(dead, now))
        members.record_received(dead, now)
        told = members.owners_to_notify(self.order, self.members, "me", now)
        self.assertIn(dead, told)

    def test_silent_owner_is_tried_again(self):
        """A network that was cut heals; nobody else would find out."""
        dead = self.members["m0"]
        members.record_sent(dead, 0.0)
        later = members.SKIP_AFTER_S + members.SKIP_S + 0.1
        self.assertFalse(members.is_skipped(dead, later))
        members.record_sent(dead, later)
        self.assertFalse(members.is_skipped(dead, later + 1.0))
        again = later + members.SKIP_AFTER_S + 0.1
        self.assertTrue(members.is_skipped(dead, again))

    def test_member_that_was_answered_owes_nothing(self):
        """An instance starts, greets its data centre and never speaks again.

        It is no owner, so nobody tells it anything; were it taken for silent,
        it would be passed over when it is the next to own the shard.
        """
        member = self.members["m0"]
        members.record_received(member, 0.0)
        members.record_reply_sent(member, 0.0)
        later = members.SKIP_AFTER_S + 1.0
        self.assertFalse(members.is_skipped(member, later))

    def test_member_that_has_just_spoken_owes_nothing(self):
        """A member is told again a moment after it spoke, and then no more.

        It answers no second time so soon; were it taken for silent, it would
        be passed over though it lives.
        """
        member = self.members["m0"]
        members.record_received(member, 10.0)
        members.record_sent(member, 10.0 + members.REPLY_INTERVAL_S / 2)
        later = 10.0 + members.SKIP_AFTER_S + 2.0
        self.assertFalse(members.is_skipped(member, later))

    def test_frozen_owner_is_asked_last(self):
        """The first owner freezes; it counts as live for seconds.

        Each question to it would cost a caller the patience for an answer.
        """
        asked = members.owners_to_query(self.order, self.members, "me", 0.1)
        members.record_query_timeout(asked[0], 0.1)
        then = members.owners_to_query(self.order, self.members, "me", 0.2)
        self.assertEqual(then, [*asked[1:], asked[0]])
        members.record_received(asked[0], 0.3)
        then = members.owners_to_query(self.order, self.members, "me", 0.4)
        self.assertEqual(then, asked)

    def test_data_centre_without_instances(self):
        order = members.rank_owners(
            self.members, self.me, "a", shards.Shard("s", "elsewhere")
        )
        self.assertEqual(len(order), 21)

    def test_share_of_what_all_spend(self):
        """Few members of a large fleet are heard; all spend of the budget."""
        late = members.MEMBER_TIMEOUT_S + 1.0
        self.assertEqual(members.count_sharing(self.members, late), 21)
        few = {name: self.members[name] for name in ("m0", "m1")}
        self.assertEqual(members.count_sharing(few, late), 1)
        self.assertEqual(members.count_sharing(few, 0.1), 3)
