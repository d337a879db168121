"""Tests which registrations of removed targets count."""

import unittest

from copperloom import routing
from copperloom.decisions import removed_targets
from copperloom.versions import Version

_REMOVED = Version(1, 9)


def _entry(
    name: str = "t", born_ms: int = 5, sequence: int = 4
) -> routing.TargetEntry:
    return routing.TargetEntry(
        name, "s", "127.0.0.1:1", "a", 1, born_ms=born_ms, sequence=sequence
    )


def _removed() -> removed_targets.RemovedTargets:
    known = removed_targets.RemovedTargets()
    removed_targets.record(known, "t", _entry(), _REMOVED)
    return known


class OutdatedTest(unittest.TestCase):
    def test_registrations_after_a_removal(self):
        """Guards against gone targets in use and sound ones out of use."""
        for entry, version, is_outdated in (
            (_entry(), Version(2, 5), True),
            (_entry(), Version(2, 11), True),
            (_entry(sequence=3), Version(2, 5), True),
            (_entry(born_ms=4, sequence=9), Version(2, 5), True),
            (_entry(sequence=5), Version(2, 5), False),
            (_entry(born_ms=6, sequence=0), Version(2, 5), False),
            (_entry(), Version(1, 10), False),
            (_entry(), Version(1, 8), True),
            (_entry("u"), Version(2, 5), False),
        ):
            with self.subTest(entry=entry, version=version):
                found = removed_targets.is_outdated(_removed(), entry, version)
                self.assertEqual(found, is_outdated)

    def test_removal_that_is_written_again(self):
        """Guards against a later registration that is taken for the copy."""
        known = _removed()
        removed_targets.record(known, "t", None, Version(2, 6))
        self.assertFalse(
            removed_targets.is_outdated(known, _entry(), Version(2, 7))
        )
        self.assertTrue(
            removed_targets.is_outdated(known, _entry(), Version(3, 5))
        )

    def test_removals_are_bounded(self):
        """Guards against memory that each removal fills."""
        known = removed_targets.RemovedTargets()
        count = removed_targets.MAX_REMOVALS + 5
        for number in range(count):
            name = f"t{number}"
            version = Version(1, number)
            removed_targets.record(known, name, _entry(name), version)
        self.assertEqual(len(known.removals), removed_targets.MAX_REMOVALS)
        self.assertNotIn("t4", known.removals)


class MergeTest(unittest.TestCase):
    def test_target_that_is_back_stays_so(self):
        """Guards against peers that hold a target in turn."""
        known = _removed()
        (told,) = known.removals.values()
        removed_targets.mark_back(known, "t")
        self.assertFalse(removed_targets.merge(known, told, 1.0))
        self.assertFalse(
            removed_targets.is_outdated(known, _entry(), Version(2, 5))
        )
        (shared,) = removed_targets.to_share(known, 2.0, 9)
        self.assertTrue(shared.is_back)
        other = _removed()
        self.assertTrue(removed_targets.merge(other, shared, 2.0))
        self.assertFalse(
            removed_targets.is_outdated(other, _entry(), Version(2, 5))
        )
        late = 2.0 + removed_targets.BACK_S
        self.assertEqual(removed_targets.to_share(other, late, 9), [])

    def test_removal_of_an_earlier_start_is_ignored(self):
        """Guards against old news that ends the use of a restarted target."""
        known = removed_targets.RemovedTargets()
        removed_targets.record(known, "t", _entry(born_ms=6), _REMOVED)
        (told,) = _removed().removals.values()
        self.assertFalse(removed_targets.merge(known, told, 1.0))
