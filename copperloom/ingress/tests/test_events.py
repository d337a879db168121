"""Tests that a resumed stream holds its events and nothing else."""

import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st

from copperloom import exception
from copperloom.ingress import events, long_answers
from copperloom.ingress.tests import fixtures, partitions
from copperloom.platform import headers
from copperloom.platform.standins.links import Partition
from copperloom.platform.standins.target import Fault

_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
# More than an event may have.
_ENDLESS = bytes(600_000)
_FOREIGN = (
    _HEAD,
    _HEAD + _ENDLESS,
    b"Traceback (most recent call last):\n  File x\n\n",
    b"content-length: 0\n\n",
    b"\xff\xfe\xfd\n\n",
    b"data: \0\0\n\n",
    b"id: 1\ndata: again\n\n",
    b"id: 4\ndata: pie" + _HEAD,
    b"\n" * 600_000,
    _ENDLESS,
)
_EVENTS = (
    b"id: 1\ndata: a\n\n",
    b"id:2\r\ndata: b\r\ndata: c\r\n\r\n",
    b": comment\r\rid: 3\rdata: d\r\r",
    min(headers.EVENT_FIELDS) + b": 7\nid: 4\ndata\n\n",
    b"id: 10\nevent: e\nretry: 5\ndata: \xc3\xa9: f\n\r\n",
    b"\n\nid: 11\ndata: " + b"x" * 9000 + b"\n\n",
)
_SIZES = st.lists(st.integers(min_value=1, max_value=40), max_size=30)


def _whole(system: fixtures.System) -> bytes:
    target = system.targets["engine-0"]
    return b"".join(map(target.make_event, range(1, target.events + 1)))


async def _until_seen(case, system, **request) -> fixtures.Answer:
    """Calls until engine-0 gets a request; returns the answer to that one."""
    answer = None
    bad = system.targets["engine-0"]
    seen = len(bad.seen)
    while len(bad.seen) == seen:
        for service in system.fronts:
            service.entry.health.clear()
        answer = await fixtures.call(system, "/chat/x", prompt=4000, **request)
        case.assertEqual(answer.status, 200)
    return answer


async def _start(case) -> fixtures.System:
    system = await fixtures.start_system(case, plain=0)
    # Each call may be sent again.
    known = system.fronts[0].entry.budget
    known.policy = dataclasses.replace(known.policy, slack=1000.0)
    return system


def _feed(checker: events.Checker, data: bytes, sizes) -> bytes:
    splitter = events.Splitter()
    received = b""
    offset = 0
    for size in [*sizes, len(data)]:
        found = events.feed(splitter, data[offset : offset + size])
        offset += size
        if found is not None:
            found = events.check(checker, found.data)
        received += found.data if found is not None else b""
    return received + bytes(checker.held + splitter.rest)


class CheckTest(unittest.TestCase):
    @hypothesis.given(_SIZES, st.booleans())
    def test_proper_events_are_unchanged(self, sizes, has_mark):
        """Guards against events that are refused for how they are cut."""
        data = (b"\xef\xbb\xbf" if has_mark else b"") + b"".join(_EVENTS)
        checker = events.Checker("", is_resumed=False)
        self.assertEqual(_feed(checker, data, sizes), data)
        self.assertEqual(checker.last_id, "11")

    @hypothesis.given(st.binary(max_size=200), _SIZES)
    def test_bytes_pass_as_fields_or_not_at_all(self, data, sizes):
        """Guards against foreign bytes that are taken for events."""
        checker = events.Checker("", is_resumed=False)
        try:
            received = _feed(checker, data, sizes)
        except exception.StreamBrokenError:
            return
        self.assertEqual(received, data)

    def test_comments_are_held_until_the_next_event(self):
        """Guards against bytes that come twice after a resumption."""
        checker = events.Checker("", is_resumed=False)
        self.assertIsNone(events.check(checker, b": a\n\n"))
        found = events.check(checker, b"id: 1\n\n: b\n\n")
        self.assertEqual(found.data, b": a\n\nid: 1\n\n")
        self.assertEqual(bytes(checker.held), b": b\n\n")

    def test_fields_without_data_are_held_as_well(self):
        """Guards against a stream that a preamble makes final."""
        checker = events.Checker("", is_resumed=False)
        self.assertIsNone(events.check(checker, b"retry: 500\n\n"))
        found = events.check(checker, b"id: 1\ndata: a\n\n")
        self.assertEqual(found.data, b"retry: 500\n\nid: 1\ndata: a\n\n")
        self.assertTrue(found.is_resumable)

    def test_ids_increase(self):
        """Guards against events that a target repeats."""
        for last_id, event_id, is_allowed in (
            ("", "1", True),
            ("9", "10", True),
            ("09", "9", False),
            ("3", "x", False),
            ("a", "a", False),
            ("a", "b", True),
            ("9" * 5000, "1" + "0" * 5000, True),
        ):
            with self.subTest(last=last_id[:9], next=event_id[:9]):
                checker = events.Checker(last_id, is_resumed=True)
                data = f"id: {event_id}\ndata: x\n\n".encode()
                if is_allowed:
                    events.check(checker, data)
                    continue
                with self.assertRaises(exception.StreamBrokenError):
                    events.check(checker, data)

    def test_byte_order_mark_of_a_resumed_stream_is_dropped(self):
        """Guards against a mark in the middle of a stream."""
        checker = events.Checker("1", is_resumed=True)
        found = events.check(checker, b"\xef\xbb\xbfid: 2\n\n")
        self.assertEqual(found.data, b"id: 2\n\n")


class BoundsTest(unittest.TestCase):
    def test_checked_events_count_like_further_bytes(self):
        """Guards against tiny events without end that take others' time."""
        ex = mock.Mock(response=None, last_event="")
        ex.head.max_tokens = 10
        ex.state.settings.memory_bytes = 1e9
        bounds = long_answers.StreamBounds(ex)
        data = b""
        with self.assertRaises(exception.AnswerTooLongError):
            for number in range(1, bounds.bound):
                event = b"id: %d\n\n" % number
                data += event
                long_answers.add_events(bounds, event)
        self.assertLess(len(data), bounds.bound / 2)
        self.assertEqual(bounds.unpaid_bytes, bounds.size)


class ForeignBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_foreign_bytes_at_each_place(self):
        """Guards against foreign bytes inside a complete resumed stream."""
        system = await _start(self)
        bad = system.targets["engine-0"]
        for foreign in _FOREIGN:
            for place in (0, 1, 3, 5):
                if foreign.startswith(b"id: ") and place != 3:
                    continue
                bad.interjected = foreign
                bad.break_after = place
                for fault in (None, Fault.BREAK):
                    with self.subTest(foreign[:30], place=place, fault=fault):
                        bad.always = fault
                        answer = await _until_seen(self, system)
                        self.assertTrue(answer.complete)
                        self.assertEqual(answer.body, _whole(system))

    async def test_comment_before_a_break(self):
        """Guards against comments that come twice after a resumption."""
        system = await _start(self)
        bad = system.targets["engine-0"]
        bad.interjected = b": still here\n\n"
        bad.always = Fault.BREAK
        answer = await _until_seen(self, system)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body, _whole(system))

    async def test_event_without_an_id_before_a_break(self):
        """Guards against a resumption behind bytes that have no id."""
        system = await _start(self)
        bad = system.targets["engine-0"]
        bad.interjected = b"data: no id\n\n"
        bad.always = Fault.BREAK
        answer = await _until_seen(self, system)
        self.assertFalse(answer.complete)
        self.assertEqual(
            answer.body,
            b"".join(map(bad.make_event, (1, 2))) + bad.interjected,
        )

    async def test_event_without_an_id_long_before_a_break(self):
        """Guards against a resumption that later ids seem to allow."""
        system = await _start(self)
        bad = system.targets["engine-0"]
        make_event = bad.make_event
        bad.make_event = lambda n: b"data: x\n\n" if n == 2 else make_event(n)
        bad.always = Fault.BREAK
        bad.break_after = 4
        answer = await _until_seen(self, system)
        self.assertFalse(answer.complete)
        self.assertEqual(
            answer.body, b"".join(map(bad.make_event, (1, 2, 3, 4)))
        )

    async def test_proper_streams_are_unchanged(self):
        """Guards against proper events that are taken for foreign bytes."""
        system = await _start(self)
        makers = (
            lambda n: b"id:%d\ndata: a\ndata: b\n\n" % n,
            lambda n: b"id: %d\r\ndata: x\r\n\r\n: c\r\n\r\n" % n,
            lambda n: b"id: %d\rdata: x\r\r" % n,
            lambda n: b"data: %d\n\n" % n,
            lambda n: b"id: %d\ndata: " % n + b"x" * 30_000 + b"\n\n",
            lambda n: (b"" if n > 1 else b"\xef\xbb\xbf") + b"id: %d\n\n" % n,
        )
        for number, make_event in enumerate(makers):
            with self.subTest(number):
                for target in system.targets.values():
                    target.make_event = make_event
                answer = await fixtures.call(system, "/chat/x", prompt=4000)
                self.assertTrue(answer.complete)
                self.assertEqual(answer.body, _whole(system))
        self.assertEqual(system.fronts[0].entry.health, {})

    async def test_streams_that_cannot_be_resumed_hold_any_bytes(self):
        """Guards against checks of a stream that has only one target."""
        system = await _start(self)
        for target in system.targets.values():
            target.interjected = _HEAD
        answer = await fixtures.call(system, "/once/x", prompt=4000)
        whole = _whole(system)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.body, whole[:42] + _HEAD + whole[42:])

    async def test_stream_of_an_idempotent_route(self):
        """Guards against a stream that is resumed without being resumable."""
        system = await fixtures.start_system(self, engines=0)
        for target in system.targets.values():
            target.always = Fault.BREAK
            # Its events have no ids, so that it begins anew.
            target.make_event = lambda n: b"data: %d\n\n" % n
        answer = await fixtures.call(system, "/read/x", prompt=100)
        self.assertFalse(answer.complete)
        self.assertEqual(answer.body, b"data: 1\n\ndata: 2\n\n")

    async def test_stream_that_a_peer_relays(self):
        """Guards against foreign bytes in what a peer relays."""
        system = await partitions.start_partitioned(
            self, Partition.REFUSE, fronts=2, engines=2
        )
        await fixtures.call(system, "/read/x", method="GET")
        lost = system.fronts[0].entry.reachability
        await fixtures.until(lambda: lost.is_lost)
        bad = system.targets["engine-0"]
        for foreign in (_HEAD, _HEAD + _ENDLESS, b": comment\n\n"):
            bad.interjected = foreign
            bad.always = Fault.BREAK
            answer = await _until_seen(self, system)
            self.assertTrue(answer.complete)
            self.assertEqual(answer.body, _whole(system))
