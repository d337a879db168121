"""Reports of draining targets that lag and contradict each other."""

import unittest

from copperloom import configuration
from copperloom.decisions import target_drain

_NONE = frozenset()
_T = frozenset(["t"])


def _cfg(version, admitted=0, state="admitted"):
    tgt = configuration.Target(
        "t",
        "127.0.0.1:9",
        state=configuration.TargetState(state),
        admitted_version=admitted,
    )
    return configuration.Configuration(version=version, targets={"t": tgt})


class TargetDrainTest(unittest.TestCase):
    def setUp(self):
        self.drain = target_drain.DrainState()

    def observe(self, names, cfg, now):
        target_drain.observe(self.drain, names, cfg, now)
        return target_drain.draining_targets(self.drain, cfg)

    def test_target_retired_by_the_operators_is_draining(self):
        self.assertEqual(self.observe(_NONE, _cfg(2, state="retired"), 0.0), _T)

    def test_first_report_is_kept_when_the_list_lags(self):
        self.assertEqual(self.observe(_T, _cfg(1), 0.0), _T)
        self.assertEqual(self.observe(_NONE, _cfg(1), 1.0), _T)

    def test_admission_by_a_later_version_ends_the_drain(self):
        self.observe(_T, _cfg(1), 0.0)
        self.assertEqual(self.observe(_NONE, _cfg(2, admitted=2), 1.0), _NONE)

    def test_delayed_peer_report_does_not_revive_an_ended_drain(self):
        """A peer that missed the admission still reports the old drain."""
        self.observe(_NONE, _cfg(2, admitted=2), 0.0)
        target_drain.mark_draining(self.drain, "t", 1)
        self.assertEqual(self.observe(_NONE, _cfg(2, admitted=2), 1.0), _NONE)
        target_drain.mark_draining(self.drain, "t", 2)
        self.assertEqual(self.observe(_NONE, _cfg(2, admitted=2), 1.0), _T)

    def test_stale_report_right_after_an_admission_is_not_kept(self):
        """A lagging list must not drain an admitted target permanently.

        The target returns without another admission once the list is current.
        """
        self.observe(_T, _cfg(1), 0.0)
        admitted = _cfg(2, admitted=2)
        self.assertEqual(self.observe(_T, admitted, 1.0), _T)
        self.assertEqual(self.observe(_NONE, admitted, 2.0), _NONE)
        after_lag = 1.0 + target_drain.LAG_S + 0.1
        self.observe(_T, admitted, after_lag)
        self.assertEqual(self.observe(_NONE, admitted, after_lag + 1.0), _T)

    def test_ended_marks_are_pruned(self):
        self.observe(_T, _cfg(1), 0.0)
        target_drain.prune(self.drain, _cfg(2, admitted=2))
        self.assertEqual(self.drain.marks, {})
