"""Tests which connections are ended while requests are being received."""

import unittest

from copperloom import routing
from copperloom.decisions import framing, intake
from copperloom.decisions.intake import Phase

_LIMITS = routing.RequestLimits(
    max_header_bytes=16_384, header_timeout_s=2.0, idle_timeout_s=5.0
)
_NOW = 100.0
_MEGABYTE = 1_000_000


def _intake(
    phase: Phase = Phase.BODY, *, age_s: float = 0.0, **changes
) -> intake.Intake:
    """Returns a connection that has received nothing for some time."""
    since = _NOW - age_s
    own = intake.Intake(_end, since, since, phase)
    for name, value in changes.items():
        setattr(own, name, value)
    return own


def _end(error) -> None:
    """Does nothing."""


class OverdueTest(unittest.TestCase):
    def test_head_must_be_complete_in_time(self):
        """Guards against heads that come a byte at a time."""
        own = _intake(Phase.HEAD, age_s=1.9, progress_at=_NOW)
        self.assertFalse(intake.is_overdue(own, _LIMITS, _NOW))
        self.assertTrue(intake.is_overdue(own, _LIMITS, _NOW + 1.0))

    def test_silence_ends_bodies_and_idle_connections(self):
        """Guards against connections that stay for any time."""
        for phase in (Phase.IDLE, Phase.BODY):
            own = _intake(phase, age_s=4.9)
            self.assertFalse(intake.is_overdue(own, _LIMITS, _NOW))
            self.assertTrue(intake.is_overdue(own, _LIMITS, _NOW + 1.0))

    def test_slow_body_is_not_overdue(self):
        """Guards against a bound on the time of a whole body."""
        own = _intake(Phase.BODY, age_s=60.0, progress_at=_NOW - 1.0)
        self.assertFalse(intake.is_overdue(own, _LIMITS, _NOW))

    def test_request_in_progress_and_peers_may_stay(self):
        """Guards against closing what waits for a target or a peer."""
        whole = _intake(Phase.WHOLE, age_s=60.0)
        peer = _intake(Phase.IDLE, age_s=60.0, is_lasting=True)
        for own in (whole, peer):
            self.assertFalse(intake.is_overdue(own, _LIMITS, _NOW))


class EndedTest(unittest.TestCase):
    def test_stalled_requests_go_first(self):
        """Guards against a crowd that keeps others from being received."""
        stalled = [_intake(age_s=1.0, held_bytes=_MEGABYTE) for _ in range(9)]
        growing = _intake(held_bytes=5 * _MEGABYTE)
        idle = _intake(Phase.IDLE, age_s=9.0, served=1)
        chosen = intake.choose_ended(
            [growing, idle, *stalled], 4 * _MEGABYTE, 10 * _MEGABYTE, _NOW
        )
        self.assertEqual(len(chosen), 5)
        self.assertLessEqual(set(chosen), set(stalled))

    def test_largest_goes_before_small_ones(self):
        """Guards against refusing short requests for a long one."""
        small = [_intake(held_bytes=20_000) for _ in range(50)]
        large = _intake(held_bytes=2 * _MEGABYTE)
        chosen = intake.choose_ended(
            [*small, large], 1000, 10 * _MEGABYTE, _NOW
        )
        self.assertEqual(chosen, [large])

    def test_short_request_is_received_beside_complete_ones(self):
        """Guards against long requests that keep all others out."""
        whole = [_intake(Phase.WHOLE, held_bytes=_MEGABYTE) for _ in range(11)]
        small = [_intake(held_bytes=20_000) for _ in range(100)]
        all_of_them = [*whole, *small]
        self.assertFalse(
            intake.choose_ended(all_of_them, _MEGABYTE, 10 * _MEGABYTE, _NOW)
        )
        self.assertTrue(
            intake.choose_ended(
                all_of_them, 3 * _MEGABYTE, 10 * _MEGABYTE, _NOW
            )
        )

    def test_complete_requests_stay(self):
        """Guards against the loss of a request that may have run."""
        whole = _intake(Phase.WHOLE, held_bytes=20 * _MEGABYTE)
        ended = _intake(held_bytes=20 * _MEGABYTE, is_ended=True)
        chosen = intake.choose_ended(
            [whole, ended], _MEGABYTE, 10 * _MEGABYTE, _NOW
        )
        self.assertEqual(chosen, [])


class DisplacedTest(unittest.TestCase):
    def test_longest_silent_goes_first(self):
        """Guards against silent callers that take all descriptors."""
        silent = _intake(Phase.IDLE, age_s=3.0)
        half = _intake(Phase.HEAD, age_s=1.0)
        kept = _intake(Phase.IDLE, age_s=4.0, served=3)
        chosen = intake.choose_displaced([half, kept, silent], _NOW)
        self.assertIs(chosen, silent)

    def test_idle_caller_goes_last(self):
        kept = _intake(Phase.IDLE, age_s=4.0, served=3)
        fresh = _intake(Phase.HEAD, age_s=0.01)
        whole = _intake(Phase.WHOLE, age_s=9.0)
        self.assertIs(intake.choose_displaced([fresh, kept, whole], _NOW), kept)

    def test_new_callers_and_requests_in_progress_stay(self):
        """Guards against a flood whose callers displace each other."""
        fresh = _intake(Phase.IDLE, age_s=0.01)
        whole = _intake(Phase.WHOLE, age_s=9.0)
        self.assertIsNone(intake.choose_displaced([fresh, whole], _NOW))


class BoundTest(unittest.TestCase):
    def test_many_connections_get_small_buffers(self):
        """Guards against memory that the operating system holds."""
        sizes = [
            intake.receive_buffer_bytes(152 * _MEGABYTE, n)
            for n in range(1, 1001)
        ]
        self.assertEqual(sizes, sorted(sizes, reverse=True))
        self.assertGreaterEqual(sizes[0], _MEGABYTE)
        self.assertLess(sum(sizes[:200]), 40 * _MEGABYTE)

    def test_short_fields_count_by_their_number(self):
        """Guards against heads whose objects take more than their bytes."""
        short = intake.head_bytes_held(16_384, 3276)
        self.assertGreater(short, 10 * intake.head_bytes_held(16_384, 10))

    def test_trailers_count(self):
        counted = framing.Framing(10_000.0)
        self.assertGreater(
            intake.framing_bytes_held(counted),
            intake.framing_bytes_held(framing.Framing(-5.0)),
        )


class ResetsTest(unittest.TestCase):
    def test_calls_that_are_given_up_at_once(self):
        """Guards against a peer that starts calls and gives each up."""
        resets = intake.Resets()
        self.assertFalse(intake.add_resets(resets, 100, 10.0))
        self.assertTrue(intake.add_resets(resets, 1, 10.0))

    def test_calls_that_are_given_up_over_time(self):
        """Guards against closing the connection of a proper peer."""
        resets = intake.Resets()
        for second in range(1000):
            now = 10.0 + second
            self.assertFalse(intake.add_resets(resets, 90, now))
