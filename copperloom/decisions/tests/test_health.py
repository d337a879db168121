"""What one instance sees of a target's failures, the others go by too."""

import unittest

from copperloom.decisions import health


class HearsayTest(unittest.TestCase):
    def test_failure_is_told_and_fades(self):
        """One instance's caller meets a slow target.

        The others hear of it before theirs do; the word fades as a failure
        seen by themselves would.
        """
        seen = {"t": health.Health()}
        health.record_failure(seen["t"], 10.0, health.SLOW)
        told = health.penalties_to_share(seen, 10.0)
        heard: dict[str, health.Health] = {}
        health.apply_peer_penalties(heard, told, 10.0)
        first = health.penalty(heard["t"], 10.0)
        self.assertAlmostEqual(first, health.SLOW * health.PEER_DISCOUNT)
        later = health.penalty(heard["t"], 10.0 + health.HALF_LIFE_S)
        self.assertAlmostEqual(later, first / 2)

    def test_many_peers_that_tell_the_same_count_once(self):
        heard: dict[str, health.Health] = {}
        for _ in range(50):
            health.apply_peer_penalties(heard, {"t": 2.0}, 1.0)
        self.assertAlmostEqual(
            health.penalty(heard["t"], 1.0), 2.0 * health.PEER_DISCOUNT
        )

    def test_single_failure_is_kept_to_oneself(self):
        """A target fails a request in a hundred, as sound ones do."""
        seen = {"t": health.Health()}
        health.record_failure(seen["t"], 1.0, health.BROKEN)
        self.assertEqual(health.penalties_to_share(seen, 1.5), {})


class ReportTest(unittest.TestCase):
    def test_failures_that_each_peer_met_once_add_up(self):
        """A target refuses all; each of many instances meets it once.

        Their owner, which sends them there, must see more than one failure.
        """
        reports: dict[str, dict[str, health.Health]] = {}
        for number in range(4):
            seen = {"t": health.Health()}
            health.record_failure(seen["t"], 1.0)
            told = health.failures_to_report(seen, 1.0)
            for _ in range(3):
                health.apply_report(reports, f"peer-{number}", told, 1.0)
        self.assertAlmostEqual(health.reported_penalty(reports["t"], 1.0), 4.0)

    def test_report_is_replaced_and_fades(self):
        reports: dict[str, dict[str, health.Health]] = {}
        health.apply_report(reports, "peer", {"t": 2.0}, 1.0)
        later = 1.0 + health.HALF_LIFE_S
        self.assertAlmostEqual(
            health.reported_penalty(reports["t"], later), 1.0
        )
        health.apply_report(reports, "peer", {}, later)
        self.assertEqual(reports, {})
