"""Signs that targets leave, late and against each other."""

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


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.dep = target_drain.DrainState()

    def see(self, names, cfg, now):
        target_drain.observe(self.dep, names, cfg, now)
        return target_drain.draining_targets(self.dep, cfg)

    def test_retired_by_the_operators(self):
        self.assertEqual(self.see(_NONE, _cfg(2, state="retired"), 0.0), _T)

    def test_first_sign_stays_though_the_list_falls_back(self):
        self.assertEqual(self.see(_T, _cfg(1), 0.0), _T)
        self.assertEqual(self.see(_NONE, _cfg(1), 1.0), _T)

    def test_admission_by_a_later_version_ends_it(self):
        self.see(_T, _cfg(1), 0.0)
        self.assertEqual(self.see(_NONE, _cfg(2, admitted=2), 1.0), _NONE)

    def test_late_peer_can_not_bring_an_ended_departure_back(self):
        """A peer that missed the admission still tells of the departure."""
        self.see(_NONE, _cfg(2, admitted=2), 0.0)
        target_drain.mark_draining(self.dep, "t", 1)
        self.assertEqual(self.see(_NONE, _cfg(2, admitted=2), 1.0), _NONE)
        target_drain.mark_draining(self.dep, "t", 2)
        self.assertEqual(self.see(_NONE, _cfg(2, admitted=2), 1.0), _T)

    def test_old_view_right_after_an_admission_does_not_stay(self):
        """The list lags behind the operators' admission by some seconds.

        While it still names the target, no work is sent. Once it is up to
        date the target must come back without another admission.
        """
        self.see(_T, _cfg(1), 0.0)
        admitted = _cfg(2, admitted=2)
        self.assertEqual(self.see(_T, admitted, 1.0), _T)
        self.assertEqual(self.see(_NONE, admitted, 2.0), _NONE)
        late = 1.0 + target_drain.LAG_S + 0.1
        self.see(_T, admitted, late)
        self.assertEqual(self.see(_NONE, admitted, late + 1.0), _T)

    def test_ended_marks_are_forgotten(self):
        self.see(_T, _cfg(1), 0.0)
        target_drain.prune(self.dep, _cfg(2, admitted=2))
        self.assertEqual(self.dep.marks, {})
