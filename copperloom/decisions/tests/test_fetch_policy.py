"""Fetches of a new version by many instances at once."""

import random
import unittest

from copperloom.decisions import fetch_policy

_STEP_S = 0.005
# Time within which a change has to be in force everywhere.
_LIMIT_S = 2.0


def _spread_s(
    followers: int,
    readers: int,
    doc_bytes: int,
    link_bits_s: float,
    *,
    single_source,
) -> float:
    """Simulates the spread of a document from peer to peer.

    Args:
        followers: Number of instances that have to fetch it.
        readers: Number of instances that have it at first.
        doc_bytes: Size of the document.
        link_bits_s: Rate of each instance's uplink, shared by its fetches.
        single_source: Whether all fetch from the first reader at once.

    Returns:
        Time until all instances have it, in seconds.
    """
    rng = random.Random(1)
    sources = [f"r{n}" for n in range(readers)]
    starts = {
        f"f{n}": 0.0
        if single_source
        else fetch_policy.fetch_delay_s(followers, rng)
        for n in range(followers)
    }
    in_progress: dict[str, tuple[str, float]] = {}
    links: dict[str, fetch_policy.Uplink] = {}
    now = 0.0
    while len(sources) < readers + followers:
        now += _STEP_S
        for name in [n for n, at in starts.items() if at <= now]:
            known = [fetch_policy.Source(h, "ip:port", False) for h in sources]
            chosen = (
                known[0]
                if single_source
                else fetch_policy.choose_source(known, set(), rng)
            )
            link = links.setdefault(chosen.instance, fetch_policy.Uplink())
            size_s = doc_bytes * 8 / link_bits_s
            if not single_source and not fetch_policy.try_send(
                link, size_s, now
            ):
                starts[name] = now + fetch_policy.retry_delay_s(rng)
                continue
            del starts[name]
            in_progress[name] = (chosen.instance, doc_bytes * 8)
        transfers: dict[str, int] = {}
        for source, _ in in_progress.values():
            transfers[source] = transfers.get(source, 0) + 1
        for name, (source, bits) in list(in_progress.items()):
            bits -= link_bits_s * _STEP_S / transfers[source]
            in_progress[name] = (source, bits)
            if bits <= 0:
                del in_progress[name]
                sources.append(name)
    return now


class SpreadTest(unittest.TestCase):
    def test_packed_document_from_many_sources_spreads_fast(self):
        """A single source's uplink must not delay new routes for the fleet.

        Callers would get 404 on routes that are in force.
        """
        before = _spread_s(72, 5, 465_000, 20e6, single_source=True)
        after = _spread_s(72, 5, 37_000, 20e6, single_source=False)
        self.assertGreater(before, 13.0)
        self.assertLess(after, 0.5)

    def test_document_spreads_from_one_reader_over_slow_links(self):
        """Slow uplinks and a single reader must not delay new routes."""
        after = _spread_s(72, 1, 74_000, 10e6, single_source=False)
        self.assertLess(after, _LIMIT_S)

    def test_document_spreads_to_a_large_fleet(self):
        after = _spread_s(300, 5, 37_000, 10e6, single_source=False)
        self.assertLess(after, _LIMIT_S)


class ChooseSourceTest(unittest.TestCase):
    def test_local_members_are_tried_first_and_none_twice(self):
        rng = random.Random(2)
        local = fetch_policy.Source("a", "x", True)
        remote = fetch_policy.Source("b", "y", False)
        without_rpc = fetch_policy.Source("c", "", True)
        known = [local, remote, without_rpc]
        self.assertEqual(fetch_policy.choose_source(known, set(), rng), local)
        self.assertEqual(fetch_policy.choose_source(known, {"a"}, rng), remote)
        self.assertIsNone(fetch_policy.choose_source(known, {"a", "b"}, rng))

    def test_delay_is_short_in_a_small_fleet(self):
        rng = random.Random(3)
        max_delay_s = max(
            fetch_policy.fetch_delay_s(8, rng) for _ in range(100)
        )
        self.assertLess(max_delay_s, 0.08)
