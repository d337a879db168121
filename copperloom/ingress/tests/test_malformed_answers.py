"""Tests that no caller gets an answer that is malformed or cut off."""

import unittest

from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire

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
