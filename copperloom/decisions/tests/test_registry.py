"""Tests which registered targets get work once they say that they drain."""

import dataclasses
import unittest

from copperloom import routing
from copperloom.decisions import registry
from copperloom.versions import Version

_DRAIN_S = 2.0
_LATE = 100.0


def _entry(name: str, born_ms: int = 1, **changes) -> routing.TargetEntry:
    return routing.TargetEntry(
        name, "s", "127.0.0.1:1", "a", 1, born_ms=born_ms, **changes
    )


def _registry(*names: str) -> registry.Registry:
    reg = registry.Registry(_DRAIN_S)
    registry.update(reg, [(n, _entry(n)) for n in names], Version(0, 1), 0.0)
    return reg


def _names(reg: registry.Registry, now: float) -> list[str]:
    return [e.name for e in registry.usable(reg, "s", now)]


def _note(reg: registry.Registry, incarnation: str, now: float) -> None:
    registry.note_draining(reg, incarnation, now, forwards=True)


class DrainNoticeTest(unittest.TestCase):
    def test_target_drains_across_a_return_of_the_table(self):
        """Guards against an older copy that names a draining target ready."""
        reg = registry.Registry(_DRAIN_S)
        rows = [("t", _entry("t", draining=True)), ("u", _entry("u"))]
        registry.update(reg, rows, Version(1, 9), 0.0)
        entries = [_entry("t"), _entry("u")]
        registry.replace(reg, entries, Version(2, 3), 1.0)
        self.assertEqual(_names(reg, 1.1), ["u"])
        registry.update(reg, [("u", None)], Version(2, 4), _LATE)
        self.assertEqual(_names(reg, _LATE), [])

    def test_notice_counts_at_once(self):
        """Guards against a cached division that still names the target."""
        reg = _registry("t", "u")
        self.assertEqual(_names(reg, 0.0), ["t", "u"])
        _note(reg, "t@1", 0.1)
        self.assertEqual(_names(reg, 0.1), ["u"])
        self.assertFalse(registry.is_usable(reg, reg.entries["t"], 0.1))

    def test_notice_outlasts_rows_that_say_ready(self):
        """Guards against rows that are read late and whole tables."""
        reg = _registry("t", "u")
        _note(reg, "t@1", 0.1)
        registry.update(reg, [("t", _entry("t"))], Version(0, 2), _LATE)
        self.assertEqual(_names(reg, _LATE), ["u"])
        registry.update(reg, [("t", None)], Version(0, 3), _LATE)
        registry.replace(reg, [_entry("t"), _entry("u")], Version(0, 4), _LATE)
        self.assertEqual(_names(reg, _LATE), ["u"])

    def test_notice_may_come_before_the_row(self):
        reg = _registry("u")
        _note(reg, "t@1", 0.1)
        registry.update(reg, [("t", _entry("t"))], Version(0, 2), _LATE)
        self.assertEqual(_names(reg, _LATE), ["u"])

    def test_new_start_ends_the_notice(self):
        """Guards against a late answer that marks the later start."""
        reg = _registry("t", "u")
        _note(reg, "t@1", 0.1)
        registry.update(reg, [("t", _entry("t", 2))], Version(0, 2), 1.0)
        self.assertEqual(_names(reg, 1.0), ["t", "u"])
        _note(reg, "t@1", 1.1)
        self.assertEqual(_names(reg, 1.1), ["t", "u"])

    def test_lapsed_row_of_draining_target_is_no_last_resort(self):
        """Guards against late requests since its row vanished in an outage."""
        for noted_at in (0.5, 10.2):
            with self.subTest(noted_at):
                reg = _registry("t")
                if noted_at < 10:
                    _note(reg, "t@1", noted_at)
                registry.record_outage(reg, 10.0)
                registry.update(reg, [("t", None)], Version(0, 2), 10.1)
                _note(reg, "t@1", noted_at)
                self.assertEqual(_names(reg, 10.3), [])

    def test_all_targets_drain(self):
        """Guards against refusals as long as there is time to serve."""
        reg = _registry("t", "u")
        _note(reg, "t@1", 0.1)
        _note(reg, "u@1", 0.4)
        self.assertEqual(_names(reg, 0.5), ["t", "u"])
        self.assertTrue(registry.is_usable(reg, reg.entries["t"], 0.5))
        self.assertEqual(_names(reg, 1.2), ["u"])
        self.assertEqual(_names(reg, 1.5), [])
        self.assertTrue(registry.has_draining(reg, "s"))

    def test_row_that_says_draining_is_no_last_resort(self):
        reg = _registry("t")
        _note(reg, "t@1", 0.1)
        registry.update(
            reg, [("t", _entry("t", draining=True))], Version(0, 2), 0.2
        )
        self.assertEqual(_names(reg, 0.2), [])

    def test_noted_lists_what_peers_may_not_know(self):
        reg = _registry("t", "u", "v")
        _note(reg, "t@1", 0.1)
        _note(reg, "u@1", 0.1)
        registry.update(
            reg, [("u", _entry("u", draining=True))], Version(0, 2), 0.2
        )
        self.assertEqual(registry.noted(reg, "s", 0.2), ("t",))
        self.assertEqual(registry.noted(reg, "other", 0.2), ())
        self.assertEqual(
            registry.ready_incarnations(reg), frozenset({"t@1", "v@1"})
        )


def _two_data_centres() -> registry.Registry:
    reg = registry.Registry(_DRAIN_S)
    entries = [_entry("t"), dataclasses.replace(_entry("u"), data_centre="b")]
    registry.update(reg, [(e.name, e) for e in entries], Version(0, 1), 0.0)
    return reg


class EvacuationTest(unittest.TestCase):
    def test_evacuation_counts_at_once(self):
        """Guards against a cached division that still names the targets."""
        reg = _two_data_centres()
        self.assertEqual(_names(reg, 0.0), ["t", "u"])
        registry.set_evacuated(reg, frozenset("b"))
        self.assertEqual(_names(reg, 0.0), ["t"])
        self.assertFalse(registry.is_usable(reg, reg.entries["u"], 0.0))
        self.assertEqual([e.name for e in registry.checkable(reg)], ["t"])
        self.assertEqual(registry.open_data_centres(reg, None), {"a"})
        registry.set_evacuated(reg, frozenset())
        self.assertEqual(_names(reg, 0.0), ["t", "u"])
        self.assertIsNone(registry.open_data_centres(reg, None))

    def test_evacuated_target_is_no_last_resort(self):
        """Guards against targets that vanished or drain and then get work."""
        reg = _two_data_centres()
        other = dataclasses.replace(_entry("v"), data_centre="b")
        registry.update(reg, [("v", other)], Version(0, 1), 0.0)
        registry.set_evacuated(reg, frozenset("b"))
        _note(reg, "v@1", 1.0)
        registry.record_outage(reg, 1.0)
        registry.update(reg, [("t", None), ("u", None)], Version(0, 2), 1.1)
        self.assertEqual(_names(reg, 1.2), ["t"])

    def test_work_stays_in_its_data_centres(self):
        """Guards against last resorts and caches that ignore regions."""
        reg = _two_data_centres()
        for wanted, names in (("a", ["t"]), ("b", ["u"]), ("c", [])):
            usable = registry.usable(reg, "s", 0.0, frozenset(wanted))
            self.assertEqual([e.name for e in usable], names)
        registry.record_outage(reg, 1.0)
        registry.update(reg, [("t", None)], Version(0, 2), 1.1)
        usable = registry.usable(reg, "s", 1.2, frozenset("a"))
        self.assertEqual([e.name for e in usable], ["t"])
        self.assertEqual(_names(reg, 1.2), ["u"])
