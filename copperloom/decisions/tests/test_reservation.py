"""Reservations of engine memory, organisations' limits, engine groups."""

import unittest

import hypothesis
from hypothesis import strategies as st

from copperloom import configuration
from copperloom.decisions import groups, limits, load, reservation
from copperloom.targets.interface import StreamInfo

TTL_S = 10.0
KV_TOKENS = 1_000
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["reserve", "release", "renew", "start", "end", "list"]
        ),
        st.integers(0, 5),
        st.integers(1, 700),
        st.floats(0.0, 4.0),
    ),
    max_size=60,
)


def stream_infos(streams):
    return [StreamInfo(n, "o", t, True, 0.0) for n, t in streams.items()]


class BookTest(unittest.TestCase):
    @hypothesis.given(EVENTS)
    @hypothesis.settings(max_examples=150)
    def test_never_overbooks(self, events):
        """Grants and running streams must fit into long work's share."""
        book = reservation.Book()
        reservation.open_target(book, "t", KV_TOKENS, 0.9, TTL_S, 0.0)
        now = TTL_S
        reservation.update_streams(book, "t", [], now)
        granted: dict[str, tuple[int, float]] = {}
        running: dict[str, int] = {}
        for event, number, tokens, elapsed_s in events:
            name = f"s{number}"
            now += elapsed_s
            granted = {n: g for n, g in granted.items() if g[1] > now}
            if event == "reserve" and name not in running:
                needed = granted.get(name, (tokens, 0.0))[0]
                grant = reservation.reserve(book, "t", name, needed, TTL_S, now)
                if grant.granted:
                    granted[name] = (needed, now + TTL_S)
            elif event == "release":
                reservation.release(book, "t", [name])
                granted.pop(name, None)
            elif event == "renew":
                if reservation.renew(book, "t", name, TTL_S, now):
                    granted[name] = (granted[name][0], now + TTL_S)
            elif event == "start" and name in granted:
                running[name] = granted[name][0]
                reservation.update_streams(
                    book, "t", stream_infos(running), now
                )
            elif event == "end":
                running.pop(name, None)
            else:
                reservation.update_streams(
                    book, "t", stream_infos(running), now
                )
            held = {n: g[0] for n, g in granted.items()} | running
            self.assertLessEqual(sum(held.values()), 0.9 * KV_TOKENS)

    def test_new_owner_waits_for_the_previous_owners_grants(self):
        """A frozen previous owner's grants must not be overbooked.

        The new owner waits until they expire and for the list of streams.
        """
        book = reservation.Book()
        reservation.open_target(book, "t", KV_TOKENS, 0.9, TTL_S, 100.0)
        early = reservation.reserve(book, "t", "a", 10, TTL_S, 101.0)
        self.assertFalse(early.granted)
        self.assertAlmostEqual(early.retry_after_s, 9.0)
        unseen = reservation.reserve(book, "t", "a", 10, TTL_S, 111.0)
        self.assertFalse(unseen.granted)
        reservation.update_streams(book, "t", stream_infos({"old": 850}), 111.0)
        over = reservation.reserve(book, "t", "a", 60, TTL_S, 111.0)
        self.assertFalse(over.granted)
        self.assertTrue(
            reservation.reserve(book, "t", "a", 50, TTL_S, 111.0).granted
        )

    def test_unused_reservation_expires(self):
        book = reservation.Book()
        reservation.open_target(book, "t", KV_TOKENS, 0.9, 0.0, 0.0)
        reservation.update_streams(book, "t", [], 0.0)
        self.assertTrue(
            reservation.reserve(book, "t", "a", 900, TTL_S, 0.0).granted
        )
        self.assertFalse(
            reservation.reserve(book, "t", "b", 1, TTL_S, 9.9).granted
        )
        self.assertTrue(
            reservation.reserve(book, "t", "b", 1, TTL_S, 10.0).granted
        )
        unknown = reservation.reserve(book, "u", "b", 1, TTL_S, 10.0)
        self.assertTrue(unknown.not_owner)


class LimitTest(unittest.TestCase):
    def test_instances_together_keep_the_limit(self):
        """An uneven load must neither exceed nor waste the limit."""
        org = configuration.Organisation("o", "", limit_tokens_per_s=1_000.0)
        instances = [limits.Limits(), limits.Limits()]
        passed = 0
        for step in range(4_000):
            now = step * 0.01
            book = instances[step % 4 == 0]
            if step % 100 == 0:
                demands = [limits.demand(b, now) for b in instances]
                for i, instance in enumerate(instances):
                    instance.shares = limits.shares(
                        demands[i], [demands[1 - i]], 2
                    )
            if limits.excess_wait_s(book, org, 100, now) == 0.0:
                limits.charge(book, "o", 100)
                passed += 100 if now >= 10.0 else 0
        self.assertLess(passed, 1.15 * 30.0 * 1_000)
        self.assertGreater(passed, 0.85 * 30.0 * 1_000)

    def test_wait_lasts_until_the_debt_is_paid(self):
        org = configuration.Organisation("o", "", limit_tokens_per_s=100.0)
        book = limits.Limits()
        self.assertEqual(limits.excess_wait_s(book, org, 1_000, 0.0), 0.0)
        limits.charge(book, "o", 1_000)
        self.assertAlmostEqual(limits.excess_wait_s(book, org, 1, 0.0), 8.0)
        self.assertEqual(limits.excess_wait_s(book, org, 1, 8.1), 0.0)


class GroupTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(st.integers(0, 400_000), max_size=12),
        st.integers(1, 2_000_000),
    )
    def test_parts_fit_and_keep_the_rank_order(self, free_tokens, need):
        targets = [
            load.TargetLoad(f"t{i}", rank=i) for i in range(len(free_tokens))
        ]
        parts = groups.choose(targets, need, lambda t: free_tokens[t.rank])
        if not parts:
            usable = sorted(
                r for r in free_tokens if r >= groups.MIN_PART_TOKENS
            )
            self.assertLess(sum(usable[-groups.MAX_GROUP_SIZE :]), need)
            return
        self.assertEqual(sum(part for _, part in parts), need)
        ranks = [tgt.rank for tgt, _ in parts]
        self.assertEqual(ranks, sorted(set(ranks)))
        for tgt, part in parts:
            self.assertLessEqual(part, free_tokens[tgt.rank])
