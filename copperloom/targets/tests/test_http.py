"""Tests of how failed calls are reported, also behind a faulty network."""

import asyncio
import unittest

from copperloom import exception
from copperloom.standins import answers, control
from copperloom.standins.tests import fixtures
from copperloom.targets import interface

_LIMIT_S = 10.0


def _open(targets, address, stream="s1", *, timeout_s=_LIMIT_S, **changes):
    req = fixtures.ask(stream, **changes)
    return targets.open(address, req, timeout_s=timeout_s)


async def _start_behind_proxy(case, **changes):
    engine = await fixtures.start_engine(case, **changes)
    proxy = await fixtures.start_proxy(case, engine.addresses["listen"])
    targets = await fixtures.connect_targets(case)
    return engine, proxy, targets


class OpenTest(unittest.IsolatedAsyncioTestCase):
    """Streams whose answer arrives, breaks or never arrives."""

    async def test_answer_is_complete(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        req = fixtures.ask("s1")
        text = await fixtures.read_all(
            targets.open(engine.addresses["listen"], req, timeout_s=_LIMIT_S)
        )
        expected = answers.whole("org", "chat", req.messages, 20)
        self.assertEqual(text, expected)

    async def test_large_prompt_is_sent_completely(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        messages = b'["' + b"x" * (3 << 20) + b'"]'
        text = await fixtures.read_all(
            _open(targets, engine.addresses["listen"], messages=messages)
        )
        expected = answers.whole("org", "chat", messages, 20)
        self.assertEqual(text, expected)

    async def test_refused_connection_is_not_run(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        await engine.close()
        with self.assertRaises(exception.TargetUnreachableError):
            await fixtures.read_all(_open(targets, engine.addresses["listen"]))

    async def test_refusal_is_not_run(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        address = engine.addresses["listen"]
        await control.control(address, refuse_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(_open(targets, address))
        self.assertEqual(engine.truth()["runs"], [])

    async def test_failed_work_has_run(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        await control.control(engine.addresses["listen"], fail_next=1)
        with self.assertRaises(exception.TargetFailedError):
            await fixtures.read_all(_open(targets, engine.addresses["listen"]))
        self.assertEqual(engine.truth()["kv_used"], 0)

    async def test_conflicting_name_may_have_run(self):
        """A conflict over a stream's name must not be reported as "not run".

        The work could otherwise run twice.
        """
        engine = await fixtures.start_engine(self, time_scale=1.0)
        targets = await fixtures.connect_targets(self)
        first = _open(targets, engine.addresses["listen"])
        await anext(first)
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(_open(targets, engine.addresses["listen"]))
        await first.aclose()

    async def test_lost_reply_may_have_run(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        await control.control(engine.addresses["listen"], drop_reply_next=1)
        with self.assertRaises(exception.StreamBrokenError):
            await fixtures.read_all(_open(targets, engine.addresses["listen"]))
        self.assertEqual(len(engine.truth()["runs"]), 1)

    async def test_reset_before_the_request_may_have_run(self):
        """A reset connection must be reported as "may have run".

        The client cannot know whether the engine received the request.
        """
        engine, proxy, targets = await _start_behind_proxy(self)
        await control.control(proxy.addresses["listen"], cut_up_after=0)
        with self.assertRaises(exception.StreamBrokenError) as caught:
            await fixtures.read_all(_open(targets, proxy.addresses["p"]))
        self.assertEqual(caught.exception.run, exception.Run.MAY_HAVE_RUN)
        self.assertEqual(engine.truth()["arrivals"], [])

    async def test_reset_answer_breaks_and_is_resumed(self):
        """A reset in the middle of an answer must be reported.

        Resuming the stream must then return exactly the missing tokens.
        """
        engine, proxy, targets = await _start_behind_proxy(self)
        await control.control(proxy.addresses["listen"], cut_down_after=700)
        received = []
        with self.assertRaises(exception.StreamBrokenError):
            async for pieces in _open(
                targets, proxy.addresses["p"], max_tokens=300
            ):
                received.extend(pieces)
        offset = sum(piece.tokens for piece in received)
        rest = await fixtures.read_all(
            targets.resume(
                engine.addresses["listen"],
                "s1",
                offset,
                "e2.b2",
                "org",
                timeout_s=_LIMIT_S,
            )
        )
        messages = fixtures.ask("s1").messages
        self.assertEqual(
            "".join(piece.text for piece in received) + rest,
            answers.whole("org", "chat", messages, 300),
        )

    async def test_half_open_connection_ends_at_the_time_limit(self):
        """A half-open connection must not hang beyond the time limit."""
        engine, proxy, targets = await _start_behind_proxy(self)
        await control.control(
            proxy.addresses["listen"], drop_down=True, half_open=True
        )
        with self.assertRaises(exception.StreamBrokenError):
            await asyncio.wait_for(
                fixtures.read_all(
                    _open(targets, proxy.addresses["p"], timeout_s=0.5)
                ),
                timeout=_LIMIT_S,
            )
        self.assertEqual(len(engine.truth()["runs"]), 1)

    async def test_stalled_answer_breaks_and_is_resumed(self):
        """A connection that becomes half-open must break before the time limit.

        The stream must be resumable over another connection.
        """
        engine, proxy, _ = await _start_behind_proxy(self, time_scale=10.0)
        targets = await fixtures.connect_targets(self, stall_s=0.4)
        received = []
        with self.assertRaises(exception.StreamBrokenError):
            async with asyncio.timeout(_LIMIT_S):
                async for pieces in _open(
                    targets,
                    proxy.addresses["p"],
                    max_tokens=300,
                    timeout_s=60.0,
                ):
                    received.extend(pieces)
                    await control.control(
                        proxy.addresses["listen"], drop_down=True
                    )
        rest = targets.resume(
            engine.addresses["listen"],
            "s1",
            sum(piece.tokens for piece in received),
            "e2.b2",
            "org",
            timeout_s=_LIMIT_S,
        )
        text = "".join(piece.text for piece in received)
        text += await fixtures.read_all(rest)
        messages = fixtures.ask("s1").messages
        self.assertEqual(text, answers.whole("org", "chat", messages, 300))

    async def test_slow_start_and_slow_reader_do_not_stall(self):
        """A late first token or a slow reader must not count as a stall."""
        engine = await fixtures.start_engine(self, time_scale=1.0)
        targets = await fixtures.connect_targets(self, stall_s=0.5)
        text = ""
        async for pieces in _open(
            targets,
            engine.addresses["listen"],
            prompt_tokens=20_000,
            max_tokens=3,
        ):
            text += "".join(piece.text for piece in pieces)
            await asyncio.sleep(0.7)
        messages = fixtures.ask("s1").messages
        self.assertEqual(text, answers.whole("org", "chat", messages, 3))

    async def test_stream_of_another_organisation_is_refused(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        address = engine.addresses["listen"]
        await fixtures.read_all(_open(targets, address))
        resume = targets.resume(
            address, "s1", 0, "e2.b2", "other", timeout_s=_LIMIT_S
        )
        with self.assertRaises(exception.NotAuthorisedError):
            await fixtures.read_all(resume)
        resume = targets.resume(
            address, "s2", 0, "e2.b2", "org", timeout_s=_LIMIT_S
        )
        with self.assertRaises(exception.StreamUnknownError):
            await fixtures.read_all(resume)


class PiecesTest(unittest.IsolatedAsyncioTestCase):
    """Answers with wrong pieces, as a faulty target may send them.

    They must not be passed on as complete answers.
    """

    async def _read(self, *pieces: interface.Piece) -> str:
        lines = b"".join(fixtures.encode(piece) + b"\n" for piece in pieces)
        address = await fixtures.start_canned(self, lines)
        targets = await fixtures.connect_targets(self)
        return await fixtures.read_all(_open(targets, address))

    async def test_wrong_pieces_break_the_answer(self):
        first = interface.Piece("s1", 0, "a")
        cases = {
            "other stream": [first, interface.Piece("s0", 1, "b", 1, "stop")],
            "gap": [first, interface.Piece("s1", 2, "b", 1, "stop")],
            "repeated": [first, first],
            "truncated": [first],
            "after the end": [
                interface.Piece("s1", 0, "a", 1, "stop"),
                interface.Piece("s1", 1, "b", 1, "stop"),
            ],
        }
        for name, pieces in cases.items():
            with (
                self.subTest(name),
                self.assertRaises(exception.StreamBrokenError),
            ):
                await self._read(*pieces)


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Calls to plain services."""

    async def _call(self, targets, address, method="POST", key="k"):
        call = interface.ServiceCall(
            method, "/admit?x=1", b"{}", "application/json", "r1", key
        )
        return await targets.call(address, call, timeout_s=_LIMIT_S)

    async def test_call_runs_once_and_refusal_is_reported(self):
        service = await fixtures.start_service(self)
        targets = await fixtures.connect_targets(self)
        address = service.addresses["listen"]
        self.assertEqual((await self._call(targets, address)).status, 200)
        await control.control(address, refuse_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await self._call(targets, address)
        self.assertEqual(service.truth()["runs_by_key"], {"k": 1})

    async def test_call_on_a_broken_connection_is_not_retried(self):
        """A call on a broken keep-alive connection must not run twice.

        aiohttp by itself would send a PUT again.
        """
        service = await fixtures.start_service(self)
        targets = await fixtures.connect_targets(self)
        address = service.addresses["listen"]
        await self._call(targets, address, "PUT", key="k0")
        await control.control(address, drop_reply_next=1)
        with self.assertRaises(exception.StreamBrokenError):
            await self._call(targets, address, "PUT")
        self.assertEqual(service.truth()["runs_by_key"]["k"], 1)

    async def test_broken_connection_of_a_stopped_service_may_have_run(self):
        """A call that the service received must not be reported as "not run".

        A retry by aiohttp would find that the service no longer listens.
        """
        requests = []

        async def handle(reader, writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                requests.append(head)
                if len(requests) == 2:
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await reader.readexactly(len(b"{}"))
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        targets = await fixtures.connect_targets(self)
        await self._call(targets, address, "PUT")
        with self.assertRaises(exception.StreamBrokenError):
            await self._call(targets, address, "PUT")
        self.assertEqual(len(requests), 2)
