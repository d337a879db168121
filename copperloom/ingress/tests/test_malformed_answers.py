"""Tests that no caller gets an answer that is malformed or cut off."""

import asyncio
import itertools
import unittest
from unittest import mock

from copperloom import logs
from copperloom.ingress import sender
from copperloom.ingress.tests import fixtures, partitions
from copperloom.platform.standins import wire
from copperloom.platform.standins.links import Partition
from copperloom.platform.standins.target import Fault

_OK = "HTTP/1.1 200 OK"
_FRAMED = "Content-Length: 5"
# Status line and further fields of malformed heads.
_HEADS = (
    ("HTTP/1.1 000 OK",),
    ("HTTP/1.1 000 OK", _FRAMED),
    ("HTTP/1.1 099 OK", _FRAMED),
    ("HTTP/1.1 600 OK", _FRAMED),
    ("HTTP/1.1 999 OK",),
    ("HTTP/1.1 101 Switching Protocols",),
    ("HTTP/1.1 101 Switching Protocols", "Upgrade: a", "Connection: upgrade"),
    ("HTTP/2.0 200 OK", _FRAMED),
    ("RTSP/1.0 200 OK", _FRAMED),
    ("HTTP/1.1 200 O\x01K", _FRAMED),
    (_OK, "A B: c"),
    (_OK, " A: b"),
    (_OK, "\tA: b"),
    (_OK, "A : b"),
    (_OK, "A\x01B: c"),
    (_OK, "A\x00B: c"),
    (_OK, "A: b\x01"),
    (_OK, "Content-Length : 5"),
    (_OK, " Content-Length: 5"),
    (_OK, "Content-Length\x01: 5"),
    (_OK, "Transfer-Encoding : chunked"),
    (_OK, "Transfer-Encoding: gzip"),
)
# As many as the budget of retries allows.
_RETRIED_HEADS = _HEADS[:1] + _HEADS[10:12] + _HEADS[17:18]
# The malformed line in front of all others, and behind them.
_ORDERS = (lambda own, given: own + given, lambda own, given: given + own)
# More than the buffers of a connection hold.
_BODY = b"x" * 12_000_000
_EARLY_HEADS = (
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain",
    "HTTP/1.0 200 OK",
)


def _head_writer(head: tuple[str, ...], order):
    """Returns a function that adds malformed lines to the proper fields."""
    status_line, *own = head

    def write(given: list[str]) -> bytes:
        lines = [status_line, *order(own, given), "", ""]
        return "\r\n".join(lines).encode("latin-1")

    return write


async def _allow_bodies(system: fixtures.System, size: int) -> None:
    """Raises the limit of bodies to a size."""
    document = fixtures.routes(2)
    document["limits"]["max_body_bytes"] = size
    system.store.put("op", "config", document)
    entry = system.fronts[0].entry
    await fixtures.until(lambda: entry.table.limits.max_body_bytes == size)


# The heads that are cut, of answers that are framed in each way.
_FRAMINGS = (
    ("HTTP/1.1 200 OK", "Content-Length: 5"),
    ("HTTP/1.1 200 OK", "Transfer-Encoding: chunked"),
    ("HTTP/1.1 200 OK",),
    ("HTTP/1.1 102 Processing", "", "HTTP/1.1 200 OK", "Content-Length: 5"),
)
_CUT_STEP = 7
_MAX_LOGGED = 800


def _cut_heads(framing: tuple[str, ...]):
    """Returns a function that cuts a head at another place in each call."""
    places = itertools.count(0, _CUT_STEP)

    def cut(given: list[str]) -> bytes:
        head = "\r\n".join([*framing, *given, "", ""]).encode()
        return head[: next(places) % (len(head) - 1) + 1][: len(head) - 1]

    return cut


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_caller_gets_an_answer(self):
        """Guards against a cut head that is taken for a whole answer."""
        system = await fixtures.start_system(self, plain=1, engines=1)
        for framing in _FRAMINGS:
            for resets in (False, True):
                for target in system.targets.values():
                    target.cut_answer = _cut_heads(framing)
                    target.resets = resets
                calls = [
                    fixtures.call(system, path, prompt=prompt)
                    for path, prompt in (("/write/x", 0), ("/once/x", 4000))
                    for _ in range(25)
                ]
                for answer in await asyncio.gather(*calls):
                    with self.subTest(framing, resets=resets):
                        self.assertIn(answer.status, (502, 503))
        entry = system.fronts[0].entry
        self.assertEqual(entry.inflight.own, {})
        self.assertFalse(entry.body_memory.bodies)

    async def test_one_target_of_eight(self):
        """Guards against a target whose cut heads are no failures of it."""
        for resets in (False, True):
            with self.subTest(resets=resets):
                system = await fixtures.start_system(self, plain=8, engines=0)
                for target in system.targets.values():
                    target.pause_s = 0.05
                bad = system.targets["plain-0"]
                bad.cut_answer = _cut_heads(_FRAMINGS[0])
                bad.resets = resets
                answers = await fixtures.call_often(
                    system, "/read/x", 3.0, 0.03, method="GET"
                )
                self.assertEqual({a.status for a in answers}, {200})
                self.assertLess(len(bad.seen), len(answers) / 8 / 2)
                await system.stop_fronts()

    async def test_streams(self):
        """Guards against cut heads in place of a begun or resumed stream."""
        system = await fixtures.start_system(self, plain=0, engines=2)
        bad = system.targets["engine-0"]
        bad.cut_answer = _cut_heads(_FRAMINGS[1])
        while not bad.seen:
            answer = await fixtures.call(system, "/chat/x", prompt=4000)
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.complete)
        good = system.targets["engine-1"]
        good.always = Fault.BREAK
        seen = len(bad.seen)
        while len(bad.seen) == seen:
            answer = await fixtures.call(system, "/chat/x", prompt=4000)
            self.assertFalse(answer.status == 200 and answer.complete)

    async def test_answers_that_a_peer_relays(self):
        """Guards against a cut head that a peer passes on as an answer."""
        system = await partitions.start_partitioned(
            self, Partition.REFUSE, fronts=2, engines=1, plain=2
        )
        await fixtures.call(system, "/read/x", method="GET")
        lost = system.fronts[0].entry.reachability
        await fixtures.until(lambda: lost.is_lost)
        for target in system.targets.values():
            target.cut_answer = _cut_heads(_FRAMINGS[0])
        for path, prompt in (("/write/x", 0), ("/once/x", 4000)):
            answer = await fixtures.call(system, path, prompt=prompt)
            self.assertEqual(answer.status, 502)

    async def test_trailers(self):
        """Guards against a body that counts as whole before its trailers end.

        A last chunk is complete only with the empty line behind it.
        """
        system = await fixtures.start_system(self, plain=1, engines=0)
        target = system.targets["plain-0"]
        for end in (b"0", b"0\r\n", b"0\r\nX-Sum: 1", b"0\r\nX-Sum: 1\r\n"):
            for resets in (False, True):
                with self.subTest(end, resets=resets):
                    target.resets = resets
                    target.cut_answer = lambda given, end=end: (
                        "\r\n".join([*_FRAMINGS[1], *given, "", ""]).encode()
                        + b"5\r\nwhole\r\n"
                        + end
                    )
                    answer = await fixtures.call(system, "/write/x")
                    self.assertEqual(answer.status, 502)

    async def test_logged_text_is_bounded(self):
        """Guards against log lines that hold what a target has sent."""
        system = await fixtures.start_system(self, plain=1, engines=0)
        secret = "x" * 3000
        system.targets["plain-0"].cut_answer = lambda given: (
            f"HTTP/1.1 200 OK\r\nX-Long: {secret}\r\n".encode()
        )
        with mock.patch.object(logs, "event") as logged:
            answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.headers["Copperloom-Error"], "4004")
        for call in logged.call_args_list:
            self.assertLess(len(repr(call)), _MAX_LOGGED)
            self.assertNotEqual(call.args[0], "fault")
        self.assertNotIn(b"xxx", answer.body)

    async def test_unforeseen_error_of_the_library(self):
        """Guards against an error that ends a request that may be repeated."""
        system = await fixtures.start_system(self, plain=2, engines=0)
        entry = system.fronts[0].entry
        failing = itertools.cycle((True, False))

        async def head(*args):
            if next(failing):
                raise KeyError("unforeseen")
            return await sender_head(*args)

        sender_head = sender._head
        with mock.patch.object(sender, "_head", head):
            answer = await fixtures.call(system, "/read/x", method="GET")
            self.assertEqual(answer.status, 200)
            answer = await fixtures.call(system, "/write/x")
            self.assertEqual(answer.headers["Copperloom-Error"], "4004")
        self.assertEqual(len(entry.health), 2)
        self.assertEqual(entry.inflight.own, {})


class MalformedHeadTest(unittest.IsolatedAsyncioTestCase):
    async def test_plain_answers(self):
        """Guards against malformed heads that callers get as answers."""
        system = await fixtures.start_system(self, engines=0, plain=1)
        target = system.targets["plain-0"]
        for head in _HEADS:
            for order in _ORDERS:
                with self.subTest(head):
                    target.write_head = _head_writer(head, order)
                    answer = await fixtures.call(system, "/write/x")
                    self.assertEqual(answer.status, 502)
                    self.assertEqual(target.runs.count(answer.id), 1)
                    self.assertNotIn(b"did", answer.body)

    async def test_another_target_serves_repeatable_requests(self):
        """Guards against an error where another target has the answer."""
        system = await fixtures.start_system(self, engines=0, plain=2)
        bad = system.targets["plain-0"]
        for head in _RETRIED_HEADS:
            with self.subTest(head):
                system.fronts[0].entry.health.clear()
                bad.write_head = _head_writer(head, _ORDERS[0])
                bad.seen.clear()
                while not bad.seen:
                    answer = await fixtures.call(system, "/read/x")
                    self.assertEqual(answer.status, 200)
                    self.assertTrue(answer.body.startswith(b"plain-1"))

    async def test_streams(self):
        """Guards against the same in front of a stream of events."""
        system = await fixtures.start_system(self, engines=1, plain=1)
        engine = system.targets["engine-0"]
        for head in _HEADS:
            with self.subTest(head):
                lines = (*head, "Content-Type: text/event-stream")
                engine.write_head = _head_writer(lines, _ORDERS[0])
                answer = await fixtures.call(system, "/once/x", prompt=4000)
                self.assertEqual(answer.status, 502)
                self.assertNotIn(b"did", answer.body)

    async def test_answers_of_unusual_form_are_served(self):
        """Guards against refusing what is well-formed."""
        system = await fixtures.start_system(self, engines=0, plain=1)
        target = system.targets["plain-0"]
        for head in (
            ("HTTP/1.1 200",),
            ("HTTP/1.0 200 OK",),
            ("HTTP/1.1 200 \xe9", "A: \xe9"),
            ("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK",),
            (_OK, "A!#$%&'*+-.^_`|~: \tb"),
        ):
            with self.subTest(head):
                target.write_head = _head_writer(head, _ORDERS[0])
                answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 200)
                self.assertIn(b"did", answer.body)


class ErrorTextTest(unittest.IsolatedAsyncioTestCase):
    async def test_received_bytes_are_not_shown(self):
        """Guards against broken answers, and addresses, in error texts."""
        system = await fixtures.start_system(self, engines=0, plain=1)
        target = system.targets["plain-0"]
        for head in (
            (_OK, "Transfer-Encoding: chunked"),
            (_OK, "Content-Length: x"),
            (_OK, "Content-Length: 900"),
            (_OK, "X" * 20 + "\x00: y"),
        ):
            with self.subTest(head):
                target.write_head = _head_writer(head, _ORDERS[1])
                answer = await fixtures.call(system, "/write/x")
                self.assertEqual(answer.status, 502)
                shown = answer.body.decode()
                for hidden in ("did", target.address, "XXXX"):
                    self.assertNotIn(hidden, shown)


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_that_a_reset_ends_during_an_upload(self):
        """Guards against a part of an answer that passes for all of it."""
        system = await fixtures.start_system(self, engines=0, plain=1)
        target = system.targets["plain-0"]
        await _allow_bodies(system, len(_BODY))
        for line in _EARLY_HEADS:
            for path in ("/write/x", "/read/x"):
                with self.subTest(line, path=path):
                    head = f"{line}\r\n{wire.SEAL}: s\r\n\r\n"
                    target.early_answer = head.encode() + b"part"
                    answer = await fixtures.call(system, path, body=_BODY)
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn(b"part", answer.body)
