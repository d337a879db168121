"""Tests requests at the edge of the limits of callers, in calm."""

import asyncio
import unittest

from copperloom.ingress.tests import crowds, fixtures


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    """Single requests at the edge of the limits, in calm."""

    async def asyncSetUp(self):
        self.crowded = await crowds.start(self)

    async def send(self, data: bytes) -> list[bytes]:
        """Sends bytes; returns the status of each answer."""
        received = await crowds.exchange(
            self.crowded.addresses["callers"], data
        )
        return [
            part[:3] for part in received.split(b"HTTP/1.1 ")[1:] if part[:3]
        ]

    async def test_head_of_the_maximum_size(self):
        """Guards against refusing a head that is just within the limit."""
        for fill in (_one_long_field, _many_fields):
            with self.subTest(fill.__name__):
                data = fill(crowds.MAX_HEADER_BYTES)
                self.assertEqual(len(data), crowds.MAX_HEADER_BYTES)
                self.assertEqual(await self.send(data), [b"200"])

    async def test_head_over_the_maximum_size(self):
        """Guards against a limit that is not enforced."""
        data = _one_long_field(crowds.MAX_HEADER_BYTES + 1)
        self.assertEqual(await self.send(data), [b"431"])

    async def test_body_of_the_maximum_size(self):
        """Guards against refusing a body that is just within the limit."""
        size = crowds.MAX_BODY_BYTES
        for name, data in (
            ("announced", _announced(b"x" * size)),
            ("one chunk", _chunked(b"x" * size, size)),
            ("chunks of a byte", _chunked(b"x" * size, 1)),
        ):
            with self.subTest(name):
                self.assertEqual(await self.send(data), [b"200"])
                target_bodies = {
                    len(seen.body)
                    for target in self.crowded.system.targets.values()
                    for seen in target.seen
                    if seen.id == "edge"
                }
                self.assertEqual(target_bodies, {size})

    async def test_body_over_the_maximum_size(self):
        """Guards against a limit that is not enforced."""
        body = b"x" * (crowds.MAX_BODY_BYTES + 1)
        for data in (_announced(body), _chunked(body, 64_000)):
            self.assertEqual(await self.send(data), [b"413"])

    async def test_continue(self):
        """Guards against a caller that waits for the interim answer in vain."""
        reader, writer = await crowds.connect(self.crowded.addresses["callers"])
        head, body = _announced(b"x" * 1000, "Expect: 100-continue").split(
            b"\r\n\r\n"
        )
        writer.write(head + b"\r\n\r\n")
        self.assertIn(b"100", await reader.readuntil(b"\r\n\r\n"))
        writer.write(body)
        self.assertIn(b"200", await reader.readline())
        writer.transport.abort()

    async def test_requests_on_one_connection(self):
        """Guards against counts that are not reset with each request."""
        many = b"".join(
            _announced(b"x" * 10_000, closes=False) for _ in range(49)
        )
        statuses = await self.send(many + _chunked(b"x" * 20_000, 1))
        self.assertEqual(statuses, [b"200"] * 50)

    async def test_empty_lines_between_requests(self):
        """Guards against refusing an empty line before a request."""
        data = _announced(b"x", closes=False) + b"\r\n" + _announced(b"x")
        self.assertEqual(await self.send(b"\r\n" + data), [b"200"] * 2)

    async def test_slow_caller(self):
        """Guards against refusing a caller that is as slow as it may be."""
        reader, writer = await crowds.connect(self.crowded.addresses["callers"])
        data = _announced(b"x" * 8)
        head_end = data.index(b"\r\n\r\n") + 4
        # Most of the time for a head, and a body that never pauses for long.
        pieces = [data[:1], data[1 : head_end - 2], data[head_end - 2 :][:2]]
        pieces += [bytes([b]) for b in data[head_end:]]
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(_SLOW_S)
        self.assertIn(b"200", await reader.readline())
        writer.transport.abort()

    async def test_caller_leaves_a_request_that_runs(self):
        """Guards against work for a caller that has left."""
        targets = self.crowded.system.targets.values()
        for target in targets:
            target.pause_s = 60.0
        reader, writer = await crowds.connect(self.crowded.addresses["callers"])
        writer.write(_announced(b"x"))
        await fixtures.until(lambda: any(t.running for t in targets))
        writer.transport.abort()
        await fixtures.until(lambda: not any(t.running for t in targets))


_SLOW_S = 0.8


def _edge(*fields: str) -> bytes:
    lines = crowds.request_lines("edge", wait_s=60.0)
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def _announced(body: bytes, *fields: str, closes: bool = True) -> bytes:
    closing = ("Connection: close",) if closes else ()
    return _edge(f"Content-Length: {len(body)}", *closing, *fields) + body


def _chunked(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
    head = _edge("Transfer-Encoding: chunked", "Connection: close")
    return head + chunks + b"0\r\n\r\n"


def _one_long_field(size: int) -> bytes:
    """Returns a request without a body, whose head has the given size."""
    head = _announced(b"")
    field = b"X-Long: " + b"v" * (size - len(head) - len("X-Long: \r\n"))
    return head[:-2] + field + b"\r\n\r\n"


def _many_fields(size: int) -> bytes:
    head = _announced(b"")
    left = size - len(head)
    count, rest = divmod(left, len(b"a:b\r\n"))
    return (
        head[:-2]
        + b"a:b\r\n" * (count - 1)
        + (b"a:" + b"b" * (1 + rest) + b"\r\n\r\n")
    )
