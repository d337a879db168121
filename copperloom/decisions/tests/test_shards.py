"""Division of targets into shards, and the choice of owners."""

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
    def test_data_centre_with_enough_targets_is_a_shard(self):
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

    def test_low_latency_data_centres_are_one_shard(self):
        """Long prompts in one data centre need the engines of the others."""
        targets = _targets(a=26, b=26, c=26)
        combined = shards.divide(targets, low_latency=True)
        shard = shards.home_shard("s", combined, "b")
        self.assertEqual(shard, shards.Shard("s"))
        self.assertEqual(len(shards.targets_in(shard, combined)), 78)

    def test_too_many_targets_for_one_owner_are_divided(self):
        targets = _targets(a=400, b=400)
        divided = shards.divide(targets, low_latency=True)
        self.assertEqual(
            shards.home_shard("s", divided, "b"), shards.Shard("s", "b")
        )

    def test_every_target_is_in_one_shard(self):
        """Small data centres join large ones; no target is in two shards."""
        targets = _targets(a=9, b=3, c=8, d=1)
        divided = shards.divide(targets)
        found = [
            shards.targets_in(shards.home_shard("s", divided, dc), divided)
            for dc in ("a", "c")
        ]
        names = [t.name for part in found for t in part]
        self.assertEqual(sorted(names), sorted(t.name for t in targets))

    def test_instance_without_local_targets_gets_a_shard(self):
        targets = _targets(a=9, b=8)
        shard = shards.home_shard("s", shards.divide(targets), "z")
        self.assertIn(shard.data_centre, ("a", "b"))

    def test_data_centre_without_targets_uses_another_shard(self):
        """Requests must go elsewhere after all local engines have died."""
        shard = shards.home_shard("s", shards.divide(_targets(a=9)), "b")
        self.assertEqual(shard, shards.Shard("s", "a"))


class RankTest(unittest.TestCase):
    def test_ranking_depends_only_on_the_candidates(self):
        candidates = [shards.Instance(f"i{n}", 1.0) for n in range(9)]
        order = shards.rank("a", candidates)
        self.assertEqual(shards.rank("a", candidates[::-1]), order)
        fewer = [c for c in candidates if c.name != order[0]]
        self.assertEqual(shards.rank("a", fewer), order[1:])

    def test_owners_differ_between_keys(self):
        candidates = [shards.Instance(f"i{n}", 1.0) for n in range(40)]
        first = {shards.rank(f"s{n}", candidates)[0] for n in range(40)}
        self.assertGreater(len(first), 15)

    def test_instance_with_more_cores_ranks_first(self):
        small = [shards.Instance(f"i{n}", 0.5) for n in range(40)]
        order = shards.rank("a", [*small, shards.Instance("big", 2.0)])
        self.assertEqual(order[0], "big")


def _member(name: str, **changes) -> members.Member:
    given = {"last_received_at": 0.0, "data_centre": "a"}
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

    def test_instances_agree_on_the_owners(self):
        owners = self.order[: shards.OWNERS]
        notified = members.owners_to_notify(self.order, self.members, "me", 0.1)
        self.assertEqual(
            [m.instance for m in notified], [n for n in owners if n != "me"]
        )
        self.assertEqual(
            members.is_owner(self.order, self.members, "me", 0.1),
            "me" in owners,
        )

    def test_data_centres_agree_on_the_owners_of_a_whole_service(self):
        """Data centres know different members but must query the same owners.

        Each knows its own members and only the owners of the others.
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
            for remote in set(centres) - {dc}:
                instances = [
                    shards.Instance(m.instance, m.cores)
                    for m in fleet.values()
                    if m.data_centre == remote
                ]
                for name in shards.rank(remote, instances)[2 * shards.OWNERS :]:
                    del known[name]
            me = known.pop(f"{dc}0")
            own = shards.Instance(me.instance, me.cores)
            orders.append(members.rank_owners(known, own, dc, shard)[:9])
        self.assertEqual(orders[0], orders[1])
        self.assertEqual(orders[0], orders[2])

    def test_silent_owner_is_replaced(self):
        """The first owner dies and no longer replies to updates.

        The next ones must receive the updates before they are queried.
        """
        others = [n for n in self.order if n != "me"]
        dead = self.members[others[0]]
        members.record_sent(dead, members.REPLY_INTERVAL_S)
        now = members.REPLY_INTERVAL_S + members.SKIP_AFTER_S + 0.1
        for name in others[1:]:
            members.record_received(self.members[name], now)
        notified = members.owners_to_notify(self.order, self.members, "me", now)
        self.assertNotIn(dead, notified)
        self.assertGreaterEqual(len(notified), shards.OWNERS - 1)

    def test_returning_owner_receives_updates_again(self):
        dead = self.members[[n for n in self.order if n != "me"][0]]
        members.record_sent(dead, members.REPLY_INTERVAL_S)
        now = members.REPLY_INTERVAL_S + members.SKIP_AFTER_S + 0.1
        self.assertTrue(members.is_skipped(dead, now))
        members.record_received(dead, now)
        notified = members.owners_to_notify(self.order, self.members, "me", now)
        self.assertIn(dead, notified)

    def test_silent_owner_is_retried(self):
        """Without a retry, a healed network partition would go unnoticed."""
        dead = self.members["m0"]
        members.record_sent(dead, 0.0)
        later = members.SKIP_AFTER_S + members.SKIP_S + 0.1
        self.assertFalse(members.is_skipped(dead, later))
        members.record_sent(dead, later)
        self.assertFalse(members.is_skipped(dead, later + 1.0))
        again = later + members.SKIP_AFTER_S + 0.1
        self.assertTrue(members.is_skipped(dead, again))

    def test_member_need_not_acknowledge_a_reply(self):
        """A member that is no owner announces itself once and gets a reply.

        It must not be skipped when it becomes the next owner of the shard.
        """
        member = self.members["m0"]
        members.record_received(member, 0.0)
        members.record_reply_sent(member, 0.0)
        later = members.SKIP_AFTER_S + 1.0
        self.assertFalse(members.is_skipped(member, later))

    def test_member_that_sent_a_message_recently_need_not_reply(self):
        """A live member that limits its replies must not be skipped."""
        member = self.members["m0"]
        members.record_received(member, 10.0)
        members.record_sent(member, 10.0 + members.REPLY_INTERVAL_S / 2)
        later = 10.0 + members.SKIP_AFTER_S + 2.0
        self.assertFalse(members.is_skipped(member, later))

    def test_frozen_owner_is_queried_last(self):
        """A frozen owner still counts as live until its last message is old.

        Each query to it would delay a request by the query timeout.
        """
        queried = members.owners_to_query(self.order, self.members, "me", 0.1)
        members.record_query_timeout(queried[0], 0.1)
        order = members.owners_to_query(self.order, self.members, "me", 0.2)
        self.assertEqual(order, [*queried[1:], queried[0]])
        members.record_received(queried[0], 0.3)
        order = members.owners_to_query(self.order, self.members, "me", 0.4)
        self.assertEqual(order, queried)

    def test_any_instance_may_own_a_shard_without_local_instances(self):
        order = members.rank_owners(
            self.members, self.me, "a", shards.Shard("s", "elsewhere")
        )
        self.assertEqual(len(order), 21)

    def test_shared_budget_counts_all_members_of_a_large_fleet(self):
        """Members share the budget even if they send no messages here."""
        late = members.MEMBER_TIMEOUT_S + 1.0
        self.assertEqual(members.count_sharing(self.members, late), 21)
        known = {name: self.members[name] for name in ("m0", "m1")}
        self.assertEqual(members.count_sharing(known, late), 1)
        self.assertEqual(members.count_sharing(known, 0.1), 3)
