"""Tests which parts of prompts are suspected of crashes."""

import itertools
import unittest

from copperloom.decisions import (
    crash_evidence,
    crash_log,
    quarantine,
    request_digest,
)
from copperloom.decisions.tests.fixtures import NOW

# Requests with a part that crashes targets may reach so many of them later than
# this after its fifth crash.
_STABILITY_WINDOW_S = 3.0
_MAX_LATE = 3
_targets = itertools.count()


def _digests(*parts: str) -> frozenset[bytes]:
    return frozenset(map(request_digest.part_digest, parts))


def _crash(log, *prompts: tuple[str, ...], at: float = NOW) -> None:
    """Records the end of a target that began to write on these prompts."""
    target = f"t{next(_targets)}"
    for prompt in prompts:
        for digest in _digests(*prompt):
            crash_evidence.record_crash(log, digest, target, at)


def _write(log, *parts: str, begun_at: float) -> None:
    crash_evidence.record_written(
        log, _digests(*parts), begun_at, begun_at + 1.0
    )


def _is_held(log, *parts: str, **least) -> bool:
    return quarantine.find_parts(log, _digests(*parts), **least) is not None


class SuspectTest(unittest.TestCase):
    def test_guilty_part_is_found_among_sound_ones(self):
        log = crash_log.CrashLog()
        for number in range(3):
            _crash(log, ("shared", "bad", f"u{number}"))
        self.assertTrue(_is_held(log, "bad", "shared", "new"))
        _write(log, "shared", begun_at=NOW + 1)
        self.assertTrue(_is_held(log, "bad"))

    def test_sound_companion_is_never_refused_alone(self):
        """Guards against refusing a route for its first part."""
        log = crash_log.CrashLog()
        for _ in range(6):
            _crash(log, ("shared", "bad"), ("shared", "x"))
            self.assertFalse(_is_held(log, "shared", "x"))
            self.assertFalse(_is_held(log, "shared"))

    def test_two_guilty_parts(self):
        """Guards against blaming victims of two parts for both."""
        log = crash_log.CrashLog()
        for _ in range(3):
            _crash(log, ("shared", "bad1"))
            _crash(log, ("shared", "bad2"))
        _write(log, "shared", begun_at=NOW + 1)
        self.assertTrue(_is_held(log, "shared", "bad1"))
        self.assertTrue(_is_held(log, "shared", "bad2"))
        self.assertFalse(_is_held(log, "shared", "x"))

    def test_victim_of_some_crashes_is_not_refused(self):
        """Guards against blaming what runs beside a guilty prompt."""
        log = crash_log.CrashLog()
        for number in range(5):
            _crash(log, ("bad",), ("victim",) if number < 4 else ("other",))
        self.assertTrue(_is_held(log, "bad"))
        self.assertFalse(_is_held(log, "victim"))

    def test_two_crashes_hold_only_repeats(self):
        """Guards against a repeat that crashes one more target."""
        log = crash_log.CrashLog()
        for _ in range(2):
            _crash(log, ("bad",))
        self.assertFalse(_is_held(log, "bad"))
        self.assertTrue(_is_held(log, "bad", least=quarantine.REPEAT_CRASHES))

    def test_request_that_crashes_by_itself_explains_its_crashes(self):
        """Guards against blaming a sound part for the rest of a request."""
        log = crash_log.CrashLog()
        for number in range(4):
            target = f"x{number}"
            for digest in (b"a whole request", *_digests("shared")):
                crash_evidence.record_crash(log, digest, target, NOW)
        self.assertFalse(_is_held(log, "shared"))

    def test_victims_that_are_sent_again_explain_nothing(self):
        """Guards against sound repeats that hide the part beside them."""
        log = crash_log.CrashLog()
        for _ in range(4):
            target = f"t{next(_targets)}"
            for digest in (b"a sound victim", *_digests("bad", "shared")):
                crash_evidence.record_crash(log, digest, target, NOW)
        _crash(log, ("bad", "shared"))
        _write(log, "shared", begun_at=NOW + 1)
        self.assertTrue(_is_held(log, "bad"))

    def test_first_trial_comes_at_once(self):
        """Guards against refusing a route until a trial is due."""
        log = crash_log.CrashLog()
        for _ in range(3):
            _crash(log, ("shared",))
        (suspects, held) = quarantine.find_parts(log, _digests("shared", "x"))
        now = NOW + quarantine.TRIAL_GAP_S
        self.assertTrue(quarantine.is_trial_due(log, held, 0, now))
        for digest in suspects:
            quarantine.begin_trial(log, digest, "trial", now)
        (_, held) = quarantine.find_parts(log, _digests("shared", "x"))
        self.assertFalse(quarantine.is_trial_due(log, held, 0, now + 1))
        _write(log, "shared", begun_at=now + 0.1)
        self.assertFalse(_is_held(log, "shared", "x"))

    def test_trial_that_reached_no_target_is_no_trial(self):
        """Guards against a long wait after a trial that found no target."""
        log = crash_log.CrashLog()
        for _ in range(3):
            _crash(log, ("bad",))
        (digest,) = _digests("bad")
        quarantine.begin_trial(log, digest, "trial", NOW + 1)
        quarantine.withdraw_trial(log, digest, "trial", NOW + 1.1)
        _, held = quarantine.find_parts(log, _digests("bad"))
        self.assertTrue(quarantine.is_trial_due(log, held, 0, NOW + 2))

    def test_weak_evidence_survives_the_loss_of_all(self):
        """Guards against counting crashes anew after each start."""
        log = crash_log.CrashLog()
        for _ in range(2):
            _crash(log, ("bad",))
        self.assertEqual(set(quarantine.to_keep(log)), _digests("bad"))


class ProofTest(unittest.TestCase):
    def test_answer_that_began_before_the_crash_proves_nothing(self):
        """Guards against a part that has become guilty."""
        log = crash_log.CrashLog()
        for number in range(3):
            _crash(log, ("bad",), at=NOW + number)
        _write(log, "bad", begun_at=NOW - 1)
        self.assertTrue(_is_held(log, "bad"))
        _write(log, "bad", begun_at=NOW + 1.5)
        self.assertFalse(_is_held(log, "bad"))
        self.assertEqual(len(log.parts[min(_digests("bad"))].crashes), 1)

    def test_proof_spreads_in_any_order(self):
        log = crash_log.CrashLog()
        peer = crash_log.CrashLog()
        for _ in range(3):
            _crash(log, ("sound",))
        (digest,) = _digests("sound")
        early = log.parts[digest]
        _write(log, "sound", begun_at=NOW + 1)
        for evidence in (log.parts[digest], early):
            crash_log.merge(peer, digest, evidence, NOW + 2, forwards=False)
        self.assertFalse(_is_held(peer, "sound"))


class BoundTest(unittest.TestCase):
    def test_many_parts_do_not_hide_a_guilty_one(self):
        """Guards against a caller that sends prompts of many parts."""
        log = crash_log.CrashLog()
        _crash(log, ("bad",))
        _crash(log, ("bad",))
        for number in range(100):
            parts = tuple(f"{number} {part}" for part in range(64))
            _crash(log, parts, at=NOW + 1)
        self.assertLessEqual(len(log.parts), crash_log.MAX_PARTS)
        _crash(log, ("bad",), at=NOW + 2)
        self.assertTrue(_is_held(log, "bad"))

    def test_sufficient_evidence_is_shared_first(self):
        log = crash_log.CrashLog()
        for _ in range(3):
            _crash(log, ("bad",))
        _crash(log, tuple(f"p{n}" for n in range(64)), at=NOW + 1)
        shared = crash_log.to_share(
            log, NOW + 1, 10, crash_log.Occasion.BROADCAST
        )
        self.assertEqual(next(iter(shared)), min(_digests("bad")))

    def test_trials_are_few(self):
        """Guards against a part that crashes a target at each trial."""
        log = crash_log.CrashLog()
        for _ in range(5):
            _crash(log, ("bad", "companion"))
        trials = late = 0
        now = NOW
        while now < NOW + 600.0:
            suspects, held = quarantine.find_parts(
                log, _digests("bad", "companion")
            )
            if quarantine.is_trial_due(log, held, 0, now):
                trials += 1
                late += now > NOW + _STABILITY_WINDOW_S
                for digest in suspects:
                    quarantine.begin_trial(log, digest, f"x{trials}", now)
                _crash(log, ("bad", "companion"), at=now + 0.1)
            now += 0.5
        self.assertLessEqual(late, _MAX_LATE)
