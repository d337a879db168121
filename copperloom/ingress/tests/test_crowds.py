"""Guards against clients that fill memory or descriptors of an instance.

Each test starts an instance as a process with little memory and few
descriptors, and a crowd of clients as another process.
"""

import asyncio
import signal
import unittest

from copperloom.ingress.tests import crowds
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


_ANSWER_BYTES = 1_000_000


def _write_long_answer(given: list[str]) -> bytes:
    lines = ["HTTP/1.1 200 OK", *given, "", "x" * _ANSWER_BYTES]
    return "\r\n".join(lines).encode()


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

    async def test_unread_answers(self):
        """Guards against long answers that pile up as nobody reads them."""
        crowded = await crowds.start(self)
        for target in crowded.system.targets.values():
            target.write_head = _write_long_answer
        await crowds.check(self, crowded, ("pipelined",), clients=300)

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

    async def test_calls_without_message_at_peers(self):
        """Guards against calls that begin and send nothing."""
        await crowds.check_crowd(
            self, "calls_without_message", listener="peers"
        )

    async def test_long_fields_at_peers(self):
        """Guards against calls whose fields take more than a message."""
        await crowds.check_crowd(self, "long_fields", listener="peers")

    async def test_resets_at_peers(self):
        """Guards against calls that are reset before they are handled."""
        await crowds.check_crowd(self, "resets", listener="peers")

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
