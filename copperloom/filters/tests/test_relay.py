"""What callers get when engines break, by a whole entry on scripted engines."""

import asyncio
import types
import unittest

from aiohttp import test_utils

from copperloom import configuration, exception
from copperloom.controllers import config, dispatcher
from copperloom.controllers.tests import fixtures
from copperloom.daemons import http
from copperloom.targets.interface import Piece

_ENGINES = ("g0", "g1")
_TOKENS = 3


class Script:
    """Scripted engines.

    Attributes:
        opened: Target addresses in the order in which streams were opened.
        cancelled: Names of cancelled streams.
        breaks: Tokens after which each opened stream breaks, in order; a
            stream with none left runs to its end.
        resume_error: What a resume raises; None lets it go on.
    """

    def __init__(self):
        self.opened: list[str] = []
        self.cancelled: list[str] = []
        self.breaks: list[int] = []
        self.resume_error: exception.CopperloomError | None = None

    async def open(self, address, req, *, timeout_s):
        """Gives the pieces up to the scripted break."""
        self.opened.append(address)
        most = self.breaks.pop(0) if self.breaks else None
        for pieces in _pieces(req.stream, 0):
            if pieces[0].offset == most:
                raise exception.StreamBrokenError("scripted")
            yield pieces

    async def resume(self, address, stream, offset, *args, timeout_s):
        """Gives the rest."""
        if self.resume_error is not None:
            raise self.resume_error
        for pieces in _pieces(stream, offset):
            yield pieces

    async def cancel(self, address, stream, *, timeout_s):
        """Notes a cancel."""
        self.cancelled.append(stream)


def _pieces(stream: str, offset: int) -> list[list[Piece]]:
    return [
        [Piece(stream, i, f"t{i} ", 1, "stop" if i == _TOKENS - 1 else "")]
        for i in range(offset, _TOKENS)
    ]


def entities() -> tuple[tuple[str, dict], ...]:
    engines = [
        configuration.Target(name, f"127.0.0.1:{9 + i}", serves=("m",))
        for i, name in enumerate(_ENGINES)
    ]
    deployment = configuration.Deployment("chat", model="m", time_limit_s=10)
    encoded = [configuration.encode_entity(e) for e in (*engines, deployment)]
    return (fixtures.organisation("org"), *encoded)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.script = Script()
        self.entry = fixtures.entry_state(self, "127.0.0.1:1")
        self.entry.targets = types.SimpleNamespace(
            open=self.script.open,
            resume=self.script.resume,
            cancel=self.script.cancel,
        )
        now = asyncio.get_running_loop().time()
        change = configuration.Change(1, "n", "o", entities())
        cfg = configuration.apply(configuration.Configuration(), change)
        config.adopt(self.entry, cfg, now)
        config.confirm(self.entry, now + 3600)
        running = asyncio.create_task(dispatcher.run(self.entry))
        self.addCleanup(running.cancel)
        server = test_utils.TestServer(http.make_app(self.entry))
        self.client = test_utils.TestClient(server)
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def post(self, headers: dict, **fields):
        body = {
            "model": "chat",
            "messages": [{"role": "user", "content": "x"}],
        }
        return await self.client.post(
            "/v1/chat/completions",
            json=body | fields,
            headers={"Authorization": "Bearer org"} | headers,
        )

    async def ask(self, **headers) -> tuple[int, dict]:
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        reply = await self.post(named)
        return reply.status, await reply.json()

    async def stream(self) -> str:
        reply = await self.post({}, stream=True)
        return await reply.text()

    def content(self, reply: dict) -> str:
        return reply["choices"][0]["message"]["content"]

    async def test_break_is_resumed_at_the_same_engine(self):
        self.script.breaks = [1]
        status, reply = await self.ask()
        self.assertEqual(status, 200)
        self.assertEqual(self.content(reply), "t0 t1 t2 ")
        self.assertEqual(len(self.script.opened), 1)

    async def test_engine_that_lost_the_stream_before_its_first_token(self):
        """An engine restarts while a prompt waits in it.

        The connection breaks, and the new boot does not know the stream. The
        work is repeatable and nobody has seen a part of it, so another engine
        runs it; the caller sees nothing but a later first token. Without that
        the caller gets a 404 that speaks of a resume it never asked for.
        """
        self.script.breaks = [0]
        self.script.resume_error = exception.StreamUnknownError()
        status, reply = await self.ask()
        self.assertEqual(status, 200, reply)
        self.assertEqual(self.content(reply), "t0 t1 t2 ")
        self.assertEqual(len(set(self.script.opened)), 2)

    async def test_lost_work_that_is_not_repeatable_runs_once(self):
        """As above, but the work may not run twice: it is told truthfully."""
        self.script.breaks = [0]
        self.script.resume_error = exception.StreamUnknownError()
        status, reply = await self.ask(X_Copperloom_Not_Repeatable="true")
        self.assertEqual(status, 502, reply)
        self.assertEqual(reply["error"]["code"], 4004)
        self.assertEqual(reply["error"]["run"], "may_have_run")
        self.assertEqual(len(self.script.opened), 1)

    async def test_stream_lost_in_its_middle_is_not_patched_together(self):
        """An engine is lost after a part of the answer went to the caller.

        Another engine's answer may differ, so the rest must not come from it:
        the stream ends with an error, without the mark of a whole answer.
        """
        self.script.breaks = [2]
        self.script.resume_error = exception.StreamUnknownError()
        text = await self.stream()
        self.assertIn('"content":"t1 "', text)
        self.assertIn('"code":4004', text)
        self.assertNotIn("[DONE]", text)
        self.assertEqual(len(self.script.opened), 1)

    async def test_whole_answer_lost_in_its_middle_runs_anew(self):
        """As above for a caller who waits for the whole answer at once.

        It has seen nothing, so another engine answers from the start; the
        first part must not stand in the answer or be counted.
        """
        self.script.breaks = [2]
        self.script.resume_error = exception.StreamUnknownError()
        status, reply = await self.ask()
        self.assertEqual(status, 200, reply)
        self.assertEqual(self.content(reply), "t0 t1 t2 ")
        self.assertEqual(reply["usage"]["completion_tokens"], _TOKENS)
        self.assertEqual(len(set(self.script.opened)), 2)

    async def test_lost_stream_is_cancelled(self):
        self.script.breaks = [0]
        self.script.resume_error = exception.StreamUnknownError()
        await self.ask(X_Copperloom_Not_Repeatable="true")
        await fixtures.until(lambda: self.script.cancelled)
