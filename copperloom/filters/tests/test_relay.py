"""Tests of what callers get from an entry when its engines fail."""

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


class ScriptedEngines:
    """Engines that fail as the test prescribes.

    Attributes:
        opened: Target addresses in the order in which streams were opened.
        cancelled: Names of cancelled streams.
        breaks: Tokens after which each opened stream breaks, in order; later
            streams run to their end.
        resume_error: Error that a resume raises; None lets it succeed.
    """

    def __init__(self):
        self.opened: list[str] = []
        self.cancelled: list[str] = []
        self.breaks: list[int] = []
        self.resume_error: exception.CopperloomError | None = None

    async def open(self, address, req, *, timeout_s):
        """Yields the pieces up to the next scripted break."""
        self.opened.append(address)
        break_at = self.breaks.pop(0) if self.breaks else None
        for pieces in _pieces(req.stream, 0):
            if pieces[0].offset == break_at:
                raise exception.StreamBrokenError("scripted")
            yield pieces

    async def resume(self, address, stream, offset, *args, timeout_s):
        """Yields the remaining pieces, or raises the scripted error."""
        if self.resume_error is not None:
            raise self.resume_error
        for pieces in _pieces(stream, offset):
            yield pieces

    async def cancel(self, address, stream, *, timeout_s):
        """Records a cancel."""
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
        self.script = ScriptedEngines()
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

    async def post_and_decode(self, **headers) -> tuple[int, dict]:
        http_headers = {k.replace("_", "-"): v for k, v in headers.items()}
        reply = await self.post(http_headers)
        return reply.status, await reply.json()

    async def post_stream(self) -> str:
        reply = await self.post({}, stream=True)
        return await reply.text()

    def content(self, reply: dict) -> str:
        return reply["choices"][0]["message"]["content"]

    async def test_broken_stream_is_resumed_at_the_same_engine(self):
        self.script.breaks = [1]
        status, reply = await self.post_and_decode()
        self.assertEqual(status, 200)
        self.assertEqual(self.content(reply), "t0 t1 t2 ")
        self.assertEqual(len(self.script.opened), 1)

    async def test_stream_lost_before_its_first_token_runs_elsewhere(self):
        """A restart of the engine before the first token must stay hidden.

        The caller would otherwise get a 404 for a resume it did not request.
        """
        self.script.breaks = [0]
        self.script.resume_error = exception.StreamUnknownError()
        status, reply = await self.post_and_decode()
        self.assertEqual(status, 200, reply)
        self.assertEqual(self.content(reply), "t0 t1 t2 ")
        self.assertEqual(len(set(self.script.opened)), 2)

    async def test_lost_work_that_is_not_repeatable_runs_once(self):
        """Work that may not be repeated must be reported as possibly run."""
        self.script.breaks = [0]
        self.script.resume_error = exception.StreamUnknownError()
        status, reply = await self.post_and_decode(
            X_Copperloom_Not_Repeatable="true"
        )
        self.assertEqual(status, 502, reply)
        self.assertEqual(reply["error"]["code"], 4004)
        self.assertEqual(reply["error"]["run"], "may_have_run")
        self.assertEqual(len(self.script.opened), 1)

    async def test_partly_sent_stream_is_not_continued_elsewhere(self):
        """Answers of two engines must not be mixed in one stream.

        The stream must end with an error, and without [DONE].
        """
        self.script.breaks = [2]
        self.script.resume_error = exception.StreamUnknownError()
        text = await self.post_stream()
        self.assertIn('"content":"t1 "', text)
        self.assertIn('"code":4004', text)
        self.assertNotIn("[DONE]", text)
        self.assertEqual(len(self.script.opened), 1)

    async def test_partly_received_json_answer_runs_again_elsewhere(self):
        """Tokens of a failed engine must not appear in a JSON answer.

        Another engine must answer from the start, and only its tokens count.
        """
        self.script.breaks = [2]
        self.script.resume_error = exception.StreamUnknownError()
        status, reply = await self.post_and_decode()
        self.assertEqual(status, 200, reply)
        self.assertEqual(self.content(reply), "t0 t1 t2 ")
        self.assertEqual(reply["usage"]["completion_tokens"], _TOKENS)
        self.assertEqual(len(set(self.script.opened)), 2)

    async def test_lost_stream_is_cancelled(self):
        self.script.breaks = [0]
        self.script.resume_error = exception.StreamUnknownError()
        await self.post_and_decode(X_Copperloom_Not_Repeatable="true")
        await fixtures.until(lambda: self.script.cancelled)
