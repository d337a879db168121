"""Guards against clients that fill memory or descriptors of an instance.

Each test starts an instance as a process with little memory and few
descriptors, and a crowd of clients as another process.
"""

import asyncio
import signal
import unittest

from copperloom.ingress.tests import crowds, fixtures
from copperloom.standins import crowd

# The crowd of all kinds stays as it was when the fault was seen.
_LATER_KINDS = {
    "aborted",
    "field_name",
    "half_closed",
    "huge_chunk",
    "opened_only",
    "unread_errors",
    "whole_heads",
}


class CallersTest(unittest.IsolatedAsyncioTestCase):
    async def test_announced_body(self):
        """Guards against bodies that stop short of their announced end."""
        await crowds.check_crowd(self, "announced_body")

    async def test_one_chunk(self):
        """Guards against bodies in one chunk that stop short of its end."""
        await crowds.check_crowd(self, "one_chunk")

    async def test_large_chunks(self):
        """Guards against bodies in large chunks without a last one."""
        await crowds.check_crowd(self, "large_chunks")

    async def test_tiny_chunks(self):
        """Guards against bodies in chunks of a byte, each held as an object."""
        await crowds.check_crowd(self, "tiny_chunks")

    async def test_random_chunks(self):
        """Guards against bodies in small chunks of any size."""
        await crowds.check_crowd(self, "random_chunks")

    async def test_slow_body(self):
        """Guards against bodies that come a byte at a time."""
        await crowds.check_crowd(self, "slow_body")

    async def test_slow_large_body(self):
        """Guards against bodies whose last bytes come one at a time."""
        await crowds.check_crowd(self, "slow_large_body")

    async def test_too_long_body(self):
        """Guards against bodies announced far over the limit."""
        await crowds.check_crowd(self, "too_long_body")

    async def test_too_long_chunks(self):
        """Guards against chunked bodies far over the limit."""
        await crowds.check_crowd(self, "too_long_chunks")

    async def test_chunk_extension(self):
        """Guards against a chunk extension without end."""
        await crowds.check_crowd(self, "chunk_extension")

    async def test_extended_chunks(self):
        """Guards against chunks whose extensions are longer than they."""
        await crowds.check_crowd(self, "extended_chunks")

    async def test_chunk_size(self):
        """Guards against the size of a chunk without end."""
        await crowds.check_crowd(self, "chunk_size")

    async def test_trailers(self):
        """Guards against trailers without end."""
        await crowds.check_crowd(self, "trailers")

    async def test_endless_head(self):
        """Guards against heads without end."""
        await crowds.check_crowd(self, "endless_head")

    async def test_large_fields(self):
        """Guards against fields of 60 kB, which the HTTP library would keep."""
        await crowds.check_crowd(self, "large_fields")

    async def test_tiny_fields(self):
        """Guards against fields of a few bytes without end."""
        await crowds.check_crowd(self, "tiny_fields")

    async def test_tiny_fields_whole(self):
        """Guards against whole heads whose many fields take much memory."""
        await crowds.check_crowd(self, "tiny_fields_whole")

    async def test_endless_request_line(self):
        """Guards against a request line without end."""
        await crowds.check_crowd(self, "endless_request_line")

    async def test_endless_method(self):
        """Guards against a method without end."""
        await crowds.check_crowd(self, "endless_method")

    async def test_empty_lines(self):
        """Guards against empty lines without end before a request."""
        await crowds.check_crowd(self, "empty_lines")

    async def test_garbage(self):
        """Guards against bytes that are no request."""
        await crowds.check_crowd(self, "garbage")

    async def test_garbage_lines(self):
        """Guards against lines that are no request."""
        await crowds.check_crowd(self, "garbage_lines")

    async def test_pipelined(self):
        """Guards against requests without end whose answers are not read."""
        await crowds.check_crowd(self, "pipelined")

    async def test_pipelined_bodies(self):
        """Guards against bodies that are pipelined behind a request."""
        await crowds.check_crowd(self, "pipelined_bodies")

    async def test_pipelined_half(self):
        """Guards against pipelined requests that stop short of their end."""
        await crowds.check_crowd(self, "pipelined_half")

    async def test_upgrade(self):
        """Guards against bytes behind a request to switch protocols."""
        await crowds.check_crowd(self, "upgrade")

    async def test_connect(self):
        """Guards against bytes behind a CONNECT request."""
        await crowds.check_crowd(self, "connect")

    async def test_expects(self):
        """Guards against bodies that are waited for."""
        await crowds.check_crowd(self, "expects")

    async def test_silent(self):
        """Guards against silent connections that take all descriptors."""
        await crowds.check_crowd(self, "silent")

    async def test_half_head(self):
        """Guards against heads that stop short of their end."""
        await crowds.check_crowd(self, "half_head")

    async def test_slow_head(self):
        """Guards against heads that come a byte at a time."""
        await crowds.check_crowd(self, "slow_head")

    async def test_whole_heads(self):
        """Guards against whole heads that take more memory than their bytes."""
        await crowds.check_crowd(self, "whole_heads")

    async def test_field_name(self):
        """Guards against the name of a field without end."""
        await crowds.check_crowd(self, "field_name")

    async def test_huge_chunk(self):
        """Guards against a chunk far over the limit of a body."""
        await crowds.check_crowd(self, "huge_chunk")

    async def test_unread_errors(self):
        """Guards against answers that pile up as nobody reads them."""
        await crowds.check_crowd(self, "unread_errors")

    async def test_half_closed(self):
        """Guards against callers that end in the middle of a body."""
        await crowds.check_crowd(self, "half_closed")

    async def test_aborted(self):
        """Guards against callers that leave just short of the end."""
        await crowds.check_crowd(self, "aborted")

    async def test_opened_only(self):
        """Guards against connections that are closed as soon as opened."""
        await crowds.check_crowd(self, "opened_only")

    async def test_all_kinds(self):
        """Guards against kinds that are only borne one at a time."""
        kinds = sorted(crowd.KINDS.keys() - _LATER_KINDS)
        await crowds.check_crowd(self, *kinds, clients=300)

    async def test_all_kinds_with_later_ones(self):
        """Guards against kinds that are only borne without some others."""
        await crowds.check_crowd(self, *sorted(crowd.KINDS), clients=300)


class OtherListenersTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_fields_at_readiness(self):
        """Guards against fields of 60 kB at another listener."""
        await crowds.check_crowd(self, "large_fields", listener="readiness")

    async def test_garbage_at_readiness(self):
        """Guards against bytes that are no request at another listener."""
        await crowds.check_crowd(self, "garbage", listener="readiness")

    async def test_announced_body_at_readiness(self):
        """Guards against bodies that nothing reads at another listener."""
        await crowds.check_crowd(self, "announced_body", listener="readiness")

    async def test_silent_at_readiness(self):
        """Guards against connections that send nothing at another listener."""
        await crowds.check_crowd(self, "silent", listener="readiness")

    async def test_large_fields_at_metrics(self):
        """Guards against fields of 60 kB at another listener."""
        await crowds.check_crowd(self, "large_fields", listener="metrics")

    async def test_garbage_at_metrics(self):
        """Guards against bytes that are no request at another listener."""
        await crowds.check_crowd(self, "garbage", listener="metrics")

    async def test_announced_body_at_metrics(self):
        """Guards against bodies that nothing reads at another listener."""
        await crowds.check_crowd(self, "announced_body", listener="metrics")

    async def test_silent_at_metrics(self):
        """Guards against connections that send nothing at another listener."""
        await crowds.check_crowd(self, "silent", listener="metrics")

    async def test_garbage_at_peers(self):
        """Guards against bytes that are no HTTP/2."""
        await crowds.check_crowd(self, "garbage", listener="peers")

    async def test_frames_at_peers(self):
        """Guards against data of streams that were never opened."""
        await crowds.check_crowd(self, "frames", listener="peers")

    async def test_continuations_at_peers(self):
        """Guards against header blocks without end."""
        await crowds.check_crowd(self, "continuations", listener="peers")

    async def test_half_frame_at_peers(self):
        """Guards against frames that stop short of their end."""
        await crowds.check_crowd(self, "half_frame", listener="peers")

    async def test_call_without_end_at_peers(self):
        """Guards against messages of peers without end."""
        await crowds.check_crowd(self, "call_without_end", listener="peers")

    async def test_silent_at_peers(self):
        """Guards against silent connections at the listener for peers."""
        await crowds.check_crowd(self, "silent", listener="peers")

    async def test_datagrams(self):
        """Guards against datagrams that are no message."""
        await crowds.check_crowd(self, "datagrams", listener="datagrams")


class SignalsTest(unittest.IsolatedAsyncioTestCase):
    async def test_stop_while_a_crowd_stays(self):
        """Guards against a stop that waits for requests that never end."""
        crowded = await crowds.start(self)
        await crowds.play(self, crowded, _STAYING)
        await asyncio.sleep(_CROWD_S)
        crowded.process.send_signal(signal.SIGTERM)
        # The platform kills the process at the end of its grace period.
        async with asyncio.timeout(crowded.document["bounds"]["grace_s"]):
            self.assertEqual(await crowded.process.wait(), 0)

    async def test_reload_while_a_crowd_stays(self):
        """Guards against lower limits that a crowd delays for ever."""
        crowded = await crowds.start(self)
        await crowds.play(self, crowded, _STAYING)
        await asyncio.sleep(_CROWD_S)
        changed = crowds.document(3, max_body_bytes=_LOWER_BYTES)
        crowded.system.store.put("op", "config", changed)
        crowded.process.send_signal(signal.SIGHUP)
        body = b"x" * (_LOWER_BYTES + 1)
        statuses = set()
        for _ in range(_TRIES):
            statuses.add(await crowds.ask(crowded, tries=1, body=body))
            if 413 in statuses:
                break
            await asyncio.sleep(_PAUSE_S)
        self.assertIn(413, statuses)
        self.assertEqual(await crowds.ask(crowded), 200)
        self.assertIsNone(crowded.process.returncode)


_STAYING = ("announced_body", "half_head", "slow_body", "silent")
_LOWER_BYTES = 50_000
_CROWD_S = 2.0
_TRIES = 50
_PAUSE_S = 0.1


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
