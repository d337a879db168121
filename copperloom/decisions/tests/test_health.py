"""Penalties for failing targets, and their exchange between instances."""

import unittest

from copperloom.decisions import health


class PeerPenaltyTest(unittest.TestCase):
    def test_failure_is_shared_and_decays(self):
        """Peers must avoid a slow target before their own requests meet it.

        A shared penalty decays like one from an own observation.
        """
        observed = {"t": health.Health()}
        health.record_failure(observed["t"], 10.0, health.SLOW_PENALTY)
        penalties = health.penalties_to_share(observed, 10.0)
        from_peers: dict[str, health.Health] = {}
        health.apply_peer_penalties(from_peers, penalties, 10.0)
        first = health.penalty(from_peers["t"], 10.0)
        self.assertAlmostEqual(
            first, health.SLOW_PENALTY * health.PEER_DISCOUNT
        )
        later = health.penalty(from_peers["t"], 10.0 + health.HALF_LIFE_S)
        self.assertAlmostEqual(later, first / 2)

    def test_equal_penalties_of_many_peers_count_once(self):
        from_peers: dict[str, health.Health] = {}
        for _ in range(50):
            health.apply_peer_penalties(from_peers, {"t": 2.0}, 1.0)
        self.assertAlmostEqual(
            health.penalty(from_peers["t"], 1.0), 2.0 * health.PEER_DISCOUNT
        )

    def test_single_failure_is_not_shared(self):
        """A healthy target's occasional failure must not deter all peers."""
        observed = {"t": health.Health()}
        health.record_failure(observed["t"], 1.0, health.BROKEN_PENALTY)
        self.assertEqual(health.penalties_to_share(observed, 1.5), {})


class ReportTest(unittest.TestCase):
    def test_single_failures_of_several_peers_add_up(self):
        """A target refuses all requests, but each instance sends it only one.

        The owner that places them there must see more than one failure.
        """
        reports: dict[str, dict[str, health.Health]] = {}
        for number in range(4):
            observed = {"t": health.Health()}
            health.record_failure(observed["t"], 1.0)
            penalties = health.failures_to_report(observed, 1.0)
            for _ in range(3):
                health.apply_report(reports, f"peer-{number}", penalties, 1.0)
        self.assertAlmostEqual(health.reported_penalty(reports["t"], 1.0), 4.0)

    def test_report_is_replaced_and_decays(self):
        reports: dict[str, dict[str, health.Health]] = {}
        health.apply_report(reports, "peer", {"t": 2.0}, 1.0)
        later = 1.0 + health.HALF_LIFE_S
        self.assertAlmostEqual(
            health.reported_penalty(reports["t"], later), 1.0
        )
        health.apply_report(reports, "peer", {}, later)
        self.assertEqual(reports, {})
