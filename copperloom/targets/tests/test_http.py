"""What may be believed of a call that failed, behind a faulty network."""

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


async def _behind_proxy(case, **changes):
    engine = await fixtures.start_engine(case, **changes)
    proxy = await fixtures.start_proxy(case, engine.addresses["listen"])
    targets = await fixtures.connect_targets(case)
    return engine, proxy, targets


class OpenTest(unittest.IsolatedAsyncioTestCase):
    """Streams whose answer comes, breaks or never comes."""

    async def test_whole_answer(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        req = fixtures.ask("s1")
        text = await fixtures.read_all(
            targets.open(engine.addresses["listen"], req, timeout_s=_LIMIT_S)
        )
        whole = answers.whole("org", "chat", req.messages, 20)
        self.assertEqual(text, whole)

    async def test_large_prompt_is_sent_whole(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        messages = b'["' + b"x" * (3 << 20) + b'"]'
        text = await fixtures.read_all(
            _open(targets, engine.addresses["listen"], messages=messages)
        )
        whole = answers.whole("org", "chat", messages, 20)
        self.assertEqual(text, whole)

    async def test_refused_connection_is_not_run(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        await engine.close()
        with self.assertRaises(exception.TargetUnreachableError):
            await fixtures.read_all(_open(targets, engine.addresses["listen"]))

    async def test_own_refusal_is_not_run(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        address = engine.addresses["listen"]
        await control.control(address, refuse_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await fixtures.read_all(_open(targets, address))
        self.assertEqual(engine.truth()["runs"], [])

    async def test_failure_ran(self):
        engine = await fixtures.start_engine(self)
        targets = await fixtures.connect_targets(self)
        await control.control(engine.addresses["listen"], fail_next=1)
        with self.assertRaises(exception.TargetFailedError):
            await fixtures.read_all(_open(targets, engine.addresses["listen"]))
        self.assertEqual(engine.truth()["kv_used"], 0)

    async def test_name_that_runs_may_have_run(self):
        # A second open under one name meets the first one running. The 409
        # must not be taken for "not run", which would free it to run again.
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

    async def test_reset_before_the_request_came(self):
        # The proxy takes the connection and resets it at the first byte. The
        # engine saw nothing, but this side cannot know: may have run.
        engine, proxy, targets = await _behind_proxy(self)
        await control.control(proxy.addresses["listen"], cut_up_after=0)
        with self.assertRaises(exception.StreamBrokenError) as caught:
            await fixtures.read_all(_open(targets, proxy.addresses["p"]))
        self.assertEqual(caught.exception.run, exception.Run.MAY_HAVE_RUN)
        self.assertEqual(engine.truth()["arrivals"], [])

    async def test_cut_in_the_answer_and_resume(self):
        # The connection is reset after some tokens. The caller's side learns
        # that the answer is not whole, and reads the rest from its offset on.
        engine, proxy, targets = await _behind_proxy(self)
        await control.control(proxy.addresses["listen"], cut_down_after=700)
        got = []
        with self.assertRaises(exception.StreamBrokenError):
            async for pieces in _open(
                targets, proxy.addresses["p"], max_tokens=300
            ):
                got.extend(pieces)
        offset = sum(piece.tokens for piece in got)
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
            "".join(piece.text for piece in got) + rest,
            answers.whole("org", "chat", messages, 300),
        )

    async def test_half_open_ends_in_time(self):
        # Everything towards the caller is swallowed and no end is told. The
        # time limit is what ends it, and says that it may have run.
        engine, proxy, targets = await _behind_proxy(self)
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
        # In the midst of an answer the network swallows all bytes towards
        # this side and tells no end. The answer breaks long before the time
        # limit, and another connection brings the rest.
        engine, proxy, _ = await _behind_proxy(self, time_scale=10.0)
        targets = await fixtures.connect_targets(self, stall_s=0.4)
        got = []
        with self.assertRaises(exception.StreamBrokenError):
            async with asyncio.timeout(_LIMIT_S):
                async for pieces in _open(
                    targets,
                    proxy.addresses["p"],
                    max_tokens=300,
                    timeout_s=60.0,
                ):
                    got.extend(pieces)
                    await control.control(
                        proxy.addresses["listen"], drop_down=True
                    )
        rest = targets.resume(
            engine.addresses["listen"],
            "s1",
            sum(piece.tokens for piece in got),
            "e2.b2",
            "org",
            timeout_s=_LIMIT_S,
        )
        text = "".join(piece.text for piece in got)
        text += await fixtures.read_all(rest)
        messages = fixtures.ask("s1").messages
        self.assertEqual(text, answers.whole("org", "chat", messages, 300))

    async def test_slow_start_and_slow_reader_are_no_stall(self):
        # The first token takes longer than a stall may, then the caller
        # reads more slowly than that.
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

    async def test_another_organisations_stream(self):
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
    """Pieces that do not follow each other are never passed on as an answer.

    A plain server writes what a confused target or a connection used again
    after a cut could bring: a late piece of another stream, a gap, an answer
    cut short that ends in an orderly way.
    """

    async def _read(self, *pieces: interface.Piece) -> str:
        lines = b"".join(fixtures.encode(piece) + b"\n" for piece in pieces)
        address = await fixtures.start_canned(self, lines)
        targets = await fixtures.connect_targets(self)
        return await fixtures.read_all(_open(targets, address))

    async def test_wrong_pieces(self):
        first = interface.Piece("s1", 0, "a")
        cases = {
            "other stream": [first, interface.Piece("s0", 1, "b", 1, "stop")],
            "gap": [first, interface.Piece("s1", 2, "b", 1, "stop")],
            "again": [first, first],
            "cut short": [first],
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
    """Calls of plain services."""

    async def _call(self, targets, address, method="POST", key="k"):
        call = interface.ServiceCall(
            method, "/admit?x=1", b"{}", "application/json", "r1", key
        )
        return await targets.call(address, call, timeout_s=_LIMIT_S)

    async def test_runs_once_and_refuses(self):
        service = await fixtures.start_service(self)
        targets = await fixtures.connect_targets(self)
        address = service.addresses["listen"]
        self.assertEqual((await self._call(targets, address)).status, 200)
        await control.control(address, refuse_next=1)
        with self.assertRaises(exception.TargetRefusedError):
            await self._call(targets, address)
        self.assertEqual(service.truth()["runs_by_key"], {"k": 1})

    async def test_stale_connection_is_not_used_again_by_itself(self):
        # A first call leaves a kept-alive connection. The second call runs,
        # and the service drops the connection before it answers. aiohttp
        # would send a PUT again by itself, and so run it twice.
        service = await fixtures.start_service(self)
        targets = await fixtures.connect_targets(self)
        address = service.addresses["listen"]
        await self._call(targets, address, "PUT", key="k0")
        await control.control(address, drop_reply_next=1)
        with self.assertRaises(exception.StreamBrokenError):
            await self._call(targets, address, "PUT")
        self.assertEqual(service.truth()["runs_by_key"]["k"], 1)

    async def test_stale_connection_then_refused_connection(self):
        # The service takes the second call on the kept-alive connection, dies
        # and listens no more. Sent again by itself, the call would meet a
        # refused connection and be reported as "not run".
        taken = []

        async def handle(reader, writer):
            while head := await reader.readuntil(b"\r\n\r\n"):
                taken.append(head)
                if len(taken) == 2:
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
        self.assertEqual(len(taken), 2)
